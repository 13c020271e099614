"""Not a case, see REPORT.md. A router that is stopped while requests are in progress does not end.

Exits with 1 if a process still runs 2 s after its grace period was over.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import stand_ins
from stand_ins import BOUNDS, Server, System, request_bytes

HERE = os.path.dirname(os.path.abspath(__file__))


async def main():
    system = System(os.path.join(HERE, "record.txt"))
    try:
        system.store.put("config", "main", {
            "version": 1,
            "routes": [{"name": "book", "hostname": "desk.example", "path_prefix": "/book/",
                        "kind": "non_idempotent", "service": "order-desk", "max_attempts": 1,
                        "timeout_ms": 30000, "target_latency_ms": 800, "priority": 2}],
            "services": [{"name": "order-desk", "health_path": "/healthz", "max_connections": 110}],
            "tenants": [{"name": "mill", "api_keys": ["key-1"], "rate_per_s": 0, "burst": 0,
                         "uncached_tokens": 1}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 30000}})

        async def hang(request, writer):
            await asyncio.sleep(25)
        address = await Server(hang).start("127.0.70.1")
        system.store.put("servers", "i-0000", {
            "service": "order-desk", "address": address, "zone": "erie-a", "version": "v1",
            "slots": 6, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1})
        if not await system.start():
            return 2
        channels = []
        for number, router in enumerate(system.routers):
            reader, writer = await asyncio.open_connection(*router.front)
            writer.write(request_bytes("POST", "/book/x", {
                "Host": "desk.example", "Request-Id": f"r{number}", "Deadline-Ms": 30000,
                "Authorization": "Bearer key-1"}, b"order"))
            channels.append((reader, writer))
        await asyncio.sleep(1)
        stopped_at = time.monotonic()
        for router in system.routers:
            router.signal(signal.SIGTERM)
        while time.monotonic() - stopped_at < BOUNDS["grace_s"] + 2:
            await asyncio.sleep(0.1)
        running = [router.name for router in system.routers if router.process.poll() is None]
        print(f"{len(running)} of {len(system.routers)} processes still run 10 s after SIGTERM")
        return 1 if running else 0
    finally:
        system.stop()


sys.exit(stand_ins.run(main))
