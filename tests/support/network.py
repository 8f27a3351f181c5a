"""In-memory links between routers, with fault injection."""

import functools
import operator

import msgspec
from result import Err, Ok

from boragedeck.connection.messages import Refused
from boragedeck.exceptions import (
    PeerError,
    PeerGoneError,
    PeerRefusedError,
    PeerUnreachableError,
)


class FakeServer:
    """In-memory replacement of `PeerServer`."""

    def __init__(self):
        self.handlers = {}

    def register(self, message_type, handler):
        self.handlers[message_type] = handler

    def handle(self, body):
        union = functools.reduce(operator.or_, self.handlers)
        try:
            message = msgspec.msgpack.decode(body, type=union)
            answer = self.handlers[type(message)](message)
        except PeerError as exc:
            answer = Refused("refused", str(exc))
        except msgspec.MsgspecError as exc:
            answer = Refused("bad_message", str(exc))
        return msgspec.msgpack.encode(answer)


class FakeNetwork:
    """Delivers calls between servers, with faults that a test sets.

    Attributes
    ----------
    closed_addresses : set
        Addresses without a listener.
    blocked_pairs : set
        Pairs of addresses (sender, receiver) whose requests are lost.
    answer_loss_pairs : set
        Pairs whose requests arrive but whose answers are lost.
    duplicated_pairs : set
        Pairs whose requests are delivered twice.
    """

    def __init__(self, timers):
        self.timers = timers
        self.servers = {}
        self.closed_addresses = set()
        self.blocked_pairs = set()
        self.answer_loss_pairs = set()
        self.duplicated_pairs = set()
        self.calls = 0

    def links(self, own):
        return FakeLinks(self, own)

    def isolate(self, address):
        for other in self.servers:
            self.blocked_pairs |= {(address, other), (other, address)}

    def heal(self):
        self.blocked_pairs = {
            pair for pair in self.blocked_pairs if pair[0] in self.closed_addresses
        }
        self.answer_loss_pairs.clear()
        self.duplicated_pairs.clear()


class FakeLinks:
    def __init__(self, network, own):
        self._network = network
        self._own = own

    def link(self, address):
        return FakeLink(self._network, self._own, address)

    def forget(self, address):
        pass


class FakeLink:
    def __init__(self, network, own, address):
        self._network = network
        self._pair = (own, address)
        self.address = address

    def close(self):
        pass

    def call(self, message, answer_type, *, timeout_s):
        net = self._network
        net.calls += 1
        own, address = self._pair
        error_context = {"step": type(message).__name__, "peer": str(address)}
        if own not in net.closed_addresses and address in net.closed_addresses:
            return Err(PeerGoneError("connection refused", **error_context))
        if own in net.closed_addresses or self._pair in net.blocked_pairs:
            net.timers.sleep(timeout_s)
            return Err(PeerUnreachableError("request lost", **error_context))
        body = msgspec.msgpack.encode(message)
        if self._pair in net.duplicated_pairs:
            net.servers[address].handle(body)
        raw = net.servers[address].handle(body)
        if self._pair in net.answer_loss_pairs:
            net.timers.sleep(timeout_s)
            return Err(PeerUnreachableError("answer lost", **error_context))
        answer = msgspec.msgpack.decode(raw, type=answer_type | Refused)
        if isinstance(answer, Refused):
            return Err(PeerRefusedError(answer.text, **error_context))
        return Ok(answer)
