"""Measures resume latency and extra tokens when engines are lost, against retries.

One engine, four of twelve, or a failure domain is lost under a generated load of 0.6 of
full load. Compared are a retry from the start on a random engine, resuming from the
prefix on a random engine or by packing, and `PoolChooser`.
"""

from collections.abc import Callable

import msgspec

from benchmarks.choice import choose_packed, choose_random, full_load_rate
from benchmarks.figures import percentile
from benchmarks.fleet import Fleet, FleetSpec
from benchmarks.model import LoadSpec, generate_arrivals

DURATION_S = 60.0
LOST_AT_S = 30.0
RESTART_S = 60.0
SEEDS = (11, 12, 13)
LOAD_SHARE = 0.6


class RecoveryPolicy(msgspec.Struct, frozen=True):
    """How requests continue after a loss.

    Parameters
    ----------
    name : str
        Its name in the table.
    choose : callable or None
        Chooses an engine; None for `PoolChooser`.
    resumes : bool
        Whether a run resumes from its prefix.
    """

    name: str
    choose: Callable | None
    resumes: bool


RECOVERY_POLICIES = (
    RecoveryPolicy("retry from start", choose_random, False),
    RecoveryPolicy("resume at random", choose_random, True),
    RecoveryPolicy("packing", choose_packed, True),
    RecoveryPolicy("ours", None, True),
)


def engines_to_crash(fleet: Fleet) -> dict[str, list]:
    """Return the engines that crash, by the kind of loss."""
    return {
        "one engine": fleet.engines[:1],
        "4 of 12": [fleet.engines[i] for i in (0, 1, 5, 9)],
        "domain": fleet.domain_engines(0),
    }


def simulate(policy: RecoveryPolicy, loss: str, rate: float, seed: int) -> Fleet:
    """Run a load during which engines crash, and return the fleet."""
    load = generate_arrivals(LoadSpec(rate=rate, seconds=DURATION_S), seed)
    fleet = Fleet(FleetSpec(seed=seed), policy.choose, resumes=policy.resumes)

    def crash_engines() -> None:
        for engine in engines_to_crash(fleet)[loss]:
            engine.crash(RESTART_S)

    fleet.timers.call_later(LOST_AT_S, crash_engines)
    fleet.run(load)
    return fleet


def main() -> None:
    """Print a line for each kind of loss and recovery policy."""
    rate = LOAD_SHARE * full_load_rate()
    for loss in ("one engine", "4 of 12", "domain"):
        for policy in RECOVERY_POLICIES:
            records = []
            for seed in SEEDS:
                records += simulate(policy, loss, rate, seed).records
            waits = [wait for record in records for wait in record.resume_times_s]
            extra = sum(record.extra_tokens for record in records)
            broken = sum(record.lost_at is not None for record in records)
            refused = sum(record.is_refused for record in records)
            p50, p95, p99 = (percentile(waits, share) for share in (0.5, 0.95, 0.99))
            print(
                f"{loss:10} {policy.name:17} resumed {len(waits):4}"
                f"  p50 {p50:6.3f} p95 {p95:6.3f} p99 {p99:6.3f} s"
                f"  extra tokens/resume {extra / max(1, len(waits)):6.1f}"
                f"  not resumed {broken}  refused {refused}",
                flush=True,
            )


if __name__ == "__main__":
    main()
