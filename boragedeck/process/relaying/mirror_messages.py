"""Messages by which routers read each other's mirrors of the platform's tables."""

import zlib
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from boragedeck.connection.messages import Message
from boragedeck.connection.peer import PeerServer
from boragedeck.connection.store import Changes, Table
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.process.relaying.table_mirror import TableMirror
from boragedeck.process.timers import TimerService

__all__ = ["FetchTable", "MirrorState", "TablePart", "pack", "serve_mirrors"]

MAX_WAIT_S = 2.0
MAX_UNPACKED_BYTES = 32 * 1024 * 1024
COMPRESSION_LEVEL = 6


class FetchTable(Message, frozen=True):
    """Requests the changes of a table from a router; answered with `TablePart`.

    Parameters
    ----------
    table : Table
        The table.
    after : int
        The version that the requesting router has; -1 if it has none.
    wait_s : float
        How long to wait for a change, in seconds.
    """

    table: Table
    after: int
    wait_s: float = 0.0


class TablePart(Message, frozen=True):
    """The changes of a table that the requesting router lacks.

    Parameters
    ----------
    packed : bytes or None
        The changes, see `pack`; None if the mirror is no newer.
    is_current : bool
        Whether the router reads the store itself and got a recent answer from it.
    answering_s : float or None
        How long the store has been answering the router without a failure, in
        seconds; None if it doesn't, or if the router doesn't say so.
    unheard_s : float or None
        How long ago that ended, in seconds; None if the router doesn't say so.
    age_s : float or None
        How long ago the router's table was the store's newest state, in seconds; None
        if the router doesn't know or say so.
    """

    packed: bytes | None = None
    is_current: bool = False
    answering_s: float | None = None
    unheard_s: float | None = None
    age_s: float | None = None

    def unpack(self) -> Changes | None:
        """Return the changes; None if there are none.

        Raises
        ------
        ValueError
            If the changes can't be unpacked.
        """
        if self.packed is None:
            return None
        unpacker = zlib.decompressobj()
        try:
            body = unpacker.decompress(self.packed, MAX_UNPACKED_BYTES)
            return msgspec.msgpack.decode(body, type=Changes)
        except (zlib.error, *DECODE_ERRORS) as exc:
            raise ValueError(f"changes can't be unpacked: {exc}") from exc


class MirrorState(Protocol):
    """What a router knows about the state of its mirror; see `MirrorFollower`."""

    def answering_since(self) -> float | None:
        """Return since when the store has been answering; None if it doesn't."""

    def unheard_s(self) -> float | None:
        """Return how long the store has not been known to answer, in seconds."""

    def age_s(self) -> float | None:
        """Return how long ago the mirror was the store's newest state, in seconds."""


def pack(changes: Changes) -> bytes:
    """Return changes encoded and compressed for sending."""
    return zlib.compress(msgspec.msgpack.encode(changes), COMPRESSION_LEVEL)


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
        # Without a recent answer from the store, the reply says so without waiting.
        if query.wait_s > 0.0 and is_current(query.table):
            mirror.wait_for_change(timers, query.after, min(query.wait_s, MAX_WAIT_S))
        packed = None
        if mirror.version > query.after:
            packed = packers[query.table].packed_changes_since(query.after)
        table = query.table
        state = follower_of(table)
        since = state.answering_since()
        return TablePart(
            packed,
            is_current(table),
            answering_s=None if since is None else timers.now() - since,
            unheard_s=state.unheard_s(),
            age_s=state.age_s(),
        )

    server.register(FetchTable, answer)
