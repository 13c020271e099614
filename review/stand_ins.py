"""Small stand-ins for the review's scripts: the platform's store, workers, consumers, and the
router processes, which are started by the command of the deploy file.

They follow PROTOCOL.md and DEPLOY.md. Every address is a loopback address.
"""

import asyncio
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = {"erie-a": "erie", "huron-a": "huron", "michigan-a": "michigan"}
# The bounds of the site file llc-weave.toml.
BOUNDS = {"lease_ms": 3000, "drain_ms": 2500, "grace_s": 8, "retry_budget_ratio": 0.2,
          "budget_slack": 56, "budget_window_s": 10, "quota_overage": 0.1,
          "quota_slack": 140000, "quota_window_s": 8, "version_ms": 10000,
          "config_apply_ms": 2500, "contact_ms": 4000}


def run(main):
    """Runs a case. Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc()
        return 2


def end_with_parent():
    """Lets the kernel end a router process with the script that has started it."""
    set_death_signal = 1
    ctypes.CDLL(None).prctl(set_death_signal, signal.SIGKILL)


class Broken(Exception):
    """The peer closed or reset the channel, or sent bytes that are no HTTP message."""


class Message:
    def __init__(self, start, headers, body=b""):
        self.start, self.headers, self.body = start, headers, body

    def header(self, name, default=""):
        return self.headers.get(name, default)


async def read_message(reader, has_body=True):
    """Reads one HTTP message with a length or in chunks."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        message = Message(lines[0].split(" ", 2), headers)
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                message.body += data[:-2]
        elif has_body:
            message.body = await reader.readexactly(int(headers.get("content-length", "0")))
        return message
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, ValueError) as error:
        raise Broken(str(error)) from error


def request_bytes(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def answer_bytes(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{k}: {v}" for k, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """An HTTP server; handle(request, writer) writes the answer."""

    def __init__(self, handle):
        self.handle, self.server, self.tasks = handle, None, set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]
        return f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while not writer.is_closing():
                request = await read_message(reader)
                request.reader = reader
                await self.handle(request, writer)
                await writer.drain()
        except (Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self.tasks.discard(asyncio.current_task())


class Store:
    """The platform's metadata store: objects by kind and name, conditional writes and watches.

    It listens at an address of its own for each machine, to tell who watches.
    """

    def __init__(self):
        self.revision, self.objects, self.history = 100, {}, []
        self.changed = asyncio.Event()
        self.watching = {}  # (machine, kind) -> start of its last watch
        self.cut_off = set()  # machines whose path to the store is cut in silence
        self.healed = asyncio.Event()
        self.servers = []

    async def open(self, machine):
        async def handle(request, writer):
            await self.handle(machine, request, writer)
        server = Server(handle)
        self.servers.append(server)
        return await server.start("127.0.0.1")

    def put(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old and old["spec"] == spec:
            return old
        self.revision += 1
        created = old["metadata"]["create_revision"] if old else self.revision
        item = {"metadata": {"name": name, "revision": self.revision, "create_revision": created,
                             "finalizers": [], "deleting": False}, "spec": spec, "status": {}}
        self.objects[(kind, name)] = item
        self.notify(kind, {"object": item, "deleted": False})
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            gone = dict(item, metadata=dict(item["metadata"], revision=self.revision))
            self.notify(kind, {"object": gone, "deleted": True})

    def notify(self, kind, event):
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, machine, request, writer):
        await asyncio.sleep(0.004)
        if machine in self.cut_off:  # the call does not arrive
            return await self.hold(writer)
        status, body = await self.answer(machine, request)
        if machine in self.cut_off:  # the answer does not arrive
            return await self.hold(writer)
        return writer.write(answer_bytes(status, {"Content-Type": "application/json"},
                                         json.dumps(body).encode()))

    async def hold(self, writer):
        await self.healed.wait()
        writer.transport.abort()
        return None

    def cut(self, machines):
        self.cut_off = set(machines)

    def heal(self):
        self.cut_off = set()
        self.healed.set()
        self.healed = asyncio.Event()

    async def answer(self, machine, request):
        url = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix("/v1/objects/").partition("/")
        if request.start[0] == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if request.start[0] == "GET" and "watch" in query:
            self.watching[(machine, kind)] = time.monotonic()
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if request.start[0] == "GET":
            items = [item for (of, _), item in sorted(self.objects.items()) if of == kind]
            return 200, {"items": items, "more": False, "store_revision": self.revision}
        body = json.loads(request.body)
        name = body["metadata"]["name"]
        current = self.objects.get((kind, name))
        if request.start[0] == "POST":
            return (409, current) if current else (200, self.put(kind, name, body["spec"]))
        if not current:
            return 404, {}
        wanted = body["metadata"].get("revision")
        if wanted is not None and wanted != current["metadata"]["revision"]:
            return 409, current
        return 200, self.put(kind, name, body["spec"])

    async def watch(self, kind, revision, wait_ms):
        until = time.monotonic() + min(wait_ms, 30000) / 1000
        while True:
            events = [e for r, k, e in self.history if r > revision and k == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def render(template, fields):
    """Fills in a settings template as DEPLOY.md describes it."""
    def look_up(scopes, path):
        if path == ".":
            return scopes[0]
        for scope in scopes:
            value = scope
            for part in path.split("."):
                if isinstance(value, list) and part.isdigit():
                    value = value[int(part)] if int(part) < len(value) else None
                else:
                    value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def fill(text, scopes, is_last=True):
        def section(match):
            values = look_up(scopes, match[1])
            entries = values if isinstance(values, list) else [values] if values else []
            return "".join(fill(match[2], [entry, *scopes], index + 1 == len(entries))
                           for index, entry in enumerate(entries))
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        text = text.replace("{{,}}", "" if is_last else ",")

        def value_of(match):
            value = look_up(scopes, match[1])
            if match[2]:
                return json.dumps(value)
            return "" if value is None else value if isinstance(value, str) else json.dumps(value)
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)
    return fill(template, [fields])


def free_ports(hosts, count):
    """Returns ports that are free at all hosts."""
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as other:
                    other.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Router:
    """One router process with its settings file."""

    def __init__(self, system, number):
        self.system = system
        self.host = system.hosts[number]
        zones = list(system.zones)
        self.zone = zones[number % len(zones)]
        self.name = f"front-{self.zone}-{number // len(zones) + 1}"
        self.store_address = None
        self.front = (self.host, system.ports[0])
        self.ready = (self.host, system.ports[1])
        self.process = None
        self.log_file = os.path.join(system.folder, self.name + ".log")

    async def start(self):
        if not self.store_address:
            self.store_address = await self.system.store.open(self.name)
        ports, zones = self.system.ports, self.system.zones
        fields = {"node_name": self.name, "ip": self.host, "zone": self.zone,
                  "region": zones[self.zone], "zones": zones, "bounds": BOUNDS,
                  "internal_ports": [ports[2], ports[3]],
                  "listen": {"front": f"{self.host}:{ports[0]}", "ready": f"{self.host}:{ports[1]}"},
                  "platform_api": {"address": self.store_address},
                  "seeds": [f"{host}:{ports[4]}" for host in self.system.hosts[:3]]}
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy", "system.toml"), "rb"))
        role = deploy["roles"]["router"]
        template = open(os.path.join(ROOT, role["template"]), encoding="utf-8").read()
        settings = render(template, fields)
        # The metrics port is fixed in the deploy file; take a free one on this machine.
        settings = settings.replace(":9464", f":{ports[5]}")
        file = os.path.join(self.system.folder, self.name + ".boot")
        with open(file, "w", encoding="utf-8") as out:
            out.write(settings)
        command = [file if word.startswith("/etc/") else word for word in role["run"].split()]
        command[0] = os.environ.get("ROUTER_PROGRAM", command[0])
        with open(self.log_file, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL, preexec_fn=end_with_parent)

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(request_bytes("GET", "/readyz", {"Host": "x"}))
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer.start[1] == "200":
                    return True
            except (OSError, Broken, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)


class System:
    """The store and the routers of one run, and the record of what happened."""

    def __init__(self, record_file, routers=3, zones=None):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record_file = open(record_file, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.store = Store()
        self.zones = zones or ZONES
        # Addresses of its own, so that several scripts can run at a time.
        network = f"127.{64 + os.getpid() // 250 % 150}.{1 + os.getpid() % 250}"
        self.hosts = [f"{network}.{number + 1}" for number in range(routers)]
        self.ports = free_ports(self.hosts, 6)
        self.routers = [Router(self, number) for number in range(routers)]

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    async def start(self):
        for router in self.routers:
            await router.start()
        for router in self.routers:
            if not await router.wait_ready():
                self.record(f"{router.name} is not ready")
                return False
        return True

    def stop(self):
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
        for router in self.routers:
            if router.process:
                router.process.wait()
        self.record_file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Consumer:
    """Sends one request after the other on a kept channel."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None
        self.is_kept = False  # whether the last request was sent on a channel that had been used

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def send(self, method, target, headers, body=b"", timeout=3.0):
        """Returns the answer, or None if the channel ended without a whole one."""
        try:
            self.is_kept = bool(self.writer and not self.writer.is_closing()
                                and not self.reader.at_eof())
            if not self.is_kept:
                self.reader, self.writer = await asyncio.open_connection(*self.address,
                                                                         limit=1 << 20)
            self.writer.write(request_bytes(method, target, headers, body))
            answer = await asyncio.wait_for(read_message(self.reader), timeout)
        except (OSError, Broken, asyncio.TimeoutError):
            self.close()
            return None
        if answer.header("connection").lower() == "close":
            self.close()
        return answer
