"""HTTP client for orders to engines.

See Also
--------
boragedeck.version.orders : The orders, and the interface `EngineClient`.
"""

from typing import Any

import msgspec
import urllib3
from result import Err, Ok, Result

from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamFailedError,
    UpstreamRefusedError,
)
from boragedeck.version.orders import EngineState, Order
from boragedeck.version.tables import Upstream

__all__ = ["HttpEngineOrders"]

TIMEOUT_S = 1.0
PATH = "/orders"


class HttpEngineOrders:
    """Sends orders with ``POST /orders`` and reads the state with ``GET /orders``."""

    def __init__(self):
        timeout = urllib3.Timeout(connect=TIMEOUT_S, read=TIMEOUT_S)
        self._http = urllib3.PoolManager(timeout=timeout, retries=False)

    def read_state(self, upstream: Upstream) -> Result[EngineState, UpstreamError]:
        """Read an engine's state; see `EngineClient.read_state`."""
        return self._call("GET", upstream, None)

    def send(
        self, upstream: Upstream, order: Order, order_id: str, token: int
    ) -> Result[EngineState, UpstreamError]:
        """Send an order; see `EngineClient.send`."""
        fields = msgspec.to_builtins(order)
        fields["kind"] = fields.pop("type")
        fields |= {"order_id": order_id, "fencing_token": token}
        return self._call("POST", upstream, msgspec.json.encode(fields))

    def _call(
        self, method: str, upstream: Upstream, body: bytes | None
    ) -> Result[EngineState, UpstreamError]:
        error_context: dict[str, Any] = {
            "step": f"{method} {PATH}",
            "peer": upstream.name,
        }
        try:
            response = self._http.request(method, upstream.url + PATH, body=body)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Err(UpstreamError(str(exc), **error_context))
        if response.status == 409:
            return Err(
                UpstreamRefusedError("the fencing token is stale", **error_context)
            )
        if response.status != 200:
            return Err(
                UpstreamFailedError(f"status {response.status}", **error_context)
            )
        try:
            return Ok(msgspec.json.decode(response.data, type=EngineState))
        except DECODE_ERRORS as exc:
            return Err(UpstreamFailedError(str(exc), **error_context))
