"""Schedule of a rollout, and what its new version must show; pure functions."""

import msgspec

from boragedeck.process.relaying.settings import Bounds
from boragedeck.version.evidence import Evidence
from boragedeck.version.judgement import SUSPICION_NATS, Score

__all__ = [
    "Doubt",
    "Stage",
    "find_doubt",
    "finish_at",
    "give_up_at",
    "share_at",
    "trial_share",
    "usual_trial_share",
]

EXPOSURE_SAFETY = 0.8
"""Part of the exposure share that a new version gets during its trial."""


TRIAL_REQUESTS = 12
"""Number of requests that a new version should get during its trial."""
MAX_TRIAL_SHARE = 0.5
EXTRA_SAFETY = 0.25
"""Part of the fixed number of requests that a bad version may get which is used to
reach `TRIAL_REQUESTS`."""


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
GIVE_UP_AT = 0.93
"""When a rollout without enough trials is rolled back. It is later than `FINISH_AT`,
since a router that is cut off from the others sees too few."""
MIN_TRIALS = 6
"""Number of runs that a new version must show, without failed ones. A version that is
several times slower than the old one shows fewer, or is seen by them."""


class Doubt(msgspec.Struct, frozen=True):
    """A reason not to complete a rollout, or to send more to its new version.

    Parameters
    ----------
    reason : str
        The reason, for operators.
    is_suspicion : bool
        Whether there is evidence against the version, rather than too little for it.
    """

    reason: str
    is_suspicion: bool


def find_doubt(score: Score, evidence: Evidence) -> Doubt | None:
    """Return the reason not to complete a rollout now; None if there is none.

    Parameters
    ----------
    score : Score
        The score of the evidence.
    evidence : Evidence
        The evidence of all routers since the order.
    """
    quantity, nats = score.strongest_evidence()
    if nats >= SUSPICION_NATS:
        return Doubt(f"{nats:.1f} nats of evidence of {quantity.name}", True)
    total = evidence.total(is_new=True)
    shown = total.trials - total.failures
    if shown < MIN_TRIALS:
        return Doubt(f"{shown} of {MIN_TRIALS} answers of the new version", False)
    return None


def usual_trial_share(bounds: Bounds) -> float:
    """Return the share of requests that the new version of a large pool gets."""
    return EXPOSURE_SAFETY * bounds.exposure_share


def trial_share(bounds: Bounds, per_s: float, duration_s: float) -> float:
    """Return the share of requests that the new version gets during its trial.

    Parameters
    ----------
    bounds : Bounds
        The operators' bounds on what a bad version may get.
    per_s : float
        The pool's requests per second at all routers.
    duration_s : float
        The rollout's duration, in seconds.

    Notes
    -----
    If the usual share of a small pool gives too few requests to judge the version by,
    it gets a larger one, within the bound's fixed number of requests.
    """
    usual = usual_trial_share(bounds)
    wanted = min(TRIAL_REQUESTS, EXTRA_SAFETY * bounds.exposure_extra)
    expected = per_s * TRIAL_UNTIL * duration_s
    return max(usual, min(MAX_TRIAL_SHARE, wanted / max(wanted, expected, 1.0)))


def share_at(elapsed: float, trial: float) -> float:
    """Return the share of requests that a new version without doubt gets.

    Parameters
    ----------
    elapsed : float
        Elapsed share of the rollout's duration; 1 at its deadline.
    trial : float
        The share during the trial; see `trial_share`.
    """
    if elapsed < TRIAL_UNTIL:
        return trial
    for stage in RAMP_STAGES:
        if elapsed < stage.until:
            return max(trial, stage.share)
    return 1.0


def finish_at(began: float, duration_s: float) -> float:
    """Return when a rollout is completed if there is no reason not to."""
    return began + FINISH_AT * duration_s


def give_up_at(began: float, duration_s: float) -> float:
    """Return when a rollout is rolled back because its version has shown too little."""
    return began + GIVE_UP_AT * duration_s
