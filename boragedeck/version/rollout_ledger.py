"""The latest rollout row of each route, as far as this router knows."""

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

__all__ = ["RolloutLedger"]

ROW_TTL_S = 180.0
ROW_COPIES = 3
PAGE_ROWS = 500


class RolloutLedger:
    """Holds the rows of the routes' heads and never steps back.

    Parameters
    ----------
    platform : Platform
        Where the rows are.
    board : FactBoard
        Spreads the rows, so that a router which starts while the store is down
        learns them from its peers.
    """

    def __init__(self, platform: Platform, board: FactBoard):
        self._platform = platform
        self._board = board
        self._known: dict[RouteName, KnownRow] = {}
        self._listeners: list = []
        self.has_read = False

    def subscribe(self, callback) -> None:
        """Call with each `RolloutRow` that is newer than the one before."""
        self._listeners.append(callback)

    def rows(self) -> list[RolloutRow]:
        """Return the latest row of each route."""
        return [known.row for known in self._known.values()]

    def get(self, route: str) -> KnownRow | None:
        """Return the latest row of a route with its head's version."""
        return self._known.get(route)

    def learn(self, known: KnownRow) -> bool:
        """Take in a committed row; return whether it is news."""
        route = known.row.route
        before = self._known.get(route)
        if before is not None and before.version >= known.version:
            return False
        self._known[route] = known
        for callback in self._listeners:
            callback(known.row)
        return True

    def announce(self, route: str) -> None:
        """State a route's row to the other routers."""
        known = self._known[route]
        body = msgspec.msgpack.encode(known)
        topic = FactTopic.ROLLOUT_EVIDENCE
        self._board.publish(topic, row_fact_key(route), body, ttl_s=ROW_TTL_S)

    def announce_scarce(self) -> None:
        """State again the rows that too few other routers state."""
        copies: dict[str, int] = {}
        for fact in self._board.facts(FactTopic.ROLLOUT_EVIDENCE):
            if not fact.key.startswith("row/"):
                continue
            known = decode_fact(fact)
            held = self._known.get(known.row.route) if known else None
            if held is not None and held.version == known.version:
                route = held.row.route
                is_other = fact.origin != self._board.own
                copies[route] = copies.get(route, 0) + is_other
        for route in self._known:
            if copies.get(route, 0) < ROW_COPIES:
                self.announce(route)

    def refresh(self) -> Result[None, StoreError]:
        """Read all heads from the store."""
        after = ""
        while True:
            page = self._platform.scan(Table.ROLLOUTS, HEAD_PREFIX, after, PAGE_ROWS)
            if page.is_err():
                return Err(page.err())
            for row in page.ok():
                self._learn_stored(row)
            if len(page.ok()) < PAGE_ROWS:
                self.has_read = True
                return Ok(None)
            after = page.ok()[-1].key

    def refresh_route(self, route: str) -> Result[None, StoreError]:
        """Read one route's head from the store."""
        read = self._platform.get(Table.ROLLOUTS, head_key(route))
        if read.is_err():
            return Err(read.err())
        if read.ok() is not None:
            self._learn_stored(read.ok())
        return Ok(None)

    def _learn_stored(self, row: Row) -> None:
        try:
            self.learn(KnownRow(decode_row(row), row.version))
        except DECODE_ERRORS:
            return
