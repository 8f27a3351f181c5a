"""Tests whether a new version loses upstreams that the old one would not have lost.

Notes
-----
Reports of one upstream at one time are one loss. A loss is not charged to the version
where the old one lost an upstream in the same failure domain at the same time. Losses
that one request may have caused are tested against the rate of such requests.
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
MIN_LOSSES = 3
BASE_LOSSES_PER_HOUR = 0.05
"""Losses of one upstream that need no explanation."""
BASE_POISON_PER_HOUR = 6.0
"""Requests that crash upstreams, in a whole pool."""
LOSS_FALSE_ALARM_RATE = 1e-4
# A request is quarantined after two losses.
MAX_LOSSES_PER_REQUEST = 2
BURST_S = 30.0


def judge_losses(
    losses: list[Loss],
    cleared: Set[int],
    quarantined: set[int],
    new_upstreams: int,
    old_upstreams: int,
    watched_s: float,
    old_domains: frozenset[FailureDomain],
) -> Rejection | None:
    """Return a verdict where too many upstreams of the new version were lost.

    Parameters
    ----------
    losses : list of Loss
        What all routers saw.
    cleared : set of int
        Hashes of fingerprints that were completed after a loss, which therefore did
        not cause it.
    quarantined : set of int
        Hashes of fingerprints that crash any upstream.
    new_upstreams, old_upstreams : int
        Upstreams of either kind.
    watched_s : float
        For how long they were watched, in seconds.
    old_domains : frozenset of FailureDomain
        Where upstreams of the old version stand.
    """
    losses = [_without_cleared(loss, cleared) for loss in losses]
    incidents = _incidents(losses, quarantined, old_domains)
    hours = watched_s / 3600
    upstreams = max(1, new_upstreams)
    ratio = upstreams / max(1, old_upstreams)
    own = _Limit(BASE_LOSSES_PER_HOUR * upstreams * hours, ratio)
    poison = _Limit(BASE_POISON_PER_HOUR * hours, ratio)
    plain = [incident for incident in incidents if not incident.may_be_poison]
    poisoned = [incident for incident in incidents if incident.may_be_poison]
    return (
        _judge_incidents(plain, own)
        or _judge_incidents(poisoned, poison)
        or _judge_burst(poisoned, ratio)
    )


def _without_cleared(loss: Loss, cleared: Set[int]) -> Loss:
    if loss.fingerprint not in cleared:
        return loss
    return msgspec.structs.replace(loss, fingerprint=0)


class _Limit(msgspec.Struct, frozen=True):
    """Losses expected by themselves, and for each one of the old version."""

    base: float
    ratio: float


class _Incident(msgspec.Struct, frozen=True):
    """Losses with one cause."""

    loss: Loss
    may_be_poison: bool


def _judge_burst(incidents: list[_Incident], ratio: float) -> Rejection | None:
    """Judge the latest incidents alone: requests that crash upstreams come singly."""
    if not incidents:
        return None
    latest = max(incident.loss.at for incident in incidents)
    recent = [item for item in incidents if latest - item.loss.at <= BURST_S]
    return _judge_incidents(
        recent, _Limit(BASE_POISON_PER_HOUR * BURST_S / 3600, ratio)
    )


def _judge_incidents(incidents: list[_Incident], limit: _Limit) -> Rejection | None:
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
        f" where {expected:.2f} were expected, {old} on the old one"
    )


def _incidents(
    losses: list[Loss],
    quarantined: set[int],
    old_domains: frozenset[FailureDomain],
) -> list[_Incident]:
    groups = _group_by_upstream(losses)
    old = [group[0] for group in groups if not group[0].is_new]
    kept: list[Loss] = []
    events = []
    for group in groups:
        loss = group[0]
        if loss.is_new and _is_shared(loss, old):
            continue
        # Losses at one time in a domain without the old version count as one: the
        # domain's own loss can't be told from the version's fault there.
        is_lone = loss.is_new and loss.failure_domain not in old_domains
        if is_lone and _is_shared(loss, kept):
            continue
        kept.append(loss)
        events.append(group)
    return _explain_by_requests(events, quarantined)


def _explain_by_requests(
    groups: list[list[Loss]], quarantined: set[int]
) -> list[_Incident]:
    """Explain losses by as few requests as can have caused them."""
    suspects = quarantined | _repeated(groups)
    left = list(groups)
    incidents = []
    while True:
        counts = _count_fingerprints(left)
        candidates = suspects & counts.keys()
        if not candidates:
            break
        blamed = max(candidates, key=lambda item: (counts[item], item))
        caused = [group for group in left if blamed in _fingerprints(group)]
        caused = caused[:MAX_LOSSES_PER_REQUEST]
        incidents.append(_Incident(caused[0][0], may_be_poison=True))
        left = [group for group in left if group not in caused]
    return incidents + [_Incident(group[0], may_be_poison=False) for group in left]


def _repeated(groups: list[list[Loss]]) -> set[int]:
    counts = _count_fingerprints(groups)
    return {fingerprint for fingerprint, count in counts.items() if count > 1}


def _count_fingerprints(groups: list[list[Loss]]) -> Counter[int]:
    return Counter(
        fingerprint for group in groups for fingerprint in _fingerprints(group)
    )


def _fingerprints(group: list[Loss]) -> set[int]:
    return {loss.fingerprint for loss in group} - {0}


def _group_by_upstream(losses: list[Loss]) -> list[list[Loss]]:
    """Group reports of one upstream that lie close together, in order of time."""
    groups: list[list[Loss]] = []
    latest: dict[UpstreamName, list[Loss]] = {}
    for loss in sorted(losses, key=lambda loss: loss.at):
        group = latest.get(loss.upstream)
        if group is None or loss.at - group[0].at > LOSS_WINDOW_S:
            group = latest[loss.upstream] = []
            groups.append(group)
        group.append(loss)
    return groups


def _is_shared(event: Loss, old: list[Loss]) -> bool:
    """Return whether the old version lost an upstream there at the same time."""
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
