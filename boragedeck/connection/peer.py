"""Links between routers: calls in length-framed MessagePack over TCP.

See Also
--------
boragedeck.connection.messages : The messages.
"""

import itertools
import ssl
from collections.abc import Callable
from typing import Any

import eventlet
import msgspec
from eventlet.event import Event
from eventlet.green import socket
from result import Err, Ok, Result

from boragedeck.connection.messages import Accepted, Frame, Message, Ping, Refused
from boragedeck.exceptions import (
    PeerError,
    PeerGoneError,
    PeerRefusedError,
    PeerUnreachableError,
)
from boragedeck.process.causal_clock import process_clock
from boragedeck.process.timers import TimerService

__all__ = ["Address", "PeerLink", "PeerLinks", "PeerServer"]

HEADER_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
MAX_CALLS_PER_LINK = 1024

Handler = Callable[[Any], Message]


class Address(msgspec.Struct, frozen=True, array_like=True):
    """Where a router listens for its peers.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PeerServer:
    """Answers the calls of other routers, each in a green thread of its own.

    Parameters
    ----------
    listener : socket
        A listening socket.
    tls : ssl.SSLContext, optional
        Wraps each connection where given.
    """

    def __init__(self, listener: socket.socket, tls: ssl.SSLContext | None = None):
        self._listener = listener
        self._tls = tls
        self._handlers: dict[type, Handler] = {Ping: lambda message: Accepted()}
        self._decoder: msgspec.msgpack.Decoder | None = None
        self._open: set[socket.socket] = set()

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Answer messages of a type with what the handler returns.

        Parameters
        ----------
        message_type : type
            A subclass of `Message`.
        handler : callable
            Takes the message and returns a message; a `PeerError` that it raises
            becomes a `Refused`.
        """
        self._handlers[message_type] = handler
        self._decoder = None

    def serve(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            eventlet.spawn_n(self._serve_connection, sock)

    def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        for sock in list(self._open):
            _wake_reader(sock)

    def _serve_connection(self, sock: socket.socket) -> None:
        self._open.add(sock)
        gate = eventlet.Semaphore(MAX_CALLS_PER_LINK)
        try:
            if self._tls is not None:
                sock = self._tls.wrap_socket(sock, server_side=True)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            file = sock.makefile("rb")
            while (frame := _read_frame(file)) is not None:
                gate.acquire()
                eventlet.spawn_n(self._answer, sock, frame, gate)
        except (OSError, EOFError, msgspec.MsgspecError):
            pass
        finally:
            self._open.discard(sock)
            _shutdown(sock)

    def _answer(self, sock: socket.socket, frame: Frame, gate) -> None:
        try:
            _write_frame(sock, frame.number, True, self._handle(frame.body))
        except OSError:
            _wake_reader(sock)
        finally:
            gate.release()

    def _handle(self, body: msgspec.Raw) -> Message:
        if self._decoder is None:
            union = _union(tuple(self._handlers))
            self._decoder = msgspec.msgpack.Decoder(union)
        try:
            message = self._decoder.decode(body)
            return self._handlers[type(message)](message)
        except msgspec.MsgspecError as exc:
            return Refused("bad_message", str(exc))
        except PeerError as exc:
            return Refused("refused", str(exc))


class PeerLink:
    """One connection to another router, opened again when it breaks.

    Parameters
    ----------
    address : Address
        Where the other router listens.
    timers : TimerService
        The source of timeouts.
    tls : ssl.SSLContext, optional
        Wraps the connection where given.
    """

    def __init__(
        self,
        address: Address,
        timers: TimerService,
        tls: ssl.SSLContext | None = None,
    ):
        self.address = address
        self._timers = timers
        self._tls = tls
        self._numbers = itertools.count(1)
        self._waiting: dict[int, Event] = {}
        self._sock: socket.socket | None = None
        self._opening = eventlet.Semaphore(1)

    def call(
        self, message: Message, answer_type: Any, *, timeout_s: float
    ) -> Result[Any, PeerError]:
        """Send a message and wait for its answer.

        Parameters
        ----------
        message : Message
            What to ask.
        answer_type : type
            The type of message, or the union of types, that may answer.
        timeout_s : float
            How long to wait in all, in seconds.

        Returns
        -------
        Result
            The answer, ``Err(PeerRefusedError)`` where the other side refused,
            or ``Err(PeerUnreachableError)``. After the latter, what was asked
            may have been carried out.
        """
        step = type(message).__name__
        deadline = self._timers.now() + timeout_s
        number = next(self._numbers)
        event = self._waiting[number] = Event()
        try:
            sock = self._connect(min(timeout_s, CONNECT_TIMEOUT_S))
            _write_frame(sock, number, False, message)
            if not self._timers.wait(event, deadline - self._timers.now()):
                return Err(self._unreachable("no answer in time", step))
            body = event.wait()
        except ConnectionRefusedError as exc:
            return Err(PeerGoneError(str(exc), step=step, peer=str(self.address)))
        except (OSError, EOFError, eventlet.Timeout) as exc:
            return Err(self._unreachable(str(exc) or "timeout", step))
        finally:
            self._waiting.pop(number, None)
        return self._decode(body, answer_type, step)

    def close(self) -> None:
        """Close the connection; a later call opens it again."""
        sock, self._sock = self._sock, None
        if sock is not None:
            self._fail_waiting()
            _wake_reader(sock)

    def _decode(self, body: msgspec.Raw, answer_type: Any, step: str) -> Result:
        try:
            answer = msgspec.msgpack.decode(body, type=_union((answer_type, Refused)))
        except msgspec.MsgspecError as exc:
            return Err(PeerRefusedError(str(exc), step=step, peer=str(self.address)))
        if isinstance(answer, Refused) and answer_type is not Refused:
            text = f"{answer.code}: {answer.text}"
            return Err(PeerRefusedError(text, step=step, peer=str(self.address)))
        return Ok(answer)

    def _connect(self, timeout_s: float) -> socket.socket:
        with self._opening:
            if self._sock is not None:
                return self._sock
            with eventlet.Timeout(timeout_s):
                sock = socket.create_connection((self.address.host, self.address.port))
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if self._tls is not None:
                    sock = self._tls.wrap_socket(
                        sock, server_hostname=self.address.host
                    )
            self._sock = sock
            eventlet.spawn_n(self._read, sock)
            return sock

    def _read(self, sock: socket.socket) -> None:
        try:
            file = sock.makefile("rb")
            while (frame := _read_frame(file)) is not None:
                event = self._waiting.pop(frame.number, None)
                if event is not None:
                    event.send(frame.body)
        except (OSError, EOFError, msgspec.MsgspecError):
            pass
        finally:
            if self._sock is sock:
                self._sock = None
                self._fail_waiting()
            _shutdown(sock)

    def _fail_waiting(self) -> None:
        waiting, self._waiting = self._waiting, {}
        for event in waiting.values():
            event.send_exception(EOFError("the connection broke"))

    def _unreachable(self, text: str, step: str) -> PeerUnreachableError:
        return PeerUnreachableError(text, step=step, peer=str(self.address))


class PeerLinks:
    """The links of this process, one for each address.

    Parameters
    ----------
    timers : TimerService
        The source of timeouts.
    tls : ssl.SSLContext, optional
        Wraps the connections where given.
    """

    def __init__(self, timers: TimerService, tls: ssl.SSLContext | None = None):
        self._timers = timers
        self._tls = tls
        self._links: dict[Address, PeerLink] = {}

    def link(self, address: Address) -> PeerLink:
        """Return the link to an address; it connects at its first call."""
        if address not in self._links:
            self._links[address] = PeerLink(address, self._timers, self._tls)
        return self._links[address]

    def forget(self, address: Address) -> None:
        """Close and drop the link to an address."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()


def _union(types: tuple[Any, ...]) -> Any:
    union = types[0]
    for other in types[1:]:
        union = union | other
    return union


def _read_frame(file) -> Frame | None:
    header = file.read(HEADER_BYTES)
    if len(header) < HEADER_BYTES:
        return None
    size = int.from_bytes(header, "big")
    if size > MAX_FRAME_BYTES:
        raise msgspec.DecodeError(f"frame of {size} bytes is over {MAX_FRAME_BYTES}")
    body = file.read(size)
    if len(body) < size:
        return None
    frame = msgspec.msgpack.decode(body, type=Frame)
    process_clock.observe(frame.clock)
    return frame


def _write_frame(
    sock: socket.socket, number: int, is_answer: bool, message: Message
) -> None:
    raw = msgspec.Raw(msgspec.msgpack.encode(message))
    body = msgspec.msgpack.encode(Frame(number, is_answer, raw, process_clock.value))
    sock.sendall(len(body).to_bytes(HEADER_BYTES, "big") + body)


def _wake_reader(sock: socket.socket) -> None:
    """End a connection whose reader closes it.

    A descriptor that is closed while a green thread waits for it leaves that
    thread waiting.
    """
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def _shutdown(sock: socket.socket) -> None:
    _wake_reader(sock)
    sock.close()
