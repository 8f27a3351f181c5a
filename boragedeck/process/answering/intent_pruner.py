"""Deletes expired intents at a steady rate; each router prunes a share of the keys."""

import random

from boragedeck.connection.platform import Platform
from boragedeck.connection.store import Delete, Row, Table
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.interfaces import Membership
from boragedeck.process.membership.rendezvous import rank
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.store_breaker import StoreBreaker
from boragedeck.process.timers import TimerService
from boragedeck.request.intents import IntentRow, decode_row

__all__ = ["IntentPruner"]

RETENTION_S = 24 * 3600.0
"""Minimum time for which a key is kept."""
CLOCK_MARGIN_S = 3600.0
"""Allowed difference between the wall clocks of two routers."""
WALK_INTERVAL_S = 6 * 3600.0
"""Time from the end of one walk through the keys to the start of the next."""
PAGE_INTERVAL_S = 1.0
PAGE_ROWS = 200
KEY_PREFIXES = tuple(f"{number:02x}" for number in range(256))

_log = PartLog("intents")


class IntentPruner:
    """Walks through this router's share of the intents, one page at a time.

    Parameters
    ----------
    platform : Platform
        Stores the intents and their large response bodies.
    breaker : StoreBreaker
        Pauses the walk while the store is down.
    timers : TimerService
        The source of time.
    membership : Membership
        The routers among which the keys are divided.
    rng : random.Random, optional
        Randomises the first walk, for routers that start at the same time.

    Notes
    -----
    If two routers prune the same share, this costs extra work but is harmless: a
    row is deleted only at the version that was read.
    """

    def __init__(
        self,
        platform: Platform,
        breaker: StoreBreaker,
        timers: TimerService,
        membership: Membership,
        rng: random.Random | None = None,
    ):
        self._platform = platform
        self._breaker = breaker
        self._timers = timers
        self._membership = membership
        self._rng = rng or random.Random()
        self._remaining_prefixes: list[str] = []
        self._last_key = ""

    def start(self) -> None:
        """Start the periodic walks, the first one after a random delay."""
        self._timers.call_later(
            self._rng.uniform(0.0, WALK_INTERVAL_S), self._start_walk
        )

    def _start_walk(self) -> None:
        self._remaining_prefixes = self._own_prefixes()
        self._last_key = ""
        self._step()

    def _step(self) -> None:
        if not self._remaining_prefixes:
            self._timers.call_later(WALK_INTERVAL_S, self._start_walk)
            return
        if self._breaker.allows():
            self._prune_page()
        self._timers.call_later(PAGE_INTERVAL_S, self._step)

    def _prune_page(self) -> None:
        prefix = self._remaining_prefixes[-1]
        scanned = self._platform.scan(Table.INTENTS, prefix, self._last_key, PAGE_ROWS)
        if scanned.is_err():
            return
        rows = scanned.ok()
        self._prune([row for row in rows if self._is_expired(row)])
        if len(rows) < PAGE_ROWS:
            self._remaining_prefixes.pop()
            self._last_key = ""
        else:
            self._last_key = rows[-1].key

    def _prune(self, rows: list[Row]) -> None:
        if not rows:
            return
        for row in rows:
            self._clear_object(row)
        deletes = [Delete(Table.INTENTS, row.key, row.version) for row in rows]
        if self._platform.commit(deletes).is_ok():
            _log.write("Expired intents deleted.", rows=len(rows))

    def _clear_object(self, row: Row) -> None:
        # Objects can't be deleted; an empty one takes almost no space.
        intent = _decode_or_none(row)
        if intent is not None and intent.has_object:
            self._platform.put_object(intent.object_key, b"")

    def _is_expired(self, row: Row) -> bool:
        intent = _decode_or_none(row)
        if intent is None:
            return False
        age_s = self._timers.wall() - intent.created_at
        return age_s > RETENTION_S + CLOCK_MARGIN_S

    def _own_prefixes(self) -> list[str]:
        own = self._membership.own.router
        routers = [own, *(member.router for member in self._membership.members())]
        return [
            prefix for prefix in KEY_PREFIXES if rank(prefix, routers, str)[0] == own
        ]


def _decode_or_none(row: Row) -> IntentRow | None:
    try:
        return decode_row(row.value)
    except DECODE_ERRORS:
        return None
