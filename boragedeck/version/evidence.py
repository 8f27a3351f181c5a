"""Evidence about a new version: counts in time windows, summed over routers."""

import math

import msgspec
import xxhash

from boragedeck.ids import FailureDomain, UpstreamName
from boragedeck.interfaces import Outcome, RunSample

__all__ = [
    "Cell",
    "Evidence",
    "Loss",
    "Window",
    "bucket_index",
    "hash_fingerprint",
    "is_loss",
    "trials",
    "waiting_runs",
]

BUCKETS_PER_DOUBLING = 4
MIN_LONG_OUTPUT_TOKENS = 1024
MAX_EARLY_AGE_S = 10.0
"""Age of a run beyond which its samples are counted as late."""
MAX_FIRST_PART_AGE_S = 3.0
"""Age up to which a run that ends counts its time between tokens."""
MAX_LOSSES = 1024
MAX_DOMAINS = 32
OTHER_DOMAIN = FailureDomain("")
"""Stands for all failure domains beyond the first `MAX_DOMAINS`."""
_LOSS_OUTCOMES = (Outcome.CRASHED, Outcome.SILENT)


class Cell(msgspec.Struct, array_like=True):
    """Counts of one version in one failure domain.

    Parameters
    ----------
    trials : int
        Runs that have returned a first token or failed before it, and parts of long
        runs.
    failures : int
        Trials that the upstream answered with an error.
    long_trials : int
        Trials with at least `MIN_LONG_OUTPUT_TOKENS` tokens.
    first_token : dict of int to int
        Histogram of the time to the first token, in logarithmic buckets.
    gap : dict of int to int
        Histogram of the mean time between tokens, in logarithmic buckets.
    waiting : dict of int to int
        Histogram of the ages of runs without a first token, in logarithmic buckets:
        of those that run, and of those whose caller left.
    """

    trials: int = 0
    failures: int = 0
    long_trials: int = 0
    first_token: dict[int, int] = msgspec.field(default_factory=dict)
    gap: dict[int, int] = msgspec.field(default_factory=dict)
    waiting: dict[int, int] = msgspec.field(default_factory=dict)

    def add(self, sample: RunSample, *, is_trial: bool, has_gap: bool) -> None:
        """Count a sample; `has_gap` says whether to count its time between tokens."""
        is_failed = sample.outcome is Outcome.FAILED
        self.trials += is_trial
        self.failures += is_failed
        self.long_trials += sample.tokens >= MIN_LONG_OUTPUT_TOKENS
        _add_to_histogram(self.first_token, sample.first_token_s)
        if has_gap:
            _add_to_histogram(self.gap, sample.gap_s)

    def add_waiting(self, age_s: float) -> None:
        """Count a run that has no first token at an age, in seconds."""
        _add_to_histogram(self.waiting, age_s)

    def merge(self, other: "Cell") -> None:
        """Add the counts of another cell."""
        self.trials += other.trials
        self.failures += other.failures
        self.long_trials += other.long_trials
        _merge_histogram(self.first_token, other.first_token)
        _merge_histogram(self.gap, other.gap)
        _merge_histogram(self.waiting, other.waiting)


Cells = dict[FailureDomain, Cell]


def trials(cells: Cells) -> int:
    """Return the total number of trials of all cells."""
    return sum(cell.trials for cell in cells.values())


def waiting_runs(cells: Cells) -> int:
    """Return the total number of runs without a first token of all cells."""
    return sum(sum(cell.waiting.values()) for cell in cells.values())


class Evidence(msgspec.Struct, array_like=True):
    """Counts of the new and the old versions, by failure domain.

    Parameters
    ----------
    new, old : dict
        Runs of the new version and of the old ones. Each run is counted once, in the
        window in which it started, so that the runs of both versions have had the same
        time to fail. This keeps the comparison fair while the shares change.
    late_new, late_old : dict
        Parts of runs that are older than `MAX_EARLY_AGE_S`, counted in the window in
        which the part ended.
    """

    new: Cells = msgspec.field(default_factory=dict)
    old: Cells = msgspec.field(default_factory=dict)
    late_new: Cells = msgspec.field(default_factory=dict)
    late_old: Cells = msgspec.field(default_factory=dict)

    def add(self, sample: RunSample, *, is_new: bool, is_late: bool) -> None:
        """Add a sample to the counts."""
        if is_late:
            cells = self.late_new if is_new else self.late_old
        else:
            cells = self.new if is_new else self.old
        cell = _cell_of(cells, sample.failure_domain)
        is_trial = is_late or _counts_as_trial(sample)
        cell.add(sample, is_trial=is_trial, has_gap=_counts_gap(sample, is_late))

    def add_waiting(self, domain: FailureDomain, age_s: float, *, is_new: bool) -> None:
        """Count a run that has no first token at an age, in seconds."""
        _cell_of(self.new if is_new else self.old, domain).add_waiting(age_s)

    def merge(self, other: "Evidence") -> None:
        """Add the counts of other evidence."""
        pairs = (
            (self.new, other.new),
            (self.old, other.old),
            (self.late_new, other.late_new),
            (self.late_old, other.late_old),
        )
        for own, theirs in pairs:
            for domain, cell in theirs.items():
                own.setdefault(domain, Cell()).merge(cell)

    def total(self, *, is_new: bool) -> Cell:
        """Return the sum over all failure domains, of early and late samples."""
        total = Cell()
        sources = (self.new, self.late_new) if is_new else (self.old, self.late_old)
        for cells in sources:
            for cell in cells.values():
                total.merge(cell)
        return total


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that crashed during a run or stopped answering.

    Parameters
    ----------
    upstream : UpstreamName
        The upstream.
    failure_domain : FailureDomain
        Failure domain of the upstream.
    is_new : bool
        Whether the upstream served the new version.
    at : float
        Time of the loss, in Unix seconds.
    fingerprint : int
        Hash of the request's fingerprint; 0 if it is unknown.
    """

    upstream: UpstreamName
    failure_domain: FailureDomain
    is_new: bool
    at: float
    fingerprint: int = 0


class Window(msgspec.Struct, array_like=True):
    """Evidence about a rollout attempt that one router collected in one time window.

    Parameters
    ----------
    number : int
        Number of the attempt; each rollout of a route is one attempt.
    index : int
        Start of the window divided by its length.
    evidence : Evidence
        Counts of the window.
    losses : list of Loss
        The latest losses of upstreams, from all windows.
    quarantined : list of int
        Hashes of fingerprints that are known to crash upstreams.
    cleared : list of int
        Hashes of fingerprints that were running when an upstream was lost and that
        later completed.
    """

    number: int
    index: int
    evidence: Evidence = msgspec.field(default_factory=Evidence)
    losses: list[Loss] = msgspec.field(default_factory=list)
    quarantined: list[int] = msgspec.field(default_factory=list)
    cleared: list[int] = msgspec.field(default_factory=list)


def bucket_index(seconds: float) -> int:
    """Return the logarithmic bucket of a duration; bucket 0 is one microsecond."""
    return max(0, round(BUCKETS_PER_DOUBLING * math.log2(max(seconds, 1e-6) * 1e6)))


def is_loss(sample: RunSample) -> bool:
    """Return whether a sample shows that its upstream was lost."""
    return sample.outcome in _LOSS_OUTCOMES


def hash_fingerprint(fingerprint: str) -> int:
    """Return a short hash of a request's fingerprint; 0 if it is unknown."""
    return xxhash.xxh32_intdigest(fingerprint.encode()) if fingerprint else 0


def _cell_of(cells: Cells, domain: FailureDomain) -> Cell:
    if domain not in cells and len(cells) >= MAX_DOMAINS:
        domain = OTHER_DOMAIN
    return cells.setdefault(domain, Cell())


def _counts_as_trial(sample: RunSample) -> bool:
    """Return whether a sample counts its run as a trial; one sample of a run does."""
    return sample.first_token_s is not None or (
        sample.outcome is Outcome.FAILED and sample.tokens == 0
    )


def _counts_gap(sample: RunSample, is_late: bool) -> bool:
    """Return whether the time between tokens of a sample is counted.

    The parts of one run are correlated, so counting each of them would overstate the
    evidence.
    """
    if is_late:
        return sample.outcome is not None
    return sample.outcome is None or sample.age_s <= MAX_FIRST_PART_AGE_S


def _add_to_histogram(histogram: dict[int, int], seconds: float | None) -> None:
    if seconds is not None:
        index = bucket_index(seconds)
        histogram[index] = histogram.get(index, 0) + 1


def _merge_histogram(own: dict[int, int], other: dict[int, int]) -> None:
    for index, count in other.items():
        own[index] = own.get(index, 0) + count
