"""Server for calls of other routers, with limits for each peer."""

import ipaddress
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Any

import eliot
import eventlet
import msgspec
from eventlet.event import Event
from eventlet.green import socket

from boragedeck.connection.frames import (
    MAX_FRAME_BYTES,
    FrameWriter,
    close_socket,
    read_body,
    read_header,
    shut_down_socket,
)
from boragedeck.connection.guard import Guard, OpenGuard
from boragedeck.connection.messages import Accepted, Frame, Message, Ping, Refused
from boragedeck.connection.peer_protocol import (
    Greeting,
    PeerDialect,
    PeerProtocol,
    agreed_protocol,
)
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import PeerError

__all__ = ["PeerLimits", "PeerServer"]

SEND_TIMEOUT_S = 10.0
"""Maximum time to send an answer, in seconds."""
ACCEPT_PAUSE_S = 0.1
"""Pause after a failed accept, in seconds."""

Handler = Callable[[Any], Message]


class PeerLimits(msgspec.Struct, frozen=True):
    """Limits on the resources that other routers may use.

    Parameters
    ----------
    connections : int
        Maximum number of open connections.
    connections_per_host : int
        Maximum number of open connections from one IP address. Loopback is exempt,
        because all routers of a test on one machine share that address.
    calls : int
        Maximum number of calls of one connection that run concurrently.
    bytes_per_host : int
        Maximum bytes of the calls from one IP address that are being read or run.
    handshake_s : float
        Maximum duration of the authentication of a connection, in seconds.
    """

    connections: int = 2048
    connections_per_host: int = 64
    calls: int = 1024
    bytes_per_host: int = 4 * MAX_FRAME_BYTES
    handshake_s: float = 2.0


class _HostBudget:
    """Byte budget that the connections from one IP address share."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self.used_bytes = 0
        self._released = Event()

    def reserve_bytes(self, size: int) -> None:
        """Wait until a frame fits; if nothing is reserved, a frame of any size fits."""
        while self.used_bytes and self.used_bytes + size > self._max_bytes:
            self._released.wait()
        self.used_bytes += size

    def release_bytes(self, size: int) -> None:
        """Release the reserved bytes of a frame."""
        self.used_bytes -= size
        released, self._released = self._released, Event()
        released.send()


class _Caller:
    """The other side of one connection, and the version of the protocol it speaks."""

    def __init__(self, writer: FrameWriter):
        self.writer = writer
        self.protocol = PeerProtocol.UNNAMED


class PeerServer:
    """Answers calls of other routers, each call in its own green thread.

    Parameters
    ----------
    listener : socket
        A listening socket.
    guard : Guard, optional
        Authenticates connections; by default, nothing is authenticated.
    limits : PeerLimits, optional
        Limits on the resources that other routers may use.
    dialect : PeerDialect, optional
        Translates answers for older builds; by default, nothing is translated and
        greetings are refused.
    """

    def __init__(
        self,
        listener: socket.socket,
        guard: Guard | None = None,
        limits: PeerLimits | None = None,
        dialect: PeerDialect | None = None,
    ):
        self._listener = listener
        self._guard = guard or OpenGuard()
        self._limits = limits or PeerLimits()
        self._handlers: dict[type, Handler] = {Ping: lambda message: Accepted()}
        self._dialect = dialect
        if dialect is not None:
            self._handlers[Greeting] = lambda message: dialect.greeting
        self._decoder: msgspec.msgpack.Decoder | None = None
        self._open_sockets: set[socket.socket] = set()
        self._connections_by_host: Counter[str] = Counter()
        self._budgets: dict[str, _HostBudget] = {}
        self._is_serving = False
        self._is_closed = False

    def __len__(self) -> int:
        """Return the number of open connections."""
        return self._connections_by_host.total()

    def register(self, message_type: type[Message], handler: Handler) -> None:
        """Register the handler that answers messages of a type.

        Parameters
        ----------
        message_type : type
            A subclass of `Message`.
        handler : callable
            Called with the message; returns the answer. If it raises an exception,
            the call is answered with `Refused`; any but a `PeerError` is also logged.
        """
        self._handlers[message_type] = handler
        self._decoder = None

    def serve(self) -> None:
        """Accept connections until the server is closed."""
        self._is_serving = True
        while not self._is_closed:
            try:
                sock, address = self._listener.accept()
            except OSError:
                # For example, too many open files: retry after others are closed.
                eventlet.sleep(0 if self._is_closed else ACCEPT_PAUSE_S)
            else:
                self._admit(sock, address[0])
        self._listener.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        self._is_closed = True
        shut_down_socket(self._listener)
        if not self._is_serving:
            self._listener.close()
        for sock in list(self._open_sockets):
            shut_down_socket(sock)

    def _admit(self, sock: socket.socket, host: str) -> None:
        limits = self._limits
        is_crowded = self._connections_by_host[host] >= limits.connections_per_host
        if is_crowded and not ipaddress.ip_address(host).is_loopback:
            sock.close()
        elif len(self) >= limits.connections:
            sock.close()
        else:
            self._connections_by_host[host] += 1
            eventlet.spawn_n(self._serve_connection, sock, host)

    def _serve_connection(self, sock: socket.socket, host: str) -> None:
        self._open_sockets.add(sock)
        # If the handshake fails, only the socket without the guard's layer is known.
        raw_sock = sock
        try:
            timeout_error = TimeoutError("the handshake took too long")
            with eventlet.Timeout(self._limits.handshake_s, timeout_error):
                sock = self._guard.accept(sock)
            self._open_sockets.discard(raw_sock)
            self._open_sockets.add(sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._read_calls(sock, host)
        except (OSError, EOFError, ValueError, *DECODE_ERRORS) as exc:
            eliot.log_message("peer: connection ended", peer=host, error=repr(exc))
        finally:
            self._open_sockets -= {raw_sock, sock}
            close_socket(sock)
            raw_sock.close()
            self._count_closed(host)

    def _count_closed(self, host: str) -> None:
        self._connections_by_host[host] -= 1
        if not self._connections_by_host[host]:
            del self._connections_by_host[host]
        self._drop_unused_budget(host)

    def _drop_unused_budget(self, host: str) -> None:
        # Calls may outlive their connection; their bytes count until they end.
        if host not in self._connections_by_host and host in self._budgets:
            if not self._budgets[host].used_bytes:
                del self._budgets[host]

    def _read_calls(self, sock: socket.socket, host: str) -> None:
        budget = self._budgets.get(host)
        if budget is None:
            budget = self._budgets[host] = _HostBudget(self._limits.bytes_per_host)
        caller = _Caller(FrameWriter(sock))
        call_slots = eventlet.Semaphore(self._limits.calls)
        with sock.makefile("rb") as file:
            while (size := read_header(file)) is not None:
                # While a limit is reached, nothing more is read from the connection.
                call_slots.acquire()
                budget.reserve_bytes(size)
                frame = None
                try:
                    frame = read_body(file, size)
                finally:
                    if frame is None:
                        budget.release_bytes(size)
                if frame is None:
                    return
                release_bytes = partial(self._release_bytes, host, budget, size)
                eventlet.spawn_n(
                    self._answer, sock, caller, frame, call_slots, release_bytes
                )

    def _release_bytes(self, host: str, budget: _HostBudget, size: int) -> None:
        budget.release_bytes(size)
        self._drop_unused_budget(host)

    def _answer(
        self,
        sock: socket.socket,
        caller: _Caller,
        frame: Frame,
        call_slots: eventlet.Semaphore,
        release_bytes: Callable[[], None],
    ) -> None:
        try:
            answer = self._answer_in_dialect(frame.body, caller)
            timeout_error = TimeoutError("the answer was not sent in time")
            with eventlet.Timeout(SEND_TIMEOUT_S, timeout_error):
                # True: the frame is an answer.
                caller.writer.write(frame.number, True, answer)
        except (OSError, ValueError):
            shut_down_socket(sock)
        finally:
            release_bytes()
            call_slots.release()

    def _answer_in_dialect(self, body: msgspec.Raw, caller: _Caller) -> Message:
        """Return the answer to a call as the caller's build understands it."""
        answer = self._handle(body)
        if self._dialect is None:
            return answer
        if isinstance(answer, Greeting):
            told = msgspec.msgpack.decode(body, type=Greeting).protocol
            caller.protocol = agreed_protocol(told)
        return self._dialect.for_peer(answer, caller.protocol)

    def _handle(self, body: msgspec.Raw) -> Message:
        if self._decoder is None:
            union = _union_type(tuple(self._handlers))
            self._decoder = msgspec.msgpack.Decoder(union)
        try:
            message = self._decoder.decode(body)
        except DECODE_ERRORS as exc:
            return Refused("bad_message", str(exc))
        try:
            return self._handlers[type(message)](message)
        except PeerError as exc:
            return Refused("refused", str(exc))
        except Exception as exc:
            # The caller must get an answer even if the handler has a bug.
            step = type(message).__name__
            eliot.log_message("peer: handler failed", step=step, error=repr(exc))
            return Refused("failed", type(exc).__name__)


def _union_type(types: tuple[Any, ...]) -> Any:
    union = types[0]
    for other in types[1:]:
        union = union | other
    return union
