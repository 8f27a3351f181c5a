"""Early alarm about a new version, based on the old version's rates at other times.

The alarm lowers the share, so that few requests are affected until the comparison of
both versions over the same time decides. It never rejects a version, because a cause
common to both versions also raises it.
"""

import math

from boragedeck.version.evidence import Cell

__all__ = ["is_alarming"]

ALARM_NATS = math.log(1000.0)
FAILURE_FLOOR = 0.02
FAULT_RATES = (0.2, 0.6)
SLOW_QUANTILE = 0.9
SLOW_SHARE = 0.2
SLOW_FAULT_RATES = (0.6, 0.9)
MIN_REFERENCE = 30


def is_alarming(recent: Cell, reference: Cell) -> bool:
    """Return whether the new version recently fails more often or is slower.

    Parameters
    ----------
    recent : Cell
        The latest runs of the new version.
    reference : Cell
        All runs of the old version in this attempt.
    """
    if reference.trials < MIN_REFERENCE:
        return False
    usual = max(FAILURE_FLOOR, 2.0 * reference.failures / reference.trials)
    trials = max(recent.trials, recent.failures)
    if _exceeds(recent.failures, trials, usual, FAULT_RATES):
        return True
    return _is_slow(recent.first_token, reference.first_token) or _is_slow(
        recent.gap, reference.gap
    )


def _is_slow(recent: dict[int, int], reference: dict[int, int]) -> bool:
    total = sum(reference.values())
    if total < MIN_REFERENCE:
        return False
    cut, seen = 0, 0
    for index in sorted(reference):
        cut, seen = index, seen + reference[index]
        if seen >= SLOW_QUANTILE * total:
            break
    slow = sum(count for index, count in recent.items() if index > cut)
    return _exceeds(slow, sum(recent.values()), SLOW_SHARE, SLOW_FAULT_RATES)


def _exceeds(events: int, trials: int, usual: float, faulty: tuple[float, ...]) -> bool:
    return any(
        _likelihood_nats(events, trials, usual, rate) >= ALARM_NATS
        for rate in faulty
        if rate > usual
    )


def _likelihood_nats(events: int, trials: int, usual: float, faulty: float) -> float:
    hits = events * math.log(faulty / usual)
    return hits + (trials - events) * math.log((1.0 - faulty) / (1.0 - usual))
