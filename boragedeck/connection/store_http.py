"""One HTTP call to a store, with the error that says whether it had an effect."""

from collections.abc import Mapping

import urllib3
from result import Err, Ok, Result

from boragedeck.exceptions import (
    StoreError,
    StoreUnavailableError,
    StoreUnknownError,
)

__all__ = ["StoreAnswer", "call_store"]

StoreAnswer = urllib3.BaseHTTPResponse


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
        not reached, or ``Err(StoreUnknownError)`` where the call may have had an
        effect.
    """
    try:
        answer = pool.request(
            method, url, body=body, headers=headers, timeout=timeout, retries=False
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as exc:
        return Err(StoreUnavailableError(str(exc), step=step, peer=peer))
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Err(StoreUnknownError(str(exc), step=step, peer=peer))
    return Ok(answer)
