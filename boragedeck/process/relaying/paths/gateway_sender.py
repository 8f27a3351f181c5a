"""Sends requests through gateways: other routers, which pass them on."""

from collections.abc import Callable

from boragedeck.connection.forwarding import (
    ForwardedExchange,
    ForwardOrder,
    encode_order,
)
from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.exceptions import (
    ForwardDeclinedError,
    UpstreamError,
    UpstreamNotAcceptingError,
    UpstreamRefusedError,
    UpstreamSilentError,
    UpstreamUnreachedError,
)
from boragedeck.interfaces import Member
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.paths.gateways import Gateways
from boragedeck.process.relaying.relay_metrics import RelayMetrics

__all__ = ["GatewaySender"]

MAX_GATEWAYS = 3
"""Maximum number of gateways that are tried for one attempt."""
MAX_UNREACHED_GATEWAYS = 2
"""Number of gateways that must fail to reach a replica until it counts as lost."""
FORWARD_SLACK_S = 0.3
"""How long beyond its own wait for a connection a gateway may take."""

_log = PartLog("paths")


class GatewaySender:
    """Sends each request through the first gateway that reaches its replica.

    Parameters
    ----------
    forwards : UpstreamPool
        Connections to gateways, whose exchanges are `ForwardedExchange`.
    gateways : Gateways
        Chooses the gateways.
    metrics : RelayMetrics
        Counts forwarded requests.
    """

    def __init__(
        self, forwards: UpstreamPool, gateways: Gateways, metrics: RelayMetrics
    ):
        self._forwards = forwards
        self._gateways = gateways
        self._metrics = metrics

    def send(
        self,
        order: ForwardOrder,
        connect_timeout_s: float,
        check: Callable[[], None],
    ) -> ForwardedExchange:
        """Send a request, and wait for a time until a gateway has passed it on.

        Parameters
        ----------
        order : ForwardOrder
            The request and its replica.
        connect_timeout_s, check
            See `UpstreamPool.send`.

        Returns
        -------
        ForwardedExchange
            The exchange; `Exchange.is_doubtful` if the gateway is silent. It may be
            sound, so only the caller's time ends the exchange.

        Raises
        ------
        UpstreamUnreachedError
            If several gateways don't reach the replica.
        UpstreamRefusedError
            If no gateway passed the request on, so that nothing was sent.
        UpstreamError
            If the replica may have received the request.
        """
        error: UpstreamError = ForwardDeclinedError("there is no other router")
        unreached = 0
        for gateway in self._gateways.candidates(order.target)[:MAX_GATEWAYS]:
            try:
                exchange = self._send_through(gateway, order, connect_timeout_s, check)
            except UpstreamNotAcceptingError:
                raise
            except ForwardDeclinedError as exc:
                self._note_failed(gateway, order, exc)
                error = exc
                continue
            except UpstreamRefusedError as exc:
                # The gateway doesn't reach the replica, either.
                error = exc
                unreached += 1
                if unreached >= MAX_UNREACHED_GATEWAYS:
                    break
                continue
            except UpstreamError as exc:
                self._note_failed(gateway, order, exc)
                raise
            if not exchange.is_doubtful:
                self._gateways.note_reached(order.target, gateway)
            self._metrics.forwards_sent.labels("sent").inc()
            return exchange
        is_lost = unreached >= MAX_UNREACHED_GATEWAYS
        error_type = UpstreamUnreachedError if is_lost else UpstreamRefusedError
        raise error_type(
            f"no gateway reached it: {error}", step="forward", peer=str(order.target)
        )

    def _send_through(
        self,
        gateway: Member,
        order: ForwardOrder,
        connect_timeout_s: float,
        check: Callable[[], None],
    ) -> ForwardedExchange:
        """Send a request through one gateway, and wait until it says so."""
        address = self._gateways.address_of(gateway)
        try:
            exchange = self._forwards.send(
                address, encode_order(order), connect_timeout_s, check
            )
        except UpstreamRefusedError as exc:
            raise ForwardDeclinedError(
                exc.message, step="forward", peer=str(address)
            ) from exc
        exchange.address = order.target
        try:
            exchange.wait_sent(connect_timeout_s + FORWARD_SLACK_S)
        except UpstreamSilentError as exc:
            self._note_failed(gateway, order, exc)
        except BaseException:
            exchange.close()
            raise
        return exchange

    def _note_failed(
        self, gateway: Member, order: ForwardOrder, exc: UpstreamError
    ) -> None:
        self._gateways.note_failed(gateway)
        self._metrics.forwards_sent.labels("failed").inc()
        _log.write(
            "Gateway failed.",
            peer=gateway.router,
            address=str(order.target),
            error=str(exc),
        )
