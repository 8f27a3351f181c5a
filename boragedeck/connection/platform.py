"""HTTP client for the platform: its tables, objects and list of VMs."""

from collections.abc import Sequence
from typing import Any, Protocol, TypeVar

import msgspec
import urllib3
from result import Err, Ok, Result

from boragedeck.connection.store import Row, Table, Vm, Write
from boragedeck.connection.store_http import call_store
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)

__all__ = ["Commit", "Get", "HttpPlatform", "Platform", "Scan"]

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 8
MAX_ERROR_BYTES = 2_000

T = TypeVar("T")


class Get(msgspec.Struct, frozen=True):
    """Body of ``POST /tables/get``; the response is a `Row` or null."""

    table: Table
    key: str


class Scan(msgspec.Struct, frozen=True):
    """Body of ``POST /tables/scan``, see `TableStore.scan`.

    The response is a list of `Row`.
    """

    table: Table
    prefix: str = ""
    after: str = ""
    limit: int = 1000


class Commit(msgspec.Struct, frozen=True):
    """Body of ``POST /tables/commit``; the response is a list of versions.

    If a condition does not hold, the response has status 409, and its text is the
    table and key whose condition failed.
    """

    writes: tuple[Write, ...]


class Platform(Protocol):
    """All platform services in use: `TableStore`, `ObjectStore` and `VmList`."""

    def get(self, table: Table, key: str) -> Result[Row | None, StoreError]:
        """See `TableStore.get`."""

    def scan(
        self, table: Table, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        """See `TableStore.scan`."""

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """See `TableStore.commit`."""

    def get_object(self, key: str) -> Result[bytes | None, StoreError]:
        """See `ObjectStore.get_object`."""

    def put_object(self, key: str, body: bytes) -> Result[None, StoreError]:
        """See `ObjectStore.put_object`."""

    def vms(self) -> Result[list[Vm], StoreError]:
        """See `VmList.vms`."""


class HttpPlatform:
    """Client of the platform over HTTP, with JSON bodies.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    timeout_s : float
        Read timeout of a call, in seconds; the whole call takes at most this time and
        `CONNECT_TIMEOUT_S` together.

    Notes
    -----
    Calls are never retried here. After an unknown outcome, the caller reads back to
    find out whether the call had an effect.
    """

    def __init__(self, url: str, *, timeout_s: float = 5.0):
        self._url = url.rstrip("/")
        self._timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        self._pool = urllib3.PoolManager(
            maxsize=MAX_CONNECTIONS, block=False, retries=False
        )

    def get(self, table: Table, key: str) -> Result[Row | None, StoreError]:
        """See `TableStore.get`."""
        return self._post("/tables/get", Get(table, key), Row | None)

    def scan(
        self, table: Table, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        """See `TableStore.scan`."""
        return self._post("/tables/scan", Scan(table, prefix, after, limit), list[Row])

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """See `TableStore.commit`."""
        return self._post("/tables/commit", Commit(tuple(writes)), list[int])

    def get_object(self, key: str) -> Result[bytes | None, StoreError]:
        """See `ObjectStore.get_object`."""
        result = self._request("GET", f"/objects/{key}", None)
        # `_request` returns an empty body if there is no such object.
        return result.map(lambda body: body or None)

    def put_object(self, key: str, body: bytes) -> Result[None, StoreError]:
        """See `ObjectStore.put_object`."""
        return self._request("PUT", f"/objects/{key}", body).map(lambda _: None)

    def vms(self) -> Result[list[Vm], StoreError]:
        """See `VmList.vms`."""
        return self._decode(self._request("GET", "/vms", None), list[Vm], "/vms")

    def _post(self, path: str, body: msgspec.Struct, answer_type: Any) -> Result:
        result = self._request("POST", path, msgspec.json.encode(body))
        return self._decode(result, answer_type, path)

    def _decode(self, result: Result, answer_type: Any, path: str) -> Result:
        if result.is_err():
            return result
        try:
            return Ok(msgspec.json.decode(result.ok(), type=answer_type))
        except DECODE_ERRORS as exc:
            return Err(StoreUnknownOutcomeError(str(exc), step=path, peer=self._url))

    def _request(
        self, method: str, path: str, body: bytes | None
    ) -> Result[bytes, StoreError]:
        error_context = {"step": path, "peer": self._url}
        call_result = call_store(
            self._pool,
            method,
            self._url + path,
            body=body,
            timeout=self._timeout,
            **error_context,
        )
        if call_result.is_err():
            return call_result
        response = call_result.ok()
        match response.status:
            case 200:
                return Ok(response.data)
            case 404 if method == "GET":
                return Ok(b"")
            case 409:
                return Err(
                    StoreConflictError(_error_text(response.data), **error_context)
                )
            case 503:
                return Err(
                    StoreUnavailableError(_error_text(response.data), **error_context)
                )
        text = f"status {response.status}: {response.data[:200]!r}"
        return Err(StoreUnknownOutcomeError(text, **error_context))


def _error_text(body: bytes) -> str:
    return body[:MAX_ERROR_BYTES].decode(errors="replace")
