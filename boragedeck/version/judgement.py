"""Sequential tests of a new version against the old one at the same time.

Notes
-----
Failures and slowness are compared in 2 x 2 tables, one for each failure domain and
group of windows, by the conditional likelihood ratio of the odds ratio. The
conditional distribution does not depend on the common rate of a table, so
whatever strikes both versions in one domain at one time has no effect. The ratios
multiply over tables; a CUSUM of their logarithms finds a change at any time. A
version that equals the old one is condemned by one such test with probability of
at most `FALSE_ALARM_RATE` for each group of windows.
"""

import math
from collections import Counter
from collections.abc import Set

import msgspec

from boragedeck.ids import FailureDomain, UpstreamName
from boragedeck.version.evidence import Cell, Cells, Evidence, Loss

__all__ = [
    "Quantity",
    "Score",
    "Verdict",
    "condemns",
    "explain",
    "group_score",
    "judge_losses",
    "log_odds_evidence",
]

FALSE_ALARM_RATE = 1e-5
ODDS_RATIOS = (5.0, 25.0, 125.0)
CONDEMN_NATS = math.log(len(ODDS_RATIOS) / FALSE_ALARM_RATE)
DOUBT_NATS = math.log(1000.0)
MIN_CUT, MAX_CUT = 0.2, 0.8

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

Table = tuple[int, int, int, int]


class Quantity(msgspec.Struct, frozen=True):
    """One quantity that versions are compared by.

    Parameters
    ----------
    name : str
        Its name in reasons.
    """

    name: str


FAILURES = Quantity("failed requests")
FIRST_TOKEN = Quantity("slow first tokens")
GAP = Quantity("slow gaps between tokens")
QUANTITIES = (FAILURES, FIRST_TOKEN, GAP)


class Score(msgspec.Struct, frozen=True):
    """Logarithmic evidence against the new version, by quantity and odds ratio.

    Parameters
    ----------
    nats : tuple of tuple of float
        A row for each quantity, a column for each odds ratio.
    """

    nats: tuple[tuple[float, ...], ...] = ((0.0,) * len(ODDS_RATIOS),) * len(QUANTITIES)

    def after(self, group: "Score") -> "Score":
        """Return the CUSUM after a further group of windows."""
        rows = zip(self.nats, group.nats, strict=True)
        return Score(
            tuple(
                tuple(max(0.0, a + b) for a, b in zip(own, new, strict=True))
                for own, new in rows
            )
        )

    def worst(self) -> tuple[Quantity, float]:
        """Return the quantity that tells most against the version."""
        peaks = [max(row) for row in self.nats]
        index = max(range(len(peaks)), key=peaks.__getitem__)
        return QUANTITIES[index], peaks[index]


class Verdict(msgspec.Struct, frozen=True):
    """Condemns a version.

    Parameters
    ----------
    reason : str
        What the evidence showed, for operators.
    """

    reason: str


def log_odds_evidence(table: Table, odds_ratio: float) -> float:
    """Return the log likelihood ratio of an odds ratio, given the margins.

    Parameters
    ----------
    table : tuple of int
        Events and trials of the new version, events and trials of the old one.
    odds_ratio : float
        The odds of an event under the new version by those under the old one.
    """
    new_events, new_trials, old_events, old_trials = table
    events = new_events + old_events
    low, high = max(0, events - old_trials), min(events, new_trials)
    if low == high:
        return 0.0
    # Terms are taken relative to the one observed, so that they stay in range.
    base = _log_ways(new_trials, new_events) + _log_ways(old_trials, old_events)
    step = math.log(odds_ratio)
    plain = tilted = 0.0
    for count in range(low, high + 1):
        ways = _log_ways(new_trials, count) + _log_ways(old_trials, events - count)
        plain += math.exp(min(700.0, ways - base))
        shifted = ways - base + (count - new_events) * step
        tilted += math.exp(min(700.0, shifted))
    return math.log(plain) - math.log(tilted)


def group_score(evidence: Evidence) -> Score:
    """Return the evidence of one group of windows."""
    strata = _strata(evidence.new, evidence.old)
    strata += _strata(evidence.late_new, evidence.late_old)
    tables = {
        FAILURES: [_failure_table(new, old) for new, old in strata],
        FIRST_TOKEN: [
            _slow_table(new.first_token, old.first_token) for new, old in strata
        ],
        GAP: [_slow_table(new.gap, old.gap) for new, old in strata],
    }
    return Score(
        tuple(
            tuple(
                sum(log_odds_evidence(table, ratio) for table in tables[quantity])
                for ratio in ODDS_RATIOS
            )
            for quantity in QUANTITIES
        )
    )


def condemns(score: Score) -> bool:
    """Return whether a score is over the limit."""
    return score.worst()[1] >= CONDEMN_NATS


def explain(score: Score, evidence: Evidence) -> Verdict:
    """Return the verdict of a score that condemns a version.

    Parameters
    ----------
    score : Score
        The CUSUM with the latest group.
    evidence : Evidence
        The counts of the whole attempt.
    """
    quantity, nats = score.worst()
    new, old = evidence.total(is_new=True), evidence.total(is_new=False)
    return Verdict(
        f"{quantity.name}: {_describe(quantity, new)} on the new version, "
        f"{_describe(quantity, old)} on the old one at the same time "
        f"(evidence {nats:.1f} nats, limit {CONDEMN_NATS:.1f})"
    )


def judge_losses(
    losses: list[Loss],
    cleared: Set[int],
    quarantined: set[int],
    new_upstreams: int,
    old_upstreams: int,
    watched_s: float,
    old_domains: frozenset[FailureDomain],
) -> Verdict | None:
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


def _judge_burst(incidents: list[_Incident], ratio: float) -> Verdict | None:
    """Judge the latest incidents alone: requests that crash upstreams come singly."""
    if not incidents:
        return None
    latest = max(incident.loss.at for incident in incidents)
    recent = [item for item in incidents if latest - item.loss.at <= BURST_S]
    return _judge_incidents(
        recent, _Limit(BASE_POISON_PER_HOUR * BURST_S / 3600, ratio)
    )


def _judge_incidents(incidents: list[_Incident], limit: _Limit) -> Verdict | None:
    new = [incident.loss for incident in incidents if incident.loss.is_new]
    old = len(incidents) - len(new)
    expected = limit.base + 1.5 * old * limit.ratio
    if len(new) < MIN_LOSSES:
        return None
    if _poisson_tail(len(new), expected) > LOSS_FALSE_ALARM_RATE:
        return None
    names = sorted({loss.upstream for loss in new})
    return Verdict(
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


def _strata(new_cells: Cells, old_cells: Cells) -> list[tuple[Cell, Cell]]:
    strata, lone = [], Cell()
    for domain, new in new_cells.items():
        old = old_cells.get(domain)
        if old is not None and old.trials:
            strata.append((new, old))
        else:
            lone.merge(new)
    if lone.trials or lone.failures:
        # Nothing of the old version ran in these domains at the time, so the
        # whole old version is the nearest thing to compare with.
        everywhere = Cell()
        for old in old_cells.values():
            everywhere.merge(old)
        strata.append((lone, everywhere))
    return strata


def _failure_table(new: Cell, old: Cell) -> Table:
    # A failure may be seen in a window after the one that counts its run.
    new_trials = max(new.trials, new.failures)
    return new.failures, new_trials, old.failures, max(old.trials, old.failures)


def _slow_table(new: dict[int, int], old: dict[int, int]) -> Table:
    """Count what lies above a cut that depends on both versions alike."""
    new_total, old_total = sum(new.values()), sum(old.values())
    total = new_total + old_total
    if not new_total or not old_total:
        return 0, new_total, 0, old_total
    # Were the new version slower throughout, this cut would part the two.
    share = min(MAX_CUT, max(MIN_CUT, old_total / total))
    cut = _quantile(new, old, share * total)
    return _above(new, cut), new_total, _above(old, cut), old_total


def _quantile(new: dict[int, int], old: dict[int, int], rank: float) -> int:
    seen = 0
    for index in sorted(new.keys() | old.keys()):
        seen += new.get(index, 0) + old.get(index, 0)
        if seen >= rank:
            return index
    return index


def _above(histogram: dict[int, int], cut: int) -> int:
    return sum(count for index, count in histogram.items() if index > cut)


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


def _log_ways(total: int, chosen: int) -> float:
    return (
        math.lgamma(total + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(total - chosen + 1)
    )


def _describe(quantity: Quantity, cell: Cell) -> str:
    match quantity:
        case Quantity(name=FAILURES.name):
            return f"{cell.failures} of {cell.trials}"
        case Quantity(name=FIRST_TOKEN.name):
            return f"median {_median_ms(cell.first_token)}"
        case _:
            return f"median {_median_ms(cell.gap)}"


def _median_ms(histogram: dict[int, int]) -> str:
    if not histogram:
        return "unknown"
    index = _quantile(histogram, {}, sum(histogram.values()) / 2)
    return f"{2 ** (index / 4) / 1000:.1f} ms"
