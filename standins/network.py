"""In-memory links between routers, with loss, duplicates, delay and partitions."""

import functools
import operator
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.messages import Message, Refused
from boragedeck.connection.peer import Address
from boragedeck.exceptions import PeerError, PeerRefusedError, PeerUnreachableError
from boragedeck.process.timers import TimerService

__all__ = ["Network", "NetworkLinks", "NetworkServer"]

FRAME_OVERHEAD_BYTES = 10
TCP_OVERHEAD_BYTES = 2 * 52
"""Size of the headers of a frame's TCP segment and of its acknowledgement."""


class NetworkServer:
    """In-memory replacement for `PeerServer`."""

    def __init__(self):
        self._handlers: dict[type, Callable[[Any], Message]] = {}

    def register(
        self, message_type: type[Message], handler: Callable[[Any], Message]
    ) -> None:
        """See `PeerServer.register`."""
        self._handlers[message_type] = handler

    def answer(self, body: bytes) -> bytes:
        """Return the encoded answer to an encoded message."""
        union = functools.reduce(operator.or_, self._handlers)
        message = msgspec.msgpack.decode(body, type=union)
        return msgspec.msgpack.encode(self._handlers[type(message)](message))


class Network:
    """Transfers calls between routers in one process.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    rng : random.Random
        Chooses the messages that are lost or duplicated, and the delays.

    Attributes
    ----------
    servers : dict of Address to NetworkServer
        Servers of the running routers; messages from or to others are lost.
    blocked_links : set of pair of Address
        Pairs of source and target between which all messages are lost.
    loss, duplicates : float
        Share of the messages that are lost, and of the calls that arrive twice.
    max_delay_s : float
        Maximum of the random delay of each message, in seconds.
    sent, received : collections.Counter
        Number of bytes by address, for calls and answers together.
    """

    def __init__(self, timers: TimerService, rng: random.Random):
        self.servers: dict[Address, NetworkServer] = {}
        self.blocked_links: set[tuple[Address, Address]] = set()
        self.loss = 0.0
        self.duplicates = 0.0
        self.max_delay_s = 0.0
        self.sent: Counter[Address] = Counter()
        self.received: Counter[Address] = Counter()
        self._timers = timers
        self._rng = rng

    def part(self, group: list[Address], other_group: list[Address]) -> None:
        """Block all messages between two groups, in both directions."""
        self.blocked_links |= {(a, b) for a in group for b in other_group}
        self.blocked_links |= {(b, a) for a in group for b in other_group}

    def round_trip(self, source: Address, target: Address, body: bytes) -> bytes | None:
        """Deliver a message and return its answer; None if either is lost."""
        if not self._deliver(source, target, body):
            return None
        server = self.servers[target]
        answer = server.answer(body)
        if self._rng.random() < self.duplicates:
            answer = server.answer(body)
        return answer if self._deliver(target, source, answer) else None

    def _deliver(self, source: Address, target: Address, body: bytes) -> bool:
        self.sent[source] += len(body) + FRAME_OVERHEAD_BYTES + TCP_OVERHEAD_BYTES
        if self.max_delay_s > 0:
            self._timers.sleep(self._rng.uniform(0.0, self.max_delay_s))
        is_lost = (
            (source, target) in self.blocked_links
            or source not in self.servers
            or target not in self.servers
            or self._rng.random() < self.loss
        )
        if not is_lost:
            self.received[target] += (
                len(body) + FRAME_OVERHEAD_BYTES + TCP_OVERHEAD_BYTES
            )
        return not is_lost


class NetworkLinks:
    """In-memory replacement for `PeerLinks` of one router."""

    def __init__(self, network: Network, own_address: Address, timers: TimerService):
        self._network = network
        self._own_address = own_address
        self._timers = timers

    def link(self, address: Address) -> "_NetworkLink":
        """See `PeerLinks.link`."""
        return _NetworkLink(self._network, self._own_address, address, self._timers)

    def forget(self, address: Address) -> None:
        """See `PeerLinks.forget`."""


class _NetworkLink:
    def __init__(
        self,
        network: Network,
        own_address: Address,
        address: Address,
        timers: TimerService,
    ):
        self._network = network
        self._own_address = own_address
        self._address = address
        self._timers = timers

    def call(
        self, message: Message, answer_type: Any, *, timeout_s: float
    ) -> Result[Any, PeerError]:
        """See `PeerLink.call`."""
        error_context = {"step": type(message).__name__, "peer": str(self._address)}
        body = msgspec.msgpack.encode(message)
        answer = self._network.round_trip(self._own_address, self._address, body)
        if answer is None:
            self._timers.sleep(timeout_s)
            return Err(PeerUnreachableError("no answer in time", **error_context))
        decoded = msgspec.msgpack.decode(answer, type=answer_type | Refused)
        if isinstance(decoded, Refused):
            return Err(PeerRefusedError(decoded.code, **error_context))
        return Ok(decoded)

    def close(self) -> None:
        """See `PeerLink.close`."""
