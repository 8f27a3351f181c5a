"""Messages by which routers read each other's mirrors of the platform's tables."""

import zlib

import msgspec

from boragedeck.connection.messages import Message
from boragedeck.connection.store import Changes, Table
from boragedeck.decoding import DECODE_ERRORS

__all__ = ["FetchTable", "TablePart", "pack"]

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
    counts_eras : bool
        Whether the router's versions hold the store's era. Builds that don't say so may
        count either way.
    """

    table: Table
    after: int
    wait_s: float = 0.0
    counts_eras: bool = False


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
    period_s, unheard_s : float or None
        How long ago the last period began and ended in which the store is known to have
        answered somebody, in seconds; None if the router doesn't know or say so.
    age_s : float or None
        How long ago the router's table was the store's newest state, in seconds; None
        if the router doesn't know or say so.
    counts_eras : bool
        As in `FetchTable`.
    """

    packed: bytes | None = None
    is_current: bool = False
    answering_s: float | None = None
    period_s: float | None = None
    unheard_s: float | None = None
    age_s: float | None = None
    counts_eras: bool = False

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


def pack(changes: Changes) -> bytes:
    """Return changes encoded and compressed for sending."""
    return zlib.compress(msgspec.msgpack.encode(changes), COMPRESSION_LEVEL)
