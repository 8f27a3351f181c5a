"""Early alarm about a new version, based on the old version's rates at other times.

The alarm lowers the share, so that few requests are affected until the comparison of
both versions over the same time decides. It never rejects a version, because a cause
common to both versions also raises it.
"""

import math

from boragedeck.version.evidence import Cell

__all__ = ["is_alarming"]

ALARM_NATS = math.log(1000.0)
MIN_USUAL_FAILURE_RATE = 0.02
FAULTY_FAILURE_RATES = (0.2, 0.6)
SLOW_QUANTILE = 0.9
USUAL_SLOW_SHARE = 0.2
FAULTY_SLOW_RATES = (0.6, 0.9)
MIN_REFERENCE_TRIALS = 30


def is_alarming(recent: Cell, reference: Cell) -> bool:
    """Return whether the new version recently fails more often or is slower.

    Parameters
    ----------
    recent : Cell
        The latest runs of the new version.
    reference : Cell
        All runs of the old version in this attempt.
    """
    if reference.trials < MIN_REFERENCE_TRIALS:
        return False
    usual_rate = max(
        MIN_USUAL_FAILURE_RATE, 2.0 * reference.failures / reference.trials
    )
    trials = max(recent.trials, recent.failures)
    if _is_faulty_rate(recent.failures, trials, usual_rate, FAULTY_FAILURE_RATES):
        return True
    return _is_slow(recent.first_token, reference.first_token) or _is_slow(
        recent.gap, reference.gap
    )


def _is_slow(recent: dict[int, int], reference: dict[int, int]) -> bool:
    total = sum(reference.values())
    if total < MIN_REFERENCE_TRIALS:
        return False
    cut, cumulative_count = 0, 0
    for index in sorted(reference):
        cut, cumulative_count = index, cumulative_count + reference[index]
        if cumulative_count >= SLOW_QUANTILE * total:
            break
    slow = sum(count for index, count in recent.items() if index > cut)
    return _is_faulty_rate(
        slow, sum(recent.values()), USUAL_SLOW_SHARE, FAULTY_SLOW_RATES
    )


def _is_faulty_rate(
    events: int, trials: int, usual_rate: float, faulty_rates: tuple[float, ...]
) -> bool:
    return any(
        _likelihood_nats(events, trials, usual_rate, rate) >= ALARM_NATS
        for rate in faulty_rates
        if rate > usual_rate
    )


def _likelihood_nats(
    events: int, trials: int, usual_rate: float, faulty_rate: float
) -> float:
    event_nats = events * math.log(faulty_rate / usual_rate)
    return event_nats + (trials - events) * math.log(
        (1.0 - faulty_rate) / (1.0 - usual_rate)
    )
