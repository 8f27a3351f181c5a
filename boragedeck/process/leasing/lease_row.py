"""The stored row of a lease, and the lease as its holder knows it."""

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
    """The lease has another holder or was released, so nothing was written."""


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
        Unique for each write, so that a writer recognises its own row.
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
        Until when this process may rely on the lease, in monotonic seconds.
    is_lost : bool
        Whether the lease was found to have another holder, or was released.
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
        """Return whether no other router can hold the lease.

        Parameters
        ----------
        margin_s : float
            How much longer the lease must stay safe, in seconds.
        """
        return not self.is_lost and self._timers.now() + margin_s < self.safe_until


def decode_lease(row: Row) -> LeaseRow:
    """Return the content of a lease's row."""
    return msgspec.json.decode(row.value, type=LeaseRow)


def next_fencing_token(row: Row | None, own: RouterId) -> int:
    """Return the fencing token for a holder that replaces a row."""
    if row is None:
        return 1
    content = decode_lease(row)
    return content.token if content.holder == own else content.token + 1
