"""Sequential tests that compare a new version with the old one over the same time.

Notes
-----
Failures and slowness are compared in 2 x 2 tables, one for each failure domain and
group of windows, by the conditional likelihood ratio of the odds ratio. The
conditional distribution does not depend on the common rate of a table, so a cause
that affects both versions in one domain at one time has no effect on the result. The
ratios are multiplied over the tables, and a CUSUM of their logarithms detects a change
at any time. An engine slows down with its load, at most in proportion to it. If each
upstream of the new version serves more requests than one of the old version, only
slowness beyond that proportion counts against the new version. A run without a first
token counts as slow as soon as its age shows it, and isn't counted before. For each
group of windows, one such test rejects a version that equals the old one with a
probability of at most `FALSE_ALARM_RATE`.
"""

import math
from collections.abc import Sequence

import msgspec

from boragedeck.ids import FailureDomain
from boragedeck.version.evidence import (
    BUCKETS_PER_DOUBLING,
    Cell,
    Cells,
    Evidence,
    trials,
    waiting_runs,
)

__all__ = [
    "Quantity",
    "UpstreamCounts",
    "Score",
    "Rejection",
    "is_rejected",
    "make_rejection",
    "group_score",
    "log_likelihood_ratios",
]

FALSE_ALARM_RATE = 1e-6
ODDS_RATIOS = (5.0, 25.0, 125.0)
"""Odds ratios of a faulty version to the old one, each of which is tested."""
REJECTION_NATS = math.log(len(ODDS_RATIOS) / FALSE_ALARM_RATE)
"""Evidence (log-likelihood ratio, in nats) from which a version is rejected."""
SUSPICION_NATS = math.log(1000.0)
"""Evidence from which a rollout stays at its step."""
MIN_CUT_QUANTILE, MAX_CUT_QUANTILE = 0.2, 0.8

ContingencyTable = tuple[int, int, int, int]


class Quantity(msgspec.Struct, frozen=True):
    """A measured quantity by which versions are compared.

    Parameters
    ----------
    name : str
        The name of the quantity in reasons.
    """

    name: str


FAILURES = Quantity("failed requests")
FIRST_TOKEN = Quantity("slow first tokens")
GAP = Quantity("slow gaps between tokens")
QUANTITIES = (FAILURES, FIRST_TOKEN, GAP)


class UpstreamCounts(msgspec.Struct, frozen=True):
    """Number of upstreams of each version in an attempt.

    Parameters
    ----------
    new_upstreams, old_upstreams : int
        Number of upstreams that serve the new version and the old one.
    old_domains : frozenset of FailureDomain
        Failure domains that have upstreams of the old version.
    """

    new_upstreams: int = 1
    old_upstreams: int = 1
    old_domains: frozenset[FailureDomain] = frozenset()


class Score(msgspec.Struct, frozen=True):
    """Log-likelihood evidence against the new version, by quantity and odds ratio.

    Parameters
    ----------
    nats : tuple of tuple of float
        One row for each quantity, with one column for each odds ratio.
    """

    nats: tuple[tuple[float, ...], ...] = ((0.0,) * len(ODDS_RATIOS),) * len(QUANTITIES)

    def after(self, group: "Score") -> "Score":
        """Return the CUSUM after adding the score of another group of windows."""
        rows = zip(self.nats, group.nats, strict=True)
        return Score(
            tuple(
                tuple(max(0.0, a + b) for a, b in zip(own, new, strict=True))
                for own, new in rows
            )
        )

    def or_stronger(self, other: "Score") -> "Score":
        """Return the higher evidence of two scores, for each quantity and ratio."""
        rows = zip(self.nats, other.nats, strict=True)
        return Score(
            tuple(tuple(map(max, own, theirs)) for own, theirs in rows),
        )

    def strongest_evidence(self) -> tuple[Quantity, float]:
        """Return the quantity with the most evidence against the version, in nats."""
        peaks = [max(row) for row in self.nats]
        index = max(range(len(peaks)), key=peaks.__getitem__)
        return QUANTITIES[index], peaks[index]


class Rejection(msgspec.Struct, frozen=True):
    """The decision to reject a new version.

    Parameters
    ----------
    reason : str
        The evidence for the decision, for operators.
    """

    reason: str


def log_likelihood_ratios(
    table: ContingencyTable, odds_ratios: Sequence[float]
) -> list[float]:
    """Return the log-likelihood ratio of each odds ratio, given the table's margins.

    Parameters
    ----------
    table : tuple of int
        Events and trials of the new version, then events and trials of the old one.
    odds_ratios : sequence of float
        Odds of an event under the new version, divided by the odds under the old one.
    """
    new_events, new_trials, old_events, old_trials = table
    events = new_events + old_events
    low, high = max(0, events - old_trials), min(events, new_trials)
    if low == high:
        return [0.0] * len(odds_ratios)
    # The terms are relative to the observed one, so that `exp` does not overflow.
    base = _log_binomial(new_trials, new_events) + _log_binomial(old_trials, old_events)
    counts = range(low, high + 1)
    ways = [
        _log_binomial(new_trials, count)
        + _log_binomial(old_trials, events - count)
        - base
        for count in counts
    ]
    log_total = math.log(sum(math.exp(min(700.0, way)) for way in ways))
    return [
        log_total - math.log(_tilted_sum(ways, low - new_events, math.log(odds_ratio)))
        for odds_ratio in odds_ratios
    ]


def group_score(evidence: Evidence, upstream_counts: UpstreamCounts) -> Score:
    """Return the score of the evidence of one group of windows."""
    shift = _load_shift(evidence, upstream_counts)
    strata = _stratify(evidence.new, evidence.old)
    strata += _stratify(evidence.late_new, evidence.late_old)
    median = _median_bucket(evidence.total(is_new=False).first_token)
    tables = {
        FAILURES: [_failure_table(new, old) for new, old in strata],
        FIRST_TOKEN: [
            _slowness_table(
                _shift_buckets(new.first_token, shift),
                old.first_token,
                _shift_buckets(_long_waits(new, median), shift),
                _long_waits(old, median),
            )
            for new, old in strata
        ],
        GAP: [
            _slowness_table(_shift_buckets(new.gap, shift), old.gap, {}, {})
            for new, old in strata
        ],
    }
    return Score(tuple(_sum_nats(tables[quantity]) for quantity in QUANTITIES))


def is_rejected(score: Score) -> bool:
    """Return whether a score has reached the limit for a rejection."""
    return score.strongest_evidence()[1] >= REJECTION_NATS


def make_rejection(score: Score, evidence: Evidence) -> Rejection:
    """Return the rejection of a version, with the reason for operators.

    Parameters
    ----------
    score : Score
        The CUSUM that includes the latest group.
    evidence : Evidence
        The counts of the whole attempt.
    """
    quantity, nats = score.strongest_evidence()
    new, old = evidence.total(is_new=True), evidence.total(is_new=False)
    return Rejection(
        f"{quantity.name}: {_describe(quantity, new)} on the new version, "
        f"{_describe(quantity, old)} on the old one at the same time "
        f"(evidence {nats:.1f} nats, limit {REJECTION_NATS:.1f})"
    )


def _sum_nats(tables: list[ContingencyTable]) -> tuple[float, ...]:
    nats = [log_likelihood_ratios(table, ODDS_RATIOS) for table in tables]
    return tuple(map(sum, zip(*nats, strict=True))) or (0.0,) * len(ODDS_RATIOS)


def _tilted_sum(ways: list[float], first: int, step: float) -> float:
    """Return the sum of `exp(ways)`, with the log odds of an event raised by `step`."""
    return sum(
        math.exp(min(700.0, way + (first + index) * step))
        for index, way in enumerate(ways)
    )


def _stratify(new_cells: Cells, old_cells: Cells) -> list[tuple[Cell, Cell]]:
    strata, unmatched = [], Cell()
    for domain, new in new_cells.items():
        old = old_cells.get(domain)
        if old is not None and (old.trials or old.waiting):
            strata.append((new, old))
        else:
            unmatched.merge(new)
    if unmatched.trials or unmatched.failures or unmatched.waiting:
        # The old version had no trials in these domains at the time, so the total of
        # all its domains is the nearest thing to compare with.
        all_old = Cell()
        for old in old_cells.values():
            all_old.merge(old)
        strata.append((unmatched, all_old))
    return strata


def _failure_table(new: Cell, old: Cell) -> ContingencyTable:
    # A failure may fall into a later window than the one that counts its run.
    new_trials = max(new.trials, new.failures)
    return new.failures, new_trials, old.failures, max(old.trials, old.failures)


def _long_waits(cell: Cell, median: int | None) -> dict[int, int]:
    """Return the ages above the median of runs without a first token."""
    if median is None:
        return {}
    return {index: count for index, count in cell.waiting.items() if index > median}


def _median_bucket(histogram: dict[int, int]) -> int | None:
    if not histogram:
        return None
    return _quantile(histogram, {}, sum(histogram.values()) / 2)


def _load_shift(evidence: Evidence, upstream_counts: UpstreamCounts) -> int:
    """Return by how many buckets its higher load alone may slow the new version."""
    new = trials(evidence.new) + waiting_runs(evidence.new)
    old = trials(evidence.old) + waiting_runs(evidence.old)
    if not new or not old:
        return 0
    load_ratio = (
        new / upstream_counts.new_upstreams / (old / upstream_counts.old_upstreams)
    )
    return max(0, math.ceil(BUCKETS_PER_DOUBLING * math.log2(load_ratio)))


def _shift_buckets(histogram: dict[int, int], buckets: int) -> dict[int, int]:
    return {index - buckets: count for index, count in histogram.items()}


def _slowness_table(
    new: dict[int, int],
    old: dict[int, int],
    new_waits: dict[int, int],
    old_waits: dict[int, int],
) -> ContingencyTable:
    """Count the values above a cut that is a quantile of both versions together.

    Notes
    -----
    A wait is a lower limit of a value, so one below the cut is left out.
    """
    all_new, all_old = _sum_histograms(new, new_waits), _sum_histograms(old, old_waits)
    new_total, old_total = sum(all_new.values()), sum(all_old.values())
    total = new_total + old_total
    if not new_total or not old_total:
        return 0, new_total, 0, old_total
    # If all values of the new version were slower, this cut would separate the two
    # versions.
    share = min(MAX_CUT_QUANTILE, max(MIN_CUT_QUANTILE, old_total / total))
    cut = _quantile(all_new, all_old, share * total)
    new_above, old_above = _count_above(all_new, cut), _count_above(all_old, cut)
    new_below = sum(new.values()) - _count_above(new, cut)
    old_below = sum(old.values()) - _count_above(old, cut)
    return new_above, new_above + new_below, old_above, old_above + old_below


def _sum_histograms(one: dict[int, int], other: dict[int, int]) -> dict[int, int]:
    return {
        index: one.get(index, 0) + other.get(index, 0)
        for index in one.keys() | other.keys()
    }


def _quantile(new: dict[int, int], old: dict[int, int], rank: float) -> int:
    cumulative_count = 0
    for index in sorted(new.keys() | old.keys()):
        cumulative_count += new.get(index, 0) + old.get(index, 0)
        if cumulative_count >= rank:
            return index
    return index


def _count_above(histogram: dict[int, int], cut: int) -> int:
    return sum(count for index, count in histogram.items() if index > cut)


def _log_binomial(total: int, chosen: int) -> float:
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
    index = _median_bucket(histogram)
    return "unknown" if index is None else f"{2 ** (index / 4) / 1000:.1f} ms"
