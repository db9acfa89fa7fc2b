"""Stand-ins of the platform's store, of replicas and of clients, and the start of the router.

They follow the users' pages: the store is linearizable and loses nothing, a replica runs each request once, answers
with its id and signature and stops its work when the connection closes.
"""

import base64
import json
import os
import resource
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/bin/jasminewood-platform"
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes record.txt, one line an event, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def line(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


def receive_until(connection, buffer, mark):
    """Reads until the mark is in the buffer; returns False at the end of the connection."""
    while mark not in buffer:
        data = connection.recv(65536)
        if not data:
            return False
        buffer.extend(data)
    return True


def read_head(connection, buffer):
    """Returns the first line and the fields by lower-case name; None at the end of the connection."""
    if not receive_until(connection, buffer, b"\r\n\r\n"):
        return None
    end = buffer.index(b"\r\n\r\n")
    lines = bytes(buffer[:end]).decode("latin-1").split("\r\n")
    del buffer[:end + 4]
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return lines[0], fields


def read_body(connection, buffer, fields):
    length = int(fields.get("content-length", "0"))
    while len(buffer) < length:
        data = connection.recv(65536)
        if not data:
            return None
        buffer.extend(data)
    body = bytes(buffer[:length])
    del buffer[:length]
    return body


class Server:
    """Accepts connections and serves each one on a thread of its own."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, 0))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        self.address = "%s:%d" % (HOST, self.port)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_quietly, args=(connection,), daemon=True).start()

    def serve_quietly(self, connection):
        try:
            with connection:
                self.serve(connection)
        except (OSError, ValueError, UnicodeError):
            pass  # The connection ended, or what arrived was no sound request.

    def serve(self, connection):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.oldest = 0
        self.leases = {}
        self.last_lease = 1000
        self.changed = threading.Condition()
        self.era = 1
        self.away = False
        super().__init__()
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value):
        """Writes a document as the operator or a replica does. Returns the revision, or None while it is away."""
        with self.changed:
            if self.away:
                return None
            return self.write({key: (json.dumps(value).encode(), 0)}, [])

    def delete(self, key):
        with self.changed:
            self.write({}, [key])

    def write(self, values, removed):
        self.revision += 1
        for key, (value, lease) in values.items():
            before = self.items.get(key)
            self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                               "created": before["created"] if before else self.revision, "lease": lease}
            self.history.append((self.revision, key, self.items[key]))
        for key in removed:
            if self.items.pop(key, None):
                self.history.append((self.revision, key, {"key": key, "revision": self.revision, "removed": True}))
        self.changed.notify_all()
        return self.revision

    def copy(self):
        """Returns a copy from which the store can come back."""
        with self.changed:
            return dict(self.items), self.revision, dict(self.leases)

    def leave(self):
        self.away = True

    def come_back(self, copy):
        """Comes back from a copy: what was written since is gone, leases too; those in the copy run on."""
        with self.changed:
            items, self.revision, leases = copy
            self.items = dict(items)
            self.leases = {lease: (time.monotonic() + ttl / 1000, ttl) for lease, (_, ttl) in leases.items()}
            self.history = []
            self.oldest = self.revision
            self.era += 1
            self.away = False
            self.changed.notify_all()

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                now = time.monotonic()
                for lease in [each for each, (end, _) in self.leases.items() if end <= now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        found = self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.write({}, keys)
        return found is not None

    def serve(self, connection):
        buffer = bytearray()
        while True:
            head = read_head(connection, buffer)
            if head is None:
                return
            body = read_body(connection, buffer, head[1])
            if body is None:
                return
            if self.away:
                return
            method, target, _ = head[0].split(" ", 2)
            era = self.era
            status, answer = self.call(method, target, json.loads(body) if body else {})
            if self.away or era != self.era:
                return
            text = json.dumps(answer).encode()
            connection.sendall(("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
                                "Content-Length: %d\r\n\r\n" % (status, era, len(text))).encode() + text)

    def call(self, method, target, body):
        path, _, query = target.partition("?")
        query = {name: values[0] for name, values in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        name = path.rsplit("/", 1)[-1]
        with self.changed:
            if path.endswith("/kv-key"):
                item = self.items.get(query["key"])
                return (200, dict(item, at=self.revision)) if item else (404, {})
            if path.endswith("/kv-range"):
                after = query.get("after_revision", "")
                keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
                return 200, {"items": [self.items[key] for key in keys[:500]], "has_more": len(keys) > 500,
                             "at": self.revision}
            if path.endswith("/kv-watch"):
                return self.watch(query)
            if path.endswith("/kv-txn"):
                return self.transact(body)
            if path.endswith("/kv-lease"):
                self.last_lease += 1
                ttl = max(1000, body["ttl_ms"])
                self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": self.last_lease, "ttl_ms": ttl}
            if "/kv-keep/" in path:
                if int(name) not in self.leases:
                    return 404, {}
                ttl = self.leases[int(name)][1]
                self.leases[int(name)] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttl_ms": ttl}
            if "/kv-lease-end/" in path:
                return (200, {}) if self.end_lease(int(name)) else (404, {})
        return 404, {}

    def watch(self, query):
        after = int(query["after_revision"])
        if after > self.revision or after < self.oldest:
            return 410, {}
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [event for revision, key, event in self.history
                      if revision > after and key.startswith(query["prefix"])]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            self.changed.wait(left)

    def transact(self, body):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                wanted = [each["key"] for each in body["precondition"]]
                return 412, {"items": [self.items[key] for key in wanted if key in self.items]}
        for row in body.get("writes", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        values = {row["key"]: (base64.b64decode(row["value"]), row.get("lease", 0)) for row in body.get("writes", [])}
        return 200, {"revision": self.write(values, body.get("remove", []))}


class Replica(Server):
    """A replica that runs each request for work_s and answers it whole."""

    def __init__(self, store, record, name, service, work_s=0.03, slots=16):
        self.record = record
        self.name = name
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.runs = []
        self.running = 0
        self.lock = threading.Lock()
        super().__init__()
        self.sequence = 0
        self.store = store
        self.beat()
        threading.Thread(target=self.beat_always, daemon=True).start()

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
                "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence}

    def beat(self):
        self.sequence += 1
        self.store.put("servers/" + self.name, self.entry())

    def beat_always(self):
        while True:
            time.sleep(1.2)
            self.beat()

    def serve(self, connection):
        buffer = bytearray()
        while True:
            head = read_head(connection, buffer)
            if head is None:
                return
            if any(name != name.strip() for name in head[1]):
                self.refuse_malformed(connection)
                return
            body = read_body(connection, buffer, head[1])
            if body is None:
                return
            self.answer(connection, head[0], head[1], body)

    def load(self):
        return "%d,0,%d" % (self.running, self.slots)

    def refuse_malformed(self, connection):
        """A sound server rejects a field name with white space (RFC 9112, 5.1) and closes."""
        connection.sendall(b"HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nConnection: close\r\n"
                           b"Content-Length: 0\r\n\r\n")

    def answer(self, connection, line, fields, body):
        request = fields.get("x-attempt-id", "")
        if fields.get("x-expect-replica", self.name) != self.name:
            connection.sendall(("HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                % self.name).encode())
            return
        with self.lock:
            self.running += 1
            self.runs.append((request, line, fields, body))
        time.sleep(self.work_s)
        with self.lock:
            self.running -= 1
        text = ("answer of %s to %s" % (self.name, request)).encode()
        connection.sendall(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n"
                            "X-Replica-Load: %s\r\nKeep-Alive: timeout=15\r\nContent-Length: %d\r\n\r\n"
                            % (request, request, self.load(), len(text))).encode() + text)

    def run_count(self, request):
        with self.lock:
            return sum(1 for run in self.runs if run[0] == request)


class StreamReplica(Replica):
    """A replica whose answers are streams of events with increasing ids, in chunks."""

    def __init__(self, store, record, name, service, events=15, gap_s=0.2, slots=64, version="v1"):
        self.events = events
        self.gap_s = gap_s
        self.version = version
        super().__init__(store, record, name, service, slots=slots)

    def entry(self):
        return dict(super().entry(), version=self.version)

    def event(self, number):
        return "id: %d\ndata: %s %s\n\n" % (number, self.name, self.version)

    def answer(self, connection, line, fields, body):
        request = fields.get("x-attempt-id", "")
        if fields.get("x-expect-replica", self.name) != self.name:
            return super().answer(connection, line, fields, body)
        first = int(fields.get("last-event-id", "0")) + 1
        with self.lock:
            self.running += 1
            self.runs.append((request, line, fields, body))
        try:
            connection.sendall(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\n"
                                "X-Replica-Load: %s\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=15\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n" % (request, request, self.load())).encode())
            for number in range(first, self.events + 1):
                if number > first:
                    time.sleep(self.gap_s)
                text = self.event(number).encode()
                connection.sendall(b"%x\r\n%s\r\n" % (len(text), text))
            connection.sendall(b"0\r\n\r\n")
        finally:
            with self.lock:
                self.running -= 1


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Router:
    """The program of the deploy file, with settings as its template yields them."""

    def __init__(self, store, record, name, folder, memory_mb, grace_s=8, extra=""):
        self.record = record
        self.name = name
        self.memory_mb = memory_mb
        self.front, self.ready, self.metrics, self.peers = (free_port() for _ in range(4))
        self.settings = os.path.join(folder, name + ".ini")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("""[node]
name = %s
data_centre = zone-a
[callers]
listen = %s:%d
[peers]
listen = %s:%d
[readiness]
listen = %s:%d
[metrics]
listen = %s:%d
[store]
url = http://%s
[keys]
trust = 5000ms
[retries]
fraction = 0.2
slack = 52
window = 10s
[stop]
grace = %ds
[vm]
processor_share = 0.19
cores = 1
memory_mb = %d
%s""" % (name, HOST, self.front, HOST, self.peers, HOST, self.ready, HOST, self.metrics, store.address, grace_s,
         memory_mb, extra))
        self.process = None
        self.log = None

    def start(self):
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun("the build of the deploy file is missing")
        self.log = open(self.log_path, "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["JASMINEWOOD_NODE_FILE"] = self.settings
        self.process = subprocess.Popen([os.path.join(ROOT, PROGRAM)], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        self.record.line("%s started" % self.name)

    def is_ready(self):
        try:
            return exchange(self.ready, b"GET /jasminewood/readiness HTTP/1.1\r\nHost: r\r\n\r\n", 1.0)[0] == 200
        except OSError:
            return False

    def await_ready(self, limit_s=10):
        deadline = time.monotonic() + limit_s
        while not self.is_ready():
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise CannotRun("%s did not become ready" % self.name)
            time.sleep(0.05)

    def status(self, field):
        """A figure of the process's status, in kilobytes."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
                for line in file:
                    if line.startswith(field + ":"):
                        return int(line.split()[1])
        except (OSError, ValueError):
            pass
        return 0

    def resident_mb(self):
        return self.status("VmRSS") / 1024

    def signal(self, number):
        self.process.send_signal(number)
        self.record.line("%s got signal %d" % (self.name, number))

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def allow_descriptors(count):
    """Raises the soft limit of this process, and of those that it starts, as far as the hard limit allows."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if hard != resource.RLIM_INFINITY and hard < count:
        raise CannotRun("%d descriptors are needed, the limit is %d" % (count, hard))
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


class Platform:
    """Kills a router that exceeds the memory of its machine, as the platform does."""

    def __init__(self, record, router):
        self.record = record
        self.router = router
        self.peak_mb = 0.0
        self.killed = False
        self.stopped = False
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.stopped and self.router.process.poll() is None:
            memory = self.router.resident_mb()
            self.peak_mb = max(self.peak_mb, memory)
            if memory > self.router.memory_mb:
                self.record.line("%s has %.1f MB resident on a machine of %d MB: the platform kills it"
                                 % (self.router.name, memory, self.router.memory_mb))
                self.router.process.kill()
                self.killed = True
                return
            time.sleep(0.02)

    def stop(self):
        self.stopped = True
        self.thread.join()


class Callers:
    """Ordinary callers: threads that each send one request after another on a new connection."""

    def __init__(self, record, router, make_request, count=2, pause_s=0.1, timeout_s=4.0):
        self.record = record
        self.router = router
        self.make_request = make_request
        self.pause_s = pause_s
        self.timeout_s = timeout_s
        self.outcomes = {}
        self.lock = threading.Lock()
        self.stopped = False
        self.threads = [threading.Thread(target=self.loop, args=(number,), daemon=True) for number in range(count)]
        for thread in self.threads:
            thread.start()

    def loop(self, number):
        sequence = 0
        while not self.stopped:
            sequence += 1
            request = "caller%d-%d" % (number, sequence)
            try:
                status = exchange(self.router.front, self.make_request(request), self.timeout_s)[0]
                outcome = str(status) if status else "closed without an answer"
            except socket.timeout:
                outcome = "no answer in time"
            except OSError as error:
                outcome = "connection failed: %s" % error.strerror
            self.record.line("%s: %s" % (request, outcome))
            with self.lock:
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            time.sleep(self.pause_s)

    def take(self):
        """Returns the outcomes since the last call."""
        with self.lock:
            taken, self.outcomes = self.outcomes, {}
        return taken

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join(self.timeout_s + 1)


def exchange(port, request, timeout_s):
    """Sends one request on a new connection. Returns status, fields and body; status 0 for a closed connection."""
    with socket.create_connection((HOST, port), timeout=timeout_s) as connection:
        connection.settimeout(timeout_s)
        connection.sendall(request)
        buffer = bytearray()
        try:
            head = read_head(connection, buffer)
            if head is None:
                return 0, {}, b""
            body = read_body(connection, buffer, head[1])
        except ConnectionError:
            return 0, {}, b""
        if body is None:
            return 0, head[1], b""
        return int(head[0].split()[1]), head[1], body


def configuration(version, routes, keys=("key-1",), limits=None):
    """A configuration of the operator, with the limits of the examples."""
    services = sorted({route["service"] for route in routes})
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_check_path": "/health", "connection_limit": 360, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                                 "idle_timeout_ms": 15000},
            "tenants": [{"name": "tenant-1", "api_keys": list(keys), "priority": 1}]}


def route(prefix, kind, service="app", timeout_ms=2000, attempts=2, **more):
    entry = {"name": "r" + prefix.strip("/"), "host": "shop.example", "prefix": prefix, "kind": kind,
             "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 2, "service": service,
             "max_attempts": attempts, "allow_anonymous": False}
    entry.update(more)
    return entry


def head(method, path, request, key="key-1", remaining_ms=4000, fields=""):
    return ("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Time-Remaining-Ms: %d\r\n"
            "Authorization: Bearer %s\r\n%s\r\n" % (method, path, request, remaining_ms, key, fields)).encode()


def main(folder, case):
    """Runs a case, which returns whether the rule held; exits with the status of the issue."""
    folder = os.path.abspath(folder)
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix="jasminewood-case-")
    routers = []
    status = COULD_NOT_RUN
    try:
        status = HELD if case(record, scratch, routers) else BROKEN
    except CannotRun as reason:
        record.line("could not run: %s" % reason)
    except Exception as error:  # The case itself is at fault.
        record.line("could not run: %r" % error)
    finally:
        for router in routers:
            router.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(scratch, keep, dirs_exist_ok=True)
        shutil.rmtree(scratch, ignore_errors=True)
    record.line("exit %d (%s), TROUBLE=%d" % (status, {0: "held", 1: "broken", 2: "could not run"}[status], TROUBLE))
    print("exit", status)
    sys.stdout.flush()
    os._exit(status)
