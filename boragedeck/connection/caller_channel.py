"""A caller's request as received, and the channel on which it is answered."""

from typing import Protocol

import h11
import msgspec

from boragedeck.connection.request_body import RequestBody
from boragedeck.connection.reservation import Reservation

__all__ = ["CallerChannel", "RawRequest", "ResponseSender"]


class RawRequest(msgspec.Struct, frozen=True):
    """A request as received from a caller.

    Parameters
    ----------
    method, target : bytes
        The request line.
    headers : list of tuple of bytes
        Names and values as received.
    body : RequestBody
        The whole body.
    arrived, received : float
        Times at which its head and its body were complete, on the timer service's
        monotonic clock.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: RequestBody
    arrived: float
    received: float


class ResponseSender(Protocol):
    """The caller's connection, as its channel sees it."""

    def is_last_response(self) -> bool:
        """Return whether the connection is closed after the current response."""

    def send_event(self, event, deadline: float) -> None:
        """Send a part of a response; see `CallerChannel.deadline`."""


class CallerChannel:
    """Sends the response to one request.

    Parameters
    ----------
    conn : ResponseSender
        The caller's connection.
    reservation : Reservation
        What is held for the request.

    Attributes
    ----------
    reservation : Reservation
        What is held for the request.
    has_begun : bool
        Whether a response has been begun, so that its status can't change any more.
    is_finished : bool
        Whether a complete response has been sent.
    deadline : float
        Until when a caller that doesn't read is waited for, on the timer service's
        monotonic clock; at least for `caller_connection.SEND_TIMEOUT_S`.
    is_interrupted : bool
        Whether the handler is being ended, or cleans up by itself; it must not be ended
        meanwhile.
    request_id : str or None
        The id of the request, for the log; None until its handler knows it.

    Notes
    -----
    Each method that sends may raise `CallerDisconnectedError`; see `write`.
    """

    def __init__(self, conn: ResponseSender, reservation: Reservation):
        self._conn = conn
        self.reservation = reservation
        self.has_begun = False
        self.is_finished = False
        self.is_interrupted = False
        self.deadline = float("-inf")
        self.request_id: str | None = None

    def respond(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole response."""
        length = (b"Content-Length", b"%d" % len(body))
        self._begin(status, [*headers, length])
        self.write(body)
        self.finish()

    def send_interim(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send an interim response (1xx) before the final one."""
        interim = h11.InformationalResponse(status_code=status, headers=headers)
        self._send_event(interim)

    def begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a response of unknown length, with chunked encoding."""
        self._begin(status, [*headers, (b"Transfer-Encoding", b"chunked")])

    def write(self, data: bytes) -> None:
        """Send a part of the body.

        Raises
        ------
        CallerDisconnectedError
            If the connection is broken or the caller doesn't read in time.
        """
        if data:
            self._send_event(h11.Data(data=data))

    def finish(self) -> None:
        """End the response as complete."""
        self._send_event(h11.EndOfMessage())
        self.is_finished = True

    def _begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if self._conn.is_last_response():
            headers.append((b"Connection", b"close"))
        reason = _reason_phrase(status)
        event = h11.Response(status_code=status, headers=headers, reason=reason)
        self.has_begun = True
        self._send_event(event)

    def _send_event(self, event) -> None:
        self._conn.send_event(event, self.deadline)


def _reason_phrase(status: int) -> bytes:
    return _REASON_PHRASES.get(status, b"")


_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
