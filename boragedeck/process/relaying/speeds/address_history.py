"""Remembers which run of a replica was last at each address.

Handles failure domains whose engines restart every few seconds: a run at the address of
an earlier one is, as a rule, on the same machine and as fast as that one was.
"""

from collections.abc import Iterable

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.ids import PoolName
from boragedeck.process.relaying.replicas.replica_state import ReplicaState, Run

__all__ = ["AddressHistory"]

KEPT_S = 120.0
"""How long the last run at an address is remembered after it has ended. By then its
samples have expired."""
MAX_ADDRESSES = 4_096


class _LastRun(msgspec.Struct, frozen=True):
    """The last run at an address, and when it was last registered."""

    run: Run
    at: float


class AddressHistory:
    """The last run at each address of each pool.

    Notes
    -----
    An address that goes to another pool starts without a history there. A run whose
    address changes keeps what is known of it, and takes nothing from another run.
    """

    def __init__(self) -> None:
        self._last: dict[tuple[PoolName, Address], _LastRun] = {}

    def update(self, states: Iterable[ReplicaState], now: float) -> dict[Run, Run]:
        """Record the registered replicas.

        Parameters
        ----------
        states : iterable of ReplicaState
            All registered replicas; of several with an address, the last one counts.
        now : float
            The time in seconds.

        Returns
        -------
        dict of Run to Run
            The predecessor of each run that is new at an address.
        """
        current = {
            (state.replica.pool, state.replica.address): state.run for state in states
        }
        present, known = set(current.values()), self.runs()
        predecessors = {}
        for key, run in current.items():
            last = self._last.pop(key, None)
            if last is not None and last.run not in present and run not in known:
                predecessors[run] = last.run
            self._last[key] = _LastRun(run, now)
        self._drop_old(now)
        return predecessors

    def runs(self) -> set[Run]:
        """Return the runs that are remembered."""
        return {last.run for last in self._last.values()}

    def _drop_old(self, now: float) -> None:
        for key, last in list(self._last.items()):
            if now - last.at > KEPT_S or len(self._last) > MAX_ADDRESSES:
                del self._last[key]
