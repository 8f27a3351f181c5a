"""Pool of reusable connections to replicas."""

import enum
from collections.abc import Callable
from functools import partial

import eventlet
import h11
from eventlet.green import socket

from boragedeck.connection.exchange import Exchange
from boragedeck.connection.http_message import Message, encode_request
from boragedeck.connection.peer import Address
from boragedeck.connection.upstream_connection import UpstreamConnection
from boragedeck.exceptions import (
    UpstreamConnectTimeoutError,
    UpstreamRefusedError,
)
from boragedeck.process.timers import TimerService

__all__ = ["MAX_IDLE_PER_REPLICA", "ConnectOutcome", "OpenReason", "UpstreamPool"]

MAX_IDLE_PER_REPLICA = 8
"""Maximum number of idle connections to one replica."""
HEARD_TTL_S = 60.0
"""How long it is known when something arrived from a replica."""
KEEPALIVE_S = 1
"""Time until a silent connection is probed, and between probes."""
KEEPALIVE_PROBES = 3
"""Number of unanswered probes after which the kernel closes the connection. A sound
replica may be silent for a second or more, in which two probes can be lost. There is no
limit for data that isn't taken, since that of the kernel holds for a live host, too."""


class ConnectOutcome(enum.Enum):
    """How an attempt to open a connection ended."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"


class OpenReason(enum.Enum):
    """Why a connection was opened."""

    NONE_IDLE = "none_idle"
    """There was no idle connection to the replica."""
    ID_CARRIED = "id_carried"
    """All idle connections have carried the request's id before."""
    PATH_CHECK = "path_check"
    """To see whether the replica accepts it."""


def _ignore_opened(reason: OpenReason) -> None:
    """Do nothing; the default of `UpstreamPool.on_opened`."""


class UpstreamPool:
    """Opens connections to replicas and keeps idle ones for reuse.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    max_idle : callable, optional
        Returns the maximum number of idle connections to one replica.
    exchange_type : type, optional
        The class of the exchanges.

    Attributes
    ----------
    on_opened : callable
        Called with the reason whenever a connection was opened.
    """

    def __init__(
        self,
        timers: TimerService,
        max_idle: Callable[[], int] = lambda: MAX_IDLE_PER_REPLICA,
        exchange_type: type[Exchange] = Exchange,
    ):
        self._timers = timers
        self._max_idle = max_idle
        self._exchange_type = exchange_type
        self._idle: dict[Address, list[UpstreamConnection]] = {}
        self._heard_at: dict[Address, float] = {}
        self.on_opened: Callable[[OpenReason], None] = _ignore_opened

    def heard_at(self, address: Address) -> float:
        """Return when a replica last accepted a connection or sent something.

        Returns
        -------
        float
            On the timer service's monotonic clock; minus infinity if it never did, or
            not lately.
        """
        return self._heard_at.get(address, float("-inf"))

    def open_idle(self, address: Address, timeout_s: float) -> ConnectOutcome:
        """Open a connection that is kept idle, to see whether the replica accepts it.

        Parameters
        ----------
        address : Address
            The replica's address.
        timeout_s : float
            Maximum time to connect, in seconds.
        """
        try:
            conn = self._open(address, timeout_s)
            self.on_opened(OpenReason.PATH_CHECK)
        except UpstreamConnectTimeoutError:
            return ConnectOutcome.TIMED_OUT
        except UpstreamRefusedError:
            return ConnectOutcome.REFUSED
        self._keep_idle(conn)
        return ConnectOutcome.ACCEPTED

    def send(
        self,
        address: Address,
        message: Message,
        connect_timeout_s: float,
        check: Callable[[], None] = lambda: None,
    ) -> Exchange:
        """Begin to send a request and return the exchange that reads its answer.

        Parameters
        ----------
        address : Address
            The replica's address.
        message : Message
            The request.
        connect_timeout_s : float
            Maximum time to connect, in seconds.
        check : callable, optional
            Called once there is a connection; if it raises, the request isn't sent.

        Raises
        ------
        UpstreamRefusedError
            If no connection could be opened, so that nothing was sent.

        Notes
        -----
        If the connection breaks while the request is sent, the exchange says so when
        its answer is read.
        """
        conn = self._pop_idle(address, message.request_id)
        if conn is None:
            # What remains idle can't tell answers to this id apart.
            is_id_carried = address in self._idle
            conn = self._open(address, connect_timeout_s)
            self.on_opened(
                OpenReason.ID_CARRIED if is_id_carried else OpenReason.NONE_IDLE
            )
        try:
            check()
            conn.sent.note_sent(message.request_id)
            conn.send(encode_request(conn.parser, message))
        except BaseException:
            conn.close()
            raise
        return self._exchange_type(self._release, conn, message)

    def _release(self, conn: UpstreamConnection, is_complete: bool) -> None:
        parser = conn.parser
        is_clean = is_complete and not (parser.trailing_data[0] or conn.has_unsent)
        is_done = (parser.our_state, parser.their_state) == _BOTH_DONE
        if not (is_clean and is_done) or conn.sent.is_full:
            conn.close()
            return
        parser.start_next_cycle()
        self._keep_idle(conn)

    def _keep_idle(self, conn: UpstreamConnection) -> None:
        idle = self._idle.setdefault(conn.address, [])
        if len(idle) >= self._max_idle():
            conn.close()
            return
        conn.reusable_until = self._timers.now() + conn.idle_s
        idle.append(conn)

    def forget(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def expire(self) -> None:
        """Close idle connections that have expired, were closed or got stray bytes."""
        now = self._timers.now()
        self._heard_at = {
            address: at
            for address, at in self._heard_at.items()
            if now - at <= HEARD_TTL_S
        }
        for address in list(self._idle):
            kept = []
            for conn in self._idle[address]:
                if self._is_reusable(conn):
                    kept.append(conn)
                else:
                    conn.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def _pop_idle(
        self, address: Address, request_id: bytes | None
    ) -> UpstreamConnection | None:
        """Return the newest idle connection that may carry a request."""
        found, kept = None, []
        idle = self._idle.pop(address, [])
        while idle and found is None:
            conn = idle.pop()
            if not self._is_reusable(conn):
                conn.close()
            elif conn.sent.may_send(request_id):
                found = conn
            else:
                kept.append(conn)
        idle += reversed(kept)
        if idle:
            self._idle[address] = idle
        return found

    def _is_reusable(self, conn: UpstreamConnection) -> bool:
        return conn.reusable_until > self._timers.now() and conn.is_open_and_empty()

    def _open(self, address: Address, timeout_s: float) -> UpstreamConnection:
        timeout_error = TimeoutError("no connection in time")
        try:
            with eventlet.Timeout(timeout_s, timeout_error):
                sock = _connect(address)
        except TimeoutError as exc:
            raise UpstreamConnectTimeoutError(
                str(exc), step="connect", peer=str(address)
            ) from exc
        except OSError as exc:
            raise UpstreamRefusedError(
                str(exc), step="connect", peer=str(address)
            ) from exc
        for level, option, value in _SOCKET_OPTIONS:
            sock.setsockopt(level, option, value)
        self._note_arrival(address)
        conn = UpstreamConnection(sock, address, self._timers.now)
        conn.on_arrival = partial(self._note_arrival, address)
        return conn

    def _note_arrival(self, address: Address) -> None:
        self._heard_at[address] = self._timers.now()


def _connect(address: Address) -> socket.socket:
    """Connect to an address; close the socket, whatever ends that."""
    found = socket.getaddrinfo(address.host, address.port, 0, socket.SOCK_STREAM)
    family, kind, protocol, _, target = found[0]
    sock = socket.socket(family, kind, protocol)
    try:
        sock.connect(target)
    except BaseException:
        sock.close()
        raise
    return sock


_BOTH_DONE = (h11.DONE, h11.DONE)

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
