"""Samples of an answer's runs, from which the version policy judges a version."""

from collections.abc import Callable

from boragedeck.interfaces import Outcome, RunSample, VersionPolicy
from boragedeck.process.observing.metrics import Metrics
from boragedeck.request.answer import Answer
from boragedeck.version.tables import Upstream

__all__ = ["RunSampler"]

SAMPLE_INTERVAL_S = 5.0
"""Interval between the samples of a run that has not ended."""


class RunSampler:
    """Counts the tokens of an answer and reports samples of its runs.

    Parameters
    ----------
    answer : Answer
        The answer.
    versions : VersionPolicy
        Receives the samples.
    is_quarantined : callable
        Returns whether the requests with a fingerprint are quarantined.
    metrics : Metrics
        The metrics of the process.
    started : float
        When this router began to run the answer, in monotonic seconds.
    """

    def __init__(
        self,
        answer: Answer,
        versions: VersionPolicy,
        is_quarantined: Callable[[str], bool],
        metrics: Metrics,
        started: float,
    ):
        self._answer = answer
        self._versions = versions
        self._is_quarantined = is_quarantined
        self._metrics = metrics
        self._started_at = started
        self._first_output_at = started
        self._reported_at = started
        self._first_token_s: float | None = None
        self._has_reported_first_token = False
        self._tokens = 0

    def note_tokens(self, count: int, now: float) -> None:
        """Record that tokens were added to the answer."""
        route = self._answer.spec.route
        self._metrics.tokens.labels(route).inc(count)
        if self._first_token_s is None:
            self._first_token_s = now - self._started_at
            self._first_output_at = now
            self._metrics.first_token_s.labels(route).observe(self._first_token_s)
        self._tokens += count

    def is_due(self, now: float) -> bool:
        """Return whether a sample of a run that has not ended is due."""
        is_first = (
            self._first_token_s is not None and not self._has_reported_first_token
        )
        return is_first or now - self._reported_at >= SAMPLE_INTERVAL_S

    def report_sample(
        self, upstream: Upstream, outcome: Outcome | None, now: float
    ) -> None:
        """Report a sample of a run to the version policy.

        Parameters
        ----------
        upstream : Upstream
            The upstream of the run.
        outcome : Outcome or None
            The outcome of the run; None if it has not ended.
        now : float
            Monotonic time in seconds.
        """
        version = self._answer.version
        if version is None:
            return
        first_token_s = None if self._has_reported_first_token else self._first_token_s
        self._has_reported_first_token |= first_token_s is not None
        self._reported_at = now
        # A run that has just begun has no meaningful gap between tokens yet.
        is_beginning = first_token_s is not None and outcome is None
        has_gap = self._tokens > 1 and not is_beginning
        fingerprint = self._answer.spec.fingerprint
        sample = RunSample(
            route=self._answer.spec.route,
            version=version,
            upstream=upstream.name,
            failure_domain=upstream.failure_domain,
            outcome=outcome,
            first_token_s=first_token_s,
            gap_s=(now - self._first_output_at) / self._tokens if has_gap else None,
            tokens=self._tokens,
            fingerprint=fingerprint,
            age_s=now - self._started_at,
            is_quarantined=self._is_quarantined(fingerprint),
        )
        self._versions.observe(sample)
