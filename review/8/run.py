"""Case 8: an isolated tenant whose name is the one that the routers use for what all tenants share."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import stand_ins_2 as stand_ins  # noqa: E402

MODEL = "daka510000"
# The name of the isolated tenant that the change of the configuration adds.
ISOLATED = "shared" if stand_ins.TROUBLE else "reserved"
ROUTES = [{"name": "grade-tag", "hostname": "tag.example", "path_prefix": "/tag/", "kind": "stream",
           "service": "assistant", "timeout_ms": 3000, "target_latency_ms": 1000, "gap_target_ms": 500,
           "max_attempts": 2, "priority": 2, "sticky": True, "resumable": True}]
SERVICES = [{"name": "assistant", "health_path": "/healthz", "max_connections": 360,
             "engine": {"slots": 64, "kv_capacity_tokens": 212708, "kv_token_bytes": 18432, "link_mbps": 280000,
                        "moves": True, "models": [{"name": MODEL}]}}]


def tenant(name, key, isolated):
    return {"name": name, "api_keys": [key], "rate_per_s": 0, "burst": 0, "uncached_tokens": 200, "priority": 2,
            "isolated": isolated}


FIRST_TENANTS = [tenant("stand", "key1", False)]
ALL_TENANTS = FIRST_TENANTS + [tenant(ISOLATED, "key2", True)]


def make_bed():
    bed = stand_ins.Bed(HERE, routers=1)
    bed.cache = {}  # (worker, salt, part) -> tenant whose request made it
    bed.foreign = []

    async def run(worker, words, headers, body, writer):
        who, salt = headers.get("tenant-id", ""), headers.get("cache-salt", "")
        parts = [entry.partition(":")[0] for entry in headers["prefix-hash"].split(",")]
        hits = []
        for part in parts:
            maker = bed.cache.get((worker.id, salt, part))
            if maker is None:
                break
            hits.append((part, maker))
        for part in parts:
            bed.cache.setdefault((worker.id, salt, part), who)
        bed.record(f"{headers['request-id']} of {who} ran at {worker.id} with salt {salt!r}, cached parts {hits}")
        for part, maker in hits:
            if maker != who and ISOLATED in (maker, who):
                bed.foreign.append((headers["request-id"], who, part, maker))
        events = b"".join(f"id: {number}\ndata: x\n\n".encode() for number in range(1, 5))
        writer.write(stand_ins.sealed(headers, events, more={
            "content-type": "text/event-stream", "weight-versions": worker.version}))

    bed.workers.append(stand_ins.Worker(bed, "i-0", "assistant", "kandy-a", run, model=MODEL))
    return bed


async def ask(bed, key, own_part):
    """Sends a request whose first part others share too. Returns the status."""
    request = bed.next_id()
    status, _, _ = await stand_ins.call(bed.routers[0].address("front"), "POST", "/tag/1", {
        "host": "tag.example", "request-id": request, "deadline-ms": "3000", "authorization": f"Bearer {key}",
        "model": MODEL, "token-count": "2368,4", "prefix-hash": f"5c1e07a2:568,{own_part}:1800"}, b"{}")
    bed.record(f"{request} with {key}: {status}")
    return status


async def play(bed):
    bed.put_config(ROUTES, SERVICES, FIRST_TENANTS)
    await bed.start()
    await asyncio.sleep(stand_ins.CONTACT)
    statuses = [await ask(bed, "key1", f"aa{number:06x}") for number in range(5)]
    bed.put_config(ROUTES, SERVICES, ALL_TENANTS)
    await asyncio.sleep(stand_ins.CONFIG_APPLY + 1)
    for number in range(10):
        statuses.append(await ask(bed, "key2", f"bb{number:06x}"))
        statuses.append(await ask(bed, "key1", f"cc{number:06x}"))
    for request, who, part, maker in bed.foreign:
        bed.record(f"broken: {request} of {who} used part {part}, which a request of {maker} had made")
    print(f"{statuses.count(200)} of {len(statuses)} requests served, {len(bed.foreign)} of them on KV cache of the "
          "other tenant")
    if statuses.count(200) < len(statuses) // 2:
        raise stand_ins.CannotRun("too few requests were served")
    return not bed.foreign


stand_ins.run_case(make_bed, play)
