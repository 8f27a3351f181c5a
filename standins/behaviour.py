"""Faults of a stand-in engine, which may change while it runs."""

import msgspec

__all__ = ["Behaviour"]


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of an engine; none by default.

    Parameters
    ----------
    slowdown : float
        Factor applied to the time of every step.
    slow_above : int or None
        Batch size above which `slow_above_factor` applies as well.
    slow_above_factor : float
        Factor applied to the time of a step with a large batch.
    fail_rate : float
        Share of the requests that are answered with status 500.
    fail_on : str or None
        Requests whose prompts contain these words are answered with status 500.
    fail_after_tokens : int or None
        A run fails when it has generated this many tokens.
    crash_on : str or None
        The process exits during a run whose prompt contains these words.
    crash_after_tokens : int
        Number of tokens that such a run generates before the exit.
    is_silent : bool
        All streams stay open and send nothing.
    silent_after_tokens : int or None
        A stream that has sent this many tokens stays open and sends no more.
    ignore_aborts : bool
        Runs continue when the connection is closed or an abort is requested.
    checks_fencing : bool
        Whether an order with an old fencing token is refused.
    metrics_lag_s : float
        Maximum age of the reported metrics, in seconds.
    event_delay_s : float
        Delay before cache events are reported, in seconds.
    event_gap_rate : float
        Share of the cache events that are never reported.
    """

    slowdown: float = 1.0
    slow_above: int | None = None
    slow_above_factor: float = 5.0
    fail_rate: float = 0.0
    fail_on: str | None = None
    fail_after_tokens: int | None = None
    crash_on: str | None = None
    crash_after_tokens: int = 0
    is_silent: bool = False
    silent_after_tokens: int | None = None
    ignore_aborts: bool = False
    checks_fencing: bool = True
    metrics_lag_s: float = 0.0
    event_delay_s: float = 0.0
    event_gap_rate: float = 0.0

    def step_factor(self, batch: int) -> float:
        """Return the factor applied to the time of a step with `batch` runs."""
        is_large = self.slow_above is not None and batch > self.slow_above
        return self.slowdown * (self.slow_above_factor if is_large else 1.0)
