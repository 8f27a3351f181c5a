"""Keeps a mirror of one of the platform's tables up to date."""

import itertools
import math
import random
from collections.abc import Callable

import eventlet
import msgspec
from result import Err, Ok, Result

from boragedeck.connection.peer import Address, PeerLinks
from boragedeck.connection.store import ChangeFeed, Changes
from boragedeck.exceptions import StoreError, StoreHistoryLostError
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.tables.answering_period import (
    MAX_GAP_S,
    AnsweringPeriod,
)
from boragedeck.process.relaying.tables.mirror_messages import TablePart
from boragedeck.process.relaying.tables.peer_tables import PeerTables
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import TimerService

__all__ = ["MirrorFollower"]

INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
FIRST_READ_TIMEOUTS_S = (0.25, 0.5, 1.0)
"""Timeouts of successive reads until the first succeeds, used in a cycle: the short
ones soon detect a store that is back, the long one lets a slow store answer."""
RETRY_SLACKS_S = (0.5, 0.5, 1.5)
"""How long successive calls for changes wait for an answer after a failure, used in a
cycle: a store that is back must be noticed within the operators' time of contact."""
MAX_FIRST_READ_PAUSE_S = 0.2
"""The longest pause between these reads."""
BATCH_DELAY_S = 0.2
"""How long to wait after a change before the next read, since changes mostly come in
groups."""
PEER_INTERVAL_S = 0.25
PEER_REPORT_TTL_S = 1.0
"""How long another router's report that the store answers it counts."""
OLDER_BUILD_AGE_S = 1.2
"""The longest time since the store answered a router of an older build that calls its
table current."""
MIN_LAG_S = 0.3
"""How long another router must be ahead before its rows are fetched."""

_log = PartLog("mirror")


class _NewerVersion(msgspec.Struct, frozen=True):
    """A row version that another router has and this one doesn't."""

    newest_row_version: int
    since: float


class _PeerReport(msgspec.Struct, frozen=True):
    """Since when the store has been answering another router, and when it said so."""

    answering_since: float
    received_at: float


class MirrorFollower:
    """Keeps a mirror up to date from the store or, if that fails, from other routers.

    Parameters
    ----------
    mirror : TableMirror
        The mirror.
    feed : ChangeFeed
        The source of changes.
    timers : TimerService
        The source of time.
    links : PeerLinks
        Links to other routers.
    peers : callable
        Returns the routers that may be asked.
    rng : random.Random
        Chooses the router to ask, and spreads the pauses.
    wait_s : callable
        Returns how long one call for changes waits, in seconds. A connection that is
        silent for longer counts as broken.

    Attributes
    ----------
    is_connected : bool
        Whether the store answered the last call.
    reconnected_at : float
        When the store first answered, or answered again after a failure or after it
        had been restored from an older copy.
    """

    def __init__(
        self,
        mirror: TableMirror,
        feed: ChangeFeed,
        timers: TimerService,
        links: PeerLinks,
        peers: Callable[[], list[Address]],
        rng: random.Random,
        wait_s: Callable[[], float],
    ):
        self._mirror = mirror
        self._feed = feed
        self._timers = timers
        self._peer_tables = PeerTables(mirror.table, links)
        self._peers = peers
        self._rng = rng
        self._wait_s = wait_s
        self._pause_s = INITIAL_PAUSE_S
        self._is_history_lost = False
        self._is_loss_logged = False
        self._first_read_timeouts_s = itertools.cycle(FIRST_READ_TIMEOUTS_S)
        self._retry_slacks_s = itertools.cycle(RETRY_SLACKS_S)
        self._newer: _NewerVersion | None = None
        self.is_connected = False
        self.reconnected_at = 0.0
        self._connected_since = 0.0
        self._period = AnsweringPeriod()
        self._peer_report: _PeerReport | None = None
        self._confirmed_at = -math.inf
        mirror.subscribe_restored(self._note_restored)

    def start(self) -> None:
        """Start to follow the table."""
        eventlet.spawn_n(self._follow)
        eventlet.spawn_n(self._poll_peers_while_disconnected)

    def answering_since(self) -> float | None:
        """Return since when the store has been answering without a failure.

        Returns
        -------
        float or None
            On the timer service's monotonic clock, by what this router and those that
            it has heard know together; None if none has heard the store recently.
        """
        if self.is_connected:
            return self._period.since
        known_since = []
        report, now = self._peer_report, self._timers.now()
        if report is not None and now - report.received_at <= PEER_REPORT_TTL_S:
            known_since.append(report.answering_since)
        if now - self._period.until <= MAX_GAP_S:
            known_since.append(self._period.since)
        return min(known_since, default=None)

    def answering_period(self) -> AnsweringPeriod:
        """Return the last period in which the store is known to have answered."""
        return self._period

    def age_s(self) -> float | None:
        """Return how long ago the mirror was the store's newest state, in seconds.

        Returns
        -------
        float or None
            None if that isn't known, for example without a table.
        """
        age_s = self._timers.now() - self._confirmed_at
        return None if math.isinf(age_s) else max(0.0, age_s)

    def _follow(self) -> None:
        while True:
            try:
                self._read_and_apply()
            except Exception as exc:
                _log.write("Table update failed.", error=repr(exc))
                self._timers.sleep(MAX_PAUSE_S)

    def _read_and_apply(self) -> None:
        mirror = self._mirror
        match self._read():
            case Ok(changes):
                self._note_connected()
                self._is_history_lost = False
                self._log_if_older(changes)
                self._note_heard(changes)
                mirror.apply(changes)
                if changes.rows:
                    self._timers.sleep(BATCH_DELAY_S)
            case Err(error):
                self._note_failure(error)

    def _read(self) -> Result[Changes, StoreError]:
        table, version = self._mirror.table, self._mirror.version
        if version < 0:
            timeout_s = next(self._first_read_timeouts_s)
            return self._feed.snapshot(table, timeout_s)
        if self._is_history_lost:
            return self._feed.snapshot(table)
        if self.is_connected:
            return self._feed.changes(table, version, self._wait_s())
        slack_s = next(self._retry_slacks_s)
        return self._feed.changes(table, version, 0.0, slack_s)

    def _log_if_older(self, changes: Changes) -> None:
        """Log a snapshot that has no effect."""
        if changes.is_snapshot and changes.version < self._mirror.version:
            _log.write(
                "Older snapshot ignored.",
                table=self._mirror.table.value,
                version=changes.version,
                known=self._mirror.version,
            )

    def _note_connected(self) -> None:
        self._pause_s = INITIAL_PAUSE_S
        if self.is_connected:
            return
        now = self._timers.now()
        self._connected_since = min(now, self.answering_since() or now)
        self.reconnected_at = now
        self.is_connected = True
        self._is_loss_logged = False
        _log.write("Store answers.", table=self._mirror.table.value)

    def _note_heard(self, changes: Changes) -> None:
        now = self._timers.now()
        since = self._connected_since
        if changes.answering_s is not None:
            since = now - changes.answering_s
        self._period.extend(since, now)
        self._confirm(now - changes.age_s)

    def _confirm(self, at: float) -> None:
        """Record that the mirror was the store's newest state at a moment."""
        self._confirmed_at = max(self._confirmed_at, at)

    def _note_restored(self) -> None:
        now = self._timers.now()
        self.reconnected_at = self._connected_since = now
        self._period.restart(now)
        self._peer_report = None
        _log.write("Store restored.", table=self._mirror.table.value)

    def _note_failure(self, error: Exception) -> None:
        if isinstance(error, StoreHistoryLostError):
            self._is_history_lost = True
            _log.write("History lost.", table=self._mirror.table.value)
            return
        if not self._is_loss_logged:
            self._is_loss_logged = True
            _log.write(
                "Store lost.",
                table=self._mirror.table.value,
                version=self._mirror.version,
                table_age_s=_rounded(self.age_s()),
                error=str(error),
            )
        if self.is_connected:
            self.is_connected = False
            eventlet.spawn_n(self._poll_peers_while_disconnected)
        self._timers.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        longest_s = MAX_FIRST_READ_PAUSE_S if self._mirror.version < 0 else MAX_PAUSE_S
        self._pause_s = min(longest_s, 2.0 * self._pause_s)

    def note_peer_version(self, address: Address, newest_row_version: int) -> None:
        """Fetch the table from a router that is ahead, if the feed stays behind."""
        known, now = self._mirror.newest_row_version, self._timers.now()
        if newest_row_version <= known:
            return
        newer = self._newer
        if newer is None or newer.newest_row_version <= known:
            self._newer = _NewerVersion(newest_row_version, now)
        elif now - newer.since >= MIN_LAG_S:
            self._newer = None
            eventlet.spawn_n(self._fetch, address)

    def _poll_peers_while_disconnected(self) -> None:
        """Fetch the table from other routers while the store doesn't answer."""
        while not self.is_connected:
            self._timers.sleep(PEER_INTERVAL_S)
            peers = self._peers()
            if peers and not self.is_connected:
                self._fetch(self._rng.choice(peers))

    def _fetch(self, address: Address) -> None:
        started_at = self._timers.now()
        told = self._peer_tables.fetch(address, self._mirror.version)
        if told is None:
            return
        part, changes = told.part, told.changes
        is_newer = changes is not None and changes.version > self._mirror.version
        if is_newer or self._mirror.version >= 0:
            self._note_peer_heard(part, started_at)
        if is_newer:
            self._log_fetched(address, part, changes)
            self._mirror.apply(changes)

    def _note_peer_heard(self, part: TablePart, asked_at: float) -> None:
        if part.age_s is not None:
            self._confirm(asked_at - part.age_s)
        if part.answering_s is not None:
            since = asked_at - part.answering_s
            self._peer_report = _PeerReport(since, self._timers.now())
        if part.period_s is not None and part.unheard_s is not None:
            self._period.extend(asked_at - part.period_s, asked_at - part.unheard_s)
        elif part.is_current and not part.counts_eras and not self.is_connected:
            # Older builds say only that the store has answered them recently.
            answered_at = asked_at - OLDER_BUILD_AGE_S
            self._confirm(answered_at)
            self._period.extend(answered_at, answered_at)

    def _log_fetched(self, address: Address, part: TablePart, changes: Changes) -> None:
        _log.write(
            "Table fetched from another router.",
            table=self._mirror.table.value,
            peer=str(address),
            version=changes.version,
            known=self._mirror.version,
            table_age_s=_rounded(part.age_s),
        )


def _rounded(age_s: float | None) -> float | None:
    return None if age_s is None else round(age_s, 3)
