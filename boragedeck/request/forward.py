"""Passes requests of other routers on to replicas which they can't reach."""

from collections.abc import Callable

import msgspec

from boragedeck.connection.address import Address
from boragedeck.connection.caller_channel import CallerChannel, RawRequest
from boragedeck.connection.exchange import Exchange
from boragedeck.connection.forwarding import (
    SENT_HEADERS,
    SENT_STATUS,
    ForwardFailure,
    ForwardOrder,
    answer_headers,
    decode_order,
    failure_headers,
)
from boragedeck.connection.http_message import Message
from boragedeck.connection.sent_requests import AnswerMatch
from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamNotAcceptingError,
    UpstreamRefusedError,
)
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.paths.path_state import PathState
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_notices import ReplicaNotices
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.timers import TimerService
from boragedeck.request.answer_heads import read_own_head
from boragedeck.request.relay_request import ReplicaProtocol

__all__ = ["Forwarder"]

CONNECT_TIMEOUT_S = 0.3
SENDER_SLACK_S = 60.0
"""How long after the time that a sender has given an answer that has begun goes on. The
sender, who knows the caller's time, closes the connection before."""
FAILURE_STATUS = 502

_log = PartLog("forward")


class Forwarder:
    """Answers requests of other routers with the answers of replicas.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The known replicas; to others nothing is sent.
    upstreams : UpstreamPool
        This router's own connections. Requests are never forwarded a second time.
    notices : ReplicaNotices
        Processes what replicas say of themselves, which concerns this router, too.
    protocol : ReplicaProtocol
        Interprets the heads of answers.
    state_of : callable
        Returns how this router reaches an address.
    time_left : callable
        Returns how long this process will still serve requests, in seconds.
    metrics : RelayMetrics
        Counts forwarded requests.
    """

    def __init__(
        self,
        timers: TimerService,
        registry: ReplicaRegistry,
        upstreams: UpstreamPool,
        notices: ReplicaNotices,
        protocol: ReplicaProtocol,
        state_of: Callable[[Address], PathState],
        time_left: Callable[[], float],
        metrics: RelayMetrics,
    ):
        self._timers = timers
        self._registry = registry
        self._upstreams = upstreams
        self._notices = notices
        self._protocol = protocol
        self._state_of = state_of
        self._time_left = time_left
        self._metrics = metrics

    def handle(self, raw: RawRequest, channel: CallerChannel) -> None:
        """Answer one request of another router."""
        decoded = decode_order(raw.method, raw.target, raw.headers, raw.body)
        if decoded.is_err():
            _log.write("Order can't be decoded.", error=decoded.err())
            self._fail(channel, ForwardFailure.DECLINED)
            return
        order = decoded.ok()
        channel.deadline = self._timers.now() + order.timeout_s + SENDER_SLACK_S
        request_id = self._protocol.request_id(raw.headers)
        channel.request_id = request_id and request_id.decode("latin-1")
        state = self._registry.at(order.target)
        if state is None or not self._may_forward(order):
            self._fail(channel, ForwardFailure.DECLINED)
            return
        exchange = self._send(order, state, channel)
        if exchange is None:
            return
        try:
            self._pass_answer(order, state, exchange, channel)
        except UpstreamError as exc:
            # Without the last chunk the sender sees that the answer is incomplete.
            _log.write("Answer lost.", replica=str(order.target), error=str(exc))
            if not channel.has_begun:
                self._fail(channel, ForwardFailure.LOST)
        finally:
            exchange.close()

    def _may_forward(self, order: ForwardOrder) -> bool:
        is_direct = self._state_of(order.target) is PathState.DIRECT
        return is_direct and self._time_left() > order.timeout_s

    def _send(
        self, order: ForwardOrder, state: ReplicaState, channel: CallerChannel
    ) -> Exchange | None:
        """Send the request; None if the sender was told that this failed."""

        def check() -> None:
            restraint = state.restraints.strongest(self._timers.now())
            if restraint is not None and restraint.is_strict:
                raise UpstreamNotAcceptingError(
                    f"the replica is {restraint.reason.value}", step="forward"
                )

        message = self._identified(order.message)
        try:
            exchange = self._upstreams.send(
                order.target, message, CONNECT_TIMEOUT_S, check
            )
        except UpstreamNotAcceptingError:
            self._fail(channel, ForwardFailure.NOT_ACCEPTING)
            return None
        except UpstreamRefusedError:
            self._fail(channel, ForwardFailure.NOT_REACHED)
            return None
        except UpstreamError:
            self._fail(channel, ForwardFailure.LOST)
            return None
        try:
            channel.send_interim(SENT_STATUS, SENT_HEADERS)
        except BaseException:
            exchange.close()
            raise
        return exchange

    def _pass_answer(
        self,
        order: ForwardOrder,
        state: ReplicaState,
        exchange: Exchange,
        channel: CallerChannel,
    ) -> None:
        deadline = self._timers.now() + order.timeout_s

        def left_s() -> float:
            return deadline - self._timers.now()

        received = read_own_head(
            exchange,
            self._protocol,
            self._metrics,
            lambda exchange, read: read(max(0.0, left_s())),
        )
        # The sender knows whether the answer may end a limit.
        self._notices.handle(state, received.notice, may_lift=False)
        if received.match is not AnswerMatch.OWN:
            raise UpstreamError(
                "the answer names no request", step="forward", peer=str(order.target)
            )
        head = received.head
        channel.begin(head.status, answer_headers(head))
        while data := exchange.read(left_s() + SENDER_SLACK_S):
            channel.write(data)
        channel.finish()
        self._metrics.forwards_served.labels("passed_on").inc()

    def _identified(self, message: Message) -> Message:
        """Return a message with its request's id, which stands in its headers only."""
        request_id = self._protocol.request_id(message.headers)
        return msgspec.structs.replace(message, request_id=request_id)

    def _fail(self, channel: CallerChannel, failure: ForwardFailure) -> None:
        self._metrics.forwards_served.labels(failure.value).inc()
        channel.respond(FAILURE_STATUS, failure_headers(failure), b"")
