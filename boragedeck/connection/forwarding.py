"""Requests to replicas that one router sends through another, the gateway.

The gateway passes the request on to the replica that a header names, and the answer
back. An interim answer says that the request has been sent. A gateway that fails before
says so, and the sender may try another one.
"""

import enum

import h11
import msgspec
from result import Err, Ok, Result

from boragedeck.connection.address import Address
from boragedeck.connection.exchange import Exchange
from boragedeck.connection.http_message import AnswerHead, Headers, Message
from boragedeck.connection.request_body import RequestBody
from boragedeck.connection.sent_requests import AnswerMatch
from boragedeck.exceptions import (
    ForwardDeclinedError,
    UpstreamError,
    UpstreamNotAcceptingError,
    UpstreamRefusedError,
    UpstreamSilentError,
)

__all__ = [
    "SENT_STATUS",
    "ForwardFailure",
    "ForwardOrder",
    "ForwardedExchange",
    "answer_headers",
    "decode_order",
    "encode_order",
    "failure_headers",
]

TARGET = b"Forward-To"
TIMEOUT_MS = b"Forward-Timeout-Ms"
FAILURE = b"Forward-Failure"
UNDELIMITED = b"Forward-Undelimited"
MATCHING = b"Forward-Matching"
"""Set if the gateway passes on only an answer that belongs to the request."""
SENT_STATUS = 102
"""Status of the interim answer that the request has been sent to the replica."""

FRAMING_HEADERS = frozenset(
    {b"connection", b"content-length", b"keep-alive", b"transfer-encoding"}
)


SENT_HEADERS: Headers = [(MATCHING, b"1")]
"""Headers of the interim answer that the request has been sent to the replica."""
OWN_HEADERS = frozenset({FAILURE.lower(), TARGET.lower(), UNDELIMITED.lower()})
"""Headers that only routers set."""


class ForwardFailure(enum.Enum):
    """Why a gateway has no answer of the replica."""

    DECLINED = "declined"
    """The gateway doesn't know the replica, has lost its own path or is leaving."""
    NOT_REACHED = "not_reached"
    """The replica refused the connection, so nothing was sent."""
    NOT_ACCEPTING = "not_accepting"
    """The replica accepts no requests of the gateway, so nothing was sent."""
    LOST = "lost"
    """The request may have run."""


class ForwardOrder(msgspec.Struct, frozen=True):
    """What a gateway is asked to do.

    Parameters
    ----------
    target : Address
        The replica.
    timeout_s : float
        How long the sender waits for the head of the answer, in seconds.
    message : Message
        The request.
    """

    target: Address
    timeout_s: float
    message: Message


def encode_order(order: ForwardOrder) -> Message:
    """Return the request to the gateway."""
    headers = [
        *order.message.headers,
        (TARGET, str(order.target).encode()),
        (TIMEOUT_MS, b"%d" % max(1, int(order.timeout_s * 1000.0))),
    ]
    return msgspec.structs.replace(order.message, headers=headers)


def decode_order(
    method: bytes, target: bytes, headers: Headers, body: RequestBody
) -> Result[ForwardOrder, str]:
    """Return the order in a request to this router, or what is wrong with it."""
    found = {name.lower(): value for name, value in headers}
    host, _, port = found.get(TARGET.lower(), b"").decode("latin-1").rpartition(":")
    timeout_ms = found.get(TIMEOUT_MS.lower(), b"")
    if not (host and port.isdigit() and timeout_ms.isdigit()):
        return Err(f"{TARGET.decode()} or {TIMEOUT_MS.decode()} is missing or invalid")
    dropped = FRAMING_HEADERS | {TARGET.lower(), TIMEOUT_MS.lower()}
    kept = [(name, value) for name, value in headers if name.lower() not in dropped]
    message = Message(method, target, kept, body)
    return Ok(ForwardOrder(Address(host, int(port)), int(timeout_ms) / 1000.0, message))


def failure_headers(failure: ForwardFailure) -> Headers:
    """Return the headers of a gateway's own answer."""
    return [(FAILURE, failure.value.encode())]


def answer_headers(head: AnswerHead) -> Headers:
    """Return the headers with which a gateway passes a replica's answer on.

    Notes
    -----
    The gateway sends the body in chunks. An answer without a length or chunks is
    marked, since its end is weaker evidence that it is complete.
    """
    headers = [
        (name, value)
        for name, value in head.headers
        if name.lower() not in FRAMING_HEADERS | OWN_HEADERS
    ]
    if not head.is_delimited:
        headers.append((UNDELIMITED, b"1"))
    return headers


class ForwardedExchange(Exchange):
    """A request that was sent through a gateway, and its answer."""

    is_forwarded = True
    _is_gateway_matching = False

    def wait_sent(self, timeout_s: float) -> None:
        """Wait until the gateway has sent the request to the replica.

        Raises
        ------
        ForwardDeclinedError, UpstreamRefusedError, UpstreamNotAcceptingError
            If nothing was sent to the replica.
        UpstreamSilentError
            If the gateway hasn't said so in time. The exchange stays open, and `head`
            waits for that, too.
        UpstreamError
            If the request may have been sent.
        """
        try:
            event = self._next_event(timeout_s, "forward")
        except UpstreamSilentError:
            self.is_doubtful = True
            raise
        if isinstance(event, h11.InformationalResponse):
            self._note_interim(event)
            return
        if isinstance(event, h11.Response):
            self._raise_failure(_head_of(event))
        raise self._error("the gateway sent no interim answer", "forward")

    def head(self, timeout_s: float) -> AnswerHead:
        """See `Exchange.head`; raises what `wait_sent` does if it hasn't returned."""
        head = super().head(timeout_s)
        self._raise_failure(head)
        dropped = OWN_HEADERS
        if head.get(UNDELIMITED.lower()) is not None:
            dropped |= {b"transfer-encoding"}
        kept = [each for each in head.headers if each[0].lower() not in dropped]
        return AnswerHead(head.status, kept)

    def match(self, answer_id: bytes | None) -> AnswerMatch:
        """See `Exchange.match`; only the gateway knows its connection's requests."""
        match = super().match(answer_id)
        is_proven = match is not AnswerMatch.OWN or self._is_gateway_matching
        return match if is_proven else AnswerMatch.UNPROVEN

    def skip(self, timeout_s: float) -> None:
        """Fail: a gateway of an older build passes on one answer only."""
        raise self._error("a late answer to an earlier request", "read head")

    def _note_interim(self, event: h11.InformationalResponse) -> None:
        """Record that the gateway has sent the request to the replica."""
        # Gateways of older builds pass on answers to other requests, too.
        headers = {bytes(name) for name, _ in event.headers}
        self._is_gateway_matching = MATCHING.lower() in headers
        self.is_doubtful = False

    def _raise_failure(self, head: AnswerHead) -> None:
        text = head.get(FAILURE.lower())
        if text is None:
            return
        message = f"the gateway says {text.decode('latin-1')}"
        context = {"step": "forward", "peer": str(self._conn.address)}
        match text:
            case b"declined":
                raise ForwardDeclinedError(message, **context)
            case b"not_reached":
                raise UpstreamRefusedError(message, **context)
            case b"not_accepting":
                raise UpstreamNotAcceptingError(message, **context)
        raise UpstreamError(message, **context)


def _head_of(event: h11.Response) -> AnswerHead:
    headers = [(bytes(n), bytes(v)) for n, v in event.headers.raw_items()]
    return AnswerHead(event.status_code, headers)
