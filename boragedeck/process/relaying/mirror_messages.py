"""Messages by which routers read each other's mirrors of the platform's tables."""

from collections.abc import Callable, Iterable

from boragedeck.connection.messages import Message
from boragedeck.connection.peer import PeerServer
from boragedeck.connection.store import Changes, Table
from boragedeck.process.relaying.table_mirror import TableMirror
from boragedeck.process.timers import TimerService

__all__ = ["FetchTable", "TablePart", "serve_mirrors"]

MAX_WAIT_S = 2.0


class FetchTable(Message, frozen=True):
    """Asks another router for what is new in a table; answered with `TablePart`.

    Parameters
    ----------
    table : Table
        The table.
    after : int
        The version that the asking router has; -1 without one.
    wait_s : float
        How long to wait for something new, in seconds.
    """

    table: Table
    after: int
    wait_s: float = 0.0


class TablePart(Message, frozen=True):
    """What a router has of a table that the asking one lacks.

    Parameters
    ----------
    changes : Changes or None
        None where its mirror is no newer.
    is_current : bool
        Whether the router reads the store itself and heard of it lately.
    """

    changes: Changes | None = None
    is_current: bool = False


def serve_mirrors(
    server: PeerServer,
    mirrors: Iterable[TableMirror],
    timers: TimerService,
    is_current: Callable[[Table], bool],
) -> None:
    """Answer other routers that ask for these tables."""
    by_table = {mirror.table: mirror for mirror in mirrors}

    def answer(ask: FetchTable) -> TablePart:
        mirror = by_table.get(ask.table)
        if mirror is None:
            return TablePart()
        # One that hears nothing of the store says so at once.
        if ask.wait_s > 0.0 and is_current(ask.table):
            mirror.wait(timers, ask.after, min(ask.wait_s, MAX_WAIT_S))
        changes = mirror.since(ask.after) if mirror.version > ask.after else None
        return TablePart(changes, is_current(ask.table))

    server.register(FetchTable, answer)
