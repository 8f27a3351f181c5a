"""Cache of the latest rollout row of each route that this router has received."""

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.messages import FactTopic
from boragedeck.connection.platform import Platform
from boragedeck.connection.store import Row, Table
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import StoreError
from boragedeck.ids import RouteName
from boragedeck.interfaces import FactBoard
from boragedeck.version.rollout_facts import KnownRow, decode_fact, row_fact_key
from boragedeck.version.rollout_row import HEAD_PREFIX, RolloutRow, decode_row, head_key

__all__ = ["RolloutRowCache"]

ROW_TTL_S = 180.0
MIN_ROW_COPIES = 3
PAGE_ROWS = 500


class RolloutRowCache:
    """Holds the latest row of each route and never replaces one with an older version.

    Parameters
    ----------
    platform : Platform
        The store of the rows.
    board : FactBoard
        Publishes the rows, so that a router that starts while the store is down
        receives them from its peers.
    """

    def __init__(self, platform: Platform, board: FactBoard):
        self._platform = platform
        self._board = board
        self._rows_by_route: dict[RouteName, KnownRow] = {}
        self._listeners: list = []
        self.has_read_all = False

    def subscribe(self, callback) -> None:
        """Register a callback for each `RolloutRow` that replaces an older one."""
        self._listeners.append(callback)

    def rows(self) -> list[RolloutRow]:
        """Return the latest row of each route."""
        return [known_row.row for known_row in self._rows_by_route.values()]

    def get(self, route: str) -> KnownRow | None:
        """Return the latest row of a route and the version of its head."""
        return self._rows_by_route.get(route)

    def update(self, known_row: KnownRow) -> bool:
        """Store a committed row if it is newer; return whether it was."""
        route = known_row.row.route
        before = self._rows_by_route.get(route)
        if before is not None and before.version >= known_row.version:
            return False
        self._rows_by_route[route] = known_row
        for callback in self._listeners:
            callback(known_row.row)
        return True

    def publish_row(self, route: str) -> None:
        """Publish a route's row to the other routers."""
        known_row = self._rows_by_route[route]
        body = msgspec.msgpack.encode(known_row)
        topic = FactTopic.ROLLOUT_EVIDENCE
        self._board.publish(topic, row_fact_key(route), body, ttl_s=ROW_TTL_S)

    def republish_scarce_rows(self) -> None:
        """Publish again the rows that fewer than `MIN_ROW_COPIES` routers publish."""
        copies: dict[str, int] = {}
        for fact in self._board.facts(FactTopic.ROLLOUT_EVIDENCE):
            if not fact.key.startswith("row/"):
                continue
            known_row = decode_fact(fact)
            held = self._rows_by_route.get(known_row.row.route) if known_row else None
            if held is not None and held.version == known_row.version:
                route = held.row.route
                is_other = fact.origin != self._board.own
                copies[route] = copies.get(route, 0) + is_other
        for route in self._rows_by_route:
            if copies.get(route, 0) < MIN_ROW_COPIES:
                self.publish_row(route)

    def refresh(self) -> Result[None, StoreError]:
        """Read all heads from the store."""
        after = ""
        while True:
            page = self._platform.scan(Table.ROLLOUTS, HEAD_PREFIX, after, PAGE_ROWS)
            if page.is_err():
                return Err(page.err())
            for row in page.ok():
                self._update_from_store(row)
            if len(page.ok()) < PAGE_ROWS:
                self.has_read_all = True
                return Ok(None)
            after = page.ok()[-1].key

    def refresh_route(self, route: str) -> Result[None, StoreError]:
        """Read one route's head from the store."""
        read = self._platform.get(Table.ROLLOUTS, head_key(route))
        if read.is_err():
            return Err(read.err())
        if read.ok() is not None:
            self._update_from_store(read.ok())
        return Ok(None)

    def _update_from_store(self, row: Row) -> None:
        try:
            self.update(KnownRow(decode_row(row), row.version))
        except DECODE_ERRORS:
            return
