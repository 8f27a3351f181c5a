"""The routing table in force, from the mirror of the operators' table."""

from collections.abc import Callable

from result import Result

from boragedeck.connection.store import Change
from boragedeck.exceptions import TableError
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.version.routing import EMPTY_ROUTING_TABLE, RoutingTable

__all__ = ["RoutingSource"]

_log = PartLog("routing")


class RoutingSource:
    """Holds the newest routing table, whose version never decreases.

    Parameters
    ----------
    mirror : TableMirror
        The operators' table.
    key : str
        The key of the routing table's row.
    decode : callable
        Decodes the row.
    """

    def __init__(
        self,
        mirror: TableMirror,
        key: str,
        decode: Callable[[bytes], Result[RoutingTable, TableError]],
    ):
        self._key = key
        self._decode = decode
        self._table = EMPTY_ROUTING_TABLE
        mirror.subscribe(self._on_change)

    def current(self) -> RoutingTable:
        """Return the table in force."""
        return self._table

    def _on_change(self, change: Change) -> None:
        if change.key != self._key or change.value is None:
            return
        decoded = self._decode(change.value)
        if decoded.is_err():
            _log.write("Routing table can't be decoded.", error=str(decoded.err()))
            return
        table = decoded.ok()
        if table.version <= self._table.version:
            return
        _log.write(
            "In force.",
            version=table.version,
            before=self._table.version,
            row_version=change.version,
        )
        self._table = table
