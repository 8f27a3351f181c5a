"""When a new version gets which share of a pool's requests; plain functions."""

import msgspec

from boragedeck.version.relay_rollouts import RolloutResult

__all__ = ["Stage", "finish_at", "share_at"]

EXPOSURE_SAFETY = 0.8
"""Of the share that a bad version may get, what a new one gets while it is tried."""


class Stage(msgspec.Struct, frozen=True):
    """A stage of a rollout.

    Parameters
    ----------
    until : float
        When it ends, as a share of the rollout's time.
    share : float
        Of the pool's requests, what the new version gets.
    """

    until: float
    share: float


RAMP_STAGES = (Stage(0.65, 0.25), Stage(0.75, 0.5))
TRIAL_UNTIL = 0.55
FINISH_AT = 0.85
"""The rest of the time is for the write that ends the rollout."""


def share_at(elapsed: float, exposure_share: float, result: RolloutResult) -> float:
    """Return the share of requests that the new version gets.

    Parameters
    ----------
    elapsed : float
        How much of the rollout's time has passed; 1 at its deadline.
    exposure_share : float
        The share of all requests that a bad version may get.
    result : RolloutResult
        How far the rollout is.
    """
    match result:
        case RolloutResult.COMPLETED:
            return 1.0
        case RolloutResult.ROLLED_BACK:
            return 0.0
    if elapsed < TRIAL_UNTIL:
        return EXPOSURE_SAFETY * exposure_share
    for stage in RAMP_STAGES:
        if elapsed < stage.until:
            return stage.share
    return 1.0


def finish_at(began: float, duration_s: float) -> float:
    """Return when a rollout without evidence against it is completed."""
    return began + FINISH_AT * duration_s
