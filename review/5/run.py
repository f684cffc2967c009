"""A gang larger than its tenant's lowered quota keeps the tenant's other jobs from running."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from cell import BOUNDS, TROUBLE, Cell, route

TRAFFIC_S, GANG_EVERY_S, LOWER_AT = 52.0, 10.0, 8.0
CORES, MINIONS, GANG, GANG_MS, SMALL_MS = 8000, 8, 20, 16_000, 500

cell = Cell(os.path.dirname(os.path.abspath(__file__)))
# Like the classes catalogue-rebuild and stock-reconcile of the site.
routes = [route("r-1", "/rebuild/", priority=1, targetLatencyMs=1000, stretch=2.2, maxAttempts=4),
          route("r-2", "/stock/", priority=2, targetLatencyMs=3000, stretch=4.0, maxAttempts=4)]


def configure(cores):
    cell.limit = cores
    cell.configure(routes, [{"name": "tenant-a", "apiKeys": ["key-a"], "weight": 25,
                             "maxCount": {"cpu": cores * 1000, "memMb": 0, "gpu": 0}}])


configure(60)
for n in range(MINIONS):
    cell.add_minion(f"i-{n:08x}", cpu=CORES)
cell.start()
cell.wait_ready()
time.sleep(2)

gang = {"spec": str(GANG_MS), "steps": [{"count": GANG, "cpu": 1000, "memMb": 500, "estimateMs": GANG_MS, "gang": True}]}
small = {"spec": str(SMALL_MS), "steps": [{"count": 2, "cpu": 500, "memMb": 100, "estimateMs": SMALL_MS}]}
begin, jobs, gangs, lowered = time.monotonic(), {}, 0, False
second = 0
while (now := time.monotonic() - begin) < TRAFFIC_S:
    if TROUBLE and not lowered and now >= LOWER_AT:
        lowered = True
        configure(16)
    if now >= gangs * GANG_EVERY_S + LOWER_AT + 2:
        cell.submit(f"/rebuild/{0xa000 + gangs:016x}", gang)
        gangs += 1
    job = f"{0xb000 + second:016x}"
    if cell.submit("/stock/" + job, small):
        jobs[job] = time.monotonic() - begin
    second += 1
    time.sleep(max(0, begin + second - time.monotonic()))
cell.record("traffic ended", small_jobs=len(jobs), gangs=gangs)
if len(jobs) < TRAFFIC_S * 0.8:
    cell.cannot_run("too few jobs were accepted")
time.sleep(BOUNDS["finish_s"])


def begun():
    with cell.monitor.lock:
        return {task.split(".")[0] for _, task, _, _ in cell.monitor.starts}


# For 3 s: jobs of the less urgent queue whose turn came at their acceptance.
waiting, used = set(jobs) - begun(), 0
end = time.monotonic() + 3.2
while time.monotonic() < end:
    waiting -= begun()
    with cell.monitor.lock:
        used = max(used, sum(len(runs) for runs in cell.monitor.running.values()))
    time.sleep(0.05)
states = {cell.state("/stock/" + job) for job in sorted(waiting)[:5]}
cell.record("watched", waiting=len(waiting), states=sorted(map(str, states)), most_in_use=used, limit=cell.limit,
            cores=MINIONS * CORES // 1000, started_late=sum(1 for _, t, _, _ in cell.monitor.starts if t[:16] in jobs))
if waiting and used * 2 < min(cell.limit, MINIONS * CORES // 1000):
    cell.monitor.breaks("LOST", f"{len(waiting)} of {len(jobs)} accepted jobs are {states} and had nothing running for 3 s, "
                                f"{BOUNDS['finish_s']} s after the end of the traffic; the tenant uses at most {used} of "
                                f"{cell.limit} cores, the service has {MINIONS * CORES // 1000}")
cell.finish()
