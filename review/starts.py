#!/usr/bin/env python3
"""Checks that the cases of the review can run: a router starts with the settings that the review's
stand-ins render from the deploy file's template, for a platform that states no contracts.

Takes the program of the router, by default that of the deploy file. Exits with 1 if it does not
start.
"""

import asyncio
import os
import sys
import tempfile

import stand_ins

CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "book", "hostname": "desk.example", "path_prefix": "/book/",
                "kind": "non_idempotent", "service": "order-desk", "max_attempts": 1,
                "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2}],
    "services": [{"name": "order-desk", "health_path": "/healthz", "max_connections": 110}],
    "tenants": [{"name": "mill", "api_keys": ["key-1"], "rate_per_s": 0, "burst": 0,
                 "uncached_tokens": 1}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000,
               "idle_timeout_ms": 30000}}


async def main():
    with tempfile.NamedTemporaryFile() as record:
        system = stand_ins.System(record.name, routers=1)
        try:
            system.store.put("config", "main", CONFIGURATION)
            if await system.start():
                print("the review's router starts")
                return 0
            with open(system.routers[0].log_file, encoding="utf-8", errors="replace") as log:
                print(f"the review's router does not start: {log.read()[-600:]}")
            return 1
        finally:
            system.stop()


if __name__ == "__main__":
    if len(sys.argv) > 1:
        os.environ["ROUTER_PROGRAM"] = os.path.abspath(sys.argv[1])
    sys.exit(stand_ins.run(main))
