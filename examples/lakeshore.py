#!/usr/bin/env python3
"""Example configuration of Lakeshore Loomworks Consortium, with three mills and three regions."""

from lavenderhall import Configuration

config = Configuration()
for region in ("erie", "huron", "michigan"):
    config.region(region)

config.organisation("erie-mill", tokens_per_second=20000, burst_tokens=200000)
config.organisation("huron-mill", tokens_per_second=20000, burst_tokens=200000)
config.organisation("michigan-mill", tokens_per_second=20000, burst_tokens=200000)
config.organisation("brands", tokens_per_second=5000, burst_tokens=60000)
config.organisation("converters", tokens_per_second=5000, burst_tokens=60000)

config.model("loom-70b", version="2026-11", adapters={"care-symbols": "4"})

for index, region in enumerate(("erie", "huron", "michigan")):
    for worker in range(3):
        config.engine(f"{region}-gpu-{worker + 1}", f"127.0.0.1:{8400 + 10 * index + worker}",
                      region=region, zone=f"{region}-a", models=["loom-70b"], slots=16)
    config.service(f"{region}-desk", f"127.0.0.1:{8500 + index}",
                   region=region, zone=f"{region}-a")
desks = [f"{region}-desk" for region in ("erie", "huron", "michigan")]

config.model_route("spec-review", model="loom-70b", traffic="long")
config.model_route("care-check", model="loom-70b", adapter="care-symbols", traffic="interactive")
config.service_route("orders", endpoints=desks, repeatable=False)
config.service_route("stock", endpoints=desks, repeatable=True, open_for="brands")

config.placement(block_tokens=2048, weight_loads_at_once=2)
print(config)
