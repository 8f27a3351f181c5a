"""Client of the platform's store: rows under conditions, and their changes."""

import base64
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import urlencode

import msgspec
import urllib3
from result import Err, Ok, Result

from boragedeck.connection.peer import Address
from boragedeck.connection.store import (
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
from boragedeck.connection.store_http import YieldingConnection, call_store
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import (
    StoreConflictError,
    StoreError,
    StoreHistoryError,
    StoreUnavailableError,
    StoreUnknownError,
)

__all__ = ["PlatformStore"]

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 2.0
FEED_SLACK_S = 0.5
"""How long after its wait a call for changes may be answered."""
MAX_CONNECTIONS = 4
PAGE_ROWS = 500
NAMES = {Table.ROUTING: "op", Table.REPLICAS: "servers"}
"""Tables that the platform names; the others carry the product's names."""


class _Row(msgspec.Struct):
    key: str
    ver: int
    value: str | None = None
    tombstone: bool = False


class _Rows(msgspec.Struct):
    ver: int
    rows: list[_Row] = []
    truncated: bool = False


class _Written(msgspec.Struct):
    ver: int


def _ignore(call: StoreCall) -> None:
    """Take no notice of a call."""


class PlatformStore:
    """The platform's store as the product's `Platform` and `ChangeFeed`.

    Parameters
    ----------
    address : Address
        Where the store listens.
    on_call : callable, optional
        Told of each call that has ended.

    Notes
    -----
    A call is never repeated here: whoever calls settles an unknown outcome by
    reading back. All rows are in the part with the empty name.
    """

    def __init__(
        self, address: Address, on_call: Callable[[StoreCall], None] = _ignore
    ):
        self._peer = str(address)
        self._on_call = on_call
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
        begin = max(prefix, after + "\0" if after else "")
        page = self._page(table, begin, min(limit, PAGE_ROWS))
        return page.map(
            lambda rows: [
                Row(row.key, base64.b64decode(row.value or ""), row.ver)
                for row in rows.rows
                if row.key.startswith(prefix)
            ]
        )

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """See `TableStore.commit`."""
        body: dict[str, list[dict[str, Any]]] = {
            "expectedRev": [],
            "setKeys": [],
            "drop": [],
        }
        for write in writes:
            where = {"table": _name(write.table), "part": "", "key": write.key}
            if write.expect is not None:
                body["expectedRev"].append(where | {"ver": write.expect})
            match write:
                case Put():
                    value = base64.b64encode(write.value).decode()
                    body["setKeys"].append(where | {"value": value})
                case Delete():
                    body["drop"].append(where)
        table = writes[0].table if writes else None
        return self._write(table, body).map(lambda ver: [ver] * len(writes))

    def snapshot(
        self, table: Table, timeout_s: float = SNAPSHOT_TIMEOUT_S
    ) -> Result[Changes, StoreError]:
        """See `ChangeFeed.snapshot`."""
        rows: list[_Row] = []
        version = None
        begin = ""
        while True:
            page = self._page(table, begin, PAGE_ROWS, timeout_s)
            if page.is_err():
                return page
            found = page.ok()
            # A later page may be newer; changes since the first are read again.
            version = found.ver if version is None else version
            rows += found.rows
            if not found.truncated or not found.rows:
                return Ok(Changes(tuple(map(_change, rows)), version, True))
            begin = found.rows[-1].key + "\0"

    def changes(
        self, table: Table, after: int, wait_s: float
    ) -> Result[Changes, StoreError]:
        """See `ChangeFeed.changes`."""
        fields = {
            "table": _name(table),
            "after": str(after),
            "waitMs": str(int(wait_s * 1000.0)),
        }
        path = "/boragedeck/rows-feed"
        call = StoreCallKind.FEED, table
        answer = self._call(call, "GET", path, fields, None, wait_s + FEED_SLACK_S)
        return self._decode(answer, _Rows, path).map(
            lambda rows: Changes(tuple(map(_change, rows.rows)), rows.ver)
        )

    def get_object(self, key: str) -> Result[bytes | None, StoreError]:
        """See `ObjectStore.get_object`."""
        call = StoreCallKind.READ, None
        path = f"/boragedeck/blob-get/{key}"
        answer = self._call(call, "GET", path, {}, None, READ_TIMEOUT_S)
        return answer.map(lambda body: body or None)

    def put_object(self, key: str, body: bytes) -> Result[None, StoreError]:
        """See `ObjectStore.put_object`."""
        call = StoreCallKind.WRITE, None
        path = f"/boragedeck/blob-put/{key}"
        answer = self._call(call, "PUT", path, {}, body, READ_TIMEOUT_S)
        return answer.map(lambda _: None)

    def vms(self) -> Result[list[Vm], StoreError]:
        """Return an error, since the platform keeps no list of VMs."""
        return Err(StoreUnavailableError("no list of VMs", step="vms", peer=self._peer))

    def _page(
        self, table: Table, begin: str, limit: int, timeout_s: float = READ_TIMEOUT_S
    ) -> Result:
        fields = {"table": _name(table), "part": "", "limit": str(limit)}
        if begin:
            fields["from"] = begin
        path = "/boragedeck/rows-get"
        call = StoreCallKind.READ, table
        answer = self._call(call, "GET", path, fields, None, timeout_s)
        return self._decode(answer, _Rows, path)

    def _write(
        self, table: Table | None, body: dict[str, Any]
    ) -> Result[int, StoreError]:
        path = "/boragedeck/rows-tx"
        text = msgspec.json.encode(body)
        call = StoreCallKind.WRITE, table
        answer = self._call(call, "POST", path, {}, text, READ_TIMEOUT_S)
        return self._decode(answer, _Written, path).map(lambda written: written.ver)

    def _decode(self, answer: Result, answer_type: Any, step: str) -> Result:
        if answer.is_err():
            return answer
        try:
            return Ok(msgspec.json.decode(answer.ok(), type=answer_type))
        except DECODE_ERRORS as exc:
            return Err(StoreUnknownError(str(exc), step=step, peer=self._peer))

    def _call(
        self,
        call: tuple[StoreCallKind, Table | None],
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> Result[bytes, StoreError]:
        where = {"step": path, "peer": self._peer}
        headers = {} if body is None else {"Content-Type": "application/json"}
        url = f"{path}?{urlencode(fields)}" if fields else path
        called = call_store(
            self._pool,
            method,
            url,
            body=body,
            headers=headers,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
            **where,
        )
        outcome = "lost" if called.is_err() else str(called.ok().status)
        self._on_call(StoreCall(*call, outcome))
        if called.is_err():
            return called
        response = called.ok()
        text = f"status {response.status}"
        match response.status:
            case 200:
                return Ok(response.data)
            case 404 if method == "GET":
                return Ok(b"")
            case 410:
                return Err(StoreHistoryError(text, **where))
            case 412:
                return Err(StoreConflictError(text, **where))
            case 429 | 503:
                return Err(StoreUnavailableError(text, **where))
        return Err(StoreUnknownError(text, **where))


def _name(table: Table) -> str:
    return NAMES.get(table, table.value)


def _change(row: _Row) -> Change:
    if row.tombstone or row.value is None:
        return Change(row.key, None, row.ver)
    return Change(row.key, base64.b64decode(row.value), row.ver)
