"""A start that arrives late at the next life of its minion runs beside the run that replaced it."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))

from cell2 import Proxy, main, new_job, trouble  # noqa: E402

LATE_S = 8.0  # within the 2 to 12 s of `applied_late`
DOWN_S = 1.0  # within the 4.5 s of `srv_crash` for the site
WORK_MS = 12_000


async def body(cell):
    log = cell.log
    proxies = [Proxy(cell, m) for m in cell.minions]
    for proxy in proxies:
        await proxy.start()
    # The minions list the addresses of their proxies with their next heartbeats.
    await asyncio.sleep(3)
    warm = new_job()
    await cell.submit(cell.instances[0], warm, ms=300)
    await asyncio.sleep(1)
    job, held = new_job(), []

    def hold(minion):
        def seconds(path, text):
            if not trouble() or held or path != "/api/run-start" or job not in text.decode():
                return 0
            held.append(minion)
            return LATE_S

        return seconds

    for proxy in proxies:
        proxy.hold = hold(proxy.minion)
    if await cell.submit(cell.instances[0], job, ms=WORK_MS) != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(3)
    if trouble():
        if not held:
            raise RuntimeError("no start was held")
        held[0].crash()
        await asyncio.sleep(DOWN_S)
        await held[0].start()
        log(f"{held[0].name}: is back under its id")
    await asyncio.sleep(LATE_S + WORK_MS / 1000)
    await cell.ask("GET", cell.instances[0], job)
    # Two runs of the task at the same time, on minions that are up.
    runs = []
    for at, name, task, run in cell.starts:
        if task.startswith(job):
            ends = [e[0] for e in cell.ends if e[1:4] == (name, task, run) and e[0] >= at]
            runs.append((at, min(ends, default=log.now()), name, run))
    runs.sort()
    log(f"runs of {job}.0.0.0 (from, to, minion, run): {[(round(a, 3), round(b, 3), n, r) for a, b, n, r in runs]}")
    overlaps = [(a, b) for i, a in enumerate(runs) for b in runs[i + 1 :] if b[0] < a[1]]
    for a, b in overlaps:
        log(f"run {a[3]} on {a[2]} and run {b[3]} on {b[2]} at the same time for {min(a[1], b[1]) - b[0]:.3f} s")
    return not overlaps


main(HERE, body, minions=8)
