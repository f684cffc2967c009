"""A cancellation is answered with 410 although the job was accepted, and the job runs on."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))

from cell2 import main, new_job, trouble  # noqa: E402

CANCEL_S, STOP_S = 3.0, 0.4  # `cancel_ms`, `stopMs`
CALM_S = 3.0  # `contactMs`
ATTEMPTS = 12
WORK_MS = 12_000


async def body(cell):
    log = cell.log
    leader = cell.leader()
    taker, other = [i for i in cell.instances if i is not leader]
    job = None
    for _ in range(ATTEMPTS):
        job = new_job()
        if await cell.submit(taker, job, ms=WORK_MS) != 200:
            raise RuntimeError("the job was not accepted")
        if trouble():
            cell.store.forget("keyed.cell")
            log("store: forgets its history; the newest record of each key stays")
        # The caller cancels its job promptly, at another instance.
        status, _ = await cell.ask("DELETE", other, job)
        if status not in (200, 410):
            raise RuntimeError("the cancellation was not acknowledged")
        acknowledged = log.now()
        if status == 410:
            break
        await asyncio.sleep(2.0)
    # Nothing disturbs the cell any more.
    await asyncio.sleep(max(CANCEL_S + STOP_S, CALM_S) + 1.0)
    now = log.now()
    running = [(m.name, t) for m in cell.minions for t, _ in m.running if t.startswith(job)]
    log(f"{now - acknowledged:.1f} s after the cancelling of {job} was acknowledged with {status}: running {running}")
    await cell.ask("GET", other, job)
    await asyncio.sleep(3.0)
    running_later = [(m.name, t) for m in cell.minions for t, _ in m.running if t.startswith(job)]
    log(f"3 s later: running {running_later}")
    return not (running and running_later)


main(HERE, body)
