"""Frames on a link between routers: a length, then MessagePack.

See Also
--------
boragedeck.connection.messages : What the frames carry.
"""

import eventlet
import msgspec
from eventlet.green import socket

from boragedeck.connection.messages import Frame, Message
from boragedeck.process.causal_clock import process_clock

__all__ = [
    "MAX_FRAME_BYTES",
    "FrameWriter",
    "body_size",
    "read_body",
    "read_header",
    "close_socket",
    "shut_down_socket",
]

HEADER_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
BODY_TIMEOUT_S = 30.0
"""So long a frame over `SMALL_BODY_BYTES` may take after its header."""
SMALL_BODY_BYTES = 16 * 1024
"""While so little is missing, a connection costs hardly more than a silent one."""


class FrameWriter:
    """Writes whole frames to a socket that many green threads share.

    Parameters
    ----------
    sock : socket
        An open connection.
    """

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._write_lock = eventlet.Semaphore(1)

    def write(self, number: int, is_answer: bool, message: Message) -> None:
        """Send a frame; the caller bounds the time.

        Parameters
        ----------
        number : int
            Pairs an answer with its call.
        is_answer : bool
            Whether this is an answer.
        message : Message
            What to send.

        Raises
        ------
        OSError
            Where the connection broke. A frame that was cut off, also by a
            timeout, shuts the connection down, since nothing can follow.
        """
        raw = msgspec.Raw(msgspec.msgpack.encode(message))
        body = msgspec.msgpack.encode(
            Frame(number, is_answer, raw, process_clock.value)
        )
        with self._write_lock:
            self._send(len(body).to_bytes(HEADER_BYTES, "big") + body)

    def _send(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
        except BaseException:
            shut_down_socket(self._sock)
            raise


def read_header(file) -> int | None:
    """Return the next frame's size in bytes; None at the end of the stream.

    Raises
    ------
    msgspec.DecodeError
        Where the size is over `MAX_FRAME_BYTES`.
    """
    header = file.read(HEADER_BYTES)
    return body_size(header) if len(header) == HEADER_BYTES else None


def body_size(header: bytes) -> int:
    """Return the size in bytes that a header tells.

    Raises
    ------
    msgspec.DecodeError
        Where it's over `MAX_FRAME_BYTES`.
    """
    size = int.from_bytes(header, "big")
    if size > MAX_FRAME_BYTES:
        raise msgspec.DecodeError(f"frame of {size} bytes is over {MAX_FRAME_BYTES}")
    return size


def read_body(file, size: int) -> Frame | None:
    """Return a frame after its header; None where the stream ended in it.

    Raises
    ------
    msgspec.MsgspecError, UnicodeDecodeError, RecursionError
        Where the bytes are no frame.
    OSError
        Where the frame doesn't come in time.
    """
    if size <= SMALL_BODY_BYTES:
        body = file.read(size)
    else:
        timeout_error = TimeoutError("a frame came too slowly")
        with eventlet.Timeout(BODY_TIMEOUT_S, timeout_error):
            body = file.read(size)
    if len(body) < size:
        return None
    frame = msgspec.msgpack.decode(body, type=Frame)
    process_clock.observe(frame.clock)
    return frame


def shut_down_socket(sock: socket.socket) -> None:
    """End a connection whose reader closes it.

    A descriptor that is closed while a green thread waits for it leaves that
    thread waiting.
    """
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except (OSError, ValueError):
        pass


def close_socket(sock: socket.socket) -> None:
    """End a connection and close it."""
    shut_down_socket(sock)
    sock.close()
