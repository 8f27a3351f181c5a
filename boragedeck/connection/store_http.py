"""HTTP calls to the store, whose errors show whether a call may have had an effect."""

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

__all__ = ["StoreAnswer", "YieldingConnection", "call_store"]

READS_PER_YIELD = 16
"""Number of reads after which other green threads and timeouts run."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
READ_BYTES = 64 * 1024


class StoreAnswer(msgspec.Struct, frozen=True):
    """Complete answer of the store.

    Parameters
    ----------
    status : int
        The HTTP status.
    headers : mapping of str to str
        The headers; look-ups ignore the case of names.
    data : bytes
        The body.
    """

    status: int
    headers: Mapping[str, str]
    data: bytes


class YieldingConnection(urllib3.connection.HTTPConnection):
    """Connection that yields to other green threads between reads.

    Notes
    -----
    A read of bytes that have already arrived doesn't wait. A server that sends
    without end would therefore block all other green threads and timeouts.
    """

    def _new_conn(self):
        sock = super()._new_conn()
        recv_into, reads = sock.recv_into, 0

        def yielding_recv_into(*args, **kwargs):
            nonlocal reads
            reads += 1
            if reads % READS_PER_YIELD == 0:
                eventlet.sleep(0)
            return recv_into(*args, **kwargs)

        sock.recv_into = yielding_recv_into
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
    """Make one HTTP call and read the complete answer.

    Parameters
    ----------
    pool : PoolManager or HTTPConnectionPool
        The connection pool.
    method, url : str
        HTTP method and URL.
    body : bytes or None
        The request body.
    timeout : urllib3.Timeout
        Timeouts of the call; their sum is the maximum time of the whole call.
    step, peer : str
        Step and peer to name in an error.
    headers : mapping, optional
        The request headers.

    Returns
    -------
    Result
        The answer with any status, ``Err(StoreUnavailableError)`` if the store could
        not be reached, so that nothing was sent, or ``Err(StoreUnknownOutcomeError)``
        if no complete answer arrived, so that the call may have had an effect.
    """
    timeout_error = TimeoutError("no complete answer in time")
    try:
        with eventlet.Timeout(_total_timeout_s(timeout), timeout_error):
            response = pool.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                retries=False,
                preload_content=False,
            )
            answer = _read_whole(response)
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as exc:
        return Err(StoreUnavailableError(str(exc), step=step, peer=peer))
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Err(StoreUnknownOutcomeError(str(exc), step=step, peer=peer))
    return Ok(answer)


def _read_whole(response: urllib3.BaseHTTPResponse) -> StoreAnswer:
    """Read the body; the connection is reused only if the answer is complete."""
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


def _total_timeout_s(timeout: urllib3.Timeout) -> float:
    return timeout.connect_timeout + timeout.read_timeout
