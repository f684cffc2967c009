"""All members are killed while one partition of the store is down: that of the operators' records."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))
from bed import TROUBLE, Minion, run_case  # noqa: E402

LIMIT = 8_000
OVERAGE = 0.1
TASK = 1_000
KEY = "key-of-the-shops"
# "kill" or "store" leaves out the other one.
ONLY = os.environ.get("ONLY", "")


async def case(bed):
    bed.specs["rebuild"] = {"cpu": TASK, "ms": 25_000}
    broken = []

    def watch(event, minion, task, run):
        if event != "start":
            return
        running = sum(m.used() for m in bed.minions)
        allowed = LIMIT * (1 + OVERAGE) + TASK
        if running > allowed:
            bed.record.note("QUOTA broken", task=task, running_cpu=running, allowed=allowed)
            broken.append(running)

    bed.watches = [watch]
    await bed.store.start()
    tenant = {"name": "shops", "apiKeys": [KEY], "weight": 10,
              "maxCount": {"cpu": LIMIT, "memMb": 0, "gpu": 0}}
    bed.configure(1, [tenant])
    for index in range(6):
        minion = Minion(bed, f"i-{index:08x}", bed.zones[index % 3],
                        {"cpu": 16_000, "memMb": 65_536, "gpu": 0}, ["a", f"r1-{index % 2}"])
        bed.minions.append(minion)
        await minion.start()
    await bed.start_members(3)
    for number in range(3):
        body = {"spec": "rebuild", "steps": [{"count": 10, "cpu": TASK, "memMb": 100,
                                              "estimateMs": 25_000}]}
        status = await bed.submit(f"{number + 1:016x}", KEY, body)
        bed.record.note("job handed in", number=number, status=status)
    await bed.until(lambda: len(bed.starts) >= 8, 10, "the tasks within the limit do not start")
    await asyncio.sleep(3)

    if TROUBLE:
        if ONLY != "kill":
            bed.record.note("store: the partition of keyed.op is down")
            bed.store.down.add("keyed.op")
        if ONLY != "store":
            for member in bed.members:
                await member.kill()
            await asyncio.sleep(0.3)
            for member in bed.members:
                await member.start()
        await asyncio.sleep(4.0)
        bed.record.note("store: the partition of keyed.op is back")
        bed.store.down.clear()
    await asyncio.sleep(8)
    return f"QUOTA: {max(broken)} thousandths of a core run, limit {LIMIT}" if broken else None


run_case(FOLDER, case)
