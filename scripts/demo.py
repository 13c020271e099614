#!/usr/bin/env python3
"""Runs a small deployment on the loopback address and checks the routers' guarantees.

Runs three router instances in three regions, and fakes of the platform's object service, of six
engines and of a ledger service. With --stay the processes run until Ctrl-C. The exit code is 0
only if every check passes.
"""

import argparse
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

HOST = "127.0.0.1"
REGIONS = ("erie", "huron", "michigan")
CALLER_PORTS = (18201, 18202, 18203)
ADMIN_PORTS = (18211, 18212, 18213)
PEER_PORTS = (18221, 18222, 18223)
STORE_PORT = 18300
ENGINE_PORTS = tuple(range(18400, 18406))
LEDGER_PORT = 18500
REQUESTS = 100  # in the mixed load
SEED = 7  # of the mixed load

CONFIGURATION_PROGRAM = """
from lavenderhall import Configuration
config = Configuration()
for region in ("erie", "huron", "michigan"):
    config.region(region)
for name in ("erie-mill", "huron-mill", "brands"):
    config.organisation(name, tokens_per_second=400000, burst_tokens=4000000)
config.organisation("small", tokens_per_second=300, burst_tokens=1500)
config.model("loom-70b", version="2026-11")
for index in range(6):
    region = ("erie", "huron", "michigan")[index // 2]
    config.engine(f"{region}-gpu-{index % 2 + 1}", f"127.0.0.1:{18400 + index}", region=region,
                  zone=region + "-a", models=["loom-70b"], slots=16)
config.service("desk", "127.0.0.1:18500", region="erie", zone="erie-a")
config.model_route("spec-review", model="loom-70b", traffic="long", gap_ms=2000)
config.model_route("care-check", model="loom-70b", gap_ms=2000)
config.service_route("orders", endpoints=["desk"], repeatable=False, timeout_ms=5000)
config.service_route("stock", endpoints=["desk"], repeatable=True, open_for="brands")
config.placement(block_tokens=256, prefill_tokens_per_second=50000)
print(config)
"""


class Deployment:
    """The processes of the demo, their folder and their environment."""

    def __init__(self, build):
        self.build = os.path.abspath(build)
        self.folder = tempfile.mkdtemp(prefix="lavenderhall-demo-")
        self.processes = []
        self.routers = []
        self.environment = dict(os.environ,
                                LAVENDERHALL_STORE=f"{HOST}:{STORE_PORT}",
                                LAVENDERHALL_ADMINS=",".join(f"{HOST}:{p}" for p in ADMIN_PORTS),
                                PYTHONPATH=self.folder)

    def start(self):
        plan = [{"kind": "store", "port": STORE_PORT}, {"kind": "service", "port": LEDGER_PORT}]
        plan += [{"kind": "engine", "port": port, "model": "loom-70b", "version": "2026-11",
                  "block_tokens": 256, "cache_blocks": 400, "token_ms": 4,
                  "prefill_tokens_per_second": 50000} for port in ENGINE_PORTS]
        self.spawn("fakes", [f"{self.build}/lavenderhall-fakes", "--plan", json.dumps(plan)])
        keys = json.loads(self.client("fleet-keys"))
        for index, region in enumerate(REGIONS):
            self.routers.append(self.start_router(index, region, keys))
        for port in ADMIN_PORTS:
            self.wait_for(port, "/healthz", 200)

    def start_router(self, index, region, keys):
        """Writes the instance's settings and starts it; keys are the fleet keys."""
        settings = {
            "instance": f"{region}-1", "region": region, "zone": f"{region}-a",
            "listen": {"host": HOST, "port": CALLER_PORTS[index]},
            "admin": {"host": HOST, "port": ADMIN_PORTS[index]},
            "peer": {"host": HOST, "port": PEER_PORTS[index]},
            "store": {"host": HOST, "port": STORE_PORT},
            "seeds": [{"host": HOST, "port": port} for port in PEER_PORTS],
            "fleet_keys": keys, "engine_credential": "demo-engine-credential",
        }
        path = os.path.join(self.folder, f"router-{index}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return self.spawn(f"router-{index}",
                          [f"{self.build}/lavenderhall", "router", "--settings", path])

    def spawn(self, name, command):
        """Starts a process that logs to NAME.log in the deployment's folder."""
        log = open(os.path.join(self.folder, name + ".log"), "wb")
        process = subprocess.Popen(command, stdout=log, stderr=log, env=self.environment)
        self.processes.append(process)
        return process

    def stop(self):
        """Ends all processes: SIGTERM first, SIGKILL after ten seconds."""
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        for process in self.processes:
            try:
                process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()

    def client(self, *arguments):
        """Runs a command of the operators' client; returns its output."""
        completed = subprocess.run([f"{self.build}/lavenderhall", *arguments], env=self.environment,
                                   capture_output=True, text=True, timeout=30, check=False)
        if completed.returncode != 0:
            raise RuntimeError(f"lavenderhall {' '.join(arguments)}: {completed.stderr.strip()}")
        return completed.stdout

    def wait_for(self, port, path, status, seconds=15):
        """Waits until GET of the path at the port gives the status."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if request(port, "GET", path)["status"] == status:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"port {port}: no {status} from {path} in {seconds} s")

    def configure(self):
        """Applies a configuration written with the shipped module; returns the callers' keys."""
        with open(os.path.join(self.folder, "lavenderhall.py"), "w", encoding="utf-8") as file:
            file.write(self.client("library"))
        program = os.path.join(self.folder, "configuration.py")
        with open(program, "w", encoding="utf-8") as file:
            file.write(CONFIGURATION_PROGRAM)
        printed = subprocess.run([sys.executable, program], env=self.environment,
                                 capture_output=True, text=True, check=True).stdout
        document = os.path.join(self.folder, "configuration.json")
        with open(document, "w", encoding="utf-8") as file:
            file.write(printed)
        self.client("check", document)
        self.client("apply", document, "--base", "0", "--author", "demo")
        keys = {}
        for name in ("erie-mill", "huron-mill", "brands", "small"):
            lines = self.client("key", "issue", name).split("\n")
            keys[name] = {"secret": lines[0].split()[1], "id": lines[1].split()[1]}
        self.wait_for_version(5)
        return keys

    def wait_for_version(self, version, seconds=7):
        """Waits until all instances have the configuration version, or a later one, in force."""
        end = time.monotonic() + seconds
        versions = []
        while time.monotonic() < end:
            status = json.loads(self.client("status", "--json"))
            versions = [entry.get("config", {}).get("version", 0) for entry in status]
            if all(active >= version for active in versions):
                return
            time.sleep(0.05)
        raise RuntimeError(f"version {version} not in force everywhere in {seconds} s: {versions}")


def request(port, method, path, body=None, key=None, headers=None, on_chunk=None):
    """Sends one request and reads the whole answer.

    Returns its status, headers and body, the seconds to the first byte of the body ("first"), and
    whether the body was complete ("whole"). on_chunk is called with the number of chunks so far.
    """
    connection = http.client.HTTPConnection(HOST, port, timeout=30)
    request_headers = dict(headers or {})
    if key:
        request_headers["Authorization"] = "Bearer " + key
    started = time.monotonic()
    connection.request(method, path, body=body, headers=request_headers)
    answer = connection.getresponse()
    result = {"status": answer.status, "headers": {k.lower(): v for k, v in answer.getheaders()},
              "first": None, "whole": True}
    chunks = []
    try:
        while True:
            chunk = answer.read1(65536)
            if not chunk:
                break
            if result["first"] is None:
                result["first"] = time.monotonic() - started
            chunks.append(chunk)
            if on_chunk:
                on_chunk(len(chunks))
    except http.client.IncompleteRead:
        result["whole"] = False
    connection.close()
    result["body"] = b"".join(chunks).decode()
    return result


def completion(port, key, model, prompt, tokens, stream, on_chunk=None):
    """Requests a chat completion; prompt is the pair of system and user message."""
    body = json.dumps({"model": model, "stream": stream, "max_tokens": tokens,
                       "messages": [{"role": "system", "content": prompt[0]},
                                    {"role": "user", "content": prompt[1]}]})
    return request(port, "POST", "/v1/chat/completions", body, key, on_chunk=on_chunk)


def is_whole_answer(result, tokens, stream):
    """Returns whether the caller got each token of its own answer once and in order."""
    expected = [f"t{number}" for number in range(1, tokens + 1)]
    if result["status"] != 200 or not result["whole"]:
        return False
    request_id = result["headers"].get("x-request-id", "")
    if not stream:
        answer = json.loads(result["body"])
        text = answer["choices"][0]["message"]["content"]
        return text.split() == expected and answer["id"].endswith(request_id)
    received = []
    is_done = False
    for line in result["body"].split("\n"):
        if line == "data: [DONE]":
            is_done = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            if "error" in event or not event["id"].endswith(request_id):
                return False
            received.append(event["choices"][0]["delta"]["content"].strip())
    return is_done and received == expected


class CheckResults:
    """Collects the results of all checks, which are printed at the end."""

    def __init__(self):
        self.lines = []
        self.passed = True

    def add(self, check, passed, measured):
        self.lines.append((check, measured, "held" if passed else "NOT HELD"))
        self.passed = self.passed and passed

    def show(self):
        for check, measured, verdict in self.lines:
            print(f"  {check:<52} {measured:<34} {verdict}")


def check_mixed_requests(keys, results):
    """Sends a hundred mixed requests of three organisations, with nested shared prefixes."""
    rng = random.Random(SEED)
    system_prompts = {name: " ".join(f"{name}-rule-{i}" for i in range(600)) for name in keys}
    jobs = []
    for number in range(REQUESTS):
        name = rng.choice(("erie-mill", "huron-mill", "brands"))
        kind = rng.choice(("stream", "stream", "whole", "order", "stock"))
        jobs.append((number, name, kind, rng.randrange(3), rng.randrange(4)))
    answers = [None] * REQUESTS

    def run(job):
        number, name, kind, instance, level = job
        port, key = CALLER_PORTS[instance], keys[name]["secret"]
        if kind == "order":
            result = request(port, "POST", "/svc/orders/book", f"order {number}", key,
                             {"Idempotency-Key": f"order-{number}"})
            answers[number] = (kind, result, result["status"] == 200)
        elif kind == "stock":
            result = request(port, "GET", f"/svc/stock/roll?n={number}")
            answers[number] = (kind, result, result["status"] == 200)
        else:
            prompt = (system_prompts[name],
                      " ".join(f"level-{level}-{i}" for i in range(400 * level)))
            tokens = 8 + level
            result = completion(port, key, "spec-review" if level else "care-check", prompt,
                                tokens, kind == "stream")
            answers[number] = (kind, result, is_whole_answer(result, tokens, kind == "stream"))

    waiting = list(jobs)
    lock = threading.Lock()

    def worker():
        while True:
            with lock:
                if not waiting:
                    return
                job = waiting.pop(0)
            run(job)

    threads = [threading.Thread(target=worker) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    whole = sum(1 for entry in answers if entry[2])
    results.add("complete answers, each to the caller's own request", whole == REQUESTS,
                f"{whole} of {REQUESTS}")
    first_byte_seconds = sorted(entry[1]["first"] for entry in answers if entry[0] == "stream")
    results.add("time to first token, p50 and p95 (target 390 ms)",
                first_byte_seconds[int(len(first_byte_seconds) * 0.95)] <= 0.39,
                f"{first_byte_seconds[len(first_byte_seconds) // 2] * 1000:.0f} ms, "
                f"{first_byte_seconds[int(len(first_byte_seconds) * 0.95)] * 1000:.0f} ms")


def check_repeats(results):
    """Checks that no call of a route that is not repeatable ran twice at the ledger."""
    runs = json.loads(request(LEDGER_PORT, "GET", "/_runs")["body"])
    orders = {body: count for body, count in runs.items() if body.startswith("order")}
    repeated = sum(1 for count in orders.values() if count > 1)
    results.add("non-repeatable calls that ran more than once", repeated == 0 and bool(orders),
                f"{repeated} of {len(orders)}")


def check_hit_rate(results):
    """Checks that the engines found part of the prompts in their caches."""
    prompt_tokens = prefilled_tokens = 0
    for port in ENGINE_PORTS:
        stats = json.loads(request(port, "POST", "/_faults", "{}")["body"])
        prompt_tokens += stats["prompt_tokens"]
        prefilled_tokens += stats["prefilled_tokens"]
    rate = 1 - prefilled_tokens / prompt_tokens
    results.add("prefix hit rate (some reuse)", rate > 0.2, f"{rate:.0%} of {prompt_tokens} tokens")


def check_limits(keys, results):
    """Requests far more tokens than an organisation's rate, at all instances at once."""
    # These are the limits of "small" in CONFIGURATION_PROGRAM.
    rate, burst, output_tokens = 300, 1500, 100
    granted = []
    refused = []
    stop_at = time.monotonic() + 3
    started = time.monotonic()

    def send_requests(port):
        # An empty prompt is charged as one token, in addition to max_tokens.
        while time.monotonic() < stop_at:
            body = json.dumps({"model": "care-check", "max_tokens": output_tokens, "prompt": ""})
            result = request(port, "POST", "/v1/completions", body, keys["small"]["secret"])
            (granted if result["status"] == 200 else refused).append(result["status"])

    threads = [threading.Thread(target=send_requests, args=(port,)) for port in CALLER_PORTS * 3]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed = time.monotonic() - started
    tokens = len(granted) * output_tokens
    max_tokens = rate * elapsed + burst
    results.add("tokens granted within rate and burst",
                0.5 * max_tokens < tokens <= max_tokens and refused and set(refused) == {429},
                f"{tokens} of {max_tokens:.0f} in {elapsed:.1f} s")


def check_restart(deployment, keys, results):
    """Restarts an instance while the store is down; it gets the configuration from its peers."""
    request(STORE_PORT, "POST", "/_faults", json.dumps({"unreachable": True}))
    deployment.routers[1].kill()
    deployment.routers[1].wait()
    started = time.monotonic()
    with open(os.path.join(deployment.folder, "router-1.json"), encoding="utf-8") as file:
        fleet_keys = json.load(file)["fleet_keys"]
    deployment.routers[1] = deployment.start_router(1, REGIONS[1], fleet_keys)
    deployment.wait_for(ADMIN_PORTS[1], "/readyz", 200)
    elapsed = time.monotonic() - started
    result = completion(CALLER_PORTS[1], keys["erie-mill"]["secret"], "care-check", ("a", "b"), 4,
                        False)
    results.add("restart with the store down serves (7 s)",
                elapsed < 7 and is_whole_answer(result, 4, False), f"ready in {elapsed:.2f} s")
    request(STORE_PORT, "POST", "/_faults", json.dumps({"unreachable": False}))


def check_withdrawal(deployment, keys, results):
    """Withdraws a key while a stream that uses it runs."""
    result = {}

    def stream():
        result.update(completion(CALLER_PORTS[1], keys["huron-mill"]["secret"], "spec-review",
                                 ("a", "b"), 3000, True))

    thread = threading.Thread(target=stream)
    thread.start()
    time.sleep(0.5)
    started = time.monotonic()
    deployment.client("key", "withdraw", keys["huron-mill"]["id"])
    thread.join(timeout=15)
    elapsed = time.monotonic() - started
    results.add("running stream ends when its key is withdrawn (7 s)",
                elapsed < 7 and "key_withdrawn" in result.get("body", ""),
                f"after {elapsed:.2f} s")
    codes = [completion(port, keys["huron-mill"]["secret"], "spec-review", ("a", "b"), 2,
                        False)["status"] for port in CALLER_PORTS]
    results.add("withdrawn key refused on each instance", codes == [401] * 3, str(codes))


def check_drain(deployment, keys, results):
    """Stops an instance gracefully in the middle of a stream."""
    result = {}
    first_chunk_received = threading.Event()

    def stream():
        result.update(completion(CALLER_PORTS[2], keys["erie-mill"]["secret"], "spec-review",
                                 ("a", "b"), 250, True,
                                 on_chunk=lambda count: first_chunk_received.set()))

    thread = threading.Thread(target=stream)
    thread.start()
    first_chunk_received.wait(timeout=10)
    deployment.routers[2].send_signal(signal.SIGTERM)
    time.sleep(0.1)
    refusal = completion(CALLER_PORTS[2], keys["erie-mill"]["secret"], "care-check", ("a", "b"), 2,
                         False)
    thread.join(timeout=30)
    code = deployment.routers[2].wait(timeout=30)
    results.add("stream through a graceful stop is whole",
                is_whole_answer(result, 250, True) and code == 0, f"exit code {code}")
    results.add("new request at a stopping instance is \"not run\"",
                refusal["status"] == 503
                and refusal["headers"].get("x-lavenderhall-outcome") == "not-run",
                f"{refusal['status']} {refusal['headers'].get('x-lavenderhall-outcome')}")


def check_keys_are_not_logged(deployment, keys, results):
    """Searches for callers' keys in all logs and in the time line of the running instances."""
    texts = [deployment.client("timeline", "--admin",
                               ",".join(f"{HOST}:{port}" for port in ADMIN_PORTS[:2]))]
    for name in os.listdir(deployment.folder):
        if name.endswith(".log"):
            with open(os.path.join(deployment.folder, name), encoding="utf-8") as file:
                texts.append(file.read())
    occurrences = sum(text.count(key["secret"]) for key in keys.values() for text in texts)
    results.add("callers' keys in logs and time line", occurrences == 0, str(occurrences))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--stay", action="store_true")
    options = parser.parse_args()
    deployment = Deployment(options.build)
    try:
        deployment.start()
        keys = deployment.configure()
        print("configuration in force on all three instances")
        if options.stay:
            print(f"\ncurl http://{HOST}:{CALLER_PORTS[0]}/v1/chat/completions "
                  f"-H 'Authorization: Bearer {keys['erie-mill']['secret']}' "
                  "-d '{\"model\":\"spec-review\",\"messages\":"
                  "[{\"role\":\"user\",\"content\":\"hello\"}],\"max_tokens\":8}'\n")
            print(f"export LAVENDERHALL_STORE={HOST}:{STORE_PORT} "
                  f"LAVENDERHALL_ADMINS={deployment.environment['LAVENDERHALL_ADMINS']}")
            print(f"logs: {deployment.folder}; Ctrl-C ends all processes", flush=True)
            signal.pause()
        results = CheckResults()
        check_mixed_requests(keys, results)
        check_repeats(results)
        check_hit_rate(results)
        check_limits(keys, results)
        check_withdrawal(deployment, keys, results)
        check_restart(deployment, keys, results)
        check_drain(deployment, keys, results)
        check_keys_are_not_logged(deployment, keys, results)
        results.show()
        return 0 if results.passed else 1
    except KeyboardInterrupt:
        return 0
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
