"""Frames on links between routers: a length, followed by MessagePack.

See Also
--------
boragedeck.connection.messages : The messages in the frames.
"""

import eventlet
import msgspec
from eventlet.green import socket

from boragedeck.connection.messages import Frame, Message
from boragedeck.process.membership.causal_clock import process_clock

__all__ = [
    "MAX_FRAME_BYTES",
    "FrameWriter",
    "body_size",
    "close_socket",
    "read_body",
    "read_header",
    "shut_down_socket",
]

HEADER_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
BODY_TIMEOUT_S = 30.0
"""Maximum time after its header for a frame over `SMALL_BODY_BYTES`, in seconds."""
SMALL_BODY_BYTES = 16 * 1024
"""Up to this size, a frame that stays incomplete costs hardly more than an idle
connection."""


class FrameWriter:
    """Writes frames to a socket that several green threads share.

    Parameters
    ----------
    sock : socket
        An open connection.
    """

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._write_lock = eventlet.Semaphore(1)

    def write(self, number: int, is_answer: bool, message: Message) -> None:
        """Send a frame; the caller sets the timeout.

        Parameters
        ----------
        number : int
            Number of the call; an answer has the number of its call.
        is_answer : bool
            Whether the frame is an answer.
        message : Message
            What to send.

        Raises
        ------
        OSError
            If the connection broke. After an error or a timeout during the sending,
            the connection is shut down, because no frame can follow a partial one.
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
        If the size is over `MAX_FRAME_BYTES`.
    """
    header = file.read(HEADER_BYTES)
    return body_size(header) if len(header) == HEADER_BYTES else None


def body_size(header: bytes) -> int:
    """Return the frame size in bytes that a header contains.

    Raises
    ------
    msgspec.DecodeError
        If the size is over `MAX_FRAME_BYTES`.
    """
    size = int.from_bytes(header, "big")
    if size > MAX_FRAME_BYTES:
        raise msgspec.DecodeError(f"frame of {size} bytes is over {MAX_FRAME_BYTES}")
    return size


def read_body(file, size: int) -> Frame | None:
    """Read the frame after its header; return None if the stream ended in it.

    Also merges the sender's clock value into the clock of this process.

    Raises
    ------
    msgspec.MsgspecError, UnicodeDecodeError, RecursionError
        If the bytes are not a valid frame.
    OSError
        If the frame doesn't arrive in time.
    """
    if size <= SMALL_BODY_BYTES:
        body = file.read(size)
    else:
        timeout_error = TimeoutError("the frame arrived too slowly")
        with eventlet.Timeout(BODY_TIMEOUT_S, timeout_error):
            body = file.read(size)
    if len(body) < size:
        return None
    frame = msgspec.msgpack.decode(body, type=Frame)
    process_clock.observe(frame.clock)
    return frame


def shut_down_socket(sock: socket.socket) -> None:
    """Shut a connection down without closing it; its reader wakes and closes it.

    If a descriptor is closed while a green thread waits for it, that thread is
    never woken.
    """
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except (OSError, ValueError):
        pass


def close_socket(sock: socket.socket) -> None:
    """Shut a connection down and close its socket."""
    shut_down_socket(sock)
    sock.close()
