"""Stand-ins for the platform of primrosebay, and a cell of real member processes.

The store, the minions and the load balancer's clients follow PROTOCOL.md and DEPLOY.md. All
addresses are on the loopback interface. Only the Python standard library is used.
"""

import base64
import bisect
import http.client
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "primrosebay")
HOST = "jobs.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Figures of the site files and of the example of the settings.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
STORE_BYTES = 400_000_000
MEMORY_MB = 260
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250,
    "maxSkewMs": 5000, "strictRevoke": True, "revokeMs": 5000, "quotaWindowS": 5,
    "quotaOverage": 0.1, "quotaSlack": 20, "coldOverage": 1.5, "coldSlack": 5,
    "evacuateMs": 5000, "recoverS": 12, "holdMaxMs": 10000, "stopMs": 400, "gangMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "farX": 2, "checkpointIntervalS": 0.5, "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5,
    "upkeepS": 2, "fencingRequired": True, "leaseMs": 3000, "thawMs": 300, "paceMs": 100,
    "harmMs": 4000,
}


PROCESSES = []  # all processes that this script has started


def abandon(*reason):
    """Ends all processes and exits with 2: the case could not run."""
    if len(reason) == 3:
        traceback.print_exception(*reason)
    for process in PROCESSES:
        if process.poll() is None:
            process.kill()
    os._exit(2)


sys.excepthook = abandon
for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
    signal.signal(number, abandon)


class Record:
    """Writes what was sent, answered and run to a file, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.begin = time.monotonic()

    def __call__(self, what, **fields):
        with self.lock:
            at = round(time.monotonic() - self.begin, 3)
            self.file.write(json.dumps({"at": at, "what": what, **fields}) + "\n")
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    """Passes each request to `self.server.app` as method, path, query, headers and body."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 1 << 16

    def handle_any(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        if len(body) < length:
            self.close_connection = True
            return
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        answer = self.server.app(self.command, url.path, query, self.headers, body)
        if answer is None:
            self.close_connection = True
            return
        status, content = answer
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)
            self.wfile.flush()
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = handle_any

    def log_message(self, *args):
        pass


class HttpServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, address, app):
        super().__init__(address, Handler)
        self.app = app
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def handle_error(self, request, client_address):
        pass

    @property
    def address(self):
        return "%s:%d" % self.server_address


class Topic:
    def __init__(self):
        self.records = []  # (key, value)
        self.newest = {}  # key -> offset, of keys that have a value
        self.keys = []  # sorted keys of `newest`
        self.producer = None  # epoch, {sequence: answer} of the last appends
        self.bytes = 0


class Store:
    """The platform's store, in the form of a log. It keeps all records of a topic."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.total = 0
        self.changed = threading.Condition()
        self.server = HttpServer(("127.0.0.1", 0), self.answer)
        self.address = self.server.address
        self.on_append = None
        self.dropped_keys = 0

    def put(self, topic, key, value):
        """Writes a record of the operator or of a minion."""
        with self.changed:
            self.add(self.topics.setdefault(topic, Topic()), key.encode(), value)
            self.changed.notify_all()

    def add(self, topic, key, value):
        old = topic.newest.pop(key, None)
        if old is not None:
            # The total counts what the store has to keep: the newest record of each key.
            self.total -= len(key) + len(topic.records[old][1])
            if not value:
                del topic.keys[bisect.bisect_left(topic.keys, key)]
        topic.records.append((key, value))
        if value:
            if old is None:
                bisect.insort(topic.keys, key)
            topic.newest[key] = len(topic.records) - 1
            self.total += len(key) + len(value)
        else:
            self.dropped_keys += 1

    def answer(self, method, path, query, headers, body):
        if path == "/api/log-append":
            return self.append(query, body)
        if path == "/api/log-read":
            return self.read(query)
        if path == "/api/log-newest":
            return self.read_newest(query)
        return 404, {}

    def append(self, query, body):
        records, at = [], 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            data = body[at + 4 : at + 4 + length]
            if length > RECORD_BYTES or len(data) < length:
                return 400, {}
            size = data[0]
            records.append((data[1 : 1 + size], data[1 + size :]))
            at += 4 + length
        if len(body) > CALL_BYTES:
            return 400, {}
        with self.changed:
            topic = self.topics.setdefault(query["topic"], Topic())
            end = len(topic.records)
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                known, answers = topic.producer or (-1, {})
                if epoch < known:
                    return 409, {"reason": "fenced"}
                if epoch == known:
                    if sequence in answers:
                        return 200, answers[sequence]
                    if sequence != max(answers) + 1:
                        return 409, {"reason": "seq", "sequence": max(answers) + 1}
            if self.total + len(body) > STORE_BYTES:
                return 507, {}
            for key, value in records:
                self.add(topic, key, value)
            answer = {"offset": end, "end": len(topic.records)}
            if "producer" in query:
                if epoch > known:
                    answers = {}
                answers[sequence] = answer
                topic.producer = (epoch, {s: a for s, a in answers.items() if s > sequence - 5})
            self.changed.notify_all()
        if self.on_append:
            self.on_append(query, records)
        return 200, answer

    def read(self, query):
        limit = int(query.get("maxKb", 1024)) * 1024
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            while True:
                topic = self.topics.get(query["topic"])
                end = len(topic.records) if topic else 0
                left = until - time.monotonic()
                if start < end or left <= 0:
                    break
                self.changed.wait(left)
            out, size = [struct.pack(">QQ", end, 0)], 0
            for key, value in topic.records[start:end] if topic else []:
                if size > limit:
                    break
                out.append(struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value)
                size += len(out[-1])
        return 200, b"".join(out)

    def read_newest(self, query):
        after = query.get("dependsOn", "").encode()
        with self.changed:
            topic = self.topics.get(query["topic"])
            if topic is None:
                return 404, {}
            items, size = [], 0
            first = bisect.bisect_right(topic.keys, after)
            for key in topic.keys[first : first + 501]:
                if len(items) >= 500 or size >= 1_000_000:
                    break
                offset = topic.newest[key]
                value = topic.records[offset][1]
                size += len(key) + len(value)
                items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
            more = len(topic.keys) - first > len(items)
            return 200, {"items": items, "hasMore": more, "end": len(topic.records)}


class Monitor:
    """What runs on all minions, and what has ended `done`."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.RLock()
        self.running = {}  # task -> {(minion, run)}
        self.done = {}  # task -> time at which its end was taken note of
        self.starts = []  # (time, task, run, minion)
        self.broken = []  # descriptions

    def started(self, task, run, minion, late):
        with self.lock:
            runs = self.running.setdefault(task, set())
            runs.add((minion, run))
            self.starts.append((time.monotonic(), task, run, minion))
            self.record("run started", task=task, run=run, minion=minion, late=late)
            if len(runs) > 1:
                self.breaks("TWICE", f"task {task} has several runs at the same time: {sorted(runs)}")
            if task in self.done:
                self.breaks("TWICE", f"task {task} was started on {minion} after its end was taken note of")

    def ended(self, task, run, minion, how):
        with self.lock:
            self.running.get(task, set()).discard((minion, run))
            self.record("run ended", task=task, run=run, minion=minion, how=how)

    def noted(self, task):
        with self.lock:
            self.done.setdefault(task, time.monotonic())

    def breaks(self, rule, text):
        self.broken.append(f"{rule}: {text}")
        self.record("rule broken", rule=rule, text=text)


class Minion:
    """A minion. `spec` of a task is its work in milliseconds, as text.

    A restart begins a new life under the same id and address. `intercept` may take over an order:
    it gets the path, the body and a function that carries the order out, and returns an answer or
    None for none.
    """

    def __init__(self, name, store, monitor, service="service", cpu=4000, mem=100_000, zone="zone-a",
                 labels=("kind", "rack-1"), age_ms=600_000, work=None):
        self.name, self.store, self.monitor = name, store, monitor
        self.service, self.cpu, self.mem, self.zone, self.labels = service, cpu, mem, zone, list(labels)
        self.work = work or (lambda task, run, spec: float(spec.split()[0]))
        self.lock = threading.RLock()
        self.ended_changed = threading.Condition(self.lock)
        self.up, self.intercept, self.sequence, self.born = True, None, 0, 0
        self.begin_life(age_ms)
        self.server = HttpServer(("127.0.0.1", 0), self.answer)
        self.address = self.server.address
        threading.Thread(target=self.keep, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def begin_life(self, age_ms=0):
        now = time.time() * 1000 - age_ms
        self.born = max(int(now), self.born + 1)
        self.zero = time.monotonic() - age_ms / 1000
        self.fence, self.lease, self.number = 0, 0, 0
        self.running, self.list, self.closed = {}, [], {}

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def beat(self):
        while True:
            if self.up:
                self.announce()
            time.sleep(1.5)

    def announce(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 8,
                 "state": "ready", "coldRemainingMs": 0, "labels": self.labels, "born": self.born,
                 "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0}, "clockMs": self.clock(),
                 "sequence": self.sequence}
        self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def crash(self, down_s):
        """Ends everything at once and begins a new life under the same id after `down_s`."""
        with self.lock:
            if not self.up:
                return
            self.up = False
            for (task, run) in list(self.running):
                self.monitor.ended(task, run, self.name, "lost with the minion")
            self.running = {}
            self.monitor.record("minion crashed", minion=self.name)
            self.ended_changed.notify_all()
        time.sleep(down_s)
        with self.lock:
            self.begin_life()
            self.up = True
            self.monitor.record("minion restarted", minion=self.name, born=self.born)
        self.announce()

    def keep(self):
        while True:
            time.sleep(0.005)
            if self.up:
                with self.lock:
                    self.expire()

    def expire(self):
        now = self.clock()
        for (task, run), r in list(self.running.items()):
            if now >= r["done_at"]:
                self.end(task, run, "done")
            elif now >= max(self.lease, r["until"]):
                self.end(task, run, "lapsed")

    def end(self, task, run, how):
        self.running.pop((task, run))
        self.closed[task] = max(self.closed.get(task, 0), run)
        self.number += 1
        self.list.append([self.number, task, run, how, ""])
        self.monitor.ended(task, run, self.name, how)
        self.ended_changed.notify_all()

    def answer(self, method, path, query, headers, body):
        if not self.up:
            return None
        expected = headers.get("Expect-Instance")
        if expected and expected != self.name:
            return 421, {}
        order = json.loads(body) if body else {}
        carry_out = {"/api/run-start": self.start, "/api/run-stop": self.stop, "/api/hold": self.hold}.get(path)
        if carry_out is None:
            return 404, {}
        if self.intercept:
            taken = self.intercept(path, order, carry_out)
            if taken is not NotImplemented:
                return taken
        return carry_out(order)

    def refusal(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    def is_fenced(self, order):
        token = order.get("fencingToken", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def start(self, order, late=False):
        with self.lock:
            self.expire()
            if self.is_fenced(order):
                return self.refusal("fence")
            task, run, until = order["task"], order["run"], order["untilMs"]
            if until <= self.clock():
                return self.refusal("late")
            until = min(until, self.clock() + BOUNDS["holdMaxMs"])
            self.lease = max(self.lease, until)
            if (task, run) in self.running:
                return 200, {"clockMs": self.clock()}
            if run <= self.closed.get(task, 0):
                return self.refusal("old")
            work = self.work(task, run, order["spec"])
            self.running[(task, run)] = {"done_at": self.clock() + work, "until": until}
            self.monitor.started(task, run, self.name, late)
            return 200, {"clockMs": self.clock()}

    def stop(self, order):
        with self.lock:
            self.expire()
            if self.is_fenced(order):
                return self.refusal("fence")
            task, run = order["task"], order["run"]
            if (task, run) in self.running:
                self.end(task, run, "stopped")
            self.closed[task] = max(self.closed.get(task, 0), run)
            self.monitor.record("run stopped", task=task, run=run, minion=self.name)
            return 200, {"clockMs": self.clock()}

    def hold(self, order):
        with self.lock:
            self.expire()
            if self.is_fenced(order):
                return self.refusal("fence")
            born = self.born
            until = min(order.get("untilMs") or 0, self.clock() + BOUNDS["holdMaxMs"])
            self.lease = max(self.lease, until)
            acked = order.get("acked", 0)
            for number, task, run, how, _ in self.list:
                if number <= acked and how == "done":
                    self.monitor.noted(task)
            self.list = [e for e in self.list if e[0] > acked]
            end = time.monotonic() + order.get("waitMs", 0) / 1000
            while not self.list and time.monotonic() < end and self.up and self.born == born:
                self.ended_changed.wait(min(0.05, max(0.001, end - time.monotonic())))
            if not self.up or self.born != born:
                return None
            running = [[t, n, "", 50, 0] for (t, n) in self.running]
            return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.list[:500]}


def free_ports(ip, count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((ip, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Member:
    """A process of the deploy file's role on its own loopback address."""

    def __init__(self, cell, index, zone="zone-a"):
        self.cell, self.name = cell, f"edge-{zone}-{index + 1}"
        self.ip = f"127.{1 + os.getpid() % 200}.{1 + os.getpid() // 200 % 200}.{10 + index}"
        front, ready, internal = free_ports(self.ip, 3)
        self.front, self.ready = (self.ip, front), (self.ip, ready)
        settings = {
            "node": self.name, "role": "member", "machineClass": "edge", "serves": ["edge"], "ip": self.ip,
            "zone": zone, "region": "region", "zones": {"zone-a": "region"},
            "listen": {"front": f"{self.ip}:{front}", "ready": f"{self.ip}:{ready}"},
            "internalPorts": [internal, internal], "seeds": [], "bootstrap": True, "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": MEMORY_MB, "maxFds": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "places",
                          "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS, "orders": "request",
            "platform": {"address": cell.store.address, "form": "log", "writesPerS": 600, "readsPerS": 2000,
                         "parts": 32, "appendMs": 2.0, "partitionMbS": 20.0, "readMbS": 80.0,
                         "recordBytes": RECORD_BYTES, "callBytes": CALL_BYTES, "keep_s": 300, "partMb": 200,
                         "ttlMinMs": 1000},
        }
        self.settings = os.path.join(cell.folder, self.name + ".json")
        with open(self.settings, "w") as f:
            json.dump(settings, f)
        self.process = None

    def start(self):
        log = open(os.path.join(self.cell.folder, self.name + ".log"), "ab")
        env = {"PATH": os.environ["PATH"], "PRIMROSEBAY_BOOT": self.settings}
        self.process = subprocess.Popen([PROGRAM, "member"], env=env, stdout=log, stderr=log, cwd=ROOT)
        PROCESSES.append(self.process)
        self.cell.record("member started", member=self.name, pid=self.process.pid)

    def signal(self, number):
        self.cell.record("signal", member=self.name, signal=int(number))
        self.process.send_signal(number)

    def is_ready(self):
        status, _ = call(self.ready, "GET", "/api/readyz", timeout=1)
        return status == 200

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as f:
                for line in f:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0


def call(address, method, path, body=None, headers=None, timeout=4):
    """Makes one request on a new connection. Returns status and body, or None and the reason."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        headers = {"Host": HOST, **(headers or {})}
        if body is not None:
            body = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as e:
        return None, repr(e)
    finally:
        connection.close()


def route(name, prefix, **fields):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
            "targetLatencyMs": 250, "priority": 0, "service": "service", "maxAttempts": 3, "stretch": 1.5,
            "public": False, **fields}


class Cell:
    """Store, minions and members; ends all processes on `close`."""

    def __init__(self, folder, members=3):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="primrosebay-review-")
        self.store, self.monitor = Store(self.record), Monitor(self.record)
        self.version, self.minions = 0, {}
        self.members = [Member(self, i) for i in range(members)]

    def configure(self, routes, tenants, services=("service",)):
        self.version += 7
        services = [{"name": s, "rejectsOverload": False} for s in services]
        config = {"version": self.version, "routes": routes, "services": services,
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}, "tenants": tenants}
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record("configuration", version=self.version, tenants=tenants)

    def add_minion(self, name, **fields):
        self.minions[name] = Minion(name, self.store, self.monitor, **fields)
        return self.minions[name]

    def start(self):
        for member in self.members:
            member.start()

    def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while not all(m.is_ready() for m in self.members):
            if time.monotonic() > end:
                self.cannot_run("the members are not ready")
            time.sleep(0.1)

    def request(self, member, method, path, body=None, key="key-a", timeout=4):
        headers = {"Credential": key, "Deadline-Ms": "3000"}
        status, content = call(self.members[member].front, method, path, body, headers, timeout)
        text = content.decode(errors="replace")[:80] if isinstance(content, bytes) else content
        self.record("request", member=self.members[member].name, method=method, path=path, status=status, answer=text)
        return status, content

    def submit(self, path, body, key="key-a", tries=5):
        """Hands a job in as a client does: again, at another node, until it is accepted."""
        for n in range(tries):
            status, _ = self.request(n % len(self.members), "POST", path, body, key)
            if status == 200:
                return True
            time.sleep(0.3)
        return False

    def state(self, path, key="key-a", member=0):
        status, content = self.request(member, "GET", path, key=key)
        return json.loads(content)["state"] if status == 200 else status

    def close(self):
        for member in self.members:
            if member.process and member.process.poll() is None:
                member.process.kill()
                member.process.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def cannot_run(self, reason):
        self.record("cannot run", reason=reason)
        self.close()
        print("cannot run:", reason)
        sys.exit(2)

    def finish(self, expected=None):
        """Ends all processes and exits with 1 if a rule was broken, 0 if not."""
        self.close()
        broken = self.monitor.broken
        for text in broken[:5]:
            print("broken:", text)
        print("result:", "broken" if broken else "held")
        sys.stdout.flush()
        os._exit(1 if broken else 0)
