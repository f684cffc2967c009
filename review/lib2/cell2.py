"""Stand-ins for the platform of a small cell, for the cases 6 to 10.

One process holds the store, the minions and the clients; the instances of the cell are processes of
the deploy file. Everything listens on loopback addresses. Standard library only.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote_to_bytes, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target/release/primrosebay")
ANSWER_S = 0.004  # an answer of the store takes 4 ms
APPEND_S = 0.002  # `appendMs`
APPEND_BYTES_S = 20e6  # `partitionMbS`
READ_BYTES_S = 80e6  # `readMbS`
HEARTBEAT_S = 1.5  # `heartbeatMs`
HOLD_MAX_MS = 10_000
STOP_S = 0.2  # within `stopMs`
CHECKPOINT_S = 2  # `checkpointIntervalS`

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250,
    "maxSkewMs": 5000, "strictRevoke": True, "revokeMs": 5000, "evacuateMs": 5000, "recoverS": 12,
    "holdMaxMs": HOLD_MAX_MS, "stopMs": 400, "gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "farX": 2, "checkpointIntervalS": 2,
    "restoreMs": 600, "fencingRequired": True, "leaseMs": 3000,
}


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Returns free ports of the loopback interface, below those that outgoing connections take."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_message(reader):
    """Reads an HTTP message; returns the first line, the headers and the body, or None at the end."""
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
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def response(status, body=b""):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\nContent-Type: application/json\r\n\r\n"
    return head.encode() + body


SILENT = object()  # the answer is never sent
RESET = object()  # the connection is reset without an answer


async def serve(handler, port=0):
    """Serves HTTP on a loopback port. `handler(method, path, headers, body)` returns a status and a
    body, or SILENT or RESET. Returns the server and its port."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, path, _ = message[0].split(" ", 2)
                answer = await handler(method, path, message[1], message[2])
                if answer is SILENT:
                    await asyncio.sleep(3600)
                if answer is RESET:
                    writer.transport.abort()
                    return
                writer.write(response(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 22)
    return server, server.sockets[0].getsockname()[1]


class Topic:
    def __init__(self):
        self.records = []  # raw records, from `first` on
        self.first = 0
        self.newest = {}  # key -> (offset, value)
        self.producers = {}  # producer -> [epoch, next sequence, answers of the last five]
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, record):
        size = record[0]
        key, value = record[1 : 1 + size], record[1 + size :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store. Each instance has a port of its own, so that the store can treat them
    differently: `modes[name]` is a function of (kind, topic, body) that returns None for normal
    service, or one of "silent", "reset", "busy", "lost" (done and not answered)."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.modes = {}
        self.queue = {}
        self.on_append = []  # functions of (instance, topic, records)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record, as the operator and the minions do."""
        data = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        t = self.topic(topic)
        t.add(bytes([len(key)]) + key.encode() + data)
        t.wake()

    def forget(self, topic):
        """Forgets the history of a topic: the records go, the newest of each key stays."""
        t = self.topic(topic)
        t.first, t.records = t.end, []

    async def start(self, name):
        async def handler(method, path, headers, body):
            return await self.handle(name, method, path, body)

        _, port = await serve(handler)
        return port

    async def handle(self, name, method, path, body):
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        kind = url.path.rsplit("/", 1)[-1]
        mode = self.modes.get(name)
        mode = mode(kind, query.get("topic"), body) if mode else None
        if mode == "silent":
            return SILENT
        if mode == "reset":
            return RESET
        if mode == "busy":
            await asyncio.sleep(ANSWER_S)
            return 503, b"{}"
        answer = await self.serve(kind, query, url.query, body, name)
        return RESET if mode == "lost" else answer

    async def serve(self, kind, query, raw_query, body, name):
        topic = self.topic(query.get("topic", ""))
        if kind == "log-append":
            lock = self.queue.setdefault(query["topic"], asyncio.Lock())
            async with lock:
                await asyncio.sleep(APPEND_S + len(body) / APPEND_BYTES_S)
                answer = self.append(topic, query, body, name)
            await asyncio.sleep(ANSWER_S)
            return answer
        if kind == "log-read":
            return await self.read(topic, query)
        if kind == "log-newest":
            return await self.read_newest(topic, raw_query)
        return 404, b"{}"

    def append(self, topic, query, body, name):
        records = []
        while body:
            (size,) = struct.unpack(">I", body[:4])
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        if any(len(r) > 262144 for r in records):
            return 413, b"{}"
        producer = query.get("producer")
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            state = topic.producers.get(producer)
            if state and epoch < state[0]:
                return 409, {"reason": "fenced"}
            if state is None or epoch > state[0]:
                state = topic.producers[producer] = [epoch, sequence, {}]
            if sequence in state[2]:
                return state[2][sequence]
            if sequence != state[1]:
                return 409, {"reason": "seq", "sequence": state[1]}
        offset = topic.end
        for r in records:
            topic.add(r)
        answer = (200, {"offset": offset, "end": topic.end})
        if producer is not None:
            state[1] = sequence + 1
            state[2][sequence] = answer
            state[2].pop(sequence - 5, None)
        if records:
            topic.wake()
            for f in self.on_append:
                f(name, query["topic"], records)
        return answer

    async def read(self, topic, query):
        start = int(query["from"])
        due = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if start < topic.first:
                await asyncio.sleep(ANSWER_S)
                return 410, {"first": topic.first}
            left = due - time.monotonic()
            if topic.end > start or left <= 0:
                break
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        out = struct.pack(">QQ", topic.end, topic.first)
        limit = int(query.get("maxKb", 1024)) << 10
        for r in topic.records[start - topic.first :]:
            if len(out) + len(r) + 4 > limit:
                break
            out += struct.pack(">I", len(r)) + r
        await asyncio.sleep(ANSWER_S + len(out) / READ_BYTES_S)
        return 200, out

    async def read_newest(self, topic, raw_query):
        await asyncio.sleep(ANSWER_S)
        after = None
        for part in raw_query.split("&"):
            if part.startswith("dependsOn="):
                after = unquote_to_bytes(part[len("dependsOn=") :])
        keys = sorted(k for k in topic.newest if after is None or k > after)
        items = [
            {"key": k.decode("latin-1"), "value": base64.b64encode(topic.newest[k][1]).decode(), "offset": topic.newest[k][0]}
            for k in keys[:500]
        ]
        return 200, {"items": items, "hasMore": len(keys) > 500, "end": topic.end}


class Minion:
    """A minion. The `spec` of a job is JSON with `ms`, the time that each task works, and `spread`, up
    to which a task works longer."""

    def __init__(self, cell, name, cpu=8000, mem=16000, service="work", zone="z-a", checkpoint=0):
        self.cell, self.name, self.service, self.zone = cell, name, service, zone
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": 0}
        self.checkpoint = checkpoint  # length of a checkpoint's text; 0 for tasks without checkpoints
        self.begin = None
        self.port = 0
        self.listed = None  # port of a proxy before the minion, if there is one
        self.mode = None  # function of (path, body) like the modes of the store
        self.server = None
        self.beating = True
        self.alive = False

    async def start(self):
        # The first life began before the case; a later one begins now.
        self.begin = time.monotonic() - (random.uniform(100, 5000) if self.begin is None else 0)
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.until = 0
        self.running = {}  # (task, run) -> [begin, work ms, checkpoint, asyncio handle]
        self.stopping = set()
        self.highest = {}  # task -> highest run that was stopped or has ended
        self.ended = []
        self.count = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.alive = True
        self.server, self.port = await serve(self.handle, self.port)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.expire())]
        if self.checkpoint:
            self.tasks.append(asyncio.create_task(self.save()))

    def crash(self):
        """Ends the minion's life. What runs there is lost, and nothing of it is reported."""
        self.cell.log(f"{self.name}: crashes, running {list(self.running)}")
        self.alive = False
        for task in self.tasks:
            task.cancel()
        for (task, run), entry in self.running.items():
            entry[3].cancel()
            self.cell.ends.append((self.cell.log.now(), self.name, task, run, "crash"))
        self.running = {}
        self.server.close()

    def clock(self):
        return int((time.monotonic() - self.begin) * 1000)

    async def beat(self):
        while True:
            if self.beating:
                self.sequence += 1
                self.cell.store.put("keyed.servers", self.name, {
                    "service": self.service, "address": f"127.0.0.1:{self.listed or self.port}", "zone": self.zone,
                    "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                    "capacity": self.capacity, "labels": ["a", "r1"], "clockMs": self.clock(),
                    "sequence": self.sequence, "born": self.born,
                })
            await asyncio.sleep(HEARTBEAT_S)

    async def save(self):
        """Saves a new checkpoint of each task after each `checkpointIntervalS` of work."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for entry in self.running.values():
                number = int((now - entry[0]) / CHECKPOINT_S)
                if number > 0:
                    entry[2] = f"{number:0{self.checkpoint}x}"

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock() > self.until:
                for key in list(self.running):
                    self.end(key, "lapsed")

    def end(self, key, how):
        entry = self.running.pop(key, None)
        if entry is None:
            return
        entry[3].cancel()
        self.stopping.discard(key)
        task, run = key
        self.count += 1
        self.ended.append([self.count, task, run, how, entry[2]])
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.cell.log(f"{self.name}: run ended {task} run {run} {how}")
        self.cell.ends.append((self.cell.log.now(), self.name, task, run, how))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, headers, body):
        if not self.alive:
            return RESET
        mode = self.mode(path, body) if self.mode else None
        if mode == "silent":
            return SILENT
        if mode == "reset":
            return RESET
        if path == "/healthz":
            return 200, b""
        if headers.get("expect-instance", self.name) != self.name:
            return 421, b"{}"
        answer = await self.call(path, json.loads(body))
        return RESET if mode == "lost" else answer

    async def call(self, path, call):
        fence = call.get("fencingToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "born": self.born, "reason": "fence"}
        self.fence = fence
        until = call.get("untilMs")
        now = self.clock()
        if path == "/api/hold":
            if until is not None:
                self.until = max(self.until, min(until, now + HOLD_MAX_MS))
            self.ended = [e for e in self.ended if e[0] > call.get("acked", 0)]
            if not self.ended and call.get("waitMs"):
                try:
                    await asyncio.wait_for(self.changed.wait(), call["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            running = [[t, r, entry[2], 100, 0] for (t, r), entry in self.running.items()]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]}
        key = (call["task"], call["run"])
        if path == "/api/run-start":
            if now > until:
                return self.refuse("late")
            self.until = max(self.until, min(until, now + HOLD_MAX_MS))
            if key in self.running:
                return 200, {"clockMs": now, "born": self.born}
            if call["run"] <= self.highest.get(call["task"], 0):
                return self.refuse("old")
            spec = json.loads(call["spec"])
            work = (spec.get("ms", 500) + random.random() * spec.get("spread", 0)) / 1000
            handle = asyncio.get_running_loop().call_later(work, self.end, key, "done")
            self.running[key] = [time.monotonic(), work, "", handle]
            self.cell.log(f"{self.name}: run started {key[0]} run {key[1]} token {fence}")
            self.cell.starts.append((self.cell.log.now(), self.name, key[0], key[1]))
            return 200, {"clockMs": now, "born": self.born}
        if path == "/api/run-stop":
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            if key in self.running and key not in self.stopping:
                self.stopping.add(key)
                asyncio.get_running_loop().call_later(STOP_S, self.end, key, "stopped")
            return 200, {"clockMs": now, "born": self.born}
        return 400, b"{}"

    def refuse(self, reason):
        return 409, {"clockMs": self.clock(), "born": self.born, "reason": reason}


class Proxy:
    """A proxy before a minion. It holds the requests for which `hold(path, body)` returns a number of
    seconds, and passes them on after that time, to whatever listens there then."""

    def __init__(self, cell, minion):
        self.cell, self.minion, self.hold = cell, minion, lambda path, body: 0

    async def start(self):
        _, self.minion.listed = await serve(self.handle)

    async def handle(self, method, path, headers, body):
        seconds = self.hold(path, body)
        if seconds:
            self.cell.log(f"proxy of {self.minion.name}: holds {path} {body.decode()} for {seconds} s")
            await asyncio.sleep(seconds)
        names = ("expect-instance", "content-type")
        head = "".join(f"{n}: {headers[n]}\r\n" for n in names if n in headers)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.minion.port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: minion\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            message = await read_message(reader)
            writer.close()
        except OSError:
            message = None
        if seconds:
            self.cell.log(f"proxy of {self.minion.name}: passed it on, answer {message and message[0]}")
        return (int(message[0].split()[1]), message[2]) if message else RESET


class Instance:
    def __init__(self, cell, name, zone):
        self.cell, self.name, self.zone = cell, name, zone
        self.process = None

    async def prepare(self):
        self.store_port = await self.cell.store.start(self.name)
        self.front, self.ready, self.control, self.internal = free_ports(4)
        self.path = os.path.join(self.cell.folder, f"{self.name}.json")
        settings = {
            "node": self.name, "role": "member", "machineClass": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": self.zone, "region": "r", "zones": {self.zone: "r"},
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}", "control": f"127.0.0.1:{self.control}"},
            "internalPorts": [self.internal, self.internal], "seeds": [], "bootstrap": True, "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500, "contracts": [],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS, "orders": "request", "advice": None,
            "platform": {"address": f"127.0.0.1:{self.store_port}", "form": "log", "writesPerS": 600, "readsPerS": 2000,
                         "parts": 32, "appendMs": 2.0, "partitionMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144,
                         "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000},
            "cloud": {"address": "127.0.0.1:1", "ratePerS": 60.0, "duties": [], "dutiesPerS": 60.0},
        }
        with open(self.path, "w", encoding="utf-8") as f:
            json.dump(settings, f)

    def start(self):
        out = open(os.path.join(self.cell.folder, f"{self.name}.log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "PRIMROSEBAY_BOOT": self.path}
        self.process = subprocess.Popen([BINARY, "member"], cwd=ROOT, env=env, stdout=out, stderr=out)
        self.cell.log(f"{self.name}: process started")

    def signal(self, number):
        self.cell.log(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def lines(self):
        with open(os.path.join(self.cell.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as f:
            return f.read()


class Cell:
    """A cell of instances, minions and the store."""

    def __init__(self, folder, instances=3, minions=4, **minion):
        self.log = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="primrosebay-review-")
        self.store = Store(self.log)
        self.starts, self.ends = [], []
        self.instances = [Instance(self, f"edge-{i + 1}", f"z-{'abc'[i % 3]}") for i in range(instances)]
        self.minions = [Minion(self, f"i-{i + 1:010x}", **minion) for i in range(minions)]
        self.version = 0

    def configure(self, routes=("work",), keys=("key-1",), max_cpu=0, priorities=None):
        """Writes a configuration as the operator: a route for each name, one tenant with this limit."""
        priorities = priorities or {}
        self.version += 3
        config = {
            "version": self.version,
            "routes": [{"name": f"r-{r}", "host": "cell.example", "pathPrefix": f"/{r}/", "kind": "non_idempotent",
                        "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": priorities.get(r, 1), "service": "work",
                        "maxAttempts": 3, "stretch": 2.0, "public": False} for r in routes],
            "services": [{"name": "work", "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": False,
                          "rejectsOverload": False, "spare": False}],
            "limits": {"maxBodyBytes": 262144},
            "tenants": [{"name": "tenant-1", "apiKeys": list(keys), "priority": 1, "weight": 100,
                         "maxCount": {"cpu": max_cpu, "memMb": 0, "gpu": 0}}],
        }
        self.store.put("keyed.op", "config", config)
        self.log(f"operator: configuration {self.version} acknowledged, routes {list(routes)}, keys {list(keys)}")

    async def start(self):
        self.configure()
        for m in self.minions:
            await m.start()
        for i in self.instances:
            await i.prepare()
        for i in self.instances:
            i.start()
        await self.until(lambda: self.leader() is not None, 15)
        for i in self.instances:
            await self.until_ready(i)

    async def until(self, condition, seconds):
        due = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > due:
                raise TimeoutError("the cell did not get there in time")
            await asyncio.sleep(0.02)

    async def until_ready(self, instance, seconds=15):
        due = time.monotonic() + seconds
        while (await self.call("GET", instance.ready, "/api/readyz", timeout=1))[0] != 200:
            if time.monotonic() > due:
                raise TimeoutError(f"{instance.name} is not ready")
            await asyncio.sleep(0.05)

    def leader(self):
        """Returns the instance whose claim is the newest record of the cell's topic, by its name."""
        found = self.store.topic("keyed.cell").newest.get(b"leader")
        if found is None:
            return None
        return next((i for i in self.instances if i.name.encode() in found[1]), None)

    async def call(self, method, port, path, body=None, key="key-1", timeout=3.0, deadline=3000):
        """Makes a call as a client. Returns the status and the body; status 0 without an answer."""
        body = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        head = (f"{method} {path} HTTP/1.1\r\nHost: cell.example\r\nCredential: {key}\r\nDeadline-Ms: {deadline}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n")

        async def exchange():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(head.encode() + body)
                await writer.drain()
                return await read_message(reader)
            finally:
                writer.close()

        try:
            message = await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError):
            return 0, b""
        if message is None:
            return 0, b""
        return int(message[0].split()[1]), message[2]

    async def submit(self, instance, job, route="work", ms=500, spread=0, count=1, key="key-1", spec=None, **step):
        """Submits a job of one step, or of the steps in `spec`."""
        steps = spec or [{"count": count, "cpu": 100, "memMb": 10, "estimateMs": ms, **step}]
        body = {"spec": json.dumps({"ms": ms, "spread": spread}), "steps": steps}
        status, _ = await self.call("POST", instance.front, f"/{route}/{job}", body, key)
        self.log(f"client: POST {job} on {route} at {instance.name}: {status}")
        return status

    async def ask(self, method, instance, job, route="work", key="key-1"):
        status, body = await self.call(method, instance.front, f"/{route}/{job}", key=key)
        self.log(f"client: {method} {job} at {instance.name}: {status} {body.decode(errors='replace')}")
        return status, body

    def close(self):
        for i in self.instances:
            if i.process and i.process.poll() is None:
                i.process.send_signal(signal.SIGCONT)
                i.process.kill()
                i.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_job():
    return f"{random.getrandbits(64):016x}"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, body, **cell_options):
    """Runs a case: `body(cell)` returns whether the rule held. Exits with 0, 1, or 2 if it could not run."""

    async def run():
        cell = Cell(folder, **cell_options)
        async def play():
            await cell.start()
            cell.log("the cell is ready")
            return await body(cell)

        try:
            return await asyncio.wait_for(play(), 110)
        finally:
            cell.close()

    def stop(*_):
        raise SystemExit(2)

    # Whoever ends the case ends the processes that it started, too.
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    if not os.path.exists(BINARY):
        print("target/release/primrosebay is missing")
        raise SystemExit(2)
    try:
        held = asyncio.run(run())
    except Exception as e:  # the case could not run
        print(f"could not run: {type(e).__name__}: {e}")
        raise SystemExit(2)
    print("the rule held" if held else "the rule was broken")
    raise SystemExit(0 if held else 1)
