"""A worker leaves a start unanswered and carries it out late, after it has crashed and started again."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))
from bed import TROUBLE, CouldNotRun, Minion, run_case  # noqa: E402

KEY = "key-of-the-shops"
MINIONS = 8
LATE_S = 8.0
DOWN_S = 1.0
# Time from the restart until the late start is carried out, and by which a hold is late.
AFTER_RESTART_S = 0.5
HOLD_LATE_S = 2.0


class Worker(Minion):
    """A minion that may leave one start, and the holds in the first moments of its next life, unanswered,
    and carries them out late."""

    is_late = False
    late_start = None
    holds_late_until = 0.0

    async def handle(self, request):
        if self.is_late and self.late_start is None and request.path == "/api/run-start":
            self.late_start = (time.monotonic(), request.json()["task"])
            self.postpone(request, LATE_S)
            await asyncio.sleep(30)
            return None
        if request.path == "/api/hold" and time.monotonic() < self.holds_late_until:
            self.postpone(request, HOLD_LATE_S)
            await asyncio.sleep(30)
            return None
        return await super().handle(request)

    def postpone(self, request, seconds):
        self.bed.record.note("order left unanswered, carried out later", minion=self.name,
                             path=request.path, after_s=seconds, body=request.body.decode())

        async def later():
            await asyncio.sleep(seconds)
            answer = await Minion.handle(self, request)
            self.bed.record.note("late order carried out", minion=self.name, path=request.path,
                                 age_ms=self.clock(), answer=answer)

        self.tasks = getattr(self, "tasks", []) + [asyncio.create_task(later())]


async def case(bed):
    bed.specs["rebuild"] = {"cpu": 4_000, "ms": 14_000}
    bed.specs["short"] = {"cpu": 4_000, "ms": 1_000}
    bed.specs["long"] = {"cpu": 4_000, "ms": 60_000}
    broken = []

    def watch(event, minion, task, run):
        others = [m.name for m in bed.minions if m is not minion and task in m.running]
        if event == "start" and others:
            bed.record.note("TWICE broken", task=task, run=run.number, minion=minion.name,
                            beside=",".join(others))
            broken.append(task)

    bed.watches = [watch]
    await bed.store.start()
    bed.configure(1, [{"name": "shops", "apiKeys": [KEY], "weight": 100,
                       "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}])
    for index in range(MINIONS):
        minion = Worker(bed, f"i-{index:08x}", bed.zones[index % 3],
                        {"cpu": 8_000, "memMb": 65_536, "gpu": 0}, ["a", f"r1-{index % 2}"])
        bed.minions.append(minion)
        await minion.start()
    await bed.start_members(3)
    await asyncio.sleep(2)

    async def hand_in(job, spec):
        body = {"spec": spec, "steps": [{"count": 1, "cpu": 4_000, "memMb": 100,
                                         "estimateMs": bed.specs[spec]["ms"]}]}
        if await bed.submit(job, KEY, body) != 200:
            raise CouldNotRun("the job is not accepted")

    for number in range(1, 5):
        # A short job beside the one whose start is late, and a long one on another minion, so that the
        # second run is placed there.
        await hand_in(f"{0xa000 + number:016x}", "short")
        await asyncio.sleep(0.2)
        for minion in bed.minions:
            minion.is_late, minion.late_start = TROUBLE, None
        await hand_in(f"{number:016x}", "rebuild")
        if not TROUBLE:
            await asyncio.sleep(16)
            break
        await bed.until(lambda: any(m.late_start for m in bed.minions), 5, "no start arrives")
        for minion in bed.minions:
            minion.is_late = False
        late = next(m for m in bed.minions if m.late_start)
        sent, task = late.late_start
        await hand_in(f"{0xb000 + number:016x}", "long")
        await bed.until(lambda: any(task in m.running for m in bed.minions), 5, "no second start")
        if task in late.running:
            # The second run is on the same minion and would end with it.
            await asyncio.sleep(LATE_S + 8)
            continue
        await asyncio.sleep(sent + LATE_S - AFTER_RESTART_S - DOWN_S - time.monotonic())
        late.crash()
        await asyncio.sleep(DOWN_S)
        late.holds_late_until = time.monotonic() + AFTER_RESTART_S
        await late.start()
        await asyncio.sleep(6)
        break
    if broken:
        return f"TWICE: {broken[0]} runs on two minions that are up"
    return None


run_case(FOLDER, case)
