"""The backlog of a tenant whose quota was lowered keeps other tenants' lost tasks from running again."""

import os
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from cell import BOUNDS, TROUBLE, Cell, route

LOWER = TROUBLE and os.environ.get("LOWER", "1") != "0"
CRASH = TROUBLE and os.environ.get("CRASH", "1") != "0"
TRAFFIC_S, CRASH_AT, RATE = 48.0, 36.0, 20
CORES, MINIONS, WORK_MS = 8000, 8, 800

cell = Cell(os.path.dirname(os.path.abspath(__file__)))


def configure(cores_a):
    tenants = [
        {"name": "tenant-a", "apiKeys": ["key-a"], "weight": 25, "maxCount": {"cpu": cores_a, "memMb": 0, "gpu": 0}},
        {"name": "tenant-b", "apiKeys": ["key-b"], "weight": 25, "maxCount": {"cpu": 40_000, "memMb": 0, "gpu": 0}},
    ]
    cell.configure([route("r-1", "/q/")], tenants)


configure(40_000)
for n in range(MINIONS):
    cell.add_minion(f"i-{n:08x}", cpu=CORES)
cell.start()
cell.wait_ready()
time.sleep(3)
if LOWER:
    configure(2_000)
    time.sleep(1)

pool = ThreadPoolExecutor(24)
accepted, lock = {}, threading.Lock()


def send(job, key, count):
    body = {"spec": str(WORK_MS), "steps": [{"count": count, "cpu": 1000, "memMb": 500, "estimateMs": WORK_MS}]}
    if cell.submit("/q/" + job, body, key):
        with lock:
            accepted[job] = (key, count)


begin, number, crashed = time.monotonic(), 0, None
while (now := time.monotonic() - begin) < TRAFFIC_S:
    number += 1
    pool.submit(send, f"{0xa000_0000_0000_0000 + number:016x}", "key-a", 1)
    if number % RATE == 0:
        pool.submit(send, f"{0xb000_0000_0000_0000 + number:016x}", "key-b", 4)
    if CRASH and not crashed and now > CRASH_AT:
        # One of eight machines is lost for good: one on which a task of tenant B runs.
        with cell.monitor.lock:
            runs = [r for t, rs in cell.monitor.running.items() if t.startswith("b") for r in rs]
        if runs:
            crashed = cell.minions[runs[0][0]]
            threading.Thread(target=crashed.crash, args=(1000,), daemon=True).start()
    time.sleep(max(0, begin + number / RATE - time.monotonic()))
pool.shutdown()
cell.record("traffic ended", accepted=len(accepted))
if CRASH and not crashed:
    cell.cannot_run("no minion ran a task of tenant B")
time.sleep(BOUNDS["finish_s"])


def idle_jobs():
    """Jobs of tenant B with no task running although not all of their tasks are done."""
    with cell.monitor.lock:
        idle = []
        for job, (key, count) in accepted.items():
            if key != "key-b":
                continue
            tasks = [f"{job}.0.0.{i}" for i in range(count)]
            done = [t for t in tasks if t in ended]
            if len(done) < count and not any(cell.monitor.running.get(t) for t in tasks):
                idle.append(job)
        return idle


ended = set()
original = cell.monitor.ended
# Ends that were seen before are in the record of the monitor.
with open(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")) as f:
    import json

    for line in f:
        e = json.loads(line)
        if e["what"] == "run ended" and e["how"] == "done":
            ended.add(e["task"])


def note_end(task, run, minion, how):
    original(task, run, minion, how)
    if how == "done":
        ended.add(task)


cell.monitor.ended = note_end
stalled = {job: time.monotonic() for job in idle_jobs()}
end = time.monotonic() + 10
while time.monotonic() < end:
    idle = set(idle_jobs())
    stalled = {job: at for job, at in stalled.items() if job in idle}
    for job in idle:
        stalled.setdefault(job, time.monotonic())
    time.sleep(0.1)
with cell.monitor.lock:
    busy = {name: 0 for name in cell.minions}
    for runs in cell.monitor.running.values():
        for minion, _ in runs:
            busy[minion] += 1
up = [m for m in cell.minions.values() if m.up]
cell.record("capacity", minions=len(up), cores=len(up) * CORES / 1000, in_use=sum(busy.values()), busy=busy)
for job, at in stalled.items():
    seconds = time.monotonic() - at
    state = cell.state("/q/" + job, "key-b")
    if seconds > 3 and sum(busy.values()) * 1000 < len(up) * CORES / 2 and state not in ("completed", "cancelled"):
        cell.monitor.breaks("LOST", f"job {job} of tenant-b is {state} and has had nothing running for {seconds:.0f} s, "
                                    f"{sum(busy.values())} of {len(up) * CORES // 1000} cores are in use")
cell.finish()
