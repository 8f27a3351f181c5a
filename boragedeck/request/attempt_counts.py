"""Counts the attempts of one request, and those of them that may have run."""

from boragedeck.process.relaying.placing.place import Place

__all__ = ["AttemptCounts"]


class AttemptCounts:
    """The numbers of attempts of one request.

    Attributes
    ----------
    sent : int
        Attempts that count towards the route's limit. One that reached another replica
        at the address doesn't.
    delivered : int
        All attempts that were sent; those after the first are charged as repeats.
    possible_runs : int
        Attempts that were sent, less those that certainly didn't run.
    running : set of Place
        The places of the attempts that are running.
    first_start : float or None
        When the first attempt began, on the timer service's monotonic clock.
    """

    def __init__(self):
        self.sent = 0
        self.delivered = 0
        self.possible_runs = 0
        self.running: set[Place] = set()
        self.first_start: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request."""
        return self.possible_runs > 0

    def note_start(self, place: Place) -> None:
        """Record that an attempt begins; `note_end` must follow."""
        self.running.add(place)
        if self.first_start is None:
            self.first_start = place.since

    def note_end(self, place: Place) -> None:
        """Record that an attempt has ended."""
        self.running.discard(place)

    def note_sent(self) -> None:
        """Count an attempt that may have reached a replica, and run there."""
        self.sent += 1
        self.delivered += 1
        self.possible_runs += 1

    def note_unsent(self) -> None:
        """Record that an attempt which was counted as sent has reached no replica."""
        self.sent -= 1
        self.delivered -= 1
        self.possible_runs -= 1

    def note_not_run(self) -> None:
        """Record that an attempt which was sent has not run."""
        self.possible_runs -= 1

    def note_misdirected(self) -> None:
        """Record that an attempt which was sent has reached another replica."""
        self.note_not_run()
        self.sent -= 1
