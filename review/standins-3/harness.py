"""Stand-ins for the cases of the third review: the platform's store, replicas, and the start of routers.

Everything listens on loopback addresses. A router is started with the command of deploy/system.toml and with a settings
file that has the text of platform/settings.ini, filled in as the platform does.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
COMMAND = ["target/bin/jasminewood-platform"]  # roles.router.run of deploy/system.toml

KEPT, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


class Record:
    """Writes what was sent, answered and run, with the time since the start, to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def free_ports(count):
    sockets = []
    for _ in range(count):
        each = socket.socket()
        each.bind(("127.0.0.1", 0))
        sockets.append(each)
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Loop:
    """An event loop on a thread of its own, on which all stand-ins run."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine, timeout=60):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout)

    def spawn(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)


class Head:
    def __init__(self, lines):
        self.method, self.target = "", ""
        parts = lines[0].split(" ", 2)
        self.first = parts
        if not lines[0].startswith("HTTP/"):
            self.method, self.target = parts[0], parts[1]
        else:
            self.status = int(parts[1])
        self.fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.fields[name.strip().lower()] = value.strip()

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    """Returns the head of a message, or None if the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(data.decode("latin-1").rstrip("\r\n").split("\r\n"))


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return await reader.readexactly(int(head.get("content-length") or 0))


def message(status, fields, body=b"", reason="Status"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store in memory. Leases run out by its clock."""

    def __init__(self, loop, record):
        self.loop, self.record = loop, record
        self.revision, self.era = 100, 1
        self.items, self.events, self.leases = {}, [], {}
        self.next_lease = 7000
        self.mode = "up"  # or "busy" (503), "silent", "reset"
        self.changed = None
        # Keys of which the next write gets no response and is performed this number of seconds later.
        self.late = {}
        self.connections = set()
        self.port = self.loop.run(self._listen())
        self.loop.spawn(self._expire())

    async def _listen(self):
        self.changed = asyncio.Condition()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22, backlog=512)
        return self.server.sockets[0].getsockname()[1]

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            if self.mode != "up":
                continue
            now = time.monotonic()
            for lease in [each for each, (_, end) in self.leases.items() if end < now]:
                await self._end_lease(lease)

    async def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            await self._remove(key)
        return True

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def _remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "removed": True})
            await self._notify()

    async def _put(self, key, value, lease=0):
        self.revision += 1
        self._write(key, value, lease)
        await self._notify()

    def _write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.events.append(dict(item))

    def put(self, key, value):
        """Writes as the operator and the replicas do."""
        text = value if isinstance(value, str) else json.dumps(value)
        self.loop.run(self._put(key, base64.b64encode(text.encode()).decode()))

    async def put_async(self, key, value):
        await self._put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, key):
        self.loop.run(self._remove(key))

    def set_mode(self, mode):
        async def change():
            self.mode = mode
            if mode != "up":
                for writer in list(self.connections):
                    writer.transport.abort()
            async with self.changed:
                self.changed.notify_all()

        self.record(f"store: {mode}")
        self.loop.run(change())

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                if self.mode == "reset":
                    writer.transport.abort()
                    break
                status, document = await self._handle(head, body)
                if status is None:
                    await asyncio.sleep(3600)
                fields = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(message(status, fields, json.dumps(document).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _handle(self, head, body):
        if self.mode == "busy":
            return 503, {}
        if self.mode == "silent":
            return None, {}
        path, _, text = head.target.partition("?")
        query = {name: values[0] for name, values in urllib.parse.parse_qs(text, keep_blank_values=True).items()}
        if path == "/jasminewood/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})
        if path == "/jasminewood/kv-range":
            after = query.get("after_revision", "")
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > after)
            return 200, {"items": [self.items[key] for key in keys[:200]], "has_more": len(keys) > 200,
                         "at": self.revision}
        if path == "/jasminewood/kv-watch":
            return await self._watch(query)
        if path == "/jasminewood/kv-txn":
            return await self._transact(json.loads(body))
        if path == "/jasminewood/kv-lease":
            self.next_lease += 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        name, _, lease = path.rpartition("/")
        if name == "/jasminewood/kv-keep":
            if int(lease) not in self.leases:
                return 404, {}
            ttl = self.leases[int(lease)][0]
            self.leases[int(lease)] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": int(lease), "ttl_ms": ttl}
        if name == "/jasminewood/kv-lease-end":
            return (200, {}) if await self._end_lease(int(lease)) else (404, {})
        return 404, {}

    async def _watch(self, query):
        after = int(query["after_revision"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            events = [each for each in self.events if each["revision"] > after
                      and each["key"].startswith(query["prefix"])]
            left = end - time.monotonic()
            if events or left <= 0 or self.mode != "up":
                return (200, {"events": events, "at": self.revision}) if self.mode == "up" else (503, {})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _transact_late(self, delay, body):
        await asyncio.sleep(delay)
        status, _ = await self._transact(body)
        self.record(f"store: the late write of {[each['key'] for each in body['writes']]} is performed: {status}")

    async def _transact(self, body):
        for write in body.get("writes", []):
            if write["key"] in self.late:
                delay = self.late.pop(write["key"])
                self.record(f"store: the write of {write['key']} gets no response")
                asyncio.ensure_future(self._transact_late(delay, body))
                return None, {}
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                present = [self.items[each["key"]] for each in body["precondition"] if each["key"] in self.items]
                return 412, {"items": present}
        for write in body.get("writes", []):
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return 404, {}
        # All changes of a transaction have one revision, and no other call runs between them.
        self.revision += 1
        for write in body.get("writes", []):
            self._write(write["key"], write["value"], write.get("lease", 0))
        for key in body.get("remove", []):
            if self.items.pop(key, None):
                self.events.append({"key": key, "revision": self.revision, "removed": True})
        revision = self.revision
        await self._notify()
        return 200, {"revision": revision}


class Replica:
    """A replica. serve(replica, head, body, writer) is called for each request and writes the response."""

    def __init__(self, loop, store, record, name, service, serve, slots=48, version="v1"):
        self.loop, self.store, self.record = loop, store, record
        self.name, self.service, self.serve = name, service, serve
        self.slots, self.version, self.sequence = slots, version, 0
        self.state, self.born, self.running, self.port = "ready", int(time.time() * 1000), 0, 0
        self.connections, self.server, self.beating = set(), None, True
        self.loses_next, self.lost = False, None

    def start(self):
        self.loop.run(self._start())
        return self

    async def _start(self):
        self.born, self.sequence = int(time.time() * 1000), 0
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", self.port, limit=1 << 23, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beating = True
        if self.store.mode == "up":
            await self.register()
        asyncio.ensure_future(self._beat(self.born))

    async def _beat(self, born):
        while self.beating and self.born == born:
            await asyncio.sleep(1.2)
            if not self.beating or self.born != born or self.store.mode != "up":
                continue
            if self.loses_next:
                # The store performs this write later, if at all.
                self.loses_next, self.sequence = False, self.sequence + 1
                self.lost = (time.monotonic(), self.entry())
            else:
                await self.register()

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "trd-a", "version": self.version,
                "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence, "born": self.born}

    async def register(self):
        self.sequence += 1
        await self.store.put_async("servers/" + self.name, self.entry())

    def crash(self):
        self.loop.run(self._crash())

    async def _crash(self):
        self.beating = False
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head)
                if head.target == "/health":
                    writer.write(message(200, [("X-Replica-Id", self.name)]))
                elif head.get("X-Expect-Replica", self.name) != self.name:
                    writer.write(message(421, [("X-Replica-Id", self.name)]))
                else:
                    self.running += 1
                    try:
                        if await self.serve(self, head, body, writer) == "close":
                            break
                    finally:
                        self.running -= 1
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def signature(self, head):
        """Returns the fields of each answer. A replica that leaves says so in all of them."""
        fields = [("X-Attempt-Id", head.get("X-Attempt-Id")), ("X-Response-Signature", f"{self.name}.{self.born}"),
                  ("X-Replica-Load", f"{self.running},0,{self.slots},100"), ("X-Weight-Versions", "1")]
        return fields + ([("Server-Leaving", "1")] if self.state == "draining" else [])


class Router:
    """One router: the program of the deploy file, as a process of its own."""

    def __init__(self, name, store, record, directory, memory_mb=110, zone="trd-a", duties=None, revocation_ms=5000):
        self.name, self.store, self.record, self.directory = name, store, record, directory
        self.memory_mb, self.zone, self.duties, self.revocation_ms = memory_mb, zone, duties, revocation_ms
        self.front = self.ready = self.peers = self.metrics = 0
        self.process = None

    def settings(self):
        text = f"""[node]
name = {self.name}
data_centre = {self.zone}
[callers]
listen = 127.0.0.1:{self.front}
[peers]
listen = 127.0.0.1:{self.peers}
[readiness]
listen = 127.0.0.1:{self.ready}
[metrics]
listen = 127.0.0.1:{self.metrics}
[store]
url = http://127.0.0.1:{self.store.port}
[keys]
trust = {self.revocation_ms}ms
[retries]
fraction = 0.2
slack = 52
window = 10s
[stop]
grace = 8s
[vm]
processor_share = 0.19
cores = 1
memory_mb = {self.memory_mb}
"""
        if self.duties:
            text += (f"[duties]\nurl = {self.duties}\nnames = usage_reporting,\nusage_window = 5s\nusage_due = 10s\n"
                     "lease = 3000ms\n")
        return text

    def start(self, wait=True):
        if not self.front:
            # Not sooner, since other programs may take free ports. A router that starts again keeps its own.
            self.front, self.ready, self.peers, self.metrics = free_ports(4)
        path = os.path.join(self.directory, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.directory, self.name + ".log"), "a", encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "LANG": "C.UTF-8", "JASMINEWOOD_NODE_FILE": path,
                       # As the bench does; more arenas only take more memory.
                       "MALLOC_ARENA_MAX": os.environ.get("ARENAS", "1")}
        try:
            self.process = subprocess.Popen(COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log)
        except OSError as error:
            raise CannotRun(str(error)) from error
        self.record(f"{self.name}: started")
        if wait:
            self.await_ready()
        return self

    def is_ready(self, timeout=1.0):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), timeout) as each:
                each.settimeout(timeout)
                each.sendall(b"GET /jasminewood/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return each.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def await_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.is_ready():
                return
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            time.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.record(f"{self.name}: signal {number}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def memory_kb(self, field="VmHWM"):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        return 0


def request_bytes(method, target, attempt, key="key-1", fields=(), body=b"", remaining_ms=5000, keep=False):
    lines = [f"{method} {target} HTTP/1.1", "Host: shop.example", f"X-Attempt-Id: {attempt}",
             f"X-Time-Remaining-Ms: {remaining_ms}"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if not keep:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Answer:
    def __init__(self, status=None, head=None, body=b"", complete=False, error=""):
        self.status, self.head, self.body, self.complete, self.error = status, head, body, complete, error


async def ask(port, data, timeout=6.0):
    """Sends one request on a connection of its own and returns the answer."""
    writer = None
    answer = Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port, limit=1 << 23), 1.0)
        writer.write(data)
        end = time.monotonic() + timeout
        head = await asyncio.wait_for(read_head(reader), timeout)
        if head is None:
            answer.error = "closed without an answer"
            return answer
        answer.status, answer.head = head.status, head
        if "chunked" in head.get("transfer-encoding"):
            while True:
                size = int((await asyncio.wait_for(reader.readline(), end - time.monotonic())) or b"x", 16)
                answer.body += await asyncio.wait_for(reader.readexactly(size), max(0.01, end - time.monotonic()))
                await reader.readexactly(2)
                if size == 0:
                    answer.complete = True
                    return answer
        length = int(head.get("content-length") or 0)
        answer.body = await asyncio.wait_for(reader.readexactly(length), max(0.01, end - time.monotonic()))
        answer.complete = True
    except (asyncio.TimeoutError, TimeoutError):
        answer.error = "no answer in time"
    except (OSError, ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = type(error).__name__
    finally:
        if writer:
            writer.close()
    return answer


def configuration(routes, services=("pool", "desk"), version=7, limits=None, tenants=None):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_check_path": "/health", "connection_limit": 300, "protocol": "h1",
                          "tls": False} | ({"engine": {"slots": 48, "kv_cache_tokens": 308684, "models": [{"name": "m"}]}}
                                           if name == "pool" else {}) for name in services],
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                                 "idle_timeout_ms": 15000},
            "tenants": tenants or [{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1}]}


def route(name, prefix, kind, service, timeout_ms=4000, attempts=2, target_ms=300, **more):
    return {"name": name, "host": "shop.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 1, "service": service, "max_attempts": attempts,
            "allow_anonymous": False, "sticky_sessions": kind == "streaming", **more}


def main(case, folder):
    """Runs case(folder, record, trouble, directory, started) and exits with its result."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    started = []
    result = NOT_RUN

    def stop(*_):
        raise CannotRun("stopped by a signal")

    signal.signal(signal.SIGTERM, stop)
    with tempfile.TemporaryDirectory() as directory:
        try:
            if not os.path.exists(os.path.join(ROOT, COMMAND[0])):
                raise CannotRun("the program of the deploy file is not built")
            result = case(record, trouble, directory, started)
        except CannotRun as error:
            record(f"cannot run: {error}")
        except Exception as error:  # pylint: disable=broad-except
            record(f"cannot run: {type(error).__name__}: {error}")
            import traceback
            traceback.print_exc()
        finally:
            for router in started:
                router.kill()
            if os.environ.get("KEEP_LOGS"):
                subprocess.run(["cp", "-r", directory, os.environ["KEEP_LOGS"]], check=False)
    record(f"result: {['the rule held', 'the rule was broken', 'the case could not run'][result]}")
    sys.stdout.flush()
    os._exit(result)
