"""Keeps what the judge of crashes knows in the platform's store.

The routers tell each other what they know, so that a few of them may be lost. If all
are, the store has it. There is one row, which the judge writes when it has news, and
which each router reads when it starts.
"""

import random
from collections.abc import Callable

import eventlet
from result import Err, Ok

from boragedeck.connection.store import ABSENT, Put, Table, TableStore
from boragedeck.connection.store_version import StoreVersion
from boragedeck.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.crashes.crash_judge import CrashJudge
from boragedeck.process.relaying.crashes.crash_memory import CrashMemory
from boragedeck.process.relaying.crashes.crash_row import (
    EMPTY_ROW,
    ROW_KEY,
    CrashRow,
    decode_row,
    encode_row,
)
from boragedeck.process.relaying.crashes.judge_client import JudgeClient
from boragedeck.process.timers import TimerService

__all__ = ["CrashStore"]

TICK_S = 0.5
CRASH_DELAY_S = 0.3
"""How long after its first report a crash is written; all routers have reported it."""
MIN_WRITE_INTERVAL_S = 1.0
"""Minimum time between two writes of crashes; verdicts are written at once."""
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0
JITTER = 0.2

_log = PartLog("blame")


class CrashStore:
    """Reads and writes the judge's row.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    rng : random.Random
        Spreads retries.
    store : TableStore
        The platform's store.
    memory : CrashMemory
        What is to be stored, and takes over what was.
    judge : CrashJudge
        The judge in this router, which says when there is something to store.
    client : JudgeClient
        Tells whether this router is the judge, or may become it.

    Attributes
    ----------
    has_read : bool
        Whether the row has been read.

    Notes
    -----
    Each router reads the row when it starts. If that fails, only those try again that
    may become the judge; the others hear of the verdicts from them.

    Each write names the version of the row that it replaces, so that a write which
    arrives late or twice fails. After a conflict, or if the outcome isn't known, the
    row is read and joined with what the judge knows before it is written again.
    """

    def __init__(
        self,
        timers: TimerService,
        rng: random.Random,
        store: TableStore,
        memory: CrashMemory,
        judge: CrashJudge,
        client: JudgeClient,
    ):
        self._timers = timers
        self._rng = rng
        self._store = store
        self._memory = memory
        self._judge = judge
        self._client = client
        self.has_read = False
        self._is_busy = False
        self._was_own = False
        self._version: StoreVersion | int | None = None
        self._stored = EMPTY_ROW
        self._written_at = float("-inf")
        self._due_at = float("inf")
        self._not_before = float("-inf")
        self._retry_s = FIRST_RETRY_S
        judge.on_crash = self._note_crash
        judge.on_verdict = self._note_verdict

    def start(self) -> None:
        """Read the row, and write it from now on."""
        self._spawn(self._read)
        self._timers.subscribe(TICK_S, self._tick)

    def note_restored(self) -> None:
        """Record that the store was restored from an older copy."""
        self._version, self._stored = None, EMPTY_ROW
        self._due_at = self._timers.now()

    def _note_crash(self) -> None:
        now = self._timers.now()
        due_at = max(now + CRASH_DELAY_S, self._written_at + MIN_WRITE_INTERVAL_S)
        if due_at < self._due_at:
            self._due_at = due_at
            self._timers.call_later(due_at - now, self._tick)

    def _note_verdict(self) -> None:
        self._due_at = self._timers.now()
        self._tick()

    def _tick(self) -> None:
        now = self._timers.now()
        is_own = self._client.is_own()
        if is_own and not self._was_own:
            # The last judge may have ended before it wrote what all routers know.
            self._note_crash()
        self._was_own = is_own
        if self._is_busy or now < self._not_before:
            return
        if not self.has_read and self._client.may_become_judge():
            self._spawn(self._read)
        elif self._due_at <= now:
            self._spawn(self._write)

    def _spawn(self, step: Callable[[], object]) -> None:
        self._is_busy = True
        eventlet.spawn_n(self._run, step)

    def _run(self, step: Callable[[], object]) -> None:
        try:
            step()
        finally:
            self._is_busy = False

    def _read(self) -> bool:
        """Read the row, and give it to the judge; return whether that succeeded."""
        found = self._store.get(Table.CRASHES, ROW_KEY)
        if found.is_err():
            self._note_failure("read", found.err())
            return False
        self._retry_s = FIRST_RETRY_S
        self.has_read = True
        self._version, self._stored = ABSENT, EMPTY_ROW
        if found.ok() is not None:
            self._version = found.ok().version
            self._restore(found.ok().value)
        return True

    def _restore(self, body: bytes) -> None:
        decoded = decode_row(body)
        if decoded.is_err():
            _log.write("Row can't be decoded.", error=decoded.err())
            return
        self._stored = decoded.ok()
        _log.write(
            "Row read.",
            version=self._version,
            verdicts=len(self._stored.verdicts),
            crashes=len(self._stored.crashes),
        )
        self._memory.restore(self._stored)
        if self._client.is_own():
            self._judge.review()

    def _write(self) -> None:
        """Write the row if the judge has news, and this router is the judge."""
        self._due_at = float("inf")
        if not (self._client.is_own() and self._has_news()):
            return
        if self._version is None and not self._read():
            self._due_at = self._not_before
        elif self._has_news():
            self._commit(self._memory.row())

    def _has_news(self) -> bool:
        return self._memory.row().has_news_for(self._stored)

    def _commit(self, row: CrashRow) -> None:
        put = Put(Table.CRASHES, ROW_KEY, encode_row(row), self._version)
        match self._store.commit([put]):
            case Ok([version]):
                self._version, self._stored = version, row
                self._written_at = self._timers.now()
                self._retry_s = FIRST_RETRY_S
                _log.write(
                    "Row written.",
                    version=version,
                    verdicts=len(row.verdicts),
                    crashes=len(row.crashes),
                    bytes=len(put.value),
                )
            case Err(error):
                if not isinstance(error, StoreUnavailableError):
                    # It may have been written, by this router or another one.
                    self._version = None
                self._note_failure("write", error)
                self._due_at = self._not_before

    def _note_failure(self, step: str, error: StoreError) -> None:
        is_conflict = isinstance(error, StoreConflictError)
        spread = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        self._not_before = self._timers.now() + self._retry_s * spread
        _log.write(
            "Row not read." if step == "read" else "Row not written.",
            is_conflict=is_conflict,
            error=str(error),
            retry_in_s=round(self._not_before - self._timers.now(), 3),
        )
        self._retry_s = min(2.0 * self._retry_s, MAX_RETRY_S)
