"""A worker leaves while the processes that watch the store are killed and start again."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import stand_ins
from stand_ins import BOUNDS, ZONES, Consumer, Server, System, answer_bytes

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTERS = 8  # as in the site file: three in erie-a, three in huron-a, two in michigan-a
WATCHERS = 6  # two of each region
WORKERS = 3
# From the kill:
REMOVED_S = 0.1  # until the entry of the leaving worker is removed
RESTARTED_S = 0.7  # until the killed processes are started again
JOINED_S = 1.1  # until another worker registers itself
SERVES_ON_S = 10.0  # that the leaving worker serves after its entry was removed


class Worker:
    def __init__(self, system, number):
        self.system, self.number = system, number
        self.id = f"i-{number:04x}"
        self.server = Server(self.handle)
        self.removed_at = None

    async def start(self):
        self.address = await self.server.start(f"127.0.70.{self.number + 1}")
        self.born = int(time.time() * 1000)
        self.register()

    def register(self, seq=1):
        self.system.store.put("servers", self.id, {
            "service": "order-desk", "address": self.address,
            "zone": list(ZONES)[self.number % 3], "version": "v1", "slots": 6,
            "state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": self.born})

    async def handle(self, request, writer):
        name = request.header("request-id")
        if request.header("target-instance") not in ("", self.id):
            writer.write(answer_bytes(421, {"Request-Id": name, "Not-Executed": "1"}))
            return
        late = time.monotonic() - self.removed_at if self.removed_at else 0
        self.system.arrivals.append((name, self.id, late))
        if late:
            self.system.record(f"{self.id} gets {name} {late:.3f} s after its removal")
        await asyncio.sleep(0.06)
        writer.write(answer_bytes(200, {"Request-Id": name, "Response-Seal": f"{self.id}.{name}"},
                                  f"done {name}".encode()))


async def consume(system, router, number, until):
    consumer = Consumer(router.front)
    count = 0
    while time.monotonic() < until:
        count += 1
        name = f"{router.name}.{number}.{count}"
        answer = await consumer.send("POST", "/book/x", {
            "Host": "desk.example", "Request-Id": name, "Deadline-Ms": 2500,
            "Authorization": "Bearer key-1"}, b"order")
        system.answers.append((name, int(answer.start[1]) if answer else 0))
        await asyncio.sleep(0.05)
    consumer.close()


async def find_watchers(system):
    """Waits until only two machines of each region watch the store; returns them."""
    for _ in range(60):
        since = time.monotonic()
        await asyncio.sleep(4)
        watchers = {machine for (machine, kind), at in system.store.watching.items()
                    if kind == "servers" and at >= since}
        if len(watchers) == WATCHERS:
            return [router for router in system.routers if router.name in watchers]
    return []


async def main():
    system = System(os.environ.get("RECORD", os.path.join(HERE, "record.txt")), ROUTERS)
    system.arrivals, system.answers = [], []
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
        workers = [Worker(system, number) for number in range(WORKERS)]
        for worker in workers:
            await worker.start()
        if not await system.start():
            return 2
        watchers = await find_watchers(system)
        others = [router for router in system.routers if router not in watchers]
        system.record(f"watch the store: {[router.name for router in watchers]}")
        if not watchers or not others:
            return 2
        until = time.monotonic() + 18
        consumers = [asyncio.create_task(consume(system, router, number, until))
                     for router in others for number in range(4)]
        await asyncio.sleep(3)
        killed_at = time.monotonic()
        if TROUBLE:
            for router in watchers:
                router.signal(signal.SIGKILL)
                router.process.wait()
                system.record(f"{router.name} is killed")
        await asyncio.sleep(killed_at + REMOVED_S - time.monotonic())
        leaving = workers[0]
        system.store.remove("servers", leaving.id)
        leaving.removed_at = time.monotonic()
        system.record(f"the store has removed the entry of {leaving.id}")
        await asyncio.sleep(killed_at + RESTARTED_S - time.monotonic())
        if TROUBLE:
            for router in watchers:
                await router.start()
                system.record(f"{router.name} is started again")
        await asyncio.sleep(killed_at + JOINED_S - time.monotonic())
        joining = Worker(system, WORKERS)
        await joining.start()
        system.record(f"{joining.id} has registered itself")
        await asyncio.sleep(max(0, leaving.removed_at + SERVES_ON_S - time.monotonic()))
        system.record(f"{leaving.id} ends")
        leaving.server.server.close()
        for task in list(leaving.server.tasks):
            task.cancel()  # requests that it still runs are cut
        await asyncio.gather(*consumers)
        return judge(system)
    finally:
        system.stop()


def judge(system):
    limit = BOUNDS["drain_ms"] / 1000
    late = [arrival for arrival in system.arrivals if arrival[2] > limit]
    statuses = {}
    for _, status in system.answers:
        statuses[status] = statuses.get(status, 0) + 1
    latest = max([arrival[2] for arrival in system.arrivals])
    summary = (f"{len(system.answers)} requests, answers {statuses}; {len(late)} reached the worker "
               f"later than {limit} s after its removal, the last one {latest:.3f} s after; "
               f"{statuses.get(502, 0)} were lost when it ended")
    system.record(summary)
    print(summary)
    if statuses.get(200, 0) < 100:
        return 2
    return 1 if late else 0


sys.exit(stand_ins.run(main))
