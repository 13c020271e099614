"""Not a case, see REPORT-2.md. One configuration leaves a tenant out, and the next one brings it back: QUOTA."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import stand_ins_2 as stand_ins  # noqa: E402

RATE, BURST, TOKENS = 36000, 300000, 8000  # tokens a second, tokens at once, tokens of a request
WINDOW, OVERAGE, SLACK = 8.0, 0.1, 140000  # quota_window_s, quota_overage, quota_slack
ALLOWED = (RATE * WINDOW + BURST) * (1 + OVERAGE) + SLACK
AWAY = 3.0  # seconds from the version without the tenant to the version with it
CONSUMERS = 24
ROUTES = [{"name": "grade-tag", "hostname": "tag.example", "path_prefix": "/tag/", "kind": "idempotent",
           "service": "ledger", "timeout_ms": 3000, "target_latency_ms": 1000, "max_attempts": 1, "priority": 2}]
SERVICES = [{"name": "ledger", "health_path": "/healthz", "max_connections": 400}]
OTHER = {"name": "other", "api_keys": ["key2"], "rate_per_s": 0, "burst": 0, "uncached_tokens": 200}
TENANT = {"name": "stand", "api_keys": ["key1"], "rate_per_s": RATE, "burst": BURST, "uncached_tokens": 200}


def make_bed():
    bed = stand_ins.Bed(HERE, routers=3)
    bed.runs = []  # (time at which it was sent, tokens)
    bed.sent = {}

    async def run(worker, words, headers, body, writer):
        if headers.get("tenant-id") == "stand":
            bed.runs.append((bed.sent[headers["request-id"]], TOKENS))
        writer.write(stand_ins.sealed(headers, b"b" * 100))

    for number, zone in enumerate(stand_ins.ZONES):
        bed.workers.append(stand_ins.Worker(bed, f"i-{number}", "ledger", zone, run, slots=64))
    return bed


async def consume(bed, number, until):
    """Sends requests of the limited tenant on kept channels until a time."""
    counts = {}
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(*bed.routers[number % 3].address("front"))
            try:
                while time.monotonic() < until:
                    request = bed.next_id()
                    bed.sent[request] = time.monotonic()
                    status, headers, _ = await stand_ins.exchange(reader, writer, "POST", "/tag/1", {
                        "host": "tag.example", "request-id": request, "deadline-ms": "3000",
                        "authorization": "Bearer key1", "token-count": f"{TOKENS - 4},4"}, b"{}")
                    counts[status] = counts.get(status, 0) + 1
                    await asyncio.sleep(0.02 if status == 200 else 0.05)
                    if headers.get("connection") == "close":
                        break
            finally:
                writer.close()
        except (OSError, stand_ins.Broken):
            await asyncio.sleep(0.05)
    return counts


def most_in_window(runs):
    """Returns the most tokens that ran within a window of WINDOW seconds."""
    runs = sorted(runs)
    most = total = first = 0
    for at, tokens in runs:
        total += tokens
        while runs[first][0] < at - WINDOW:
            total -= runs[first][1]
            first += 1
        most = max(most, total)
    return most


async def play(bed):
    bed.put_config(ROUTES, SERVICES, [OTHER, TENANT])
    await bed.start()
    await asyncio.sleep(stand_ins.CONTACT + stand_ins.CONFIG_APPLY)
    seconds = 1 + AWAY + WINDOW
    consumers = [bed.later(consume(bed, number, time.monotonic() + seconds)) for number in range(CONSUMERS)]
    await asyncio.sleep(1)
    if stand_ins.TROUBLE:
        bed.put_config(ROUTES, SERVICES, [OTHER])
    await asyncio.sleep(AWAY)
    if stand_ins.TROUBLE:
        bed.put_config(ROUTES, SERVICES, [OTHER, TENANT])
    counts = {}
    for each in await asyncio.gather(*consumers):
        for status, count in each.items():
            counts[status] = counts.get(status, 0) + count
    for at, tokens in bed.runs:
        bed.record(f"ran: sent at {at - bed.began:.3f}, {tokens} tokens")
    most = most_in_window(bed.runs)
    text = f"most tokens in {WINDOW:.0f} s: {most}, allowed {ALLOWED:.0f}; answers by status {counts}"
    print(text)
    bed.record(text)
    if not bed.runs:
        raise stand_ins.CannotRun("nothing was served")
    return most <= ALLOWED


stand_ins.run_case(make_bed, play)
