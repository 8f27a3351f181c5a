"""Schedule of a new version's share of a pool's requests; pure functions."""

import msgspec

from boragedeck.version.relay_rollouts import RolloutResult

__all__ = ["Stage", "finish_at", "share_at"]

EXPOSURE_SAFETY = 0.8
"""Part of the exposure share that a new version gets during its trial."""


class Stage(msgspec.Struct, frozen=True):
    """A stage of a rollout.

    Parameters
    ----------
    until : float
        When the stage ends, as a share of the rollout's duration.
    share : float
        The new version's share of the pool's requests.
    """

    until: float
    share: float


RAMP_STAGES = (Stage(0.65, 0.25), Stage(0.75, 0.5))
TRIAL_UNTIL = 0.55
FINISH_AT = 0.85
"""The remaining time is reserved for the write that ends the rollout."""


def share_at(elapsed: float, exposure_share: float, result: RolloutResult) -> float:
    """Return the share of requests that the new version gets.

    Parameters
    ----------
    elapsed : float
        Elapsed share of the rollout's duration; 1 at its deadline.
    exposure_share : float
        Maximum share of all requests that a bad version may get.
    result : RolloutResult
        The rollout's current result.
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
    """Return when a rollout is completed if there is no evidence against it."""
    return began + FINISH_AT * duration_s
