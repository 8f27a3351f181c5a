"""What is wrong with a stand-in engine; may change while it runs."""

import msgspec

__all__ = ["Behaviour"]


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of an engine; the default has none.

    Parameters
    ----------
    slowdown : float
        Factor on the time of every step.
    slow_above : int or None
        Batch size above which `slow_above_factor` applies as well.
    slow_above_factor : float
        Factor on the time of a step with a large batch.
    fail_rate : float
        Share of the requests that are answered with status 500.
    fail_on : str or None
        Requests whose prompts contain these words are answered with status 500.
    fail_after_tokens : int or None
        A run breaks off when it has generated this many tokens.
    crash_on : str or None
        The process exits in a run whose prompt contains these words.
    crash_after_tokens : int
        How many tokens such a run generates before the exit.
    is_silent : bool
        All streams stay open and carry nothing.
    silent_after_tokens : int or None
        A stream that has carried this many tokens stays open and carries no more.
    ignore_aborts : bool
        Runs go on when the connection is closed or an abort is asked for.
    checks_fencing : bool
        Whether an order with an old fencing token is refused.
    metrics_lag_s : float
        How old the reported metrics may be, in seconds.
    event_delay_s : float
        How late cache events are reported, in seconds.
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
        """Return the factor on the time of a step with a batch of some size."""
        is_large = self.slow_above is not None and batch > self.slow_above
        return self.slowdown * (self.slow_above_factor if is_large else 1.0)
