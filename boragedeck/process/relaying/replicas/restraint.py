"""Reasons why a replica gets no requests, or only if no other replica has room."""

import enum

import msgspec

__all__ = ["Reason", "Restraint", "Restraints"]


class Reason(enum.Enum):
    """Reason to send no requests to a replica."""

    AVOIDED = "avoided"
    """It or others in its failure domain were missed, and may have recovered."""
    HELD_OFF = "held_off"
    """It asked this router to wait."""
    LIMITED = "limited"
    """It named a limit, and the next request to it would have to wait."""
    LEAVING = "leaving"
    """It announced that it is leaving."""


class Restraint(msgspec.Struct, frozen=True):
    """A reason to send no requests to a replica, and its end.

    Parameters
    ----------
    reason : Reason
        The reason.
    until : float
        When the restraint ends, on the timer service's monotonic clock; infinity if it
        never does.
    """

    reason: Reason
    until: float

    @property
    def is_strict(self) -> bool:
        """Whether nothing may be sent, even if no other replica has room."""
        match self.reason:
            case Reason.AVOIDED | Reason.LIMITED:
                return False
            case Reason.HELD_OFF | Reason.LEAVING:
                return True


class Restraints:
    """All restraints of one run of a replica."""

    def __init__(self):
        self._until: dict[Reason, float] = {}

    def until(self, reason: Reason) -> float:
        """Return when a restraint ends or ended; 0.0 if there was none."""
        return self._until.get(reason, 0.0)

    def extend(self, reason: Reason, until: float) -> bool:
        """Extend a restraint; return False if it lasts until then already."""
        if until <= self.until(reason):
            return False
        self._until[reason] = until
        return True

    def lift(self, reason: Reason) -> None:
        """End a restraint now."""
        self._until.pop(reason, None)

    def strongest(self, now: float) -> Restraint | None:
        """Return the strictest, then longest restraint in force; None if there is none.

        Parameters
        ----------
        now : float
            The current time, on the timer service's monotonic clock.
        """
        restraints = [
            Restraint(reason, until)
            for reason, until in self._until.items()
            if until > now
        ]
        return max(
            restraints, key=lambda each: (each.is_strict, each.until), default=None
        )

    def may_send(self, now: float) -> bool:
        """Return whether requests may be sent, that is, no strict restraint holds."""
        strongest = self.strongest(now)
        return strongest is None or not strongest.is_strict
