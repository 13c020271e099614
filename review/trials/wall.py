"""Not a case, see REPORT.md. A tenant becomes isolated; requests of another one go on using the KV cache that it has made."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import json
import stand_ins
from stand_ins import BOUNDS, ZONES, Consumer, Server, System, answer_bytes

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENGINES = 3
MODEL = "m0"
PREFIX = "5c1e07a2:512,91bd3f06:4096"  # parts that both tenants' prompts begin with


class Engine:
    """A model worker: keeps the parts of prompts that it has read under the request's Cache-Salt, and
    knows which tenant's request made each of them.
    """

    def __init__(self, system, number):
        self.system, self.number = system, number
        self.id = f"i-{number:04x}"
        self.cache = {}  # (salt, parts up to this one) -> tenant whose request made it
        self.born = int(time.time() * 1000)
        self.server = Server(self.handle)

    async def start(self):
        address = await self.server.start(f"127.0.70.{self.number + 1}")
        self.system.store.put("servers", self.id, {
            "service": "loom-lm", "address": address, "zone": list(ZONES)[self.number % 3],
            "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "seq": 0,
            "born": self.born, "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "stage": "colocated"})

    async def handle(self, request, writer):
        if request.start[1] == "/v1/report":
            report = {"stage": "colocated", "models": [{"name": MODEL, "version": 1, "adapters": []}],
                      "busy": False, "seq": 0, "queued": 0, "active": 0, "kv_used": 0,
                      "kv_total": 289470, "handles": 0, "born": self.born}
            writer.write(answer_bytes(200, {"Content-Type": "application/json"},
                                      json.dumps(report).encode()))
            return
        name = request.header("request-id")
        if request.header("target-instance") not in ("", self.id) \
                or request.header("expected-version") not in ("", "1"):
            writer.write(answer_bytes(421, {"Request-Id": name, "Not-Executed": "1"}))
            return
        self.read_prompt(name, request)
        await asyncio.sleep(0.02)
        events = "".join(f"id: {n}\ndata: {name}/{n}\n\n" for n in (1, 2))
        writer.write(answer_bytes(200, {"Request-Id": name, "Response-Seal": f"{self.id}.{name}",
                                        "Content-Type": "text/event-stream",
                                        "Weight-Versions": "1"}, events.encode()))

    def read_prompt(self, name, request):
        tenant, salt = request.header("tenant-id"), request.header("cache-salt")
        parts, makers, is_kept = (), [], True
        for entry in request.header("prefix-hash").split(","):
            parts += (entry,)
            is_kept = is_kept and (salt, parts) in self.cache
            if is_kept:
                makers.append(self.cache[(salt, parts)])
            else:
                self.cache[(salt, parts)] = tenant
        self.system.record(f"{self.id} runs {name} of {tenant} under salt {salt}; it uses "
                           f"{len(makers)} kept parts, made for {sorted(set(makers))}")
        self.system.runs.append((name, tenant, makers))


def write_config(system, version, isolated):
    """Writes a configuration, as the operator does; the store's answer is the ack."""
    tenants = [{"name": name, "api_keys": [f"key-{name}"], "rate_per_s": 0, "burst": 0,
                "uncached_tokens": 200, "isolated": name in isolated}
               for name in ("mill-x", "mill-y")]
    system.store.put("config", "main", {
        "version": version,
        "routes": [{"name": "review", "hostname": "lm.example", "path_prefix": "/review/",
                    "kind": "stream", "service": "loom-lm", "max_attempts": 2, "timeout_ms": 15000,
                    "target_latency_ms": 800, "gap_target_ms": 300, "resumable": True,
                    "sticky": True, "priority": 1}],
        "services": [{"name": "loom-lm", "health_path": "/healthz", "max_connections": 370,
                      "engine": {"slots": 64, "kv_capacity_tokens": 289470,
                                 "kv_token_bytes": 35136, "link_mbps": 740000.0, "moves": True,
                                 "models": [{"name": MODEL}]}}],
        "tenants": tenants,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 30000}})
    system.record(f"the store has acknowledged version {version}; isolated: {isolated}")


async def ask(system, tenant, number):
    name = f"{tenant}.{number}"
    consumer = Consumer(system.routers[number % len(system.routers)].front)
    sent = time.monotonic()
    answer = await consumer.send("POST", "/review/x", {
        "Host": "lm.example", "Request-Id": name, "Deadline-Ms": 15000, "Model": MODEL,
        "Token-Count": "4708,64", "Prefix-Hash": f"{PREFIX},{number:x}{tenant[-1].encode().hex()}:100",
        "Authorization": f"Bearer key-{tenant}"}, b"prompt")
    consumer.close()
    status = int(answer.start[1]) if answer else 0
    system.answers[name] = (sent, status)
    system.record(f"{name} answered {status}")


async def main():
    system = System(os.environ.get("RECORD", os.path.join(HERE, "record.txt")))
    system.runs, system.answers = [], {}
    try:
        write_config(system, 1, [])
        system.store.put("versions", MODEL, {"model": MODEL, "version": 1})
        for number in range(ENGINES):
            await Engine(system, number).start()
        if not await system.start():
            return 2
        await asyncio.sleep(3)
        for number in range(12):
            await ask(system, "mill-x", number)
            await asyncio.sleep(0.05)
        if TROUBLE:
            write_config(system, 2, ["mill-x"])
        isolated_at = time.monotonic()
        await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 1.5)
        for number in range(12, 24):
            await ask(system, "mill-y", number)
            await asyncio.sleep(0.05)
        return judge(system, ["mill-x"] if TROUBLE else [], isolated_at)
    finally:
        system.stop()


def judge(system, isolated, isolated_at):
    broken = []
    for name, tenant, makers in system.runs:
        sent = system.answers[name][0]
        if sent < isolated_at + BOUNDS["config_apply_ms"] / 1000:
            continue
        foreign = {maker for maker in makers
                   if maker != tenant and (maker in isolated or tenant in isolated)}
        if foreign:
            broken.append(name)
            system.record(f"WALL {name} of {tenant} used KV cache made for {sorted(foreign)}, sent "
                          f"{sent - isolated_at:.3f} s after the ack")
    good = sum(1 for _, status in system.answers.values() if status == 200)
    summary = f"{len(system.answers)} requests, {good} served; {len(broken)} broke the wall"
    system.record(summary)
    print(summary)
    if good < 20:
        return 2
    return 1 if broken else 0


sys.exit(stand_ins.run(main))
