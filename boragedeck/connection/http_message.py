"""A request to a replica and the head of its answer, as HTTP/1.1 has them."""

import h11
import msgspec

from boragedeck.connection.request_body import RequestBody

__all__ = ["FINAL_STATUSES", "AnswerHead", "Headers", "Message", "encode_request"]

FINAL_STATUSES = range(200, 600)
"""The statuses of final answers; an answer with another number is invalid."""

JOINED_BYTES = 64 * 1024
"""How much of a body is copied to be sent with its head."""

Headers = list[tuple[bytes, bytes]]


class Message(msgspec.Struct, frozen=True):
    """A request to a replica; not a message between routers.

    Parameters
    ----------
    method, target : bytes
        The request line.
    headers : list of tuple of bytes
        All headers except the framing headers.
    body : RequestBody
        The whole body.
    request_id : bytes or None
        The id that answers to this request repeat; None if they have none.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: RequestBody = msgspec.field(default_factory=RequestBody)
    request_id: bytes | None = None


class AnswerHead(msgspec.Struct, frozen=True):
    """The head of a replica's answer.

    Parameters
    ----------
    status : int
        The HTTP status.
    headers : list of tuple of bytes
        Names and values as received.
    """

    status: int
    headers: Headers

    @property
    def is_delimited(self) -> bool:
        """Whether the body has a length or chunks, so that a cut can be seen."""
        return any(self.all(b"content-length")) or any(self.all(b"transfer-encoding"))

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its name in lower case."""
        return next(iter(self.all(name)), None)

    def all(self, name: bytes) -> list[bytes]:
        """Return all values of a header, given its name in lower case."""
        return [value for other, value in self.headers if other.lower() == name]


def encode_request(parser: h11.Connection, message: Message) -> list[memoryview]:
    """Return the parts of a request; the parser then counts it as sent.

    Notes
    -----
    The beginning of a long body goes with the head: a head by itself makes uploads to
    replicas with small receive buffers slower. The rest isn't copied.
    """
    headers = list(message.headers)
    body = message.body.data
    if body or message.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"Content-Length", b"%d" % len(body)))
    request = h11.Request(method=message.method, target=message.target, headers=headers)
    head = parser.send(request) or b""
    if body:
        parser.send(h11.Data(data=body))
    parser.send(h11.EndOfMessage())
    first = memoryview(head + body[:JOINED_BYTES])
    rest = memoryview(body)[JOINED_BYTES:]
    return [first, rest] if rest else [first]
