"""Steps of a rollout: the share, required evidence and planned end of each step.

Notes
-----
The share is that of the requests sent to the new version. The allowance is the maximum
number of requests that it may receive in a step. A trial is a run of a version that
counts as evidence; see `Cell`.
"""

import math

import msgspec

from boragedeck.version.judgement import SUSPICION_NATS
from boragedeck.version.rollout_row import RolloutRow

__all__ = [
    "Decision",
    "ExtendAllowance",
    "Finish",
    "Progress",
    "RaiseShare",
    "RollBack",
    "Wait",
    "allowance",
    "decide",
    "finish_by",
    "first_share",
    "first_step",
    "is_too_short",
    "window_s",
]


class _Step(msgspec.Struct, frozen=True):
    """A step: its share, the trials needed and its planned end.

    `end_fraction` is the planned end as a fraction of the time to the deadline.
    `requests` is the initial allowance; None for no limit.
    """

    share: float
    trials: int
    end_fraction: float
    requests: float | None = None


STEPS = (
    _Step(share=0.02, trials=12, end_fraction=0.2, requests=40),
    _Step(share=0.04, trials=40, end_fraction=0.4, requests=120),
    _Step(share=0.10, trials=60, end_fraction=0.47),
    _Step(share=0.25, trials=80, end_fraction=0.54),
    _Step(share=0.50, trials=120, end_fraction=0.62),
    _Step(share=0.90, trials=200, end_fraction=0.85),
)
SMALL_ROUTE_SHARE = 0.035
"""First share of a route with little traffic; see `first_share`."""
LAST_STEP = len(STEPS) - 1
SOAK_STEP = LAST_STEP - 1
"""Step with half of the requests, at which a late fault is detected soonest."""
MIN_TRIALS = 6
MIN_LONG_TRIALS = 2
MIN_LONG_TRIALS_TO_FINISH = 5
MIN_USUAL_LONG_SHARE = 0.03
"""A step waits for long outputs if at least this share of the old runs is long."""
MIN_DWELL_S = 8.0
MAX_DWELL_S = 60.0
DWELL_SHARE = 0.03
"""Shortest duration of a step, as a share of the time from start to deadline."""
MAX_SOAK_S = 1800.0
MIN_SOAK_SHARE = 0.1
FINISH_MARGIN_S = 20.0
"""Longer than a lease, so that a paused leader can't finish after the deadline."""
FINISH_MARGIN_SHARE = 0.05
MIN_ROLLOUT_S = 90.0
MISSING_EVIDENCE_TIMEOUT_S = 30.0
"""How long a step waits beyond its shortest duration for routers without evidence."""

MIN_WINDOW_S = 5.0
WINDOW_FACT_BYTES = 400
FACT_BUDGET_BYTES_PER_S = 4000


class Progress(msgspec.Struct, frozen=True):
    """Summary of the evidence about an attempt.

    Parameters
    ----------
    trials, long_trials : int
        Trials of the new version in this step, and its trials with long outputs in the
        whole attempt.
    old_trials, old_long_trials : int
        Trials of the old version and those with long outputs, in the whole attempt.
    nats : float
        Strongest evidence against the new version, as a log-likelihood ratio.
    rate : float
        Trials of both versions per second.
    missing : int
        Number of routers that are not known to be dead but have sent no recent
        evidence.
    has_capacity : bool
        Whether the new version's upstreams can carry the next share.
    is_share_capped : bool
        Whether an alarm currently limits the share.
    """

    trials: int = 0
    long_trials: int = 0
    old_trials: int = 0
    old_long_trials: int = 0
    nats: float = 0.0
    rate: float = 0.0
    missing: int = 0
    has_capacity: bool = True
    is_share_capped: bool = False


class Wait(msgspec.Struct, frozen=True):
    """Stay at the current step."""

    reason: str


class RaiseShare(msgspec.Struct, frozen=True):
    """Raise the share to that of the next step."""

    reason: str


class ExtendAllowance(msgspec.Struct, frozen=True):
    """Allow more requests at the same share."""

    reason: str


class Finish(msgspec.Struct, frozen=True):
    """End the attempt with the new version in force."""

    reason: str


class RollBack(msgspec.Struct, frozen=True):
    """Roll the attempt back because there was not enough evidence in time."""

    reason: str


Decision = Wait | RaiseShare | ExtendAllowance | Finish | RollBack


def window_s(publishers: int) -> float:
    """Return a length of evidence windows that limits the control traffic.

    Parameters
    ----------
    publishers : int
        Number of routers times number of running rollouts: how many windows each
        router receives during one window.
    """
    return max(MIN_WINDOW_S, publishers * WINDOW_FACT_BYTES / FACT_BUDGET_BYTES_PER_S)


def is_too_short(started: float, deadline: float) -> bool:
    """Return whether a deadline leaves too little time to collect evidence."""
    return deadline - started < MIN_ROLLOUT_S


def finish_by(row: RolloutRow) -> float:
    """Return the latest time at which the attempt may end as done, in Unix seconds."""
    length = row.deadline - row.started
    return row.deadline - max(FINISH_MARGIN_S, FINISH_MARGIN_SHARE * length)


def allowance(step: int) -> float | None:
    """Return the initial allowance of requests of a step; None for no limit."""
    return STEPS[step].requests


def first_step(rate: float, length_s: float) -> int:
    """Return the first step of a rollout: the second one if there is little traffic.

    Parameters
    ----------
    rate : float
        Requests per second of the route.
    length_s : float
        Time to the deadline, in seconds.
    """
    expected = rate * STEPS[0].share * STEPS[0].end_fraction * length_s
    return 0 if expected >= 2 * STEPS[0].trials else 1


def first_share(step: int) -> float:
    """Return the share of a rollout that starts at a step.

    The observed share varies more if there are few requests, so small routes stay
    further below the limit.
    """
    return STEPS[0].share if step == 0 else SMALL_ROUTE_SHARE


def decide(row: RolloutRow, progress: Progress, now: float) -> Decision:
    """Return the next action for a running attempt that has not been rejected.

    Parameters
    ----------
    row : RolloutRow
        The attempt.
    progress : Progress
        Evidence about the attempt.
    now : float
        The current time, in Unix seconds.
    """
    if now > finish_by(row):
        missing = _blocking_reason(row, progress) or "the last step was not complete"
        return RollBack(f"no time is left before the deadline: {missing}")
    blocker = _blocking_reason(row, progress)
    waited = now - row.step_since
    if blocker and waited >= _dwell_s(row) * _allowance_factor(row):
        return ExtendAllowance(f"allowing more requests at the same share: {blocker}")
    if blocker:
        return Wait(blocker)
    if waited < _dwell_s(row):
        return Wait(f"the step lasts at least {_dwell_s(row):.0f} s")
    if progress.missing and waited < _dwell_s(row) + MISSING_EVIDENCE_TIMEOUT_S:
        return Wait(f"{progress.missing} routers have sent no recent evidence")
    if row.step < SOAK_STEP:
        return RaiseShare(_describe_evidence(row, progress))
    soak_end = _soak_end(row)
    if now < soak_end:
        return Wait(f"soaking for another {soak_end - now:.0f} s")
    if row.step < LAST_STEP:
        return RaiseShare(_describe_evidence(row, progress))
    return Finish(_describe_evidence(row, progress))


def _blocking_reason(row: RolloutRow, progress: Progress) -> str | None:
    """Return what prevents the end of the step; None if nothing does."""
    if progress.nats >= SUSPICION_NATS:
        return f"{progress.nats:.1f} nats of evidence against the new version"
    needed = trials_needed(row, progress)
    if progress.trials < needed:
        return f"{progress.trials} of {needed} trials of the new version in this step"
    long_trials = _long_trials_needed(row, progress)
    if progress.long_trials < long_trials:
        return (
            f"{progress.long_trials} of {long_trials} long outputs of the new version"
        )
    if progress.is_share_capped and row.step < LAST_STEP:
        return "an alarm limits the share; its cause may also affect the old version"
    if not progress.has_capacity:
        return "the new version's upstreams can't carry the next share"
    return None


def trials_needed(row: RolloutRow, progress: Progress) -> int:
    """Return how many trials a step needs; fewer if there is too little traffic."""
    step = STEPS[row.step]
    start_fraction = STEPS[row.step - 1].end_fraction if row.step > 1 else 0.0
    planned_s = (step.end_fraction - start_fraction) * (row.deadline - row.started)
    possible = math.floor(0.5 * progress.rate * step.share * planned_s)
    return max(MIN_TRIALS, min(step.trials, possible))


def _long_trials_needed(row: RolloutRow, progress: Progress) -> int:
    is_usual = progress.old_long_trials >= MIN_USUAL_LONG_SHARE * max(
        1, progress.old_trials
    )
    if not is_usual or progress.old_long_trials < MIN_LONG_TRIALS_TO_FINISH:
        return 0
    # Half of the number expected among the trials, so that a small route does not wait
    # for long outputs that it rarely has.
    usual = progress.old_long_trials / max(1, progress.old_trials)
    expected = math.floor(0.5 * usual * trials_needed(row, progress))
    match row.step:
        case 0:
            return 0
        case step if step == LAST_STEP:
            return min(MIN_LONG_TRIALS_TO_FINISH, expected)
    return min(MIN_LONG_TRIALS, expected)


def _dwell_s(row: RolloutRow) -> float:
    length = row.deadline - row.started
    dwell = min(MAX_DWELL_S, max(MIN_DWELL_S, DWELL_SHARE * length))
    return max(dwell, 1.5 * row.window_s)


def _allowance_factor(row: RolloutRow) -> float:
    """Return the allowance relative to the initial one; infinite without a limit."""
    base = allowance(row.step)
    if base is None or row.allowance is None:
        return math.inf
    return row.allowance / base


def _soak_end(row: RolloutRow) -> float:
    length = row.deadline - row.started
    shortest = row.step_since + MIN_SOAK_SHARE * length
    planned = row.started + STEPS[row.step].end_fraction * length
    longest = row.step_since + MAX_SOAK_S
    return min(max(shortest, min(planned, longest)), finish_by(row) - 1.0)


def _describe_evidence(row: RolloutRow, progress: Progress) -> str:
    text = (
        f"{progress.trials} trials of {row.new} in this step, no significant evidence "
        f"against it ({progress.nats:.1f} nats)"
    )
    if progress.missing:
        text += f"; {progress.missing} routers sent no evidence and judge on their own"
    return text
