import random
import unittest

import eventlet

from boragedeck.connection.messages import FactTopic
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.ids import FailureDomain, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.membership.gossip import GossipBoard
from boragedeck.process.membership.heartbeats import Heartbeats, Reachability
from boragedeck.process.timers import RealTimers

WAIT_S = 5.0


class LoopbackPeer:
    def __init__(self, name):
        listener = eventlet.listen(("127.0.0.1", 0))
        address = Address(*listener.getsockname())
        own = Member(RouterId(name), VmName("vm"), FailureDomain("fd"), address)
        timers, rng = RealTimers(), random.Random(1)
        self.own = own
        self.server = PeerServer(listener)
        links = PeerLinks(timers)
        self.board = GossipBoard(own, timers, links, self.server, rng)
        self.heartbeats = Heartbeats(own, timers, links, self.server, rng)
        eventlet.spawn_n(self.server.serve)


class LoopbackTest(unittest.TestCase):
    def setUp(self):
        self.one, self.other = LoopbackPeer("one"), LoopbackPeer("other")
        self.addCleanup(self.one.server.close)
        self.addCleanup(self.other.server.close)

    def test_urgent_fact_is_pushed_immediately(self):
        received = eventlet.event.Event()
        self.other.board.subscribe(FactTopic.ROLLOUT_STOP, received.send)
        self.one.board.set_peer_source(lambda: [self.other.own.address])
        fact = self.one.board.publish(FactTopic.ROLLOUT_STOP, "r/1", b"why")
        with eventlet.Timeout(WAIT_S):
            self.assertEqual(received.wait(), fact)

    def test_synchronising_gives_both_sides_all_facts(self):
        mine = [self.one.board.publish(FactTopic.LOAD, str(n), b"") for n in range(9)]
        theirs = self.other.board.publish(FactTopic.LOAD, "x", b"")
        self.one.board.synchronise_with(self.other.own.address)
        for board in (self.one.board, self.other.board):
            held = {(f.origin, f.key) for f in board.facts(FactTopic.LOAD)}
            self.assertEqual(held, {(f.origin, f.key) for f in [*mine, theirs]})

    def test_heartbeats_distinguish_replaced_and_silent_routers(self):
        check = self.one.heartbeats.check
        self.assertIs(check(self.other.own, []), Reachability.ALIVE)
        former = Member(
            RouterId("former"),
            VmName("vm"),
            FailureDomain("fd"),
            self.other.own.address,
        )
        self.assertIs(check(former, []), Reachability.REPLACED)
        self.other.server.close()
        self.assertIs(check(self.other.own, []), Reachability.SILENT)
