"""Not a case, see REPORT.md. A deeply nested list in a field of one entry among the workers' entries ends all processes."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import stand_ins
from stand_ins import ZONES, Consumer, Server, System, answer_bytes

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEPTH = 100_000  # of the nested list: 200 KB of text
SECONDS = 16
CONSUMERS = 18
RESTART_S = 0.5  # after which the platform starts a process again that has ended
ENTRY_S = 4.0  # from the start of traffic until the entry is written
MARK = "@nested@"


class Text(stand_ins.Store):
    """The store, with a value that Python's own encoder has no depth for."""

    async def handle(self, machine, request, writer):
        status, body = await self.answer(machine, request)
        text = json.dumps(body).replace(f'"{MARK}"', "[" * DEPTH + "]" * DEPTH)
        writer.write(answer_bytes(status, {"Content-Type": "application/json"}, text.encode()))


class Worker:
    def __init__(self, system, number):
        self.system, self.number = system, number
        self.id = f"i-{number:04x}"
        self.server = Server(self.handle)

    def entry(self, address):
        return {"service": "order-desk", "address": address, "zone": list(ZONES)[self.number % 3],
                "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "seq": 0,
                "born": int(time.time() * 1000)}

    async def start(self):
        address = await self.server.start(f"127.0.70.{self.number + 1}")
        self.system.store.put("servers", self.id, self.entry(address))

    async def handle(self, request, writer):
        name = request.header("request-id")
        if request.header("target-instance") not in ("", self.id):
            writer.write(answer_bytes(421, {"Request-Id": name, "Not-Executed": "1"}))
            return
        self.system.runs.add(name)
        await asyncio.sleep(0.06)
        writer.write(answer_bytes(200, {"Request-Id": name, "Response-Seal": self.id}, b"done"))


async def book(system, number, until):
    """Sends orders on a kept channel, each after the answer to the one before."""
    router = system.routers[number % len(system.routers)]
    consumer = Consumer(router.front)
    count = 0
    while time.monotonic() < until:
        count += 1
        name = f"c{number:02d}-{count:04d}"
        sent = time.monotonic()
        answer = await consumer.send("POST", "/book/x", {
            "Host": "desk.example", "Request-Id": name, "Deadline-Ms": 2500,
            "Authorization": "Bearer key-1"}, b"order")
        status = int(answer.start[1]) if answer else 0
        system.answers.append((sent, status))
        if not answer and consumer.is_kept and name in system.runs:
            system.lost.append(name)
            system.record(f"LOST {name}: passed on to a worker, and its kept channel was closed by "
                          f"{router.name} without an answer")
        await asyncio.sleep(0.02 if answer else 0.3)
    consumer.close()


async def restart(system, until):
    """Starts processes again that have ended, as the platform does."""
    while time.monotonic() < until:
        for router in system.routers:
            code = router.process.poll()
            if code is not None:
                system.ends.append(router.name)
                system.record(f"{router.name} has ended by itself with code {code}")
                await asyncio.sleep(RESTART_S)
                await router.start()
        await asyncio.sleep(0.05)


async def write_entry(system):
    await asyncio.sleep(ENTRY_S)
    entry = Worker(system, 99).entry("127.0.70.100:9")
    if TROUBLE:
        entry["slots"] = MARK
    system.store.put("servers", "i-zz", entry | {"service": "other-desk"})
    system.entry_at = time.monotonic()
    system.record("another writer has written the entry i-zz")


async def main():
    stand_ins.Store = Text
    system = System(os.environ.get("RECORD", os.path.join(HERE, "record.txt")))
    system.runs, system.answers, system.lost, system.ends = set(), [], [], []
    try:
        system.store.put("config", "main", {
            "version": 1,
            "routes": [{"name": "book", "hostname": "desk.example", "path_prefix": "/book/",
                        "kind": "non_idempotent", "service": "order-desk", "max_attempts": 1,
                        "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2}],
            "services": [{"name": "order-desk", "health_path": "/healthz", "max_connections": 110}],
            "tenants": [{"name": "mill", "api_keys": ["key-1"], "rate_per_s": 0, "burst": 0,
                         "uncached_tokens": 1}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 30000}})
        for number in range(3):
            await Worker(system, number).start()
        if not await system.start():
            return 2
        await asyncio.sleep(2)
        until = time.monotonic() + SECONDS
        await asyncio.gather(restart(system, until), write_entry(system),
                             *(book(system, number, until) for number in range(CONSUMERS)))
        return judge(system)
    finally:
        system.stop()


def judge(system):
    before = [status for sent, status in system.answers if sent < system.entry_at]
    after = [status for sent, status in system.answers if sent > system.entry_at + 4]
    often = [router.name for router in system.routers if system.ends.count(router.name) >= 3]
    summary = (f"before the entry {before.count(200)} of {len(before)} orders were served, from 4 s "
               f"after it on {after.count(200)} of {len(after)}; {len(often)} of "
               f"{len(system.routers)} machines had a process end by itself three times or more, "
               f"{len(system.ends)} ends in all; {len(system.lost)} orders that workers ran were "
               "lost on kept channels")
    system.record(summary)
    print(summary)
    if before.count(200) < 100:
        return 2
    return 1 if len(often) >= 2 else 0


sys.exit(stand_ins.run(main))
