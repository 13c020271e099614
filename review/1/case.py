"""A worker's second copy of a "not executed" answer arrives where the next answer is expected."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import stand_ins
from stand_ins import Consumer, Server, System, answer_bytes

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 40
WORKERS = 5
SPOILED_WORKERS = 3  # a share of 0.6
SPOILED_SHARE = 0.03  # of their answers
SLOTS, QUEUE = 2, 2
WORK_S = 0.06
CONSUMERS = 36


class Worker:
    """A worker of the order service: runs SLOTS requests at once, queues QUEUE more and answers
    further ones 503 with Not-Executed.

    If it spoils answers, it sends a few of them twice. The second copy arrives at the point where
    the next answer on that channel is expected.
    """

    def __init__(self, system, number):
        self.system, self.number = system, number
        self.id = f"i-{number:04x}"
        self.spoils = TROUBLE and number < SPOILED_WORKERS
        self.slots, self.waiting = asyncio.Semaphore(SLOTS), 0
        self.random = random.Random(number)
        self.copies = {}  # writer -> answer that is still to be sent a second time
        self.server = Server(self.handle)

    async def start(self):
        address = await self.server.start(f"127.0.70.{self.number + 1}")
        self.system.store.put("servers", self.id, {
            "service": "order-desk", "address": address, "zone": list(stand_ins.ZONES)[self.number % 3],
            "version": "v1", "slots": SLOTS, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
            "born": int(time.time() * 1000)})

    def write(self, writer, data, what):
        writer.write(data)
        if self.spoils and self.random.random() < SPOILED_SHARE:
            self.copies[writer] = (data, what)

    async def handle(self, request, writer):
        copy = self.copies.pop(writer, None)
        if copy:
            writer.write(copy[0])
            self.system.record(f"{self.id} sends a second copy of {copy[1]}")
        await self.run(request, writer)

    async def run(self, request, writer):
        name = request.header("request-id")
        echo = {"Request-Id": name}
        if request.header("target-instance") not in ("", self.id):
            return self.write(writer, answer_bytes(421, {**echo, "Not-Executed": "1"}), f"421 {name}")
        if self.slots.locked() and self.waiting >= QUEUE:
            self.system.record(f"{self.id} rejects {name}")
            return self.write(writer, answer_bytes(503, {**echo, "Not-Executed": "1"}), f"503 {name}")
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            if request.reader.at_eof() or writer.is_closing():
                return None  # the channel was closed while the request waited
            self.system.record(f"{self.id} runs {name}")
            self.system.runs.setdefault(name, []).append(self.id)
            await asyncio.sleep(WORK_S)
        body = f"booked {name}".encode()
        return self.write(writer, answer_bytes(
            200, {**echo, "Response-Seal": f"{self.id}.{name}"}, body), f"200 {name}")


async def consume(system, number, until):
    """Books orders; repeats one with a new id after a refusal, as long as it has time."""
    rng = random.Random(1000 + number)
    consumer = Consumer(system.routers[number % len(system.routers)].front)
    count = 0
    while time.monotonic() < until:
        count += 1
        name = f"c{number:02d}-{count:05d}"
        system.record(f"sent {name}")
        answer = await consumer.send("POST", "/book/x", {
            "Host": "desk.example", "Request-Id": name, "Deadline-Ms": 2500,
            "Authorization": "Bearer key-1"}, f"order {name}".encode())
        status = int(answer.start[1]) if answer else 0
        system.answers[name] = status
        system.record(f"answered {name} {status}")
        pause = 0.05
        if status in (429, 503):
            pause = float(answer.header("retry-after", "0.1"))
        await asyncio.sleep(pause + rng.uniform(0, 0.05))
    consumer.close()


async def main():
    system = System(os.environ.get("RECORD", os.path.join(HERE, "record.txt")))
    system.runs, system.answers = {}, {}
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
        for number in range(WORKERS):
            await Worker(system, number).start()
        if not await system.start():
            return 2
        await asyncio.sleep(3)
        until = time.monotonic() + SECONDS
        await asyncio.gather(*(consume(system, number, until) for number in range(CONSUMERS)))
        await asyncio.sleep(0.5)
        return judge(system)
    finally:
        system.stop()


def judge(system):
    twice = [name for name, runs in system.runs.items() if len(runs) > 1]
    untrue = [name for name, status in system.answers.items()
              if status in (408, 421, 429, 503) and name in system.runs]
    for name in twice:
        system.record(f"TWICE {name} ran at {system.runs[name]}, answered {system.answers.get(name)}")
    for name in untrue:
        system.record(f"REFUSED {name} was answered {system.answers[name]} and ran at "
                      f"{system.runs[name]}")
    statuses = {}
    for status in system.answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    summary = (f"{len(system.answers)} requests, answers {statuses}; {len(twice)} ran twice, "
               f"{len(untrue)} refused as not run though they ran")
    system.record(summary)
    print(summary)
    if statuses.get(200, 0) < 100:
        return 2
    return 1 if twice or untrue else 0


sys.exit(stand_ins.run(main))
