"""Health of one upstream: fast suspicion, fast probation and slow recovery."""

from boragedeck.ids import Health
from boragedeck.interfaces import Outcome

__all__ = ["HealthRecord"]

INITIAL_BLOCK_S = 0.5
MAX_BLOCK_S = 8.0
SILENT_BLOCK_S = 1.0
ERRORS_UNTIL_SUSPECT = 3
RAMP_UP_S = 10.0
RAMP_UP_INITIAL_SHARE = 0.25


class HealthRecord:
    """Health of one upstream as seen by this router.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.

    Notes
    -----
    An upstream that breaks off a run is marked dead and gets no requests for a short
    time, which doubles with each consecutive failure. Then it is on probation and gets
    one request at a time.
    The first success makes it healthy, but the share of its capacity that may be used
    grows over `RAMP_UP_S` seconds.
    """

    def __init__(self, now: float):
        self.state = Health.HEALTHY
        self._failures_in_row = 0
        self._errors_in_row = 0
        self._blocked_until = now
        self._recovered_at = now - RAMP_UP_S

    def record_failure(self, outcome: Outcome, now: float) -> None:
        """Record a failed run.

        Parameters
        ----------
        outcome : Outcome
            How the run ended.
        now : float
            Monotonic time in seconds.
        """
        match outcome:
            case Outcome.CRASHED | Outcome.REFUSED:
                self._block(Health.DEAD, self._backoff_s(now), now)
            case Outcome.SILENT:
                self._block(Health.SUSPECT, SILENT_BLOCK_S, now)
            case Outcome.FAILED:
                self._errors_in_row += 1
                if self._errors_in_row >= ERRORS_UNTIL_SUSPECT:
                    self._block(Health.SUSPECT, self._backoff_s(now), now)

    def record_success(self, now: float) -> None:
        """Record output of a run that began after the last failure."""
        self._errors_in_row = 0
        if self.state in (Health.SUSPECT, Health.DEAD):
            self.state = Health.HEALTHY
            self._recovered_at = now
        elif now - self._recovered_at >= RAMP_UP_S:
            self._failures_in_row = 0

    def record_probe_answer(self, now: float) -> None:
        """Record that the upstream answered a probe; probation may begin at once."""
        if self.state is Health.DEAD:
            self.state = Health.SUSPECT
            self._blocked_until = now

    def is_available(self, now: float) -> bool:
        """Return whether the upstream may get requests, including on probation."""
        return now >= self._blocked_until

    def is_on_probation(self) -> bool:
        """Return whether the upstream may get only one request at a time."""
        return self.state in (Health.SUSPECT, Health.DEAD)

    def share(self, now: float) -> float:
        """Return the share of the upstream's capacity to use, between 0 and 1."""
        ramp_up = (now - self._recovered_at) / RAMP_UP_S
        return min(1.0, RAMP_UP_INITIAL_SHARE + (1.0 - RAMP_UP_INITIAL_SHARE) * ramp_up)

    def _block(self, state: Health, seconds: float, now: float) -> None:
        self.state = state
        self._blocked_until = max(self._blocked_until, now + seconds)

    def _backoff_s(self, now: float) -> float:
        # All runs that one crash breaks off count as a single failure.
        if now >= self._blocked_until:
            self._failures_in_row += 1
        return min(
            MAX_BLOCK_S, INITIAL_BLOCK_S * 2.0 ** max(0, self._failures_in_row - 1)
        )
