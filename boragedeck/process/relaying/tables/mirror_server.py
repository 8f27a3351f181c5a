"""Answers other routers' requests for mirrored tables."""

import math
from collections.abc import Callable, Iterable
from typing import Protocol

from boragedeck.connection.peer import PeerServer
from boragedeck.connection.store import Table
from boragedeck.process.relaying.tables.answering_period import AnsweringPeriod
from boragedeck.process.relaying.tables.mirror_messages import (
    FetchTable,
    TablePart,
    pack,
)
from boragedeck.process.relaying.tables.older_versions import (
    in_own_counting,
    without_eras,
)
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import TimerService

__all__ = ["MirrorState", "serve_mirrors"]

MAX_WAIT_S = 2.0


class MirrorState(Protocol):
    """What a router knows about the state of its mirror; see `MirrorFollower`."""

    is_connected: bool

    def answering_since(self) -> float | None:
        """Return since when the store has been answering; None if it doesn't."""

    def answering_period(self) -> AnsweringPeriod:
        """Return the last period in which the store is known to have answered."""

    def age_s(self) -> float | None:
        """Return how long ago the mirror was the store's newest state, in seconds."""


class _Packer:
    """Packs the changes of one table, and caches the last result.

    Routers that request the changes after the same version share the result.
    """

    def __init__(self, mirror: TableMirror):
        self._mirror = mirror
        self._key: tuple[int, int, int] | None = None
        self._packed = b""

    def packed_changes_since(self, after: int) -> bytes:
        """Return the changes after a version, encoded and compressed."""
        mirror = self._mirror
        key = after, mirror.version, mirror.newest_row_version
        if key != self._key:
            self._key, self._packed = key, pack(mirror.since(after))
        return self._packed


def serve_mirrors(
    server: PeerServer,
    mirrors: Iterable[TableMirror],
    timers: TimerService,
    is_current: Callable[[Table], bool],
    follower_of: Callable[[Table], MirrorState],
) -> None:
    """Register a handler that answers other routers' requests for these tables.

    Parameters
    ----------
    server : PeerServer
        Receives the requests.
    mirrors : iterable of TableMirror
        The tables.
    timers : TimerService
        The source of time.
    is_current : callable
        Returns whether the store itself recently answered this router for a table.
    follower_of : callable
        Returns what is known about the state of a table's mirror.
    """
    by_table = {mirror.table: mirror for mirror in mirrors}
    packers = {table: _Packer(mirror) for table, mirror in by_table.items()}

    def answer(query: FetchTable) -> TablePart:
        mirror = by_table.get(query.table)
        if mirror is None:
            return TablePart()
        table, own = query.table, in_own_counting(query, mirror.version)
        if own is None:
            return TablePart(counts_eras=True)
        # Without a recent answer from the store, the reply says so without waiting.
        if query.wait_s > 0.0 and is_current(table):
            mirror.wait_for_change(timers, own.after, min(query.wait_s, MAX_WAIT_S))
        packed = None
        if mirror.version > own.after and own is not query:
            packed = pack(without_eras(mirror.since(own.after)))
        elif mirror.version > own.after:
            packed = packers[table].packed_changes_since(own.after)
        state = follower_of(table)
        # What this router only knows from others isn't told as its own knowledge.
        since = state.answering_since() if state.is_connected else None
        period, now = state.answering_period(), timers.now()
        return TablePart(
            packed,
            is_current(table),
            answering_s=None if since is None else now - since,
            period_s=None if math.isinf(period.since) else now - period.since,
            unheard_s=None if math.isinf(period.until) else now - period.until,
            age_s=state.age_s(),
            counts_eras=True,
        )

    server.register(FetchTable, answer)
