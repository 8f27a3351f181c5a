"""Judges from samples which runs of a pool are slower or faster than its median.

Handles a pool in which a part of the engines takes more than twice as long for the same
stream, while bursts, pauses and unlucky placements make single streams of any engine as
slow as that.
"""

import enum
import statistics
from collections.abc import Callable, Mapping

import msgspec

from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.relaying.speeds.run_samples import Summary
from boragedeck.process.relaying.speeds.speed_messages import (
    MAX_SPEED_RATIO,
    RunSpeed,
    StreamTimes,
)

__all__ = ["judge_speeds"]

MIN_RUNS = 3
"""Number of known runs below which a pool has no median to compare with."""
MIN_FINDING_WEIGHT = 1.5
"""Weight of samples from which a run that counted as ordinary may be found slower or
faster."""
DECAY_WEIGHT = 1.0
"""Weight below which a speed that was found moves back towards 1.0, so that a slow
engine gets more and more streams the longer it had none."""
MIN_KEPT_WEIGHT = 0.02
"""Weight below which a speed is 1.0 again."""
BASE_LIMIT = 1.25
"""Ratio of times that never counts as a difference, however many samples show it."""
SINGLE_SAMPLE_MARGIN = 0.75
"""Added to the limit for samples of weight 1.0; it falls with the weight."""
KEPT_LIMIT = 1.2
"""Ratio below which a difference that was found is given up."""


class _Direction(enum.Enum):
    """How a run differs from the median."""

    SLOWER = "slower"
    FASTER = "faster"


class _Medians(msgspec.Struct, frozen=True):
    """Medians of the runs of a pool."""

    low: StreamTimes
    high: StreamTimes


def judge_speeds(
    summaries: Mapping[Run, Summary], before: Mapping[Run, RunSpeed]
) -> dict[Run, RunSpeed]:
    """Return the speeds of the runs of a pool that differ from 1.0.

    Parameters
    ----------
    summaries : mapping of Run to Summary
        What the samples of each run show.
    before : mapping of Run to RunSpeed
        The speeds that were judged before.
    """
    known = [each for each in summaries.values() if each.weight >= MIN_KEPT_WEIGHT]
    if len(known) < MIN_RUNS:
        return {}
    medians = _Medians(
        _median(known, lambda each: each.low), _median(known, lambda each: each.high)
    )
    speeds = {}
    for run, summary in summaries.items():
        before_speed = before[run].speed if run in before else 1.0
        speed = _speed(summary, medians, before_speed)
        if speed != 1.0:
            speeds[run] = RunSpeed(
                run.replica, run.born_ms, speed, summary.samples, summary.age_s
            )
    return speeds


def _median(
    summaries: list[Summary], times_of: Callable[[Summary], StreamTimes]
) -> StreamTimes:
    times = [times_of(each) for each in summaries]
    return StreamTimes(
        statistics.median(each.read_s for each in times),
        statistics.median(each.event_s for each in times),
    )


def _speed(summary: Summary, medians: _Medians, before: float) -> float:
    """Return the speed that both reading and event times support, or 1.0."""
    slower = _ratio(summary, medians, _Direction.SLOWER)
    certainty = min(1.0, summary.weight / DECAY_WEIGHT)
    if slower >= _limit(summary, was_found=before < 1.0):
        return min(MAX_SPEED_RATIO, slower) ** -certainty
    faster = _ratio(summary, medians, _Direction.FASTER)
    if faster >= _limit(summary, was_found=before > 1.0):
        return min(MAX_SPEED_RATIO, faster) ** certainty
    return 1.0


def _ratio(summary: Summary, medians: _Medians, direction: _Direction) -> float:
    """Return the smaller of the factors by which reading and event times differ."""
    match direction:
        case _Direction.SLOWER:
            times, median = summary.low, medians.low
            return min(times.read_s / median.read_s, times.event_s / median.event_s)
        case _Direction.FASTER:
            times, median = summary.high, medians.high
            return min(median.read_s / times.read_s, median.event_s / times.event_s)


def _limit(summary: Summary, *, was_found: bool) -> float:
    """Return the ratio from which on a difference counts."""
    if was_found and summary.weight >= MIN_KEPT_WEIGHT:
        return KEPT_LIMIT
    if summary.weight < MIN_FINDING_WEIGHT:
        return float("inf")
    return BASE_LIMIT + SINGLE_SAMPLE_MARGIN / summary.weight
