"""One HTTP call to a store, with the error that says whether it had an effect."""

from collections.abc import Mapping

import eventlet
import msgspec
import urllib3
from result import Err, Ok, Result

from boragedeck.exceptions import (
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)

__all__ = ["FairConnection", "StoreAnswer", "call_store"]

EAGER_READS = 16
"""After so many reads other green threads and timeouts have their turn."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
READ_BYTES = 64 * 1024


class StoreAnswer(msgspec.Struct, frozen=True):
    """A whole answer of a store.

    Parameters
    ----------
    status : int
        The HTTP status.
    headers : mapping of str to str
        The headers; names in any case.
    data : bytes
        The body.
    """

    status: int
    headers: Mapping[str, str]
    data: bytes


class FairConnection(urllib3.connection.HTTPConnection):
    """A connection whose reads let other green threads go on.

    Notes
    -----
    A read of bytes that have already come doesn't wait, so a server that sends
    without end would stop everything else, timeouts included.
    """

    def _new_conn(self):
        sock = super()._new_conn()
        recv_into, reads = sock.recv_into, 0

        def fair_recv_into(*args, **kwargs):
            nonlocal reads
            reads += 1
            if reads % EAGER_READS == 0:
                eventlet.sleep(0)
            return recv_into(*args, **kwargs)

        sock.recv_into = fair_recv_into
        return sock


def call_store(
    pool: urllib3.PoolManager | urllib3.HTTPConnectionPool,
    method: str,
    url: str,
    *,
    body: bytes | None,
    timeout: urllib3.Timeout,
    step: str,
    peer: str,
    headers: Mapping[str, str] | None = None,
) -> Result[StoreAnswer, StoreError]:
    """Make a call and read its whole answer.

    Parameters
    ----------
    pool : PoolManager or HTTPConnectionPool
        The connections.
    method, url : str
        What to call.
    body : bytes or None
        What to send.
    timeout : urllib3.Timeout
        How long it may take.
    step, peer : str
        What the error says.
    headers : mapping, optional
        Headers to send.

    Returns
    -------
    Result
        The answer of any status, ``Err(StoreUnavailableError)`` where the store was
        not reached, or ``Err(StoreUnknownOutcomeError)`` where the call may have had an
        effect.
    """
    late = TimeoutError("no whole answer in time")
    try:
        with eventlet.Timeout(_total_s(timeout), late):
            response = pool.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                retries=False,
                preload_content=False,
            )
            answer = _whole(response)
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as exc:
        return Err(StoreUnavailableError(str(exc), step=step, peer=peer))
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Err(StoreUnknownOutcomeError(str(exc), step=step, peer=peer))
    return Ok(answer)


def _whole(response: urllib3.BaseHTTPResponse) -> StoreAnswer:
    """Read the body, and keep the connection only where the answer is whole."""
    data = bytearray()
    try:
        while part := response.read(READ_BYTES):
            data += part
            if len(data) > MAX_ANSWER_BYTES:
                raise OSError("the answer is too long")
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return StoreAnswer(response.status, response.headers, bytes(data))


def _total_s(timeout: urllib3.Timeout) -> float:
    return timeout.connect_timeout + timeout.read_timeout
