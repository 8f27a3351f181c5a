"""Messages by which routers ask each other which replicas they reach."""

from boragedeck.connection.address import Address
from boragedeck.connection.messages import Message

__all__ = ["AskPaths", "PathReport"]


class AskPaths(Message, frozen=True):
    """Asks which of some replicas a router reaches; answered with `PathReport`.

    Parameters
    ----------
    addresses : tuple of Address
        The addresses of the replicas.
    max_age_s : float
        How long ago a replica may have been heard to count as reached, in seconds.
    """

    addresses: tuple[Address, ...]
    max_age_s: float = 0.0


class PathReport(Message, frozen=True):
    """The replicas that a router reaches itself, of those that were asked for.

    Parameters
    ----------
    reached, not_reached : tuple of Address
        Addresses of replicas. Those that the router doesn't know are in neither, nor
        those to which it has lost its own path before.
    """

    reached: tuple[Address, ...] = ()
    not_reached: tuple[Address, ...] = ()
