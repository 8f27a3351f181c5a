"""Decides how many connections of callers are open, and which idle one is closed first.

The load that it handles: one address that opens more connections than the process has
descriptors for, and leaves them idle.
"""

from collections import Counter
from collections.abc import Hashable, Iterable
from typing import TypeVar

import msgspec

__all__ = ["ConnectionBounds", "IdleConnection", "choose_idle", "connection_bounds"]

CALLER_SHARE = 1 / 2
"""Share of the descriptors that callers may use. Each of their requests may need one
more, to a replica; the store, other routers and files need the rest."""
PEER_SHARE = 1 / 8
"""Share that other routers may use to send requests through this one."""
REFUSED_SHARE = 1 / 10
"""Connections beyond the served ones on which a request is refused, as a share of
those."""

T = TypeVar("T", bound=Hashable)


class ConnectionBounds(msgspec.Struct, frozen=True):
    """How many connections a server of callers keeps open.

    Parameters
    ----------
    served : int
        Those whose requests are served.
    refused : int
        Those beyond them whose requests are refused; more are closed at once.
    """

    served: int
    refused: int


class IdleConnection(msgspec.Struct, frozen=True):
    """An idle connection.

    Parameters
    ----------
    key : hashable
        Identifies it.
    address : str
        The caller's address.
    since : float
        When it became idle, or its rank by that; only the order counts.
    """

    key: Hashable
    address: str
    since: float


def connection_bounds(
    max_fds: int | None, most: int, share: float = CALLER_SHARE
) -> ConnectionBounds:
    """Return the bounds of a server.

    Parameters
    ----------
    max_fds : int or None
        Descriptors of the process; None if there is no limit.
    most : int
        The largest number of served connections.
    share : float, optional
        Share of the descriptors that the server may use.
    """
    served = most if max_fds is None else min(most, max(1, int(max_fds * share)))
    return ConnectionBounds(served, max(1, int(served * REFUSED_SHARE)))


def choose_idle(
    addresses: Iterable[str], idle: Iterable[IdleConnection]
) -> IdleConnection | None:
    """Return the connection to close for a new one; None if none is idle.

    Parameters
    ----------
    addresses : iterable of str
        The address of each open connection.
    idle : iterable of IdleConnection
        Those that may be closed.

    Notes
    -----
    It is the longest idle one of the address that has most connections.
    """
    counts = Counter(addresses)
    return max(idle, key=lambda each: (counts[each.address], -each.since), default=None)
