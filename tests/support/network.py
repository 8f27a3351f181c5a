"""Links between routers in memory, with faults."""

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
    """Takes handlers as `PeerServer` does."""

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
    """Carries calls between servers; every fault is set from outside.

    Attributes
    ----------
    gone : set
        Addresses at which nobody listens.
    cut : set
        Pairs of addresses, from whom to whom, between which all is lost.
    deaf : set
        Pairs whose requests arrive and whose answers are lost.
    twice : set
        Pairs whose requests arrive twice.
    """

    def __init__(self, timers):
        self.timers = timers
        self.servers = {}
        self.gone = set()
        self.cut = set()
        self.deaf = set()
        self.twice = set()
        self.calls = 0

    def links(self, own):
        return FakeLinks(self, own)

    def isolate(self, address):
        for other in self.servers:
            self.cut |= {(address, other), (other, address)}

    def heal(self):
        self.cut = {pair for pair in self.cut if pair[0] in self.gone}
        self.deaf.clear()
        self.twice.clear()


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
        where = {"step": type(message).__name__, "peer": str(address)}
        if own not in net.gone and address in net.gone:
            return Err(PeerGoneError("nobody listens", **where))
        if own in net.gone or self._pair in net.cut:
            net.timers.sleep(timeout_s)
            return Err(PeerUnreachableError("cut", **where))
        body = msgspec.msgpack.encode(message)
        if self._pair in net.twice:
            net.servers[address].handle(body)
        raw = net.servers[address].handle(body)
        if self._pair in net.deaf:
            net.timers.sleep(timeout_s)
            return Err(PeerUnreachableError("answer lost", **where))
        answer = msgspec.msgpack.decode(raw, type=answer_type | Refused)
        if isinstance(answer, Refused):
            return Err(PeerRefusedError(answer.text, **where))
        return Ok(answer)
