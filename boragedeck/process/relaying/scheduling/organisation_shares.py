"""Fair shares of organisations while requests wait, by start-time fair queueing.

Handles a few large organisations whose requests would fill the queue before those of
all others.
"""

from collections.abc import Mapping

from boragedeck.ids import OrganisationName

__all__ = ["OrganisationShares"]

MAX_ORGANISATIONS = 1024


class OrganisationShares:
    """The virtual times at which organisations get their next turns.

    Notes
    -----
    A waiting period lasts as long as any request waits. Work that was granted before
    counts only as far as it is still running when the period begins. State: at most
    `MAX_ORGANISATIONS` virtual times, of this period.
    """

    def __init__(self):
        self._next_turn: dict[OrganisationName | None, float] = {}
        self._virtual_time = 0.0

    def begin(self, held: Mapping[OrganisationName | None, float]) -> None:
        """Begin a waiting period.

        Parameters
        ----------
        held : mapping of OrganisationName to float
            The work of each organisation that is running.
        """
        self._virtual_time = 0.0
        self._next_turn = dict(held)

    def next_turn(self, organisation: OrganisationName | None) -> float:
        """Return the virtual time of an organisation's next turn."""
        return max(self._virtual_time, self._next_turn.get(organisation, 0.0))

    def note_granted(self, organisation: OrganisationName | None, work: float) -> None:
        """Record that an organisation took its turn.

        Parameters
        ----------
        organisation : OrganisationName or None
            The organisation.
        work : float
            The work that was granted.
        """
        turn = self.next_turn(organisation)
        self._virtual_time = turn
        self._next_turn[organisation] = turn + work
        if len(self._next_turn) > MAX_ORGANISATIONS:
            self._drop_past()

    def _drop_past(self) -> None:
        """Drop the times that are no later than that of an unknown organisation."""
        later = {
            organisation: turn
            for organisation, turn in self._next_turn.items()
            if turn > self._virtual_time
        }
        self._next_turn = later if len(later) <= MAX_ORGANISATIONS else {}
