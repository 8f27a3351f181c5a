"""A lease as its row holds it, and as its holder knows it."""

import eventlet
import msgspec

from boragedeck.connection.store import ABSENT, Row
from boragedeck.exceptions import StoreConflictError
from boragedeck.ids import RouterId
from boragedeck.process.timers import TimerService

__all__ = [
    "NO_HOLDER",
    "Lease",
    "LeaseLostError",
    "LeaseRow",
    "decode_lease",
    "next_fencing_token",
]

NO_HOLDER = RouterId("")
"""The holder of a released lease."""


class LeaseLostError(StoreConflictError):
    """The lease has another holder, so nothing was written."""


class LeaseRow(msgspec.Struct, frozen=True):
    """Content of a lease's row.

    Parameters
    ----------
    holder : RouterId
        The router that holds the lease; empty once it is released.
    token : int
        The fencing token, which grows with each change of holder.
    term_s : float
        How long the lease lasts after each write, in seconds.
    write_id : str
        Unique for each write, so that a writer knows its own row again.
    """

    holder: RouterId
    token: int
    term_s: float
    write_id: str


class Lease:
    """A lease that this process has acquired.

    Parameters
    ----------
    name : str
        The lease's name.
    token : int
        The fencing token.
    timers : TimerService
        The source of monotonic time.

    Attributes
    ----------
    version : int
        The version of the lease's row after this process's last write.
    safe_until : float
        The end of the safe part, on the monotonic clock, in seconds.
    is_lost : bool
        Whether another router was seen to hold it, or it was released.
    """

    def __init__(self, name: str, token: int, timers: TimerService):
        self.name = name
        self.token = token
        self.version = ABSENT
        self.safe_until = float("-inf")
        self.is_lost = False
        self.lock = eventlet.Semaphore(1)
        self._timers = timers

    def is_safe(self, margin_s: float = 0.0) -> bool:
        """Return whether no other router can hold the lease yet.

        Parameters
        ----------
        margin_s : float
            For how long the lease must stay safe from now on, in seconds.
        """
        return not self.is_lost and self._timers.now() + margin_s < self.safe_until


def decode_lease(row: Row) -> LeaseRow:
    """Return the content of a lease's row."""
    return msgspec.json.decode(row.value, type=LeaseRow)


def next_fencing_token(row: Row | None, own: RouterId) -> int:
    """Return the token of a holder that replaces a row."""
    if row is None:
        return 1
    content = decode_lease(row)
    return content.token if content.holder == own else content.token + 1
