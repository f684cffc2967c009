#!/usr/bin/env python3
"""Splits the latency of the jobs of one queue by stage, from a play with `--log all`.

Usage: ledger.py LOG [QUEUE_PRIORITY] [WORTH LATE_WORTH]

One row a second of submission: jobs that were owed, in time, late, refused, failed and unfinished,
then the late jobs by the stage that held each of them longest, then the medians of the stages in
milliseconds. A job counts as in time if the leader ended it within its objective less the time that
passes on average until callers see the end; the bench judges by what callers see, so its sums differ.

Stages: front (until the submission was answered), limit, advice, adviser, room (what the scheduler
waited for), order (the rest of the time until the last task was first placed), start (until the last
of these starts was sent), run (from there to the last end, less the estimate), again (runs that were
started again).
"""
import collections, json, re, sys

if len(sys.argv) < 2:
    sys.exit(__doc__)
priority = int(sys.argv[2]) if len(sys.argv) > 2 else 0
worth, late_worth = (float(a) for a in sys.argv[3:5]) if len(sys.argv) > 4 else (1.0, 0.2)
STAGES = ["front", "limit", "advice", "adviser", "room", "order", "start", "run", "again"]
jobs = collections.defaultdict(dict)
message = re.compile(r'"message":"([^"]*)"')
for line in open(sys.argv[1], errors="replace"):
    found, at = message.search(line), line.find("{")
    if not found or at < 0:
        continue
    kind = found.group(1)
    if not (kind.startswith("leader: ") or kind == "front: request answered"):
        continue
    try:
        now, fields = float(line.split()[0]), json.loads(line[at:])["kvs"]
    except (ValueError, KeyError):
        continue
    if kind == "front: request answered":
        if fields.get("call") == "submit":
            job = jobs[fields["path"].rsplit("/", 1)[1]]
            job.setdefault("first", now - fields["took_ms"] / 1000)
            job.setdefault("queue", fields["path"].rsplit("/", 1)[0])
            if fields["status"] == 200:
                job.setdefault("accepted", now)
            job.setdefault("statuses", []).append(fields["status"])
    elif kind == "leader: job ended":
        job = jobs[fields["job"]]
        job.update(fields, ended=now)
    elif "task" in fields or "step" in fields:
        job = jobs[(fields.get("task") or fields["step"]).split(".")[0]]
        if kind == "leader: task placed":
            job["priority"] = fields["priority"]
            job["logged_queue"] = fields["queue"]
            if fields["run"] == 1:
                job["placed"] = now
            else:
                job["again"] = now
            job.setdefault("tasks", {})[(fields["task"], fields["run"])] = now
        elif kind == "leader: start sent":
            job["sent"] = now
            if fields["run"] == 1:
                job["sent1"] = now
        elif kind == "leader: run ended":
            job["run_ended"] = now

queues = {j["queue"] for j in jobs.values() if j.get("priority") == priority and "queue" in j}
rows = collections.defaultdict(lambda: collections.Counter())
medians = collections.defaultdict(lambda: collections.defaultdict(list))
lost = collections.Counter()
for job in jobs.values():
    if job.get("queue") not in queues or "first" not in job:
        continue
    row = rows[int(job["first"])]
    row["owed"] += 1
    if "accepted" not in job:
        row["refused" if job["statuses"][-1] in (429, 503) else "failed"] += 1
        lost["not accepted"] += worth
        continue
    outcome = job.get("outcome")
    if outcome != "Completed":
        row["unfinished" if outcome is None else outcome.lower()] += 1
        lost["unfinished" if outcome is None else outcome.lower()] += worth
        continue
    parts = {"front": job["accepted"] - job["first"]}
    for stage in ("limit", "advice", "adviser", "room"):
        parts[stage] = job.get(f"wait_{stage}_ms", 0) / 1000
    placed = job.get("placed", job["ended"])
    waited = max(0.0, placed - job["accepted"])
    parts["order"] = max(0.0, waited - sum(parts[s] for s in ("limit", "advice", "adviser", "room")))
    sent = job.get("sent1", placed)
    parts["start"] = max(0.0, sent - placed)
    parts["again"] = max(0.0, job["again"] - sent) if "again" in job else 0.0
    estimate = (job.get("objective_ms", 0)) / 1000
    parts["run"] = max(0.0, job["ended"] - job.get("sent", sent))
    total = job["ended"] - job["first"]
    for stage in STAGES:
        medians[int(job["first"])][stage].append(parts[stage])
    medians[int(job["first"])]["total"].append(total)
    if total <= estimate:
        row["in_time"] += 1
        continue
    row["late"] += 1
    held = max((s for s in STAGES if s != "run"), key=lambda s: parts[s])
    row[held] += 1
    lost[held] += worth - late_worth


def median(values):
    values = sorted(values)
    return 1000 * values[len(values) // 2] if values else 0


heads = ["owed", "in_time", "late", "refused", "failed", "cancelled", "unfinished"]
held = [s for s in STAGES if s != "run"]
print("sec | " + " ".join(f"{h:>9}" for h in heads) + " | late by " + " ".join(f"{s:>7}" for s in held)
      + " | ms " + " ".join(f"{s:>7}" for s in STAGES + ["total"]))
for second in sorted(rows):
    row = rows[second]
    print(f"{second:3d} | " + " ".join(f"{row[h]:9d}" for h in heads) + " |         "
          + " ".join(f"{row[s]:7d}" for s in held) + " |    "
          + " ".join(f"{median(medians[second][s]):7.0f}" for s in STAGES + ["total"]))
print("sum | " + " ".join(f"{sum(r[h] for r in rows.values()):9d}" for h in heads))
print("worth lost:", ", ".join(f"{stage} {amount:.0f}" for stage, amount in lost.most_common()))
