#!/usr/bin/env python3
"""Measures the cost of one router instance: added latency, relayed events and memory.

Runs one router, two fake engines and the load generator on the loopback address. Each latency
through the router is compared with that of direct calls to the engine in the same run.
"""

import argparse
import json
import os
import subprocess
import sys

from demo import (ADMIN_PORTS, CALLER_PORTS, ENGINE_PORTS, HOST, STORE_PORT, Deployment)

CONFIGURATION_PROGRAM = """
from lavenderhall import Configuration
config = Configuration()
config.region("erie")
config.organisation("bench", tokens_per_second=1000000000, burst_tokens=1000000000)
config.model("loom", version="v1")
config.model("slow", version="v1")
config.engine("gpu", "127.0.0.1:%d", region="erie", zone="a", models=["loom"], slots=100000)
config.engine("gpu-2", "127.0.0.1:%d", region="erie", zone="a", models=["slow"], slots=100000)
config.model_route("loom", model="loom")
config.model_route("slow", model="slow")
print(config)
""" % ENGINE_PORTS[:2]

TARGET_ADDED_P99_US = 1000
TARGET_EVENTS_PER_CORE = 20000
RATE = 1000  # requests per second
STREAMS = 1000  # kept open at once


class BenchDeployment(Deployment):
    """One router and two fake engines: a fast one for latency, a slow one for open streams."""

    def start(self):
        plan = [{"kind": "store", "port": STORE_PORT},
                {"kind": "engine", "port": ENGINE_PORTS[0], "model": "loom", "version": "v1",
                 "slots": 100000, "token_ms": 0, "prefill_tokens_per_second": 1000000000},
                {"kind": "engine", "port": ENGINE_PORTS[1], "model": "slow", "version": "v1",
                 "slots": 100000, "token_ms": 20, "prefill_tokens_per_second": 1000000000}]
        self.spawn("fakes", [f"{self.build}/lavenderhall-fakes", "--plan", json.dumps(plan)])
        keys = json.loads(self.client("fleet-keys"))
        self.routers.append(self.start_router(0, "erie", keys))
        self.wait_for(ADMIN_PORTS[0], "/healthz", 200)

    def configure(self):
        """Applies the configuration; returns a caller's key."""
        with open(os.path.join(self.folder, "lavenderhall.py"), "w", encoding="utf-8") as file:
            file.write(self.client("library"))
        printed = subprocess.run([sys.executable, "-c", CONFIGURATION_PROGRAM],
                                 env=self.environment, capture_output=True, text=True,
                                 check=True).stdout
        path = os.path.join(self.folder, "bench.json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(printed)
        self.client("apply", path, "--base", "0", "--author", "bench")
        key = self.client("key", "issue", "bench").split()[1]
        self.wait_for_version(2)
        return key

    def load(self, port, key, model="loom", **options):
        """Runs the load generator against the port; returns its figures."""
        command = [f"{self.build}/lavenderhall-load", "--port", str(port), "--model", model,
                   "--key", key]
        for name, value in options.items():
            command += [f"--{name}", str(value)]
        completed = subprocess.run(command, capture_output=True, text=True, check=True, timeout=120)
        return json.loads(completed.stdout)


def cpu_seconds(pid):
    """Returns the user and system time of the process so far."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    """Returns the resident memory of the process in MiB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--json", help="file to write the figures to")
    options = parser.parse_args()
    deployment = BenchDeployment(options.build)
    deployment.environment["LAVENDERHALL_ADMINS"] = f"{HOST}:{ADMIN_PORTS[0]}"
    try:
        deployment.start()
        key = deployment.configure()
        router = deployment.routers[0].pid
        idle_mb = resident_mb(router)
        figures = {}
        # The first load warms up connections and caches and is not measured.
        deployment.load(CALLER_PORTS[0], key, rate=RATE, seconds=2)
        direct = deployment.load(ENGINE_PORTS[0], key, rate=RATE, seconds=6)
        cpu_before = cpu_seconds(router)
        routed = deployment.load(CALLER_PORTS[0], key, rate=RATE, seconds=6)
        request_cpu_us = (cpu_seconds(router) - cpu_before) / max(1, routed["answers"]) * 1e6
        figures["added_p50_us"] = routed["p50_us"] - direct["p50_us"]
        figures["added_p99_us"] = routed["p99_us"] - direct["p99_us"]
        figures["direct_p50_us"], figures["direct_p99_us"] = direct["p50_us"], direct["p99_us"]
        figures["routed_p50_us"], figures["routed_p99_us"] = routed["p50_us"], routed["p99_us"]
        figures["failures"] = routed["failures"]
        figures["cpu_us_per_request"] = round(request_cpu_us, 1)

        cpu_before = cpu_seconds(router)
        streamed = deployment.load(CALLER_PORTS[0], key, model="slow", streams=STREAMS,
                                   tokens=100000, seconds=8)
        cpu_spent = cpu_seconds(router) - cpu_before
        figures["events"] = streamed["events"]
        figures["events_per_core_second"] = round(streamed["events"] / cpu_spent)
        # The memory is read while a second load keeps all streams open.
        stream_load = subprocess.Popen([f"{deployment.build}/lavenderhall-load", "--port",
                                        str(CALLER_PORTS[0]), "--model", "slow", "--key", key,
                                        "--streams", str(STREAMS), "--tokens", "100000",
                                        "--seconds", "4"], stdout=subprocess.DEVNULL)
        try:
            stream_load.wait(timeout=3)
        except subprocess.TimeoutExpired:
            pass
        figures["idle_mb"] = round(idle_mb, 1)
        figures["mb_with_1000_streams"] = round(resident_mb(router), 1)
        stream_load.wait()
    finally:
        deployment.stop()
    print(f"latency at {RATE} requests/s, one router, loopback")
    print(f"  direct  p50 {direct['p50_us']} us, p99 {direct['p99_us']} us")
    print(f"  routed  p50 {routed['p50_us']} us, p99 {routed['p99_us']} us "
          f"({routed['p50_us'] / max(1, direct['p50_us']):.1f} and "
          f"{routed['p99_us'] / max(1, direct['p99_us']):.1f} times the direct call)")
    added = figures["added_p99_us"]
    print(f"  added   p50 {figures['added_p50_us']} us, p99 {added} us, "
          f"target under {TARGET_ADDED_P99_US} us: "
          f"{'pass' if added < TARGET_ADDED_P99_US else 'MISS'}")
    print(f"  failures {figures['failures']}, router CPU {figures['cpu_us_per_request']} us per "
          "request")
    per_core = figures["events_per_core_second"]
    print(f"events relayed per second and core: {per_core}, target {TARGET_EVENTS_PER_CORE}: "
          f"{'pass' if per_core >= TARGET_EVENTS_PER_CORE else 'MISS'}")
    print(f"resident memory: idle {figures['idle_mb']} MB, with {STREAMS} streams "
          f"{figures['mb_with_1000_streams']} MB")
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(figures, file, indent=1, sort_keys=True)
            file.write("\n")


if __name__ == "__main__":
    main()
