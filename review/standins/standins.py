"""Stand-ins for the platform's store, the operator, replicas, clients and the platform of the review cases.

Everything listens on loopback addresses. The router under test is a separate process, started with the command of
deploy/system.toml and the settings template that it names.
"""

import base64
import json
import os
import random
import re
import select
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STARTED_AT = time.monotonic()

# The figures of steinpleie-ruter (SYSTEM.md) and of the settings that `fleetbench wire` shows for it.
BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "stability_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "configuration_apply_ms": 2000,
    "rollback_slack_ms": 250, "outer_bound_ms": 5000, "fail_closed_revocation": True, "revocation_ms": 5000,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_budget_slack": 52, "recovery_s": 12, "pass_ms": 120,
    "reuse_window_s": 7.5,
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
FRONT_MEMORY_MB = 110
HEARTBEAT_S = 1.2


def now():
    return time.monotonic() - STARTED_AT


class Record:
    """Writes what is sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{now():8.3f} s  {text}\n")
            self._file.flush()


def free_address():
    """Returns a loopback address that no other case is likely to use."""
    return f"127.{random.randint(10, 250)}.{random.randint(0, 250)}.{random.randint(1, 250)}"


def listen(address, port=0):
    server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((address, port))
    server.listen(512)
    return server


def reset(connection):
    """Closes a connection with a reset. A thread that waits for data is woken first, since it keeps the socket open."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    connection.close()


class Reader:
    """Reads messages of HTTP/1.1 from a socket."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def fill(self):
        data = self.connection.recv(65536)
        if not data:
            raise EOFError("closed")
        self.buffer += data

    def until(self, mark):
        while mark not in self.buffer:
            self.fill()
        part, self.buffer = self.buffer.split(mark, 1)
        return part

    def exactly(self, size):
        while len(self.buffer) < size:
            self.fill()
        part, self.buffer = self.buffer[:size], self.buffer[size:]
        return part

    def head(self):
        lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
        return lines[0], fields

    def chunks(self):
        while True:
            size = int(self.until(b"\r\n").split(b";")[0], 16)
            data = self.exactly(size)
            self.exactly(2)
            if size == 0:
                return
            yield data


def field(fields, name):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return None


class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body

    def field(self, name):
        return field(self.fields, name)

    @property
    def attempt(self):
        return self.field("X-Attempt-Id") or ""


def read_request(reader):
    line, fields = reader.head()
    method, target, _ = line.split(" ", 2)
    length = field(fields, "Content-Length")
    if (field(fields, "Transfer-Encoding") or "").lower() == "chunked":
        body = b"".join(reader.chunks())
    else:
        body = reader.exactly(int(length)) if length else b""
    return Request(method, target, fields, body)


REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def response(status, fields, body):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.server = listen("127.0.0.1")
        self.port = self.server.getsockname()[1]
        self.items = {}
        self.events = []
        self.revision = 100
        self.first_event = 100
        self.leases = {}
        self.next_lease = 5000
        self.changed = threading.Condition()
        self.silent = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._expire, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def put(self, key, value, lease=0):
        with self.changed:
            self._write([(key, value, lease)], [])
            return self.revision

    def remove(self, key):
        with self.changed:
            if key in self.items:
                self._write([], [key])

    def _write(self, writes, removes):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "created": created, "lease": lease}
            self.items[key] = item
            self.events.append(dict(item))
        for key in removes:
            if self.items.pop(key, None):
                self.events.append({"key": key, "revision": self.revision, "removed": True})
        self.changed.notify_all()

    def _expire(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                ended = [lease for lease, (_, until) in self.leases.items() if until < now()]
                for lease in ended:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._write([], keys)

    def _accept(self):
        while True:
            connection, _ = self.server.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = Reader(connection)
        try:
            while True:
                request = read_request(reader)
                status, body = self._answer(request)
                while self.silent.is_set():
                    time.sleep(0.02)
                    if select.select([connection], [], [], 0)[0]:
                        return connection.close()
                data = json.dumps(body).encode()
                connection.sendall(response(status, [("Content-Type", "application/json"), ("Store-Era", "1")], data))
        except (EOFError, OSError, ValueError):
            connection.close()

    def _answer(self, request):
        # A store that is down does nothing.
        while self.silent.is_set():
            time.sleep(0.02)
        url = urllib.parse.urlsplit(request.target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        path = url.path
        if path == "/jasminewood/kv-range":
            with self.changed:
                keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")))
                keys = [key for key in keys if key > query.get("after_revision", "")]
                return 200, {"items": [self.items[key] for key in keys[:500]], "has_more": len(keys) > 500,
                             "at": self.revision}
        if path == "/jasminewood/kv-key":
            with self.changed:
                item = self.items.get(query.get("key", ""))
                return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/jasminewood/kv-watch":
            return self._watch(query.get("prefix", ""), int(query["after_revision"]), int(query.get("wait_ms", 0)))
        if path == "/jasminewood/kv-txn":
            return self._transaction(json.loads(request.body))
        if path == "/jasminewood/kv-lease":
            ttl = json.loads(request.body)["ttl_ms"]
            with self.changed:
                self.next_lease += 1
                self.leases[self.next_lease] = (ttl, now() + ttl / 1000)
                return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/jasminewood/kv-keep/"):
            with self.changed:
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, now() + ttl / 1000)
                return 200, {"ttl_ms": ttl}
        if path.startswith("/jasminewood/kv-lease-end/"):
            with self.changed:
                self._end_lease(int(path.rsplit("/", 1)[1]))
                return 200, {}
        return 404, {}

    def _watch(self, prefix, after, wait_ms):
        until = now() + wait_ms / 1000
        with self.changed:
            if after < self.first_event:
                return 410, {}
            while True:
                events = [event for event in self.events if event["revision"] > after
                          and event["key"].startswith(prefix)]
                if events or now() >= until or self.silent.is_set():
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(max(0.001, until - now()))

    def _transaction(self, body):
        with self.changed:
            rows = body.get("precondition", [])
            current = [self.items.get(row["key"]) for row in rows]
            if any((item["revision"] if item else 0) != row["revision"] for row, item in zip(rows, current)):
                return 412, {"items": [item for item in current if item]}
            writes = [(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
                      for write in body.get("writes", [])]
            if any(lease and lease not in self.leases for _, _, lease in writes):
                return 404, {}
            self._write(writes, body.get("remove", []))
            return 200, {"revision": self.revision}


class Replica:
    """A replica of a service. handler(replica, request, connection) answers a request; by default plainly."""

    def __init__(self, store, service, name, record, version="v1", slots=64, zone="trd-a", handler=None, port=0,
                 address="127.0.0.1"):
        self.store, self.service, self.name, self.record = store, service, name, record
        self.version, self.slots, self.zone, self.handler = version, slots, zone, handler
        self.server = listen(address, port)
        self.address, self.port = address, self.server.getsockname()[1]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.alive = True
        self.running = 0
        self.places = threading.Semaphore(slots)
        self.connections = set()
        self.lock = threading.Lock()
        self.runs = []
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        while self.alive:
            if not self.store.silent.is_set():
                self.register()
            time.sleep(HEARTBEAT_S)

    def register(self):
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.address}:{self.port}", "zone": self.zone,
                 "version": self.version, "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                 "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                 "sequence": self.sequence, "born": self.born}
        self.store.put("servers/" + self.name, json.dumps(entry).encode())

    def _accept(self):
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            with self.lock:
                if not self.alive:
                    reset(connection)
                    return
                self.connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = Reader(connection)
        try:
            while True:
                request = read_request(reader)
                if request.field("X-Expect-Replica") not in (None, self.name):
                    self.record(f"replica {self.name} ({self.service} {self.version}) answers {request.attempt} 421")
                    connection.sendall(response(421, [("X-Replica-Id", self.name)], b""))
                    continue
                with self.places:
                    self._run(request, connection)
        except (EOFError, OSError, ValueError):
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def _run(self, request, connection):
        with self.lock:
            self.running += 1
        self.runs.append((now(), request.attempt))
        self.record(f"replica {self.name} ({self.service} {self.version}) runs {request.attempt}"
                    f" {request.method} {request.target}")
        try:
            (self.handler or answer_plainly)(self, request, connection)
        finally:
            with self.lock:
                self.running -= 1

    def fields(self, request, signature="sig"):
        return [("X-Attempt-Id", request.attempt), ("X-Response-Signature", f"{self.name}.{signature}"),
                ("X-Replica-Load", f"{self.running},0,{self.slots},100")]

    def crash(self):
        """Ends as a process that is killed: its connections are reset, and its port has no listener."""
        with self.lock:
            if not self.alive:
                return
            self.alive = False
            connections = list(self.connections)
        self.record(f"replica {self.name} ({self.service} {self.version}) crashes")
        try:
            self.server.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.server.close()
        for connection in connections:
            reset(connection)


def answer_plainly(replica, request, connection, delay=0.02, size=800):
    time.sleep(delay)
    connection.sendall(response(200, replica.fields(request), b"x" * size))


def caller_left(connection):
    """Whether the other side closed the connection."""
    poller = select.poll()
    poller.register(connection, select.POLLRDHUP)
    return bool(poller.poll(0))


class Answer:
    """What a client got."""

    def __init__(self, status=0, fields=(), body=b"", complete=False, error=""):
        self.status, self.fields, self.body, self.complete, self.error = status, list(fields), body, complete, error

    def __str__(self):
        if not self.status:
            return f"no answer ({self.error})"
        code = re.search(rb'"code":"([a-z_]+)"', self.body) if not field(self.fields, "X-Response-Signature") else None
        return (f"{self.status}{' ' + code.group(1).decode() if code else ''},"
                f" signature {field(self.fields, 'X-Response-Signature') or 'none'},"
                f" {len(self.body)} bytes, {'complete' if self.complete else 'cut: ' + self.error}")


class Client:
    """A client with one kept connection."""

    def __init__(self, address, timeout=10):
        host, port = address.split(":")
        self.connection = socket.create_connection((host, int(port)), timeout=timeout)
        self.reader = Reader(self.connection)

    def send(self, method, target, fields, body=b""):
        head = f"{method} {target} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields)
        if (body or method == "POST") and not field(fields, "Content-Length"):
            head += f"Content-Length: {len(body)}\r\n"
        self.connection.sendall((head + "\r\n").encode() + body)

    def receive(self, on_data=None):
        status, fields, body = 0, [], b""
        try:
            line, fields = self.reader.head()
            status = int(line.split(" ")[1])
            if (field(fields, "Transfer-Encoding") or "").lower() == "chunked":
                for data in self.reader.chunks():
                    body += data
                    if on_data:
                        on_data(data)
            else:
                body = self.reader.exactly(int(field(fields, "Content-Length") or 0))
            return Answer(status, fields, body, True)
        except (EOFError, OSError, ValueError) as error:
            return Answer(status, fields, body + self.reader.buffer, False, repr(error))

    def call(self, method, target, fields, body=b"", on_data=None):
        try:
            self.send(method, target, fields, body)
        except OSError as error:
            return Answer(error=repr(error))
        return self.receive(on_data)

    def close(self):
        self.connection.close()


def render(template, values):
    """Fills in the settings template as DEPLOY.md describes it, as far as this project uses it."""

    def look_up(path):
        value = values
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        value = look_up(match.group(2))
        shown = bool(value) if match.group(1) == "#" else not value
        return match.group(3) if shown else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(look_up(match.group(1)) or ""), text)


class Router:
    """The router under test, as the platform starts it on one entry machine."""

    def __init__(self, store, name, record, directory, zone="trd-a", bounds=None, memory_mb=FRONT_MEMORY_MB):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        self.command = role["run"].split(" ")
        self.name, self.record, self.memory_mb = name, record, memory_mb
        self.ip = free_address()
        self.front, self.ready = f"{self.ip}:8740", f"{self.ip}:8749"
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        self.settings = render(template, {
            "node_name": name, "zone": zone, "ip": self.ip, "internal_ports": [7200, 7215],
            "listen": {"front": self.front, "ready": self.ready}, "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {"address": store.address}})
        self.path = os.path.join(directory, name + ".ini")
        self.log_path = os.path.join(directory, name + ".log")
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(self.settings)
        self.process = None
        self.start()

    def start(self):
        self.log = open(self.log_path, "a", encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=self.log, stderr=self.log,
                                        env={**environment, "JASMINEWOOD_NODE_FILE": self.path})
        self.record(f"the platform starts {self.name}, process {self.process.pid}")

    def is_ready(self):
        try:
            client = Client(self.ready, timeout=1)
            answer = client.call("GET", "/jasminewood/readiness", [("Host", self.ready)])
            client.close()
            return answer.status == 200
        except OSError:
            return False

    def wait_until_ready(self, seconds=10):
        end = now() + seconds
        while now() < end:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def resident_mb(self):
        """The resident memory of the process."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
            return int(found.group(1)) / 1024 if found else 0
        except OSError:
            return 0

    def kill(self, number=signal.SIGKILL):
        self.record(f"the platform sends {signal.Signals(number).name} to {self.name}, process {self.process.pid}")
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Case:
    """One run of a script: its record, its processes, and the exit status."""

    def __init__(self, file):
        self.directory = os.path.dirname(os.path.abspath(file))
        self.record = Record(os.path.join(self.directory, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.TemporaryDirectory()
        self.routers = []
        self.record(f"the case runs {'with' if self.trouble else 'without'} its disruption")

    def router(self, store, name, **options):
        router = Router(store, name, self.record, self.temporary.name, **options)
        self.routers.append(router)
        return router

    def finish(self, broken, summary):
        self.record(("RULE BROKEN: " if broken else "rule held: ") + summary)
        print(("rule broken: " if broken else "rule held: ") + summary)
        self.close()
        os._exit(1 if broken else 0)

    def fail(self, reason):
        self.record("the case could not run: " + reason)
        print("the case could not run: " + reason)
        self.close()
        os._exit(2)

    def close(self):
        keep = os.environ.get("KEEP_LOGS")
        for router in self.routers:
            router.end()
            if keep:
                os.makedirs(keep, exist_ok=True)
                with open(router.log_path, encoding="utf-8") as source, \
                        open(os.path.join(keep, router.name + ".log"), "w", encoding="utf-8") as target:
                    target.write(source.read())
        self.temporary.cleanup()

    def run(self, function):
        try:
            function(self)
        except Exception as error:  # The processes are ended whatever happens.
            self.fail(repr(error))


def configuration(version, routes, services, tenants, limits=None):
    document = {"version": version, "routes": routes, "services": services, "limits": limits or LIMITS}
    if tenants is not None:
        document["tenants"] = tenants
    return json.dumps(document).encode()


HOST = "ficu95.example"


def route(name, prefix, kind, service, **options):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout_ms": 4000, "target_latency_ms": 300,
            "priority": 2, "service": service, "max_attempts": 2, "allow_anonymous": False, "sticky_sessions": False,
            "resume_streams": False, **options}


def service(name, engine=False, connection_limit=96):
    entry = {"name": name, "health_check_path": "/health", "connection_limit": connection_limit, "protocol": "h1",
             "tls": False}
    if engine:
        entry["engine"] = {"slots": 64, "kv_cache_tokens": 292270, "kv_token_bytes": 163840, "link_mbps": 280000.0,
                           "moves": True, "backups": True, "stride": 4, "most": 12, "pin_ms": 4000.0,
                           "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}
    return entry


def attempt_id():
    return f"{random.getrandbits(64):016x}"
