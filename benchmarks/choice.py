"""Compares policies for choosing an upstream under the same generated loads.

The policies are random choice, the least reported load, packing onto engines of medium
utilisation, and `PoolChooser`. Each runs with nine routers that read the same reports,
once a second and 0.5 s late, with all engines at full speed and with one at a third of
its speed.
"""

import msgspec

from benchmarks.fleet import Fleet, FleetSpec, RequestRecord, summarise
from benchmarks.model import Arrival, EngineSpec, LoadSpec, generate_arrivals

DURATION_S = 90.0
SEED = 7
BACKLOG_REQUESTS = 1500
LOAD_SHARES = {"low": 0.3, "normal": 0.7, "over": 1.2}
HIGH_UTILISATION = 0.6


def choose_random(fleet: Fleet, record: RequestRecord, router: int) -> int:
    """Return a random engine."""
    return fleet.rng.randrange(len(fleet.engines))


def choose_least_reported(fleet: Fleet, record: RequestRecord, router: int) -> int:
    """Return an engine with the lowest load in the latest reports."""
    lowest = min(report.total for report in fleet.reports)
    best = [i for i, report in enumerate(fleet.reports) if report.total == lowest]
    return fleet.rng.choice(best)


def choose_packed(fleet: Fleet, record: RequestRecord, router: int) -> int:
    """Return an engine by packing, as in the paper.

    The fullest engine of medium utilisation is preferred, then a random idle one, then
    the least utilised of the others.
    """
    utilisations = [
        report.total / engine.spec.batch
        for report, engine in zip(fleet.reports, fleet.engines, strict=True)
    ]
    medium = [
        i for i, share in enumerate(utilisations) if 0.0 < share < HIGH_UTILISATION
    ]
    if medium:
        return max(medium, key=lambda i: utilisations[i])
    idle = [i for i, share in enumerate(utilisations) if share == 0.0]
    if idle:
        return fleet.rng.choice(idle)
    return min(range(len(utilisations)), key=lambda i: utilisations[i])


POLICIES = {
    "random": choose_random,
    "least reported": choose_least_reported,
    "packing": choose_packed,
    "ours": None,
}


def full_load_rate(seed: int = SEED) -> float:
    """Return the rate, in requests per second, at which a backlog drains."""
    load = generate_arrivals(
        LoadSpec(rate=1000.0, seconds=BACKLOG_REQUESTS / 1000.0), seed
    )
    spec = FleetSpec()
    counts = [0] * len(spec.engines)

    def choose_in_turn(fleet: Fleet, record: RequestRecord, router: int) -> int:
        index = counts.index(min(counts))
        counts[index] += 1
        return index

    fleet = Fleet(spec, choose_in_turn)
    records = fleet.run([_at_start(each) for each in load], drain_s=600.0)
    end_times = sorted(record.done_at for record in records)
    # The last completions are left out, because batches are not full by then.
    steady_end_times = end_times[: int(0.8 * len(end_times))]
    return len(steady_end_times) / steady_end_times[-1]


def _at_start(arrival: Arrival) -> Arrival:
    return msgspec.structs.replace(arrival, at=0.0)


def idle_share(fleet: Fleet) -> float:
    """Return the share of engine time without requests, which could be freed."""
    samples = [load == 0 for loads in fleet.loads for load in loads]
    return sum(samples) / max(1, len(samples))


def main() -> None:
    """Print a line for each load, fleet and policy."""
    rate = full_load_rate()
    print(f"full load {rate:.1f} requests/s on 12 engines")
    slow = (EngineSpec(slowness=3.0),) + (EngineSpec(),) * 11
    for name, share in LOAD_SHARES.items():
        load = generate_arrivals(LoadSpec(rate=share * rate, seconds=DURATION_S), SEED)
        for engines, label in ((FleetSpec().engines, "well"), (slow, "one slow")):
            for policy, choose in POLICIES.items():
                fleet = Fleet(FleetSpec(engines=engines), choose)
                fleet.run(load)
                print(
                    f"{name:6} {label:8} {policy:14} {summarise(fleet)}"
                    f"  idle {idle_share(fleet):4.0%}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
