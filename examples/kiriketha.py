#!/usr/bin/env python3
"""Example configuration of Kiriketha Software House: Churnline, for small milk churn stands."""

from lavenderhall import Configuration

config = Configuration()
REGIONS = ("kandy", "kurunegala", "nuwara")
for region in REGIONS:
    config.region(region)

config.organisation("churnline-kandy", tokens_per_second=30000, burst_tokens=400000)
config.organisation("churnline-kurunegala", tokens_per_second=30000, burst_tokens=400000)
config.organisation("churnline-nuwara", tokens_per_second=15000, burst_tokens=200000)
config.organisation("collectors", tokens_per_second=4000, burst_tokens=50000)
config.organisation("co-op", tokens_per_second=4000, burst_tokens=50000)

config.model("churn-34b", version="season-3", adapters={"grading": "2"})

for index, region in enumerate(REGIONS):
    for worker in range(6):
        config.engine(f"{region}-gpu-{worker + 1}", f"127.0.0.1:{8600 + 10 * index + worker}",
                      region=region, zone=f"{region}-a", models=["churn-34b"], slots=16)
    config.service(f"{region}-ledger", f"127.0.0.1:{8700 + index}",
                   region=region, zone=f"{region}-a")
ledgers = [f"{region}-ledger" for region in REGIONS]

config.model_route("settlement-letter", model="churn-34b", traffic="long")
config.model_route("grade-note", model="churn-34b", adapter="grading", traffic="interactive")
config.service_route("payments", endpoints=ledgers, repeatable=False)
config.service_route("balances", endpoints=ledgers, repeatable=True)

config.placement(block_tokens=2048, weight_loads_at_once=3)
print(config)
