"""How fast callers take the answers that are held for them."""

__all__ = ["ReadingRate"]

WINDOW_S = 1.0
"""How long bytes are added up before the rate is renewed, in seconds."""


class ReadingRate:
    """The bytes that callers have lately read of the answers that are held for them.

    Parameters
    ----------
    now : float
        The time on the timer service's monotonic clock.
    """

    def __init__(self, now: float):
        self._since = now
        self._bytes = 0
        self._last_bytes_per_s = 0.0

    def note_read(self, count: int, now: float) -> None:
        """Record that a caller has read bytes."""
        self._renew(now)
        self._bytes += count

    def bytes_per_s(self, now: float) -> float:
        """Return the rate of this window or of the one before, whichever is higher."""
        self._renew(now)
        return max(self._last_bytes_per_s, self._bytes / WINDOW_S)

    def _renew(self, now: float) -> None:
        elapsed_s = now - self._since
        if elapsed_s >= WINDOW_S:
            self._last_bytes_per_s = self._bytes / elapsed_s
            self._since, self._bytes = now, 0
