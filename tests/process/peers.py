"""A fleet of routers with gossip and membership on an in-memory network."""

import random

import eventlet

from boragedeck.connection.peer import Address
from boragedeck.ids import FailureDomain, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.membership.gossip import GossipBoard
from boragedeck.process.membership.membership import GossipMembership
from boragedeck.process.timers import ManualTimers
from standins.memory import MemoryPlatform
from standins.network import Network, NetworkLinks, NetworkServer


class PeerTimers:
    """The fleet's timers as seen by one peer, which may be paused or stopped."""

    def __init__(self, timers):
        self._timers = timers
        self._is_running = True
        self._missed = []
        self.now, self.wall = timers.now, timers.wall
        self.sleep, self.wait = timers.sleep, timers.wait

    def call_later(self, delay_s, callback):
        return self._timers.call_later(delay_s, lambda: self._call(callback))

    def subscribe(self, interval_s, callback, *, jitter=0.1):
        def call():
            if self._is_running:
                callback()

        return self._timers.subscribe(interval_s, call)

    def pause(self):
        self._is_running = False

    def resume(self):
        self._is_running = True
        missed, self._missed = self._missed, []
        for callback in missed:
            eventlet.spawn_n(callback)

    def _call(self, callback):
        if self._is_running:
            callback()
        else:
            self._missed.append(callback)


class Peer:
    def __init__(self, fleet, number, run, seeds):
        self.timers = PeerTimers(fleet.timers)
        self.address = Address("10.0.0.1", number)
        self.own = Member(
            RouterId(f"r{number}-{run}"),
            VmName(f"vm-{number}"),
            FailureDomain("fd-1"),
            self.address,
        )
        self.server = NetworkServer()
        links = NetworkLinks(fleet.network, self.address, self.timers)
        rng = random.Random(f"{number}-{run}")
        self.board = GossipBoard(self.own, self.timers, links, self.server, rng)
        self.membership = GossipMembership(
            self.own,
            self.timers,
            links,
            self.server,
            fleet.platform,
            rng,
            board=self.board,
            callers=self.address,
            seeds=lambda: seeds,
        )

    def start(self):
        self.board.start()
        self.membership.start()

    def health(self, other):
        members = {m.router: m.health for m in self.membership.members()}
        return members.get(other.own.router)

    def known_routers(self):
        return {member.router for member in self.membership.members()}


class Fleet:
    def __init__(self, size=0, seed=1):
        self.timers = ManualTimers()
        self.network = Network(self.timers, random.Random(seed))
        self.platform = MemoryPlatform(self.timers.sleep)
        self.peers = [self.add(number) for number in range(1, size + 1)]

    def add(self, number, run=0, seeds=()):
        peer = Peer(self, number, run, seeds)
        self.network.servers[peer.address] = peer.server
        peer.start()
        return peer

    def stop(self, peer):
        del self.network.servers[peer.address]
        peer.timers.pause()

    def resume(self, peer):
        self.network.servers[peer.address] = peer.server
        peer.timers.resume()

    def routers(self):
        return {peer.own.router for peer in self.peers}
