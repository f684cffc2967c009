"""The store loses the answer to one append, which would take effect later. The client whose job it held
has left meanwhile and cancels the job at another member."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib3"))
from bed import TROUBLE, Minion, run_case  # noqa: E402

KEY = "key-of-the-shops"
JOB = "5c0e7a21d94b36f8"
# The client leaves and cancels after this time, without an answer.
PATIENCE_S = 0.125
LATE_S = 3.0
CONTACT_S, CANCEL_S, STOP_S = 3.0, 3.0, 0.4


async def case(bed):
    bed.specs["rebuild"] = {"cpu": 1_000, "ms": 25_000}
    bed.specs["price"] = {"cpu": 1_000, "ms": 800}
    await bed.store.start()
    bed.configure(1, [{"name": "shops", "apiKeys": [KEY], "weight": 100,
                       "maxCount": {"cpu": 0, "memMb": 0, "gpu": 0}}])
    for index in range(3):
        minion = Minion(bed, f"i-{index:08x}", bed.zones[index % 3],
                        {"cpu": 16_000, "memMb": 65_536, "gpu": 0}, ["a", f"r1-{index % 2}"])
        bed.minions.append(minion)
        await minion.start()
    await bed.start_members(3)

    writes = {"all": 0, "lost": 0}

    def disrupt(topic, keys):
        writes["all"] += 1
        if TROUBLE and f"j{JOB}" in keys and not writes["lost"]:
            writes["lost"] += 1
            return "late", LATE_S
        return None

    bed.store.disrupt = disrupt

    async def others():
        number = 0
        while True:
            number += 1
            body = {"spec": "price", "steps": [{"count": 2, "cpu": 1_000, "memMb": 100,
                                                "estimateMs": 800}]}
            asyncio.create_task(bed.submit(f"{number:016x}", KEY, body))
            await asyncio.sleep(0.2)

    sending = asyncio.create_task(others())
    await asyncio.sleep(4)
    leader = bed.leader()
    first, second = [m for m in bed.members if m is not leader][:2]
    body = {"spec": "rebuild", "steps": [{"count": 2, "cpu": 1_000, "memMb": 100,
                                          "estimateMs": 25_000}]}
    status, _ = await bed.send(first, "POST", JOB, KEY, body, timeout=PATIENCE_S)
    acknowledged = None
    until = time.monotonic() + 4
    while acknowledged is None and time.monotonic() < until:
        answer, _ = await bed.send(second, "DELETE", JOB, KEY)
        if answer is not None and (200 <= answer < 300 or answer == 410):
            acknowledged = time.monotonic()
        else:
            await asyncio.sleep(0.2)
    if acknowledged is None:
        return None
    bed.store.disrupt = lambda topic, keys: None
    bed.record.note("cancelling acknowledged", post=status, delete=answer,
                    writes=writes["all"], lost=writes["lost"])
    # A stretch of `cancel_ms` + `stopMs` without any disruption, which begins `contactMs` after the
    # last effect of the lost write.
    await asyncio.sleep(LATE_S + CONTACT_S + CANCEL_S + STOP_S + 2.0)
    sending.cancel()
    state = await bed.state(JOB, KEY)
    running = [task for m in bed.minions for task in m.running if task.startswith(JOB)]
    if running:
        after = time.monotonic() - acknowledged
        return (f"UNASKED: {len(running)} tasks run {after:.1f} s after the cancelling was answered "
                f"with {answer}; the job is shown as {state}")
    return None


run_case(FOLDER, case)
