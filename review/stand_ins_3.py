"""Stand-ins for the cases 11 to 15: the platform's store, workers, consumers, and the platform's
watch over a process's memory. They speak what PROTOCOL.md and DEPLOY.md say, on loopback addresses
and free ports, and start the router with the command of the deploy file.
"""

import asyncio
import contextlib
import json
import logging
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
HOST = "127.0.0.1"
HEAD_LIMIT = 1 << 20  # of the stand-ins' readers
READY_S = 20.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "daka510000"
KEYS = ("wu3fexd9dnn2ctnfzs98", "9anu6wsjnbanfqasnmgk", "k2m8ffq0zt5rjw71x3ce")  # of three tenants
ZONE, REGION = "kandy-a", "kandy"


logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # writes to closed channels


class CannotRun(Exception):
    """The case could not run: exit code 2."""


given_ports = set()


def free_ports(count):
    """Returns ports below those that the system gives to outgoing connections, each once."""
    sockets, ports = [], []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        if port in given_ports:
            continue
        given_ports.add(port)
        one = socket.socket()
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sockets.append(one)
        with contextlib.suppress(OSError):
            one.bind((HOST, port))
            ports.append(port)
    for one in sockets:
        one.close()
    return ports


# HTTP/1.1


async def read_head(reader):
    """Returns the first line, split, and the headers by lower-case name; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader, headers):
    """Returns the body, and whether it is complete."""
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += chunk[:-2]
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return body, True
    except asyncio.IncompleteReadError as error:
        return body + error.partial, False
    except (OSError, ValueError, asyncio.LimitOverrunError):
        return body, False


def head_bytes(first, headers):
    return (first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            + "\r\n").encode("latin-1")


def request_bytes(method, path, headers, body=b""):
    if body or method != "GET":
        headers = {**headers, "Content-Length": len(body)}
    return head_bytes(f"{method} {path} HTTP/1.1", headers) + body


def answer_bytes(status, headers, body=b""):
    return head_bytes(f"HTTP/1.1 {status} x", {**headers, "Content-Length": len(body)}) + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Server:
    """Passes each request to handle(first_line, headers, body, reader, writer)."""

    def __init__(self, port, handle):
        self.port, self.handle, self.server, self.tasks = port, handle, None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=HEAD_LIMIT,
                                                 backlog=2048)

    async def stop(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while not writer.is_closing():
                head = await read_head(reader)
                if head is None:
                    return
                body, is_whole = await read_body(reader, head[1])
                if not is_whole:
                    return
                await self.handle(head[0], head[1], body, reader, writer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()


class Store:
    """The platform's store: objects by kind and name, conditional writes, lists and watches."""

    def __init__(self, port):
        self.port, self.revision = port, 100
        self.objects, self.history = {}, []
        self.changed = asyncio.Event()
        self.server = Server(port, self.handle)

    def put(self, kind, name, spec):
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["metadata"]["create_revision"] if old else self.revision
        item = {"metadata": {"name": name, "revision": self.revision, "create_revision": created,
                             "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self.note(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is None:
            return
        self.revision += 1
        gone = {**item, "metadata": {**item["metadata"], "revision": self.revision}}
        self.note(kind, gone, True)

    def note(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"object": item, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, first, headers, body, reader, writer):
        status, answer = await self.answer(first, body)
        writer.write(answer_bytes(status, {"Content-Type": "application/json"},
                                  json.dumps(answer).encode()))

    async def answer(self, first, body):
        method, (path, _, query) = first[0], first[1].partition("?")
        segments = path.split("/")
        if segments[1:3] != ["v1", "objects"] or len(segments) < 4:
            return 404, {}
        kind, name = segments[3], segments[4] if len(segments) > 4 else ""
        values = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method == "GET" and "watch" in values:
            return await self.watch(kind, int(values["watch"]), int(values.get("wait_ms", 0)))
        if method == "GET":
            names = sorted(n for k, n in self.objects if k == kind and n > values.get("after", ""))
            return 200, {"items": [self.objects[(kind, n)] for n in names[:500]],
                         "more": len(names) > 500, "store_revision": self.revision}
        content = json.loads(body)
        name = name or content["metadata"]["name"]
        current = self.objects.get((kind, name))
        if method == "POST" and current:
            return 409, current
        expected = content["metadata"].get("revision")
        if method == "PUT" and not current:
            return 404, {}
        if method == "PUT" and expected and current["metadata"]["revision"] != expected:
            return 409, current
        return 200, self.put(kind, name, content.get("spec"))

    async def watch(self, kind, revision, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for at, of, event in self.history if at > revision and of == kind]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


class Router:
    """The project's program, started with the command of the deploy file."""

    def __init__(self, name, ports, folder, settings):
        self.name, self.ports, self.folder, self.settings = name, ports, folder, settings
        self.process, self.log = None, None

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/lavenderhall is missing: run the build of the deploy file")
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "router", "--settings", path, stdout=self.log, stderr=self.log, cwd=ROOT)

    def is_alive(self):
        return self.process is not None and self.process.returncode is None

    def memory_kb(self, *names):
        """Returns the sum of these lines of the process's status, in kB; 0 once it has ended."""
        with contextlib.suppress(OSError), \
                open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            return sum(int(line.split()[1]) for line in file if line.split(":")[0] in names)
        return 0

    async def stop(self):
        if self.is_alive():
            self.process.kill()
            await self.process.wait()
        if self.log:
            self.log.close()


class Bed:
    """One small deployment: a store, workers, routers, and a record of what was seen."""

    def __init__(self, case_folder, memory_mb=110):
        self.record_file = open(os.path.join(case_folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="lavenderhall-review-")
        self.memory_mb = memory_mb
        self.store = Store(free_ports(1)[0])
        self.routers, self.servers, self.stops = [], [self.store.server], []

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def say(self, text):
        self.record(text)
        print(text, flush=True)

    def add_server(self, handle):
        server = Server(free_ports(1)[0], handle)
        self.servers.append(server)
        return server

    def register(self, worker_id, service, port, engine=True, slots=64, version=1, seq=1,
                 born=None):
        """Writes a worker's entry, and returns the time of its start."""
        born = born or int(time.time() * 1000)
        spec = {"service": service, "address": f"{HOST}:{port}", "zone": ZONE, "version": "v1",
                "slots": slots, "state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": born}
        if engine:
            spec.update(stage="colocated",
                        models=[{"name": MODEL, "version": version, "adapters": []}])
        self.store.put("servers", worker_id, spec)
        return born

    def configure(self, routes, services, rate=242373):
        self.store.put("config", "main", {
            "version": 7, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": f"sese88{number}", "api_keys": [key], "priority": 1,
                         "unit": "token_stream", "uncached_tokens": 200, "isolated": False,
                         "rate_per_s": rate, "burst": rate}
                        for number, key in enumerate(KEYS)]})

    def new_router(self, name):
        """The settings are those that deploy/settings.json makes for a small deployment."""
        listen, admin, peer, relay, metrics = free_ports(5)
        first = self.routers[0].settings["peer"] if self.routers else f"{HOST}:{peer}"
        settings = {
            "dialect": "forward", "instance": name, "region": REGION, "zone": ZONE,
            "listen": f"{HOST}:{listen}", "admin": f"{HOST}:{admin}", "peer": f"{HOST}:{peer}",
            "relay": f"{HOST}:{relay}", "store": f"{HOST}:{self.store.port}",
            "metrics": f"{HOST}:{metrics}", "max_descriptors": 4100, "seeds": [first],
            "zones": {ZONE: REGION}, "memory_mb": self.memory_mb,
            "features": ["base", "drain", "config", "cost", "retry", "recover", "kvcache",
                         "stream", "engine", "tenants", "quota", "platform"],
            "bounds": {"lease_ms": 3000, "drain_ms": 2500, "grace_s": 8, "retry_ratio": 0.2,
                       "retry_slack": 54, "retry_window_s": 10, "rate_overage": 0.1,
                       "rate_slack": 140000, "rate_window_s": 8, "weights_ms": 10000}}
        router = Router(name, {"listen": listen, "admin": admin}, self.folder, settings)
        self.routers.append(router)
        return router

    async def start(self):
        for server in self.servers:
            await server.start()
        for router in self.routers:
            await router.start()
        for router in self.routers:
            await self.until_ready(router)

    async def until_ready(self, router):
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline and router.is_alive():
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, router.ports["admin"])
                writer.write(request_bytes("GET", "/readyz", {"Host": "platform"}))
                head = await read_head(reader)
                writer.close()
                if head and head[0][1] == "200":
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{router.name} is not ready within {READY_S} s")

    async def close(self):
        for router in self.routers:
            await router.stop()
        for server in self.servers:
            await server.stop()
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def platform_watch(bed, router, seen):
    """As DEPLOY.md says: a process that exceeds memory_mb is killed. Counted is the memory that
    belongs to the process alone (RssAnon), which is less than its whole resident memory.
    """
    while router.is_alive():
        megabytes = router.memory_kb("RssAnon") / 1024
        seen["most"] = max(seen.get("most", 0), megabytes)
        if megabytes > bed.memory_mb:
            seen["killed"] = True
            bed.say(f"platform: {router.name} holds {megabytes:.1f} MB, over {bed.memory_mb} MB: killed")
            with contextlib.suppress(ProcessLookupError):
                router.process.send_signal(signal.SIGKILL)
            return
        await asyncio.sleep(0.02)


def main(play, case_folder, **options):
    """Plays a case: play(bed) returns whether the rule held."""
    async def run():
        bed = Bed(case_folder, **options)
        try:
            return 0 if await asyncio.wait_for(play(bed), 110) else 1
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            bed.say(f"the case could not run: {error!r}")
            return 2
        finally:
            await bed.close()
    sys.exit(asyncio.run(run()))
