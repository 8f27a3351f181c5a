"""Sequential tests of a new version against the old one at the same time.

Notes
-----
Failures and slowness are compared in 2 x 2 tables, one for each failure domain and
group of windows, by the conditional likelihood ratio of the odds ratio. The
conditional distribution does not depend on the common rate of a table, so
whatever strikes both versions in one domain at one time has no effect. The ratios
multiply over tables; a CUSUM of their logarithms finds a change at any time. An
engine gets slower with its load, at most in proportion to it, so a new version whose
upstreams serve more requests each is only charged with what is slower still. A
version that equals the old one is condemned by one such test with probability of
at most `FALSE_ALARM_RATE` for each group of windows.
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
)

__all__ = [
    "Quantity",
    "Room",
    "Score",
    "Verdict",
    "condemns",
    "explain",
    "group_score",
    "log_odds_evidence",
]

FALSE_ALARM_RATE = 1e-6
ODDS_RATIOS = (5.0, 25.0, 125.0)
CONDEMN_NATS = math.log(len(ODDS_RATIOS) / FALSE_ALARM_RATE)
DOUBT_NATS = math.log(1000.0)
MIN_CUT, MAX_CUT = 0.2, 0.8

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


class Room(msgspec.Struct, frozen=True):
    """Upstreams of an attempt.

    Parameters
    ----------
    new_upstreams, old_upstreams : int
        How many serve the new version and the old one.
    old_domains : frozenset of FailureDomain
        Where those of the old version stand.
    """

    new_upstreams: int = 1
    old_upstreams: int = 1
    old_domains: frozenset[FailureDomain] = frozenset()


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


def log_odds_evidence(table: Table, odds_ratios: Sequence[float]) -> list[float]:
    """Return the log likelihood ratios of odds ratios, given the margins.

    Parameters
    ----------
    table : tuple of int
        Events and trials of the new version, events and trials of the old one.
    odds_ratios : sequence of float
        The odds of an event under the new version by those under the old one.
    """
    new_events, new_trials, old_events, old_trials = table
    events = new_events + old_events
    low, high = max(0, events - old_trials), min(events, new_trials)
    if low == high:
        return [0.0] * len(odds_ratios)
    # Terms are taken relative to the one observed, so that they stay in range.
    base = _log_ways(new_trials, new_events) + _log_ways(old_trials, old_events)
    counts = range(low, high + 1)
    ways = [
        _log_ways(new_trials, count) + _log_ways(old_trials, events - count) - base
        for count in counts
    ]
    plain = math.log(sum(math.exp(min(700.0, way)) for way in ways))
    return [
        plain - math.log(_tilted(ways, low - new_events, math.log(odds_ratio)))
        for odds_ratio in odds_ratios
    ]


def group_score(evidence: Evidence, room: Room) -> Score:
    """Return the evidence of one group of windows."""
    eased = _load_buckets(evidence, room)
    strata = _strata(evidence.new, evidence.old)
    strata += _strata(evidence.late_new, evidence.late_old)
    tables = {
        FAILURES: [_failure_table(new, old) for new, old in strata],
        FIRST_TOKEN: [
            _slow_table(_eased(new.first_token, eased), old.first_token)
            for new, old in strata
        ],
        GAP: [_slow_table(_eased(new.gap, eased), old.gap) for new, old in strata],
    }
    return Score(tuple(_sum_nats(tables[quantity]) for quantity in QUANTITIES))


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


def _sum_nats(tables: list[Table]) -> tuple[float, ...]:
    nats = [log_odds_evidence(table, ODDS_RATIOS) for table in tables]
    return tuple(map(sum, zip(*nats, strict=True))) or (0.0,) * len(ODDS_RATIOS)


def _tilted(ways: list[float], first: int, step: float) -> float:
    return sum(
        math.exp(min(700.0, way + (first + index) * step))
        for index, way in enumerate(ways)
    )


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


def _load_buckets(evidence: Evidence, room: Room) -> int:
    """Return how many buckets slower the load alone may make the new version."""
    new, old = trials(evidence.new), trials(evidence.old)
    if not new or not old:
        return 0
    load_ratio = new / room.new_upstreams / (old / room.old_upstreams)
    return max(0, math.ceil(BUCKETS_PER_DOUBLING * math.log2(load_ratio)))


def _eased(histogram: dict[int, int], buckets: int) -> dict[int, int]:
    return {index - buckets: count for index, count in histogram.items()}


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
