"""Stand-ins for the scripts of review cases 6 to 10: the platform's store, workers, consumers, and the platform's
part in starting a router. They follow the users' pages and use the standard library only.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "lavenderhall")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LISTENERS = ("front", "ready", "peer", "relay", "metrics")
ZONES = {"kandy-a": "kandy", "kurunegala-a": "kurunegala", "nuwara-a": "nuwara"}
# Of the site churnline.
BOUNDS = {"lease_ms": 3000, "drain_ms": 2500, "grace_s": 8, "retry_ratio": 0.2, "retry_slack": 54,
          "retry_window_s": 10, "rate_overage": 0.1, "rate_slack": 140000, "rate_window_s": 8,
          "weights_ms": 10000}
CONFIG_APPLY = 2.5  # seconds, config_apply_ms
CONTACT = 4.0  # seconds, contact_ms
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000,
          "idle_timeout_ms": 20000}
HEARTBEAT = 1.2  # seconds, heartbeat_ms


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Broken(Exception):
    """A connection ended before a whole message, or carried something else."""


# Messages

async def read_head(reader):
    """Returns the first line's words and the headers by lower-case name."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise Broken(str(error)) from error
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader, headers):
    try:
        if headers.get("transfer-encoding", "").lower() != "chunked":
            return await reader.readexactly(int(headers.get("content-length", "0")))
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Broken(str(error)) from error


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + f"\r\ncontent-length: {len(body)}\r\n\r\n").encode() + body


def answer(status, headers, body=b""):
    return message(f"HTTP/1.1 {status} x", headers, body)


def json_answer(status, value, headers=None):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return answer(status, {"content-type": "application/json", **(headers or {})}, body)


class Server:
    """Serves HTTP/1.1 at one address. handle(words, headers, body, writer) answers a request."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self.server, self.writers = None, set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 17)

    async def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not writer.is_closing():
                words, headers = await read_head(reader)
                await self.handle(words, headers, await read_body(reader, headers), writer)
                await writer.drain()
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# The platform's store

class Store:
    """Objects by kind and name. A spec may be bytes, which are sent as they are."""

    def __init__(self, host, port):
        self.server = Server(host, port, self.handle)
        self.revision, self.compacted = 10, 10
        self.objects = {}  # (kind, name) -> item as bytes
        self.revisions = {}  # (kind, name) -> revision
        self.events = []  # (revision, kind, event as bytes)
        self.changed = asyncio.Event()

    def item(self, name, revision, spec):
        text = spec if isinstance(spec, bytes) else json.dumps(spec).encode()
        metadata = {"name": name, "revision": revision, "create_revision": revision, "finalizers": [],
                    "deleting": False}
        return b'{"metadata":' + json.dumps(metadata).encode() + b',"spec":' + text + b',"status":{}}'

    def notify(self, kind, item, deleted):
        self.events.append((self.revision, kind,
                            b'{"object":' + item + b',"deleted":' + (b"true" if deleted else b"false") + b"}"))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Writes an object, as the operator and the workers do, and returns the time of the ack."""
        self.revision += 1
        self.revisions[(kind, name)] = self.revision
        self.objects[(kind, name)] = self.item(name, self.revision, spec)
        self.notify(kind, self.objects[(kind, name)], False)
        return time.monotonic()

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is None:
            return
        self.revision += 1
        del self.revisions[(kind, name)]
        self.notify(kind, item.replace(b'"revision": ', b'"revision": %d, "x": ' % self.revision, 1), True)

    async def handle(self, words, headers, body, writer):
        status, value = await self.answer(words[0], words[1], body)
        writer.write(json_answer(status, value, {"store-era": "1"}))

    async def answer(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query_text.split("&") if pair)
        kind, _, name = path.removeprefix("/v1/objects/").partition("/")
        name = name.removesuffix("/status")
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        if method == "GET":
            names = sorted(each for each_kind, each in self.objects
                           if each_kind == kind and each > query.get("after", ""))
            items = [self.objects[(kind, each)] for each in names[:500]]
            more = b"true" if len(names) > 500 else b"false"
            return 200, (b'{"items":[' + b",".join(items) + b'],"more":' + more
                         + b',"store_revision":%d}' % self.revision)
        content = json.loads(body) if body else {}
        metadata = content.get("metadata", {})
        name = name or metadata.get("name", "")
        current = self.objects.get((kind, name))
        condition = metadata.get("revision") or int(query.get("revision", "0"))
        if method == "POST" and current:
            return 409, current
        if method != "POST" and not current:
            return 404, {}
        if condition and condition != self.revisions.get((kind, name)):
            return 409, current
        if method == "DELETE":
            self.remove(kind, name)
            return 200, current
        self.put(kind, name, content.get("spec"))
        return 200, self.objects[(kind, name)]

    async def watch(self, kind, revision, wait):
        until = time.monotonic() + wait
        while True:
            if revision < self.compacted or revision > self.revision:
                return 410, {}
            found = [event for number, event_kind, event in self.events
                     if number > revision and event_kind == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, (b'{"events":[' + b",".join(found)
                             + b'],"store_revision":%d}' % self.revision)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


# Workers

class Worker:
    """A worker, which registers itself in the store. run(words, headers, body, writer) answers the requests that it
    runs.
    """

    def __init__(self, bed, identity, service, zone, run, slots=64, model=None):
        self.bed, self.id, self.service, self.zone, self.run = bed, identity, service, zone, run
        self.slots, self.model, self.version, self.sequence = slots, model, 1, 0
        self.born = int(time.time() * 1000)
        self.state, self.task, self.active = "ready", None, 0
        self.server = Server(bed.worker_host, bed.free_port(bed.worker_host), self.handle)

    async def start(self):
        await self.server.start()
        self.register()

    def register(self):
        spec = {"service": self.service, "address": self.server.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "seq": self.sequence,
                "born": self.born}
        if self.model:
            spec["stage"] = "colocated"
            spec["models"] = [{"name": self.model, "version": self.version, "adapters": []}]
        return self.bed.store.put("servers", self.id, spec)

    def report(self):
        return {"stage": "colocated", "models": [{"name": self.model, "version": self.version, "adapters": []}],
                "busy": False, "seq": self.sequence, "queued": 0, "active": self.active, "kv_used": 0,
                "kv_total": 200000, "handles": 0, "born": self.born}

    async def handle(self, words, headers, body, writer):
        if headers.get("target-instance", self.id) != self.id:
            return writer.write(answer(421, {"request-id": headers.get("request-id", ""), "not-executed": "1"}))
        if words[1] == "/v1/report":
            return writer.write(json_answer(200, self.report()))
        if words[1] == "/v1/order":
            return writer.write(answer(200, {}))
        self.active += 1
        try:
            await self.run(self, words, headers, body, writer)
        finally:
            self.active -= 1


def sealed(headers, body, status=200, more=None):
    """Returns the answer of a worker that has run a request."""
    return answer(status, {"request-id": headers["request-id"], "response-seal": f"s.{random.randrange(1 << 30):x}",
                           **(more or {})}, body)


# Routers

class Router:
    """One router process, started as the platform does it."""

    def __init__(self, bed, number, zone, memory_mb):
        self.bed, self.number, self.zone, self.memory_mb = bed, number, zone, memory_mb
        self.host = f"127.{bed.net}.1.{number + 1}"
        self.process = None

    def address(self, listener):
        return self.host, self.bed.ports[listener]

    def write_settings(self):
        text = {name: "{}:{}".format(*self.address(name)) for name in LISTENERS}
        settings = {"dialect": "forward", "instance": f"front-{self.zone}-{self.number + 1}",
                    "region": ZONES[self.zone], "zone": self.zone, "listen": text["front"], "admin": text["ready"],
                    "peer": text["peer"], "relay": text["relay"], "store": self.bed.store.server.address,
                    "metrics": text["metrics"], "max_descriptors": 4100,
                    "seeds": [f"{router.host}:{self.bed.ports['front']}" for router in self.bed.routers[:3]],
                    "zones": ZONES, "memory_mb": self.memory_mb,
                    "features": ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine",
                                 "tenants", "quota", "platform"],
                    "bounds": BOUNDS}
        self.file = os.path.join(self.bed.folder, f"boot-{self.number}.json")
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        self.write_settings()
        with open(os.path.join(self.bed.folder, f"router-{self.number}.log"), "ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "router", "--settings", self.file, stdout=output, stderr=output, cwd=ROOT)
        self.bed.record(f"router {self.number} started, pid {self.process.pid}")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        with contextlib.suppress(OSError, Broken, asyncio.TimeoutError):
            status, _, _ = await asyncio.wait_for(call(self.address("ready"), "GET", "/readyz", {"host": "x"}), 1)
            return status == 200
        return False

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"router {self.number} is not ready after {seconds} s")

    def resident_mb(self):
        """Returns the resident memory of the process; 0 if it has ended."""
        with contextlib.suppress(OSError):
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        return 0.0


# Consumers

async def exchange(reader, writer, method, target, headers, body=b""):
    writer.write(message(f"{method} {target} HTTP/1.1", headers, body))
    words, answered = await read_head(reader)
    return int(words[1]), answered, await read_body(reader, answered)


async def call(address, method, target, headers, body=b""):
    """Sends a request on a channel of its own; returns status, headers and body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        return await exchange(reader, writer, method, target, headers, body)
    finally:
        writer.close()


class Bed:
    """The stand-ins and routers of one run, and its record."""

    def __init__(self, case_folder, routers=1, zones=None, memory_mb=110):
        self.net = random.randrange(100, 200)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.file = open(os.path.join(case_folder, "record.txt"), "w", encoding="utf-8", buffering=1)
        self.began = time.monotonic()
        self.store = Store(f"127.{self.net}.2.1", self.free_port(f"127.{self.net}.2.1"))
        self.worker_host = f"127.{self.net}.3.1"
        hosts = [f"127.{self.net}.1.{number + 1}" for number in range(routers)]
        self.ports = {}
        for name in LISTENERS:
            while True:
                port = self.free_port(hosts[0])
                if port not in self.ports.values() and all(self.is_free(host, port) for host in hosts):
                    break
            self.ports[name] = port
        zone_names = zones or list(ZONES)
        self.routers = []
        for number in range(routers):
            self.routers.append(Router(self, number, zone_names[number % len(zone_names)], memory_mb))
        self.workers, self.tasks, self.count, self.version = [], [], 0, 0

    @staticmethod
    def free_port(host):
        with socket.create_server((host, 0)) as probe:
            return probe.getsockname()[1]

    @staticmethod
    def is_free(host, port):
        try:
            with socket.create_server((host, port)):
                return True
        except OSError:
            return False

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def next_id(self):
        self.count += 1
        return f"{self.count:08x}{random.getrandbits(32):08x}"

    def put_config(self, routes, services, tenants):
        """Writes the next version of the configuration; returns the time of its ack."""
        self.version += 1
        acked = self.store.put("config", "main", {"version": self.version, "routes": routes, "services": services,
                                                  "tenants": tenants, "limits": LIMITS})
        self.record(f"configuration {self.version} acknowledged, tenants {[each['name'] for each in tenants]}")
        return acked

    def later(self, work):
        self.tasks.append(asyncio.ensure_future(work))
        return self.tasks[-1]

    async def start(self):
        await self.store.server.start()
        for worker in self.workers:
            await worker.start()
        for router in self.routers:
            await router.start()
        for router in self.routers:
            await router.wait_ready()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for router in self.routers:
            await router.kill()
        for worker in self.workers:
            await worker.server.stop()
        await self.store.server.stop()
        self.file.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(bed_of, play):
    """Runs play(bed), which returns whether the rule held, and exits with the code of the case."""
    if not os.path.exists(PROGRAM):
        print("there is no", PROGRAM)
        sys.exit(2)

    async def run():
        bed = bed_of()
        try:
            return await asyncio.wait_for(play(bed), 110)
        except (CannotRun, asyncio.TimeoutError, OSError, Broken) as error:
            bed.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return None
        finally:
            await bed.stop()

    held = asyncio.run(run())
    print({None: "the case could not run", True: "the rule held", False: "the rule was broken"}[held])
    sys.exit({None: 2, True: 0, False: 1}[held])
