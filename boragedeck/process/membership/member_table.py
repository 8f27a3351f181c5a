"""Membership data in the platform: a row for each router, and the list of VMs."""

import functools
import random
from collections.abc import Callable

import eventlet
import msgspec

from boragedeck.connection.peer import Address
from boragedeck.connection.platform import Platform
from boragedeck.connection.store import Delete, Put, Row, Table, Vm
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.ids import RouterId
from boragedeck.interfaces import Member
from boragedeck.process.membership.member_row import MemberRow
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService

__all__ = ["MemberTable", "MemberTableListener"]

MAX_WRITES_PER_S = 10.0
MIN_ROW_INTERVAL_S = 10.0
MIN_SCAN_INTERVAL_S = 15.0
ALONE_SCAN_INTERVAL_S = 2.0
SCAN_INTERVAL_PER_ROUTER_S = 1.0
MIN_VMS_INTERVAL_S = 2.0
VMS_INTERVAL_PER_ROUTER_S = 0.25
JITTER = 0.2
DEAD_ROW_AGE_S = 300.0
MAX_FRESH_ROW_AGE_S = 120.0
"""A row that has been unchanged for longer doesn't add its router to the members."""
PAGE_ROWS = 500
MAX_ROWS = 4096
MAX_DELETES_PER_SCAN = 8


_log = PartLog("membership")


class _RowVersion(msgspec.Struct, frozen=True):
    """A row's version and since when it has had it, on this router's clock."""

    version: int
    since: float


class MemberTableListener:
    """Receives what `MemberTable` reads; the methods of this base do nothing."""

    def routers(self) -> int:
        """Return the number of routers, this one included."""
        return 1

    def is_known(self, router: RouterId) -> bool:
        """Return whether a router is known and not dead."""
        return False

    def keeps_row(self) -> bool:
        """Return whether this router keeps a row, by which new routers find it."""
        return True

    def on_rows(self, members: list[Member]) -> None:
        """Receive the members that have fresh rows."""

    def on_vms(self, vms: list[Vm]) -> None:
        """Receive the platform's list of VMs."""


class MemberTable:
    """Writes this router's row, reads all rows and deletes those of dead routers.

    Parameters
    ----------
    own : Member
        This router.
    callers : Address
        The address on which it listens for callers.
    platform : Platform
        Stores the rows.
    timers : TimerService
        The source of time.
    rng : random.Random
        The source of jitter.
    listener : MemberTableListener
        Receives the rows and VMs that were read.
    first_delay_s : float
        Delay between the start and the first use of the table, in seconds.

    Notes
    -----
    The intervals grow with the fleet, so that all routers together stay within
    `MAX_WRITES_PER_S`. A row is dead if its router isn't known and its version has not
    changed for `DEAD_ROW_AGE_S` on this router's clock, with no failed scan in between.
    """

    def __init__(
        self,
        own: Member,
        callers: Address,
        platform: Platform,
        timers: TimerService,
        rng: random.Random,
        listener: MemberTableListener,
        first_delay_s: float = 0.0,
    ):
        self._first_delay_s = first_delay_s
        self._has_row = False
        self._own = own
        self._callers = callers
        self._platform = platform
        self._timers = timers
        self._rng = rng
        self._listener = listener
        self._row_versions: dict[str, _RowVersion] = {}
        self._is_stopped = False

    def start(self) -> None:
        """Start to write the row, scan the rows and read the VMs periodically."""
        eventlet.spawn_n(self._run)

    def leave(self) -> None:
        """Delete this router's row, if it has one, and stop writing it."""
        self._is_stopped = True
        if self._has_row:
            self._platform.commit([Delete(Table.MEMBERS, self._own.router)])

    def write_row(self) -> None:
        """Write this router's row if it is one of those that keep a row."""
        if not self._listener.keeps_row():
            return
        self._has_row = True
        row = MemberRow(self._own, self._callers, self._timers.wall())
        body = msgspec.json.encode(row)
        # Restores the row if another router deleted it while this one was paused.
        self._platform.commit([Put(Table.MEMBERS, self._own.router, body)])

    def scan(self) -> None:
        """Read all rows and delete some of the dead ones.

        Notes
        -----
        A router that keeps no row leaves this to those that do; without known peers
        each router keeps one.
        """
        if not self._listener.keeps_row():
            return
        rows: list[Row] = []
        while len(rows) < MAX_ROWS:
            after = rows[-1].key if rows else ""
            page = self._platform.scan(Table.MEMBERS, after=after, limit=PAGE_ROWS)
            if page.is_err():
                # The rows' owners may have been unable to write them either, so that an
                # unchanged row isn't evidence of a dead router.
                self._row_versions.clear()
                return
            rows += page.ok()
            if len(page.ok()) < PAGE_ROWS:
                break
        self._update_row_versions(rows)
        fresh = [row for row in rows if self._age_s(row) < MAX_FRESH_ROW_AGE_S]
        self._listener.on_rows(list(filter(None, map(_member, fresh))))
        self._remove_dead(rows)

    def read_vms(self) -> None:
        """Read the platform's list of VMs."""
        vms = self._platform.vms()
        if vms.is_ok():
            self._listener.on_vms(vms.ok())

    def _update_row_versions(self, rows: list[Row]) -> None:
        now = self._timers.now()
        previous = self._row_versions
        self._row_versions = {}
        for row in rows:
            old = previous.get(row.key)
            if old is None or old.version != row.version:
                old = _RowVersion(row.version, now)
            self._row_versions[row.key] = old

    def _age_s(self, row: Row) -> float:
        return self._timers.now() - self._row_versions[row.key].since

    def _remove_dead(self, rows: list[Row]) -> None:
        dead = [
            row
            for row in rows
            if self._age_s(row) >= DEAD_ROW_AGE_S
            and row.key != self._own.router
            and not self._listener.is_known(RouterId(row.key))
        ]
        for row in dead[:MAX_DELETES_PER_SCAN]:
            # Conditional on the version: the router may have written its row again.
            self._platform.commit([Delete(Table.MEMBERS, row.key, row.version)])

    def _run(self) -> None:
        self._timers.sleep(self._first_delay_s)
        # Writing first means that of two routers that start together, at least one
        # scans after the other has written its row.
        self._run_periodically(self.write_row, self._row_interval_s)
        self._run_periodically(self.scan, self._scan_interval_s)
        self._run_periodically(self.read_vms, self._vms_interval_s)

    def _run_periodically(
        self, step: Callable[[], None], interval_s: Callable[[], float]
    ):
        if self._is_stopped:
            return
        try:
            step()
        except Exception as exc:
            _log.write("Step failed.", error=repr(exc))
        spread = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        again = functools.partial(self._run_periodically, step, interval_s)
        self._timers.call_later(interval_s() * spread, again)

    def _row_interval_s(self) -> float:
        return max(MIN_ROW_INTERVAL_S, self._listener.routers() / MAX_WRITES_PER_S)

    def _scan_interval_s(self) -> float:
        if self._listener.routers() == 1:
            return ALONE_SCAN_INTERVAL_S
        per_router = SCAN_INTERVAL_PER_ROUTER_S * self._listener.routers()
        return max(MIN_SCAN_INTERVAL_S, per_router)

    def _vms_interval_s(self) -> float:
        per_router = VMS_INTERVAL_PER_ROUTER_S * self._listener.routers()
        return max(MIN_VMS_INTERVAL_S, per_router)


def _member(row: Row) -> Member | None:
    try:
        return msgspec.json.decode(row.value, type=MemberRow).member
    except DECODE_ERRORS:
        return None
