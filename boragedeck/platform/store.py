"""Client of the platform's store: conditional writes, reads and a change feed.

The platform's versions start again from an older one when the store is restored from a
copy. All versions that leave this module hold the store's era, so that they can be
compared.
"""

import base64
from collections.abc import Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec
import urllib3
from result import Err, Ok, Result

from boragedeck.connection.peer import Address
from boragedeck.connection.store import (
    FEED_SLACK_S,
    SNAPSHOT_TIMEOUT_S,
    Change,
    Changes,
    Delete,
    Put,
    Row,
    StoreCall,
    StoreCallKind,
    Table,
    Vm,
    Write,
)
from boragedeck.connection.store_http import StoreAnswer, YieldingConnection, call_store
from boragedeck.connection.store_version import (
    StoreVersion,
    era_of,
    number_of,
    store_version,
)
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import (
    StoreConflictError,
    StoreError,
    StoreHistoryLostError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from boragedeck.process.observing.logs import PartLog

__all__ = ["PlatformStore"]

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 4
PAGE_ROWS = 500
PLATFORM_TABLE_NAMES = {Table.ROUTING: "op", Table.REPLICAS: "servers"}
"""Tables that have another name on the platform than in this package."""
ERA_HEADER = "Store-Era"
"""In answers of the store: how often it has been restored from an older copy."""

T = TypeVar("T")

_log = PartLog("store")


class _Row(msgspec.Struct):
    key: str
    ver: int
    value: str | None = None
    tombstone: bool = False


class _RowPage(msgspec.Struct):
    ver: int
    rows: list[_Row] = []
    truncated: bool = False


class _CommitAnswer(msgspec.Struct):
    ver: int


class _Answer(msgspec.Struct, frozen=True):
    """The body of an answer, and the era in which the store gave it."""

    body: bytes
    era: int


def _ignore_call(call: StoreCall) -> None:
    """Do nothing; the default of `on_call`."""


class PlatformStore:
    """Client of the platform's store; implements `Platform` and `ChangeFeed`.

    Parameters
    ----------
    address : Address
        Where the store listens.
    on_call : callable, optional
        Called with each call that has ended.

    Notes
    -----
    Calls are never retried here: the caller resolves an unknown outcome by reading
    the rows back. All rows are in the part with the empty name.
    """

    def __init__(
        self, address: Address, on_call: Callable[[StoreCall], None] = _ignore_call
    ):
        self._peer = str(address)
        self._on_call = on_call
        # The highest era in any answer; 0 until one has named its era.
        self._era = 0
        self._pool = urllib3.HTTPConnectionPool(
            address.host,
            address.port,
            maxsize=MAX_CONNECTIONS,
            block=False,
            retries=False,
        )
        self._pool.ConnectionCls = YieldingConnection

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    def get(self, table: Table, key: str) -> Result[Row | None, StoreError]:
        """See `TableStore.get`."""
        found = self.scan(table, prefix=key, limit=1)
        return found.map(lambda rows: rows[0] if rows and rows[0].key == key else None)

    def scan(
        self, table: Table, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        """See `TableStore.scan`."""
        start_key = max(prefix, after + "\0" if after else "")
        page = self._read_page(table, start_key, min(limit, PAGE_ROWS))
        if page.is_err():
            return page
        found, era = page.ok()
        return Ok(
            [
                Row(
                    row.key,
                    base64.b64decode(row.value or ""),
                    store_version(era, row.ver),
                )
                for row in found.rows
                if row.key.startswith(prefix)
            ]
        )

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """See `TableStore.commit`.

        Notes
        -----
        A condition on a row that was read in another era of the store means nothing:
        the row's version may belong to another write now.
        """
        read_eras = {era_of(each.expect) for each in writes if each.expect}
        if any(era < self._era for era in read_eras):
            text = "a row was read before the store was restored"
            return Err(StoreConflictError(text, step="commit", peer=self._peer))
        body: dict[str, list[dict[str, Any]]] = {
            "expectedRev": [],
            "setKeys": [],
            "drop": [],
        }
        for write in writes:
            row_ref = {
                "table": _table_name(write.table),
                "part": "",
                "key": write.key,
            }
            if write.expect is not None:
                ver = number_of(write.expect)
                body["expectedRev"].append(row_ref | {"ver": ver})
            match write:
                case Put():
                    value = base64.b64encode(write.value).decode()
                    body["setKeys"].append(row_ref | {"value": value})
                case Delete():
                    body["drop"].append(row_ref)
        table = writes[0].table if writes else None
        written = self._send_writes(table, body)
        if written.is_ok() and read_eras - {era_of(written.ok())}:
            text = "the store was restored between the read and the write"
            return Err(StoreUnknownOutcomeError(text, step="commit", peer=self._peer))
        return written.map(lambda version: [version] * len(writes))

    def snapshot(
        self, table: Table, timeout_s: float = SNAPSHOT_TIMEOUT_S
    ) -> Result[Changes, StoreError]:
        """See `ChangeFeed.snapshot`."""
        rows: list[Change] = []
        version = None
        start_key = ""
        while True:
            page = self._read_page(table, start_key, PAGE_ROWS, timeout_s)
            if page.is_err():
                return page
            found, era = page.ok()
            # A later page may be newer. The first page's version is returned, so that
            # the feed repeats all changes since then.
            version = store_version(era, found.ver) if version is None else version
            if era != era_of(version):
                return Err(self._history_lost("read a table"))
            rows += [_decode_change(row, era) for row in found.rows]
            if not found.truncated or not found.rows:
                return Ok(Changes(tuple(rows), version, True))
            start_key = found.rows[-1].key + "\0"

    def changes(
        self,
        table: Table,
        after: int,
        wait_s: float,
        slack_s: float = FEED_SLACK_S,
    ) -> Result[Changes, StoreError]:
        """See `ChangeFeed.changes`.

        Notes
        -----
        A restored store accepts a version of an earlier era if its counter has passed
        it, so the era of the answer has to be checked.
        """
        path = "/boragedeck/rows-feed"
        if era_of(after) < self._era:
            return Err(self._history_lost(path))
        query = {
            "table": _table_name(table),
            "after": str(number_of(after)),
            "waitMs": str(int(wait_s * 1000.0)),
        }
        call = StoreCallKind.FEED, table
        answer = self._send_call(call, "GET", path, query, None, wait_s + slack_s)
        page = self._decode(answer, _RowPage, path)
        if page.is_err():
            return page
        found, era = page.ok()
        if era != era_of(after):
            return Err(self._history_lost(path))
        changes = tuple(_decode_change(row, era) for row in found.rows)
        return Ok(Changes(changes, store_version(era, found.ver)))

    def get_object(self, key: str) -> Result[bytes | None, StoreError]:
        """See `ObjectStore.get_object`."""
        call = StoreCallKind.READ, None
        path = f"/boragedeck/blob-get/{key}"
        answer = self._send_call(call, "GET", path, {}, None, READ_TIMEOUT_S)
        return answer.map(lambda found: found.body or None)

    def put_object(self, key: str, body: bytes) -> Result[None, StoreError]:
        """See `ObjectStore.put_object`."""
        call = StoreCallKind.WRITE, None
        path = f"/boragedeck/blob-put/{key}"
        answer = self._send_call(call, "PUT", path, {}, body, READ_TIMEOUT_S)
        return answer.map(lambda _: None)

    def vms(self) -> Result[list[Vm], StoreError]:
        """Return an error, since the platform keeps no list of VMs."""
        return Err(
            StoreUnavailableError(
                "the platform keeps no list of VMs", step="vms", peer=self._peer
            )
        )

    def _read_page(
        self,
        table: Table,
        start_key: str,
        limit: int,
        timeout_s: float = READ_TIMEOUT_S,
    ) -> Result[tuple[_RowPage, int], StoreError]:
        query = {"table": _table_name(table), "part": "", "limit": str(limit)}
        if start_key:
            query["from"] = start_key
        path = "/boragedeck/rows-get"
        call = StoreCallKind.READ, table
        answer = self._send_call(call, "GET", path, query, None, timeout_s)
        return self._decode(answer, _RowPage, path)

    def _send_writes(
        self, table: Table | None, body: dict[str, Any]
    ) -> Result[StoreVersion, StoreError]:
        path = "/boragedeck/rows-tx"
        text = msgspec.json.encode(body)
        call = StoreCallKind.WRITE, table
        answer = self._send_call(call, "POST", path, {}, text, READ_TIMEOUT_S)
        decoded = self._decode(answer, _CommitAnswer, path)
        return decoded.map(lambda found: store_version(found[1], found[0].ver))

    def _decode(
        self, answer: Result[_Answer, StoreError], body_type: type[T], step: str
    ) -> Result[tuple[T, int], StoreError]:
        """Return the decoded body and the store's era."""
        if answer.is_err():
            return answer
        try:
            body = msgspec.json.decode(answer.ok().body, type=body_type)
            return Ok((body, answer.ok().era))
        except DECODE_ERRORS as exc:
            return Err(StoreUnknownOutcomeError(str(exc), step=step, peer=self._peer))

    def _send_call(
        self,
        call: tuple[StoreCallKind, Table | None],
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> Result[_Answer, StoreError]:
        error_context = {"step": path, "peer": self._peer}
        headers = {} if body is None else {"Content-Type": "application/json"}
        url = f"{path}?{urlencode(query)}" if query else path
        response_result = call_store(
            self._pool,
            method,
            url,
            body=body,
            headers=headers,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            **error_context,
        )
        outcome = (
            "lost" if response_result.is_err() else str(response_result.ok().status)
        )
        self._on_call(StoreCall(*call, outcome))
        if response_result.is_err():
            return response_result
        response = response_result.ok()
        era = self._note_era(response)
        text = f"status {response.status}"
        match response.status:
            case 200:
                return Ok(_Answer(response.data, era))
            case 404 if method == "GET":
                return Ok(_Answer(b"", era))
            case 410:
                return Err(StoreHistoryLostError(text, **error_context))
            case 412:
                return Err(StoreConflictError(text, **error_context))
            case 429 | 503:
                return Err(StoreUnavailableError(text, **error_context))
        return Err(StoreUnknownOutcomeError(text, **error_context))

    def _note_era(self, response: StoreAnswer) -> int:
        """Return the era of an answer, and log a new one.

        Notes
        -----
        Answers may arrive out of order, so an earlier era can follow a later one.
        """
        text = response.headers.get(ERA_HEADER, "")
        era = int(text) if text.isdigit() else self._era
        if era > self._era:
            if self._era:
                _log.write("Restored from a copy.", era=era, before=self._era)
            self._era = era
        return era

    def _history_lost(self, step: str) -> StoreHistoryLostError:
        text = "the store was restored from an older copy"
        return StoreHistoryLostError(text, step=step, peer=self._peer)


def _table_name(table: Table) -> str:
    return PLATFORM_TABLE_NAMES.get(table, table.value)


def _decode_change(row: _Row, era: int) -> Change:
    version = store_version(era, row.ver)
    if row.tombstone or row.value is None:
        return Change(row.key, None, version)
    return Change(row.key, base64.b64decode(row.value), version)
