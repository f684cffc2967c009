"""A gang that waits for its tenant's limit keeps the tenant's small jobs from running."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))

from cell2 import main, new_job, trouble  # noqa: E402

CONFIG_S = 2.0  # `configMs`
FINISH_S = 14.0  # `finish_s`
IDLE_S = 3.0  # the time of the rule
LIMIT = 10_000  # `maxCount` of the tenant, in thousandths of a core; the service has 32 cores


async def body(cell):
    log = cell.log
    one, two, _ = cell.instances
    cell.configure(routes=("work", "stock"), priorities={"work": 1, "stock": 2}, max_cpu=LIMIT)
    await asyncio.sleep(CONFIG_S + 0.5)
    running = new_job()
    await cell.submit(one, running, ms=100_000, cpu=4_000, estimateMs=100_000)
    await asyncio.sleep(1)
    if trouble():
        gang = new_job()
        log("client: hands in a gang of 7 tasks of one core")
        await cell.submit(one, gang, ms=40_000, count=7, cpu=1_000, gang=True, estimateMs=40_000)
    await asyncio.sleep(0.5)
    small = [new_job() for _ in range(3)]
    for job in small:
        if await cell.submit(two, job, route="stock", ms=500, cpu=1_000, estimateMs=500) != 200:
            raise RuntimeError("the job was not accepted")
    await asyncio.sleep(FINISH_S)
    before = [j for j in small if any(task.startswith(j) for _, _, task, _ in cell.starts)]
    log(f"{FINISH_S} s after the last request: started {len(before)} of {len(small)} small jobs")
    await asyncio.sleep(IDLE_S)
    if not any(task.startswith(running) for _, _, task, _ in cell.starts):
        raise RuntimeError("the cell did not work")
    started = [j for j in small if any(task.startswith(j) for _, _, task, _ in cell.starts)]
    used = sum(len(m.running) for m in cell.minions)
    log(f"{IDLE_S} s later: started {len(started)} of {len(small)} small jobs; {used} task runs, which takes 4 of {LIMIT // 1000} cores of the tenant's limit")
    for job in small:
        await cell.ask("GET", two, job, route="stock")
    return len(started) == len(small)


main(HERE, body)
