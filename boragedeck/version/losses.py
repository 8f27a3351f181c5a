"""Tests whether a new version loses more upstreams than the old one would have lost.

Notes
-----
Reports about one upstream at about the same time count as one loss. A loss does not
count against the new version if the old version lost an upstream in the same failure
domain at the same time. Losses that one request may have caused are tested against the
expected rate of such requests.
"""

import math
from collections import Counter
from collections.abc import Set

import msgspec

from boragedeck.ids import FailureDomain, UpstreamName
from boragedeck.version.evidence import Loss
from boragedeck.version.judgement import Rejection

__all__ = ["judge_losses"]

LOSS_WINDOW_S = 5.0
"""Losses that are at most this far apart count as simultaneous."""
MIN_LOSSES = 3
BASE_LOSSES_PER_HOUR = 0.05
"""Expected losses of one upstream without a fault of the version."""
BASE_POISON_PER_HOUR = 6.0
"""Expected number of poisonous requests, which crash any upstream, in a whole pool."""
LOSS_FALSE_ALARM_RATE = 1e-4
# A request is quarantined after two losses.
MAX_LOSSES_PER_REQUEST = 2
BURST_WINDOW_S = 30.0


def judge_losses(
    losses: list[Loss],
    cleared: Set[int],
    quarantined: set[int],
    new_upstreams: int,
    old_upstreams: int,
    observed_s: float,
    old_domains: frozenset[FailureDomain],
) -> Rejection | None:
    """Return a rejection if too many upstreams of the new version were lost.

    Parameters
    ----------
    losses : list of Loss
        Losses reported by all routers.
    cleared : set of int
        Hashes of fingerprints that completed after a loss and so did not cause it.
    quarantined : set of int
        Hashes of the fingerprints of poisonous requests, which crash any upstream.
    new_upstreams, old_upstreams : int
        Number of upstreams of the new version and of the old one.
    observed_s : float
        How long the upstreams have been observed, in seconds.
    old_domains : frozenset of FailureDomain
        Failure domains that have upstreams of the old version.
    """
    losses = [_without_cleared(loss, cleared) for loss in losses]
    incidents = _incidents(losses, quarantined, old_domains)
    hours = observed_s / 3600
    upstreams = max(1, new_upstreams)
    ratio = upstreams / max(1, old_upstreams)
    unattributed_expectation = _LossExpectation(
        BASE_LOSSES_PER_HOUR * upstreams * hours, ratio
    )
    poison_expectation = _LossExpectation(BASE_POISON_PER_HOUR * hours, ratio)
    unattributed = [incident for incident in incidents if not incident.may_be_poison]
    poisoned = [incident for incident in incidents if incident.may_be_poison]
    return (
        _judge_incidents(unattributed, unattributed_expectation)
        or _judge_incidents(poisoned, poison_expectation)
        or _judge_burst(poisoned, ratio)
    )


def _without_cleared(loss: Loss, cleared: Set[int]) -> Loss:
    if loss.fingerprint not in cleared:
        return loss
    return msgspec.structs.replace(loss, fingerprint=0)


class _LossExpectation(msgspec.Struct, frozen=True):
    """Parameters of the expected number of losses of the new version.

    `base` is the number expected without a fault. `ratio` is the number of upstreams of
    the new version divided by that of the old one, which scales the old one's losses.
    """

    base: float
    ratio: float


class _Incident(msgspec.Struct, frozen=True):
    """One or more losses with the same cause.

    `may_be_poison` says whether the cause may be a poisonous request.
    """

    loss: Loss
    may_be_poison: bool


def _judge_burst(incidents: list[_Incident], ratio: float) -> Rejection | None:
    """Judge only the latest incidents: requests that crash upstreams come singly."""
    if not incidents:
        return None
    latest = max(incident.loss.at for incident in incidents)
    recent = [item for item in incidents if latest - item.loss.at <= BURST_WINDOW_S]
    return _judge_incidents(
        recent, _LossExpectation(BASE_POISON_PER_HOUR * BURST_WINDOW_S / 3600, ratio)
    )


def _judge_incidents(
    incidents: list[_Incident], limit: _LossExpectation
) -> Rejection | None:
    new = [incident.loss for incident in incidents if incident.loss.is_new]
    old = len(incidents) - len(new)
    expected = limit.base + 1.5 * old * limit.ratio
    if len(new) < MIN_LOSSES:
        return None
    if _poisson_tail(len(new), expected) > LOSS_FALSE_ALARM_RATE:
        return None
    names = sorted({loss.upstream for loss in new})
    return Rejection(
        f"lost upstreams: {len(new)} losses on the new version ({', '.join(names[:4])})"
        f", {expected:.2f} were expected; {old} losses on the old one"
    )


def _incidents(
    losses: list[Loss],
    quarantined: set[int],
    old_domains: frozenset[FailureDomain],
) -> list[_Incident]:
    groups = _group_by_upstream(losses)
    old = [group[0] for group in groups if not group[0].is_new]
    counted_losses: list[Loss] = []
    events = []
    for group in groups:
        loss = group[0]
        if loss.is_new and _coincides(loss, old):
            continue
        # In a domain without the old version, losses at the same time count as one,
        # because a failure of the domain can't be distinguished there from a fault of
        # the version.
        is_without_control = loss.is_new and loss.failure_domain not in old_domains
        if is_without_control and _coincides(loss, counted_losses):
            continue
        counted_losses.append(loss)
        events.append(group)
    return _attribute_to_requests(events, quarantined)


def _attribute_to_requests(
    groups: list[list[Loss]], quarantined: set[int]
) -> list[_Incident]:
    """Attribute losses to few requests, chosen greedily by the losses they explain."""
    suspects = quarantined | _repeated_fingerprints(groups)
    remaining = list(groups)
    incidents = []
    while True:
        counts = _count_fingerprints(remaining)
        candidates = suspects & counts.keys()
        if not candidates:
            break
        suspect_fingerprint = max(candidates, key=lambda item: (counts[item], item))
        caused = [
            group for group in remaining if suspect_fingerprint in _fingerprints(group)
        ]
        caused = caused[:MAX_LOSSES_PER_REQUEST]
        incidents.append(_Incident(caused[0][0], may_be_poison=True))
        remaining = [group for group in remaining if group not in caused]
    return incidents + [_Incident(group[0], may_be_poison=False) for group in remaining]


def _repeated_fingerprints(groups: list[list[Loss]]) -> set[int]:
    counts = _count_fingerprints(groups)
    return {fingerprint for fingerprint, count in counts.items() if count > 1}


def _count_fingerprints(groups: list[list[Loss]]) -> Counter[int]:
    return Counter(
        fingerprint for group in groups for fingerprint in _fingerprints(group)
    )


def _fingerprints(group: list[Loss]) -> set[int]:
    return {loss.fingerprint for loss in group} - {0}


def _group_by_upstream(losses: list[Loss]) -> list[list[Loss]]:
    """Group the reports about one upstream at about the same time, in order of time."""
    groups: list[list[Loss]] = []
    latest: dict[UpstreamName, list[Loss]] = {}
    for loss in sorted(losses, key=lambda loss: loss.at):
        group = latest.get(loss.upstream)
        if group is None or loss.at - group[0].at > LOSS_WINDOW_S:
            group = latest[loss.upstream] = []
            groups.append(group)
        group.append(loss)
    return groups


def _coincides(event: Loss, old: list[Loss]) -> bool:
    """Return whether another loss in the same domain happened at the same time."""
    return any(
        other.failure_domain == event.failure_domain
        and abs(other.at - event.at) <= LOSS_WINDOW_S
        for other in old
    )


def _poisson_tail(count: int, mean: float) -> float:
    term = math.exp(-mean)
    below = 0.0
    for k in range(count):
        below += term
        term *= mean / (k + 1)
    return max(0.0, 1.0 - below)
