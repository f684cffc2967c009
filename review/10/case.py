"""Requests with a header that is not ASCII use up the connections of an instance for good."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))

from cell2 import main, new_job, trouble  # noqa: E402

REQUESTS = 4_200  # for each instance; each one has an end before the next batch begins
BATCH = 50
QUIET_S = 20.0


async def request(port, header):
    """Asks for the backlog of a queue with one more header. Closes the connection afterwards."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = "GET /work/ HTTP/1.1\r\nHost: cell.example\r\nCredential: key-1\r\nDeadline-Ms: 1000\r\n"
        writer.write(head.encode() + b"X-Shop: " + header + b"\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(64), 2)
        writer.close()
        return answer.split(b"\r\n")[0].decode() or "connection closed"
    except (OSError, asyncio.TimeoutError):
        return "no connection or no answer"


async def body(cell):
    log = cell.log
    header = "Café".encode() if trouble() else b"Cafe"
    for instance in cell.instances:
        seen = {}
        for _ in range(REQUESTS // BATCH):
            for text in await asyncio.gather(*[request(instance.front, header) for _ in range(BATCH)]):
                seen[text] = seen.get(text, 0) + 1
        log(f"client: {REQUESTS} requests with the header X-Shop: {header!r} at {instance.name}: {seen}")
    await asyncio.sleep(QUIET_S)
    served = 0
    for _ in range(3):
        for instance in cell.instances:
            served += await cell.submit(instance, new_job(), ms=300) == 200
        await asyncio.sleep(3)
    for instance in cell.instances:
        ready, _ = await cell.call("GET", instance.ready, "/api/readyz")
        log(f"{instance.name}: readiness {ready}, process ended: {instance.process.poll() is not None}")
    log(f"{QUIET_S} s after the last of these requests: {served} of 9 jobs accepted")
    return served > 0


main(HERE, body)
