"""A large job, whose tasks save checkpoints, is handed in beside the work of another tenant."""

import asyncio
import os
import sys
import time
import uuid

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))
from bed import TROUBLE, Minion, run_case  # noqa: E402

SHOPS_KEY = "key-of-the-shops"
LARGE_KEY = "key-of-the-archive"
LARGE_TASKS = int(os.environ.get("TASKS", 4_000))
# Digits of a checkpoint. The pages set no length; 64 digits are a SHA-256 sum.
CHECKPOINT = int(os.environ.get("CHECKPOINT", 64))
TRAFFIC_S = 45.0
FINISH_S = 14.0
# "for 3 s ... for each task that lasts, from 6 s after its last run"
LASTING_S = 6.0 + 3.0
LASTING = "00000000000a5700"


async def case(bed):
    bed.specs["price"] = {"cpu": 1_000, "ms": 800}
    bed.specs["serve"] = {"cpu": 500, "least_ms": 3_000, "ms": 6_000, "how": "failed"}
    bed.specs["rebuild"] = {"cpu": 50, "least_ms": 12_000, "ms": 300_000, "saves": True}
    await bed.store.start()
    no_limit = {"cpu": 0, "memMb": 0, "gpu": 0}
    bed.configure(1, [
        {"name": "shops", "apiKeys": [SHOPS_KEY], "weight": 100, "maxCount": no_limit},
        {"name": "archive", "apiKeys": [LARGE_KEY], "weight": 100, "maxCount": no_limit},
    ])
    for index in range(8):
        minion = Minion(bed, str(uuid.UUID(int=0x7f3a91c2 << 96 | index)), bed.zones[index % 3],
                        {"cpu": 64_000, "memMb": 131_072, "gpu": 0}, ["a", f"r1-{index % 2}"],
                        CHECKPOINT)
        bed.minions.append(minion)
        await minion.start()
    await bed.start_members(3)

    # The time since which each lasting task is not running, and the longest such time.
    away, longest = {}, {}

    def watch(event, minion, task, run):
        if not task.startswith(LASTING):
            return
        if event == "start":
            longest[task] = max(longest.get(task, 0), time.monotonic() - away.pop(task, time.monotonic()))
        else:
            away[task] = time.monotonic()

    bed.watches = [watch]
    body = {"spec": "serve", "steps": [{"count": 6, "cpu": 500, "memMb": 100, "longRunning": True}]}
    if await bed.submit(LASTING, SHOPS_KEY, body) != 200:
        raise RuntimeError("the lasting job is not accepted")

    accepted, refused = {}, []

    async def hand_in(number):
        job = f"{0xabc00000 + number:016x}"
        body = {"spec": "price", "steps": [{"count": 2, "cpu": 1_000, "memMb": 100,
                                            "estimateMs": 800}]}
        if await bed.submit(job, SHOPS_KEY, body) == 200:
            accepted[job] = time.monotonic()
        else:
            refused.append(job)

    tasks = []
    if TROUBLE:
        body = {"spec": "rebuild", "steps": [{
            "count": LARGE_TASKS, "cpu": 50, "memMb": 10, "estimateMs": 150_000,
            "checkpointing": True}]}
        tasks.append(asyncio.create_task(bed.submit("00000000000bad00", LARGE_KEY, body)))
    until = time.monotonic() + TRAFFIC_S
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(hand_in(len(tasks))))
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)
    await asyncio.sleep(FINISH_S)

    now = time.monotonic()
    for task, since in away.items():
        longest[task] = max(longest.get(task, 0), now - since)
    begun = {}
    for at, _, task, _ in bed.starts:
        begun.setdefault(task.split(".")[0], at)
    waits = [begun.get(job, now) - at for job, at in accepted.items()]
    bed.record.note(
        "summary", jobs_accepted=len(accepted), jobs_without_2xx=len(refused),
        longest_wait_of_an_accepted_job_s=round(max(waits, default=0), 1),
        lasting_tasks_away_s=[round(s, 1) for s in sorted(longest.values())],
        refused_appends=bed.store.rejected)
    late = [s for s in longest.values() if s > LASTING_S]
    if late:
        return (f"LOST: {len(late)} of {len(longest)} lasting tasks were not running for "
                f"{max(late):.1f} s at most, allowed {LASTING_S} s; "
                f"{len(refused)} of {len(refused) + len(accepted)} jobs got no 2xx in five attempts")
    return None


run_case(FOLDER, case)
