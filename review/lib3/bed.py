"""Stand-ins for the platform of primrosebay, for the cases of review/11 to review/15.

The store, the minions and the clients run in this process. Members are started as processes of their
own, with the command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
COMMAND = [os.path.join(ROOT, "target/release/primrosebay"), "member"]

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
HOLD_MAX_MS = 10_000
HEARTBEAT_MS = 1_500
STOP_MS = 400

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


class Record:
    """The file record.txt: one line for each thing sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()

    def note(self, text, **fields):
        parts = " ".join(f"{k}={v}" for k, v in fields.items())
        line = f"{time.monotonic() - self.started:8.3f} {text} {parts}".rstrip()
        self.file.write(line + "\n")
        self.file.flush()


# --- HTTP -----------------------------------------------------------------------------------------

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           413: "Payload Too Large", 421: "Misdirected Request", 503: "Service Unavailable"}


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def read_message(reader):
    """Returns the first line, the headers and the body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


class HttpServer:
    """Serves `handler`, which returns a status and a body, or None to close without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22, backlog=1024)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    writer.transport.abort()
                    return
                status, data = answer
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                head = (f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                        f"content-length: {len(data)}\r\ncontent-type: application/json\r\n\r\n")
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Closes the listener and resets all connections, as a process does that is killed."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, headers=None, body=None, timeout=5.0):
    """Makes one request on a connection of its own. Returns status and body; status None if there
    was no answer."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            data = b"" if body is None else body
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(data)}"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, b""
            return int(message[0].split(" ")[1]), message[2]
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None, b""
    finally:
        if writer:
            writer.transport.abort()


# --- Store ----------------------------------------------------------------------------------------


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch = None
        self.sequence = None
        self.recent = {}
        self.changed = asyncio.Event()

    def put(self, key, value):
        if value:
            self.newest[key] = len(self.records)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.server = HttpServer(self.handle)
        # Topics whose partition answers 503; "*" for all.
        self.down = set()
        # Returns what happens to an append: None, or ("late", seconds).
        self.disrupt = lambda topic, keys: None
        self.append_s = 0.004
        # Time that each answer takes, in seconds, beyond that of an append.
        self.slow_s = 0.0
        self.rejected = {}

    async def start(self):
        await self.server.start()

    def is_down(self, topic):
        return "*" in self.down or topic in self.down

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Appends a record of the operator or of a minion."""
        found = self.topic(topic)
        found.put(key.encode(), b"" if value is None else json.dumps(value).encode())
        found.wake()

    async def handle(self, request):
        name = request.query.get("topic", "")
        if self.is_down(name):
            return 503, {}
        if request.path == "/api/log-append":
            return await self.append(name, request)
        if request.path == "/api/log-read":
            return await self.read(name, request)
        if request.path == "/api/log-newest":
            return await self.read_newest(name, request)
        return 404, {}

    @staticmethod
    def split(body):
        records, rest = [], body
        while rest:
            size = int.from_bytes(rest[:4], "big")
            records.append(rest[4:4 + size])
            rest = rest[4 + size:]
        return records

    async def append(self, name, request):
        records = self.split(request.body)
        longest = max((len(r) for r in records), default=0)
        if longest > RECORD_BYTES or sum(len(r) for r in records) > CALL_BYTES:
            keys = [r[1:1 + r[0]].decode() for r in records if len(r) > RECORD_BYTES]
            self.rejected[name] = self.rejected.get(name, 0) + 1
            self.record.note("store refuses an append, a record is too long", topic=name,
                             bytes=longest, keys=",".join(keys), status=413)
            return 413, {}
        pairs = [(r[1:1 + r[0]], r[1 + r[0]:]) for r in records]
        effect = self.disrupt(name, [k.decode() for k, _ in pairs])
        if effect:
            delay = effect[1]
            self.record.note("store loses the answer to an append, which takes effect later",
                             topic=name, keys=",".join(k.decode() for k, _ in pairs), after_s=delay)
            asyncio.get_running_loop().call_later(delay, self.apply, name, request, pairs)
            await asyncio.sleep(30)
            return None
        await asyncio.sleep(self.append_s + self.slow_s)
        return self.apply(name, request, pairs)

    def apply(self, name, request, pairs):
        topic = self.topic(name)
        if "epoch" in request.query:
            epoch, sequence = int(request.query["epoch"]), int(request.query["sequence"])
            if topic.epoch is not None and epoch < topic.epoch:
                return 409, {"reason": "fenced"}
            if epoch == topic.epoch:
                if sequence in topic.recent:
                    return topic.recent[sequence]
                if sequence != topic.sequence + 1:
                    return 409, {"reason": "seq", "sequence": topic.sequence + 1}
            else:
                topic.recent = {}
            topic.epoch, topic.sequence = epoch, sequence
        first = len(topic.records)
        for key, value in pairs:
            topic.put(key, value)
        topic.wake()
        answer = (200, {"offset": first, "end": len(topic.records)})
        if "epoch" in request.query:
            topic.recent[topic.sequence] = answer
            topic.recent.pop(topic.sequence - 5, None)
        return answer

    async def read(self, name, request):
        start = int(request.query["from"])
        most = int(request.query.get("maxKb", 1024)) << 10
        until = time.monotonic() + int(request.query.get("waitMs", 0)) / 1000
        while True:
            topic = self.topic(name)
            left = until - time.monotonic()
            if len(topic.records) > start or left <= 0:
                break
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except TimeoutError:
                pass
            if self.is_down(name):
                return 503, {}
        await asyncio.sleep(0.002 + self.slow_s)
        body = bytearray(len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big"))
        for key, value in topic.records[start:]:
            if len(body) >= most:
                break
            body += (1 + len(key) + len(value)).to_bytes(4, "big") + bytes([len(key)]) + key + value
        return 200, bytes(body)

    async def read_newest(self, name, request):
        await asyncio.sleep(0.004 + self.slow_s)
        if name not in self.topics:
            return 404, {}
        topic = self.topic(name)
        after = unquote(request.query.get("dependsOn", "")).encode()
        keys = sorted(k for k in topic.newest if k > after)
        items, size = [], 0
        for key in keys:
            if len(items) == 500 or size > 1_000_000:
                break
            offset = topic.newest[key]
            value = topic.records[offset][1]
            size += len(key) + len(value)
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(),
                          "offset": offset})
        return 200, {"items": items, "hasMore": len(items) < len(keys), "end": len(topic.records)}


# --- Minions --------------------------------------------------------------------------------------


class Run:
    def __init__(self, number, spec, ends_at, job):
        self.number = number
        self.spec = spec
        self.ends_at = ends_at
        self.job = job
        self.saved = ""
        self.saved_at = time.monotonic()
        self.stopping_at = None
        self.started = time.monotonic()


class Minion:
    """One minion. `specs` maps the text of a job to what its tasks need and how long they take."""

    def __init__(self, bed, name, zone, capacity, labels, checkpoint_length=16):
        self.bed = bed
        self.name = name
        self.zone = zone
        self.capacity = capacity
        self.labels = labels
        self.checkpoint_length = checkpoint_length
        self.address = None
        self.server = None
        self.task = None
        self.sequence = 0

    async def start(self, registers_after=0.0):
        self.born = max(int(time.time() * 1000), getattr(self, "born", 0) + 1)
        self.zero = time.monotonic()
        self.token = 0
        self.lease = 0
        self.running = {}
        self.ended = []
        self.number = 0
        self.closed = {}
        self.event = asyncio.Event()
        self.server = HttpServer(self.handle)
        if self.address:
            host, port = self.address.rsplit(":", 1)
            await self.server.start(host, int(port))
        else:
            await self.server.start()
            self.address = self.server.address
        self.task = asyncio.create_task(self.live(registers_after))
        self.bed.record.note("minion up", minion=self.name, born=self.born,
                             cpu=self.capacity["cpu"], labels=",".join(self.labels))

    def crash(self):
        """Ends the process of the minion; all that runs there is lost."""
        self.bed.record.note("minion crashes", minion=self.name, running=len(self.running))
        for task, run in self.running.items():
            self.bed.on_end(self, task, run, "crashed")
        self.task.cancel()
        self.server.stop()
        self.running = {}

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def used(self):
        return sum(self.bed.specs[r.spec]["cpu"] for r in self.running.values())

    async def live(self, registers_after):
        await asyncio.sleep(registers_after)
        beat = time.monotonic()
        while True:
            now = time.monotonic()
            if now >= beat and not self.bed.store.is_down("keyed.servers"):
                self.sequence += 1
                self.bed.store.put("keyed.servers", self.name, {
                    "service": self.bed.service, "address": self.address, "zone": self.zone,
                    "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                    "sequence": self.sequence, "capacity": self.capacity, "labels": self.labels,
                    "born": self.born})
                beat = now + HEARTBEAT_MS / 1000
            self.step()
            # Many runs are looked at less often, which costs less processor time.
            await asyncio.sleep(0.01 if len(self.running) < 100 else 0.05)

    def step(self):
        """Ends what is done, stopped or without a lease."""
        now, clock = time.monotonic(), self.clock()
        for task, run in list(self.running.items()):
            if clock > self.lease:
                self.end(task, "lapsed")
            elif run.stopping_at is not None and now >= run.stopping_at:
                run.saved = self.checkpoint(run)
                self.end(task, "stopped")
            elif run.stopping_at is None and now >= run.ends_at:
                self.end(task, self.bed.specs[run.spec].get("how", "done"))
            elif self.bed.specs[run.spec].get("saves") and now >= run.saved_at + 0.5:
                run.saved, run.saved_at = self.checkpoint(run), now

    def checkpoint(self, run):
        if not self.bed.specs[run.spec].get("saves"):
            return ""
        return f"{random.getrandbits(4 * self.checkpoint_length):0{self.checkpoint_length}x}"

    def end(self, task, how):
        run = self.running.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run.number)
        self.number += 1
        self.ended.append([self.number, task, run.number, how, run.saved])
        self.event.set()
        self.event = asyncio.Event()
        self.bed.on_end(self, task, run, how)

    def extend(self, until):
        if until is not None:
            self.lease = max(self.lease, min(until, self.clock() + HOLD_MAX_MS))

    async def handle(self, request):
        if request.path == "/healthz":
            return 200, {}
        if request.headers.get("expect-instance") != self.name:
            return 421, {}
        born = self.born
        body = request.json()
        if body.get("fencingToken", 0) < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = max(self.token, body.get("fencingToken", 0))
        if request.path == "/api/run-start":
            return self.on_start(body)
        if request.path == "/api/run-stop":
            return self.on_stop(body)
        if request.path != "/api/hold":
            return 404, {}
        self.extend(body.get("untilMs"))
        self.ended = [e for e in self.ended if e[0] > body.get("acked", 0)]
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ended and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.event.wait(), left)
            except TimeoutError:
                pass
        if self.born != born:
            return None
        running = [[t, r.number, r.saved, 100, self.bed.specs[r.spec]["cpu"]]
                   for t, r in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}

    def on_start(self, body):
        task, number, spec = body["task"], body["run"], body["spec"]
        clock = {"clockMs": self.clock()}
        known = self.running.get(task)
        if known and known.number == number:
            return 200, clock
        if body["untilMs"] < self.clock():
            return 409, clock | {"reason": "late"}
        self.extend(body["untilMs"])
        if number <= self.closed.get(task, 0) or known:
            return 409, clock | {"reason": "old"}
        if spec not in self.bed.specs:
            self.bed.record.note("minion is told to start an unknown text", task=task, spec=spec)
            return 400, clock
        known_spec = self.bed.specs[spec]
        least_ms = known_spec.get("least_ms", known_spec["ms"])
        ends_at = time.monotonic() + random.uniform(least_ms, known_spec["ms"]) / 1000
        run = Run(number, spec, ends_at, task.split(".")[0])
        run.saved = body.get("lastCheckpoint", "")
        self.running[task] = run
        self.bed.on_start(self, task, run)
        return 200, clock

    def on_stop(self, body):
        task, number = body["task"], body["run"]
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number and run.stopping_at is None:
            run.stopping_at = time.monotonic() + STOP_MS / 2000
        return 200, {"clockMs": self.clock()}


# --- Members --------------------------------------------------------------------------------------


class Member:
    def __init__(self, bed, index):
        self.bed = bed
        self.name = f"edge-{index}"
        self.ip = f"127.{bed.net}.0.{10 + index}"
        self.front = f"{self.ip}:{bed.port}"
        self.zone = bed.zones[index % len(bed.zones)]
        self.process = None

    def settings(self):
        port = self.bed.port
        return {
            "node": self.name, "role": "member", "machineClass": "edge", "serves": ["edge"],
            "ip": self.ip, "zone": self.zone, "region": "region",
            "zones": {z: "region" for z in self.bed.zones},
            "listen": {"front": self.front, "ready": f"{self.ip}:{port + 1}"},
            "internalPorts": [port + 2, port + 17], "seeds": [], "bootstrap": True,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": HEARTBEAT_MS,
            "bounds": {"contactMs": 3000, "ackMs": 4000, "graceS": 6, "configMs": 2000,
                       "revokeMs": 5000, "quotaOverage": 0.1, "evacuateMs": 5000,
                       "holdMaxMs": HOLD_MAX_MS, "stopMs": STOP_MS, "gangMs": 3000,
                       "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
                       "status_s": 120, "leaseMs": 3000},
            "orders": "request",
            "platform": {"address": self.bed.store.server.address, "form": "log",
                         "writesPerS": 600, "readsPerS": 2000, "parts": 32, "appendMs": 2.0,
                         "recordBytes": RECORD_BYTES, "callBytes": CALL_BYTES, "keep_s": 300,
                         "partMb": 200, "ttlMinMs": 1000},
        }

    async def start(self):
        path = os.path.join(self.bed.folder, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.bed.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.bed.folder, "PRIMROSEBAY_BOOT": path})
        self.bed.record.note("member started", member=self.name, pid=self.process.pid)

    async def kill(self):
        self.bed.record.note("member gets SIGKILL", member=self.name)
        self.process.kill()
        await self.process.wait()

    async def is_ready(self):
        address = f"{self.ip}:{self.bed.port + 1}"
        return (await call(address, "GET", "/api/readyz", {"host": address}, timeout=1.0))[0] == 200


class Bed:
    """A small deployment: a store, minions and members."""

    zones = ["zone-a", "zone-b", "zone-c"]
    service = "orders"
    host = "jobs.example"

    def __init__(self, folder):
        self.case = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="primrosebay-review-")
        self.store = Store(self.record)
        self.specs = {}
        self.minions = []
        self.members = []
        self.runs = []
        self.net = random.randint(20, 220)
        self.port = self.free_port()
        # Called with (minion, task, run) at each start and (minion, task, run, how) at each end.
        self.starts, self.ends = [], []

    def free_port(self):
        for _ in range(50):
            port = random.randint(11_000, 30_000)
            try:
                for offset in range(3):
                    with socket.socket() as probe:
                        probe.bind((f"127.{self.net}.0.10", port + offset))
                return port
            except OSError:
                continue
        raise CouldNotRun("no free port")

    def on_start(self, minion, task, run):
        self.record.note("run starts", task=task, run=run.number, minion=minion.name)
        self.starts.append((time.monotonic(), minion, task, run.number))
        for watch in self.watches:
            watch("start", minion, task, run)

    def on_end(self, minion, task, run, how):
        self.record.note("run ends", task=task, run=run.number, minion=minion.name, how=how)
        self.ends.append((time.monotonic(), minion, task, run.number, how))
        for watch in self.watches:
            watch(how, minion, task, run)

    watches = ()

    def routes(self):
        return [{"name": "orders-queue", "host": self.host, "pathPrefix": "/orders/",
                 "service": self.service, "timeoutMs": 3000, "targetLatencyMs": 1000,
                 "priority": 1, "maxAttempts": 4, "stretch": 2.2, "public": False}]

    def configure(self, version, tenants):
        self.store.put("keyed.op", "config", {
            "version": version, "routes": self.routes(),
            "services": [{"name": self.service, "rejectsOverload": False}],
            "limits": {"maxBodyBytes": 262_144}, "tenants": tenants})

    async def start_members(self, count):
        self.members = [Member(self, i) for i in range(count)]
        for member in self.members:
            await member.start()
        await self.until(self.all_ready, 15, "members are not ready")
        self.record.note("all members are ready")

    async def all_ready(self):
        return all([await m.is_ready() for m in self.members])

    async def until(self, condition, seconds, reason):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(reason)

    def leader(self):
        """Returns the member whose claim the store holds, as far as its name shows there."""
        topic = self.store.topics.get("keyed.cell")
        offset = topic and topic.newest.get(b"leader")
        if offset is None:
            return None
        value = topic.records[offset][1]
        return next((m for m in self.members if m.name.encode() in value), None)

    async def send(self, member, method, job, key, body=None, timeout=3.0, deadline_ms=3000):
        path = f"/orders/{job}"
        headers = {"host": self.host, "credential": key, "deadline-ms": deadline_ms}
        data = None
        if body is not None:
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            headers["content-type"] = "application/json"
        status, answer = await call(member.front, method, path, headers, data, timeout)
        self.record.note(f"client {method}", job=job, at=member.name, status=status,
                         bytes=len(data or b""), answer=answer.decode(errors="replace")[:80])
        return status, answer

    async def submit(self, job, key, body, attempts=5):
        """Hands a job in, and again after no answer or a refusal, at other members. Returns the
        status of the last attempt."""
        status = None
        order = random.sample(self.members, len(self.members))
        for attempt in range(attempts):
            member = order[attempt % len(order)]
            status, _ = await self.send(member, "POST", job, key, body)
            if status is not None and 200 <= status < 300:
                return status
            await asyncio.sleep(0.2)
        return status

    async def state(self, job, key):
        """Returns the state of a job as the first member says that answers; None if none does."""
        for member in random.sample(self.members, len(self.members)):
            status, body = await self.send(member, "GET", job, key)
            if status == 200:
                return json.loads(body)["state"]
            if status == 410:
                return "unknown"
        return None

    async def close(self):
        for member in self.members:
            if member.process and member.process.returncode is None:
                try:
                    member.process.send_signal(signal.SIGCONT)
                    member.process.kill()
                except ProcessLookupError:
                    pass
                await member.process.wait()
        for minion in self.minions:
            if minion.task:
                minion.task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case):
    """Runs `case(bed)`, which returns the reason why a rule is broken, or None. Exits with 1 for a
    broken rule, 0 if it held and 2 if the case could not run."""

    async def main():
        bed = Bed(folder)
        bed.record.note("case begins", trouble=TROUBLE)
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        try:
            async with asyncio.timeout(115):
                broken = await case(bed)
        except (Exception, asyncio.CancelledError) as error:  # The exit code 1 is for a broken rule.
            bed.record.note("case could not run", reason=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            await bed.close()
        bed.record.note("rule broken" if broken else "rule held", reason=broken or "")
        print(f"rule broken: {broken}" if broken else "rule held")
        return 1 if broken else 0

    async def run():
        code = await main()
        sys.stdout.flush()
        # Handlers that still wait would only report that they were cancelled.
        os._exit(code)

    asyncio.run(run())
