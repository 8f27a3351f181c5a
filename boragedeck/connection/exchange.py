"""One request to a replica (an upstream of the relay) and its answer, over HTTP/1.1.

It uses `h11` and not `urllib3`, because only a parser without a socket of its own shows
which bytes follow an answer, can read a second answer after a late answer to an earlier
request, and distinguishes a truncated answer from one that ends with the connection.
"""

import io
from collections.abc import Callable

import eventlet
import h11

from boragedeck.connection.answer_room import AnswerRoom
from boragedeck.connection.http_message import (
    FINAL_STATUSES,
    AnswerHead,
    Message,
    encode_request,
)
from boragedeck.connection.sent_requests import AnswerMatch
from boragedeck.connection.upstream_connection import (
    DEFAULT_IDLE_S,
    MAX_HEAD_BYTES,
    UpstreamConnection,
)
from boragedeck.exceptions import (
    UpstreamAnswerTooLargeError,
    UpstreamError,
    UpstreamSilentError,
)

__all__ = ["Exchange"]

TOO_LARGE_STATUS = 431
"""Status hint of h11's error for a head or framing line that is too long."""
MAX_INTERIM_ANSWERS = 8
MAX_SKIPPED_BYTES = 1024 * 1024
IDLE_MARGIN_S = 1.0
"""How long before its Keep-Alive timeout a connection is no longer reused, in
seconds."""


class Exchange:
    """A request and its answer.

    What a replica doesn't take of the request at once is sent while its answer is
    waited for, so that a replica which stands still is silent, and not lost.

    Parameters
    ----------
    release_conn : callable
        Called at the end with the connection and whether the answer was complete.
    conn : UpstreamConnection
        The connection; no other exchange uses it meanwhile.
    message : Message
        The request.

    Attributes
    ----------
    address : Address
        The replica's address.
    is_forwarded : bool
        Whether another router passes the request and the answer on.
    is_doubtful : bool
        Whether that router hasn't said in time that it has sent the request.
    """

    is_forwarded = False
    is_doubtful = False

    def __init__(
        self,
        release_conn: Callable[[UpstreamConnection, bool], None],
        conn: UpstreamConnection,
        message: Message,
    ):
        self._release_conn = release_conn
        self._conn = conn
        self.address = conn.address
        self._message = message
        self._is_closed = False
        self._is_complete = False
        self._is_interrupted = False
        # Whether the replica has ended the connection.
        self._is_at_end = False
        self._interim_answers = 0
        # Bytes of a late answer that were read and discarded so far.
        self._skipped_bytes = 0
        # The length of the answer's body; None if its head names none.
        self._length: int | None = None

    @property
    def request_id(self) -> bytes | None:
        """The id of the request; None if it has none."""
        return self._message.request_id

    def head(self, timeout_s: float) -> AnswerHead:
        """Wait for the head of the answer.

        Raises
        ------
        UpstreamSilentError
            If it did not arrive in time. The exchange stays open.
        UpstreamError
            If the connection broke or the answer is not valid HTTP.
        """
        while True:
            event = self._next_event(timeout_s, "read head")
            if isinstance(event, h11.Response):
                headers = [(bytes(n), bytes(v)) for n, v in event.headers.raw_items()]
                head = AnswerHead(event.status_code, headers)
                self._conn.idle_s = _idle_s(head)
                self._length = _length(head)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise self._error("the connection ended without an answer", "read head")
            self._note_interim(event)
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise self._excess_error("too many interim (1xx) answers", "read head")

    @property
    def silent_s(self) -> float:
        """How long its connection was silent; see `UpstreamConnection`."""
        return self._conn.silent_s

    def match(self, answer_id: bytes | None) -> AnswerMatch:
        """Return whether an answer on this connection is the one to this request.

        Parameters
        ----------
        answer_id : bytes or None
            The request's id in the answer; None if the answer has none.
        """
        return self._conn.sent.match(answer_id)

    def read(self, timeout_s: float) -> bytes:
        """Wait for a part of the body; return an empty value at its end.

        Raises
        ------
        UpstreamSilentError
            If nothing arrived in time. The exchange stays open.
        UpstreamError
            If the answer was truncated.
        """
        event = self._next_event(timeout_s, "read body")
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                self._check_upload()
                self._is_complete = True
                return b""
        raise self._error("the answer was truncated", "read body")

    def read_all(
        self, timeout_s: float, max_bytes: int, room: AnswerRoom | None = None
    ) -> bytes:
        """Read the whole body within `timeout_s`; see `read`.

        Parameters
        ----------
        timeout_s : float
            The longest time, in seconds.
        max_bytes : int
            The longest body.
        room : AnswerRoom, optional
            Where its bytes are reserved. The replica isn't read while there is none.

        Raises
        ------
        UpstreamAnswerTooLargeError
            If the body is longer than `max_bytes`.
        AnswerRoomError
            If there is no room for it in time.
        """
        size = 0
        # Its value is no copy, unlike that of a bytearray. It is closed, as errors are
        # kept with the frames that they have passed.
        with (
            io.BytesIO() as body,
            eventlet.Timeout(timeout_s, self._silent_error("read body")),
        ):
            while part := self.read(timeout_s):
                size += len(part)
                if size > max_bytes:
                    raise self._excess_error("the answer body is too long", "read body")
                if room is not None:
                    room.hold(size, self._length, max_bytes)
                body.write(part)
            return body.getvalue()

    def skip(self, timeout_s: float) -> None:
        """Read and discard the body of an answer to an earlier request.

        The next call of `head` waits for the answer to this request.

        Raises
        ------
        UpstreamSilentError
            If it hasn't ended in time. The exchange stays open, and another call goes
            on.
        UpstreamError
            If the connection broke, or the body is longer than `MAX_SKIPPED_BYTES`.
        """
        with eventlet.Timeout(timeout_s, self._silent_error("skip")):
            while part := self.read(timeout_s):
                self._skipped_bytes += len(part)
                if self._skipped_bytes > MAX_SKIPPED_BYTES:
                    raise self._excess_error("a late answer is too long", "skip")
        self._skipped_bytes = 0
        rest, is_closed = self._conn.parser.trailing_data
        parser = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        # The new parser has to count the request as sent; its bytes aren't sent again.
        encode_request(parser, self._message)
        if rest:
            parser.receive_data(rest)
        if is_closed:
            raise self._error("the connection was closed", "read head")
        self._conn.parser = parser
        self._is_complete = False

    def close(self) -> None:
        """End the exchange; the connection is reused only if the answer is complete."""
        if self._is_closed:
            return
        self._is_closed = True
        self._release_conn(self._conn, self._is_complete)

    def interrupt(self) -> None:
        """Make another green thread's wait for the answer fail with an error."""
        self._is_interrupted = True
        self._conn.shut_down()

    def _note_interim(self, event: h11.InformationalResponse) -> None:
        """Do nothing; interim answers of replicas mean nothing here."""

    def _next_event(self, timeout_s: float, step: str):
        if self._is_interrupted:
            raise self._error("the replica is gone", step)
        try:
            with eventlet.Timeout(max(0.0, timeout_s), self._silent_error(step)):
                event = self._read_event()
            # An interrupted answer without a length must not look complete.
            if self._is_interrupted:
                raise self._error("the replica is gone", step)
            # The parser takes 600 to 999 for final answers, too.
            if isinstance(event, h11.Response):
                self._check_status(event.status_code, step)
            return event
        except OSError as exc:
            raise self._error(f"the connection broke: {exc}", step) from exc
        except h11.RemoteProtocolError as exc:
            if exc.error_status_hint == TOO_LARGE_STATUS:
                raise self._excess_error(str(exc), step) from exc
            raise self._error(f"invalid HTTP: {exc}", step) from exc

    def _check_upload(self) -> None:
        """Raise an error if the answer ends with the connection amid the request.

        Notes
        -----
        Such an answer can't be told from one that was cut: a replica that has read
        the request ends it by itself, one that is lost may end it anywhere.
        """
        if self._is_at_end and self._conn.has_untaken():
            raise self._error("the connection ended amid the request", "read body")

    def _check_status(self, status: int, step: str) -> None:
        if status not in FINAL_STATUSES:
            raise self._error(f"invalid status {status}", step)

    def _read_event(self):
        parser = self._conn.parser
        self._conn.count_steps()
        while True:
            event = parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._conn.send_rest()
            data = self._conn.receive()
            if not data:
                self._is_at_end = True
            parser.receive_data(data)

    def _silent_error(self, step: str) -> UpstreamSilentError:
        return UpstreamSilentError("silent", step=step, peer=str(self._conn.address))

    def _excess_error(self, text: str, step: str) -> UpstreamAnswerTooLargeError:
        return UpstreamAnswerTooLargeError(
            text, step=step, peer=str(self._conn.address)
        )

    def _error(self, text: str, step: str) -> UpstreamError:
        return UpstreamError(text, step=step, peer=str(self._conn.address))


def _length(head: AnswerHead) -> int | None:
    """Return the length of an answer's body; None if its head names none."""
    text = head.get(b"content-length")
    return int(text) if text is not None and text.isdigit() else None


def _idle_s(head: AnswerHead) -> float:
    """Return how long a connection may be idle after an answer, in seconds."""
    text = head.get(b"keep-alive") or b""
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(0.0, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
