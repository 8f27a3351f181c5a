"""Links between routers: calls as length-prefixed MessagePack over TCP.

See Also
--------
boragedeck.connection.messages : The messages.
boragedeck.connection.peer_server : `PeerServer`, the other side of a link.
"""

import ipaddress
import itertools
from typing import Any, BinaryIO

import eventlet
import msgspec
from eventlet.event import Event
from eventlet.green import socket
from result import Err, Ok, Result

from boragedeck.connection.address import Address
from boragedeck.connection.frames import (
    FrameWriter,
    close_socket,
    read_body,
    read_header,
    shut_down_socket,
)
from boragedeck.connection.guard import Guard, OpenGuard
from boragedeck.connection.messages import Message, Refused
from boragedeck.connection.peer_protocol import (
    OWN_PROTOCOL,
    Greeting,
    PeerDialect,
    PeerProtocol,
    agreed_protocol,
)
from boragedeck.connection.peer_server import PeerServer
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import (
    PeerError,
    PeerGoneError,
    PeerRefusedError,
    PeerUnreachableError,
)
from boragedeck.process.timers import TimerService

__all__ = ["Address", "PeerLink", "PeerLinks", "PeerServer"]

MAX_PORT = 65_535
CONNECT_TIMEOUT_S = 0.5
GREETING_TIMEOUT_S = 0.5
HANDSHAKE_TIMEOUT_S = 2.0
"""Time limit of the guard's handshake, in seconds. It takes up to four round trips,
which may be between regions."""


class PeerLink:
    """Connection to another router; a call opens it if it isn't open.

    Parameters
    ----------
    address : Address
        Address on which the other router listens.
    timers : TimerService
        The source of time and timeouts.
    guard : Guard, optional
        Authenticates the other router; by default, nothing is authenticated.
    dialect : PeerDialect, optional
        Translates messages for older builds; by default, nothing is translated and the
        other router isn't greeted.
    """

    def __init__(
        self,
        address: Address,
        timers: TimerService,
        guard: Guard | None = None,
        dialect: PeerDialect | None = None,
    ):
        self.address = address
        self._timers = timers
        self._guard = guard or OpenGuard()
        self._dialect = dialect
        self._protocol = OWN_PROTOCOL
        self._call_numbers = itertools.count(1)
        self._pending_calls: dict[int, Event] = {}
        self._sock: socket.socket | None = None
        self._writer: FrameWriter | None = None
        self._connect_lock = eventlet.Semaphore(1)

    def call(
        self, message: Message, answer_type: Any, *, timeout_s: float
    ) -> Result[Any, PeerError]:
        """Send a message and wait for its answer.

        Parameters
        ----------
        message : Message
            The message to send.
        answer_type : type
            The message type, or union of types, of the expected answer.
        timeout_s : float
            Maximum time of the whole call, in seconds.

        Returns
        -------
        Result
            The answer or ``Err(PeerError)``: `PeerGoneError` if the connection was
            refused, so that nothing was sent; another `PeerUnreachableError` if no
            answer arrived; `PeerRefusedError` if the other router refused or failed,
            or its answer can't be decoded. Except after a `PeerGoneError`, the call
            may have been carried out.
        """
        # The step of an error says where it occurred: here, the type of the message.
        step = type(message).__name__
        deadline = self._timers.now() + timeout_s
        number = next(self._call_numbers)
        event = self._pending_calls[number] = Event()
        try:
            with eventlet.Timeout(timeout_s):
                writer = self._connect()
                # False: the frame is a call and not an answer.
                writer.write(number, False, self._translated(message))
            if not self._timers.wait(event, deadline - self._timers.now()):
                return Err(self._unreachable("no answer in time", step))
            # Returns the answer's body, still encoded, or raises EOFError if the
            # connection ended.
            body = event.wait()
        except ConnectionRefusedError as exc:
            # The machine answers, but no process listens on the port.
            return Err(PeerGoneError(str(exc), step=step, peer=str(self.address)))
        except (OSError, EOFError, eventlet.Timeout) as exc:
            return Err(self._unreachable(str(exc) or "timeout", step))
        finally:
            self._pending_calls.pop(number, None)
        return self._decode(body, answer_type, step)

    def close(self) -> None:
        """Close the connection and fail its pending calls; a later call reopens it."""
        sock, self._sock = self._sock, None
        if sock is not None:
            self._fail_pending_calls()
            shut_down_socket(sock)

    def _decode(self, body: msgspec.Raw, answer_type: Any, step: str) -> Result:
        try:
            answer = msgspec.msgpack.decode(body, type=answer_type | Refused)
        except DECODE_ERRORS as exc:
            # The other router is alive, so the error is not `PeerUnreachableError`.
            return Err(PeerRefusedError(str(exc), step=step, peer=str(self.address)))
        if isinstance(answer, Refused) and answer_type is not Refused:
            text = f"{answer.code}: {answer.text}"
            return Err(PeerRefusedError(text, step=step, peer=str(self.address)))
        return Ok(answer)

    def _connect(self) -> FrameWriter:
        with self._connect_lock:
            if self._sock is not None:
                return self._writer
            sock = self._open()
            self._sock, self._writer = sock, FrameWriter(sock)
            eventlet.spawn_n(self._read, sock)
            if self._dialect is not None:
                self._greet()
            return self._writer

    def _translated(self, message: Message) -> Message:
        if self._dialect is None:
            return message
        return self._dialect.for_peer(message, self._protocol)

    def _greet(self) -> None:
        """Agree with the other router on the version of the protocol."""
        try:
            answer = self._ask_greeting()
        except BaseException:
            self.close()
            raise
        is_greeted = isinstance(answer, Greeting)
        told = answer.protocol if is_greeted else PeerProtocol.UNNAMED
        self._protocol = agreed_protocol(told)
        self._dialect.note_peer(
            self.address, self._protocol, answer if is_greeted else None
        )

    def _ask_greeting(self) -> Greeting | Refused:
        number = next(self._call_numbers)
        event = self._pending_calls[number] = Event()
        try:
            self._writer.write(number, False, self._dialect.greeting)
            if not self._timers.wait(event, GREETING_TIMEOUT_S):
                raise TimeoutError("the greeting was not answered in time")
            return msgspec.msgpack.decode(event.wait(), type=Greeting | Refused)
        except DECODE_ERRORS as exc:
            raise OSError(f"the greeting can't be decoded: {exc}") from exc
        finally:
            self._pending_calls.pop(number, None)

    def _open(self) -> socket.socket:
        _check_address(self.address)
        with eventlet.Timeout(CONNECT_TIMEOUT_S):
            sock = socket.create_connection((self.address.host, self.address.port))
        # If the handshake fails, only the socket without the guard's layer is known.
        raw_sock = sock
        try:
            with eventlet.Timeout(HANDSHAKE_TIMEOUT_S):
                sock = self._guard.connect(sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return sock
        except BaseException:
            close_socket(raw_sock)
            raise

    def _read(self, sock: socket.socket) -> None:
        try:
            with sock.makefile("rb") as file:
                self._read_answers(file)
        except (OSError, EOFError, ValueError, *DECODE_ERRORS):
            pass
        finally:
            # If `_sock` is not this socket, `close` has already failed its calls.
            if self._sock is sock:
                self._sock = None
                self._fail_pending_calls()
            close_socket(sock)

    def _read_answers(self, file: BinaryIO) -> None:
        while (size := read_header(file)) is not None:
            frame = read_body(file, size)
            if frame is None:
                return
            event = self._pending_calls.pop(frame.number, None)
            if event is not None:
                event.send(frame.body)

    def _fail_pending_calls(self) -> None:
        waiting, self._pending_calls = self._pending_calls, {}
        for event in waiting.values():
            event.send_exception(EOFError("the connection was closed"))

    def _unreachable(self, text: str, step: str) -> PeerUnreachableError:
        return PeerUnreachableError(text, step=step, peer=str(self.address))


class PeerLinks:
    """The links of this process, one for each address.

    Parameters
    ----------
    timers : TimerService
        The source of time and timeouts.
    guard : Guard, optional
        Authenticates the other routers; by default, nothing is authenticated.
    dialect : PeerDialect, optional
        Translates messages for older builds; see `PeerLink`.
    """

    def __init__(
        self,
        timers: TimerService,
        guard: Guard | None = None,
        dialect: PeerDialect | None = None,
    ):
        self._timers = timers
        self._guard = guard or OpenGuard()
        self._dialect = dialect
        self._links: dict[Address, PeerLink] = {}

    def link(self, address: Address) -> PeerLink:
        """Return the link to an address; it connects on its first call."""
        if address not in self._links:
            self._links[address] = PeerLink(
                address, self._timers, self._guard, self._dialect
            )
        return self._links[address]

    def forget(self, address: Address) -> None:
        """Close and remove the link to an address."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()
            if self._dialect is not None:
                self._dialect.forget_peer(address)


def _check_address(address: Address) -> None:
    # Addresses come from other routers and must not cause a DNS lookup.
    try:
        ipaddress.ip_address(address.host)
    except ValueError as exc:
        raise OSError("the host is not an IP address") from exc
    if not 0 < address.port <= MAX_PORT:
        raise OSError("the port is not a valid TCP port")
