"""Measures fairness under a flood and goodput under overload, against no limit.

First one organisation sends ten times its share while the load of the others stays the
same; then all load is raised, up to three times the capacity of the fleet.
"""

import math

import msgspec

from benchmarks.choice import choose_least_reported, full_load_rate
from benchmarks.figures import percentile
from benchmarks.fleet import Fleet, FleetSpec, RequestRecord
from benchmarks.model import Arrival, LoadSpec, generate_arrivals

DURATION_S = 90.0
SEED = 21
BASE_SHARES = (0.4, 0.6, 0.8)
FLOOD = "org-9"
FLOOD_FACTOR = 10
OVERLOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)
GOOD_FIRST_TOKEN_S = 10.0
WARM_UP_S = 20.0


def even_load(rate: float, seconds: float, seed: int) -> list[Arrival]:
    """Return a load in which ten organisations have the same rate."""
    load = generate_arrivals(LoadSpec(rate=rate, seconds=seconds), seed)
    return [
        msgspec.structs.replace(arrival, organisation=f"org-{number % 10}")
        for number, arrival in enumerate(load)
    ]


def add_flood(load: list[Arrival], rate: float, seed: int) -> list[Arrival]:
    """Return a load with one organisation's traffic raised."""
    extra_rate = rate / 10 * (FLOOD_FACTOR - 1)
    extra = generate_arrivals(LoadSpec(rate=extra_rate, seconds=DURATION_S), seed + 1)
    flood = [msgspec.structs.replace(each, organisation=FLOOD) for each in extra]
    return sorted([*load, *flood], key=lambda arrival: arrival.at)


def others_p95_s(records: list[RequestRecord]) -> float:
    """Return the p95 time to the first token of the other organisations."""
    times = [
        record.first_token_s
        for record in records
        if record.arrival.organisation != FLOOD and not record.is_refused
    ]
    return percentile(times, 0.95)


def refused_share(records: list[RequestRecord], *, of_flood: bool) -> float:
    """Return the share of refused requests, of the flood or of the others."""
    selected = [r for r in records if (r.arrival.organisation == FLOOD) is of_flood]
    return sum(record.is_refused for record in selected) / len(selected)


def goodput(fleet: Fleet, seconds: float) -> float:
    """Return the output tokens per second of requests that were served in time."""
    good = [
        record.arrival.output_tokens
        for record in fleet.records
        if record.first_token_s <= GOOD_FIRST_TOKEN_S
        and WARM_UP_S <= record.done_at < seconds
    ]
    return sum(good) / (seconds - WARM_UP_S)


def _print_flood(label: str, choose, base: list[Arrival], flood: list[Arrival]):
    without_flood = Fleet(FleetSpec(), choose).run(base)
    under_flood = Fleet(FleetSpec(), choose).run(flood)
    before, after = others_p95_s(without_flood), others_p95_s(under_flood)
    print(
        f"flood    {label:13} others' p95 {before:6.3f} -> {after:6.3f} s"
        f" ({after / before - 1.0:+.0%})"
        f"  refused: others {refused_share(under_flood, of_flood=False):.1%},"
        f" flooding {refused_share(under_flood, of_flood=True):.1%}",
        flush=True,
    )


def main() -> None:
    """Print the figures of both loads."""
    rate = full_load_rate()
    policies = {"no limit": choose_least_reported, "ours": None}
    for share in BASE_SHARES:
        base = even_load(share * rate, DURATION_S, SEED)
        flood = add_flood(base, share * rate, SEED)
        for name, choose in policies.items():
            _print_flood(f"{share:.1f} {name}", choose, base, flood)
    for name, choose in policies.items():
        peak = 0.0
        for factor in OVERLOADS:
            load = even_load(factor * rate, DURATION_S, SEED)
            fleet = Fleet(FleetSpec(), choose)
            fleet.run(load, drain_s=0.0)
            good = goodput(fleet, DURATION_S)
            peak = max(peak, good)
            waits = [
                record.retry_after_s
                for record in fleet.records
                if record.retry_after_s is not None
            ]
            print(
                f"overload {name:9} {factor:3.1f} x  goodput {good:7.0f} tokens/s"
                f"  {good / peak:4.0%} of peak  refused {len(waits)}"
                f"  retry after {percentile(waits, 0.5) if waits else math.nan:4.1f} s",
                flush=True,
            )


if __name__ == "__main__":
    main()
