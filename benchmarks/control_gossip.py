"""Child process of `benchmarks.control_cost`: gossip and membership, fake timer."""

import random
import sys
import time

from boragedeck.patching import patch_all

patch_all()

import msgspec

from benchmarks.figures import Figure, percentile, print_table
from boragedeck.connection.messages import FactTopic
from boragedeck.connection.peer import Address
from boragedeck.connection.store import Vm
from boragedeck.ids import FailureDomain, Health, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.membership.gossip import GossipBoard
from boragedeck.process.membership.membership import GossipMembership
from boragedeck.process.placing.load_gossip import (
    MAX_REPORTED_IN_LARGE_FLEET,
    InFlight,
    InFlightReport,
    report_interval_s,
)
from boragedeck.process.placing.upstreams import UpstreamKey
from boragedeck.process.timers import ManualTimers
from standins.memory import MemoryPlatform
from standins.network import Network, NetworkLinks, NetworkServer

SETTLE_S = 40
IDLE_S = 20
CHANGE_S = 60
CHANGE_INTERVAL_S = 86_400 / 6_300
UPSTREAMS = 370
MAX_IN_FLIGHT = 64
SPREAD_STEP_S = 0.25
MAX_SPREAD_S = 30.0
STEP_S = 0.5


class Node:
    """Gossip and membership of one router."""

    def __init__(self, fleet: "Fleet", number: int):
        self.address = Address(f"10.0.{number // 250}.{number % 250}", 7000)
        self.own = Member(
            RouterId(f"vm-{number}-0a1b2c3d"),
            VmName(f"vm-{number}"),
            FailureDomain(f"fd-{number % 17}"),
            self.address,
        )
        server = NetworkServer()
        fleet.network.servers[self.address] = server
        links = NetworkLinks(fleet.network, self.address, fleet.timers)
        rng = random.Random(number)
        self.board = GossipBoard(self.own, fleet.timers, links, server, rng)
        self.membership = GossipMembership(
            self.own,
            fleet.timers,
            links,
            server,
            fleet.platform,
            rng,
            board=self.board,
            callers=self.address,
        )


class Traffic(msgspec.Struct, frozen=True):
    """Cost of the routers during an interval; `kb_s` has one entry per router."""

    kb_s: list[float]
    core_percent: float
    writes_per_s: float


class Fleet:
    """All routers, on one network and one platform."""

    def __init__(self, routers: int):
        self.timers = ManualTimers()
        self.network = Network(self.timers, random.Random(1))
        self.platform = MemoryPlatform(self.timers.sleep)
        self.nodes = [Node(self, number) for number in range(routers)]
        vms = [Vm(n.own.vm, n.address.host, n.own.failure_domain) for n in self.nodes]
        self.platform.set_vms(vms)

    def start(self) -> None:
        """Start the routers, spread over 5 s."""
        for node in self.nodes:
            node.board.start()
            node.membership.start()
            self.timers.advance(5.0 / len(self.nodes))

    def run(self, seconds: int, step=lambda: None) -> Traffic:
        """Advance the clock with a call of `step` before each step; return the cost."""
        sent, received = self.network.sent.copy(), self.network.received.copy()
        writes = self.platform.calls["commit"]
        cpu_start_s = time.process_time()
        for _ in range(int(seconds / STEP_S)):
            step()
            self.timers.advance(STEP_S)
        cpu_s = time.process_time() - cpu_start_s
        network = self.network
        totals = [
            network.sent[node.address]
            - sent[node.address]
            + network.received[node.address]
            - received[node.address]
            for node in self.nodes
        ]
        return Traffic(
            [total / seconds / 1024 for total in totals],
            100.0 * cpu_s / seconds / len(self.nodes),
            (self.platform.calls["commit"] - writes) / seconds,
        )


def main(routers: int) -> None:
    """Measure and print a table."""
    fleet = Fleet(routers)
    fleet.start()
    fleet.run(SETTLE_S)
    complete = [len(node.membership.members()) for node in fleet.nodes]
    idle = fleet.run(IDLE_S)
    change = fleet.run(CHANGE_S, _make_change_step(fleet))
    urgent_s = _measure_spread_s(fleet, FactTopic.ROLLOUT_STOP, b"")
    reporting_routers = sum(_has_published_load(node) for node in fleet.nodes)
    loads = [
        len(node.board.facts(FactTopic.LOAD)) / reporting_routers
        for node in fleet.nodes
    ]
    suspect_s, suspecting_percent = _measure_suspicion_s(fleet)
    figures = [
        Figure("members known, least", min(complete), "routers"),
        Figure("sent and received, idle", max(idle.kb_s), "KB/s max"),
        Figure("sent and received, change", max(change.kb_s), "KB/s max"),
        Figure("the same, median", percentile(change.kb_s, 0.5), "KB/s"),
        Figure("processor without sockets", idle.core_percent, "% core"),
        Figure("the same, change", change.core_percent, "% core"),
        Figure("writes of all routers", idle.writes_per_s, "1/s", target="under 15"),
        Figure("load facts held, least", 100.0 * min(loads), "%"),
        Figure("load facts held, median", 100.0 * percentile(loads, 0.5), "%"),
        Figure("urgent fact in all routers", urgent_s, "s"),
        Figure("dead router suspect in 99 %", suspect_s, "s"),
        Figure("routers that hold it suspect", suspecting_percent, "%"),
    ]
    print_table(f"gossip of {routers} routers, fake timer", figures)


def _has_published_load(node: Node) -> bool:
    facts = node.board.facts(FactTopic.LOAD)
    return any(fact.origin == node.board.own for fact in facts)


def _make_change_step(fleet: Fleet):
    """Return a step function that publishes loads and, at times, a change."""
    rng = random.Random(2)
    interval_s = report_interval_s(len(fleet.nodes))
    share = STEP_S / interval_s

    def step() -> None:
        for node in fleet.nodes:
            if rng.random() < share:
                body = _random_load_report(rng)
                ttl_s = 5.0 * interval_s
                node.board.publish(FactTopic.LOAD, "load", body, ttl_s=ttl_s)
        if rng.random() < STEP_S / CHANGE_INTERVAL_S:
            board = rng.choice(fleet.nodes).board
            board.publish(FactTopic.CONFIG, "r", rng.randbytes(30))

    return step


def _random_load_report(rng: random.Random) -> bytes:
    numbers = rng.sample(range(UPSTREAMS), MAX_REPORTED_IN_LARGE_FLEET)
    keys = [UpstreamKey("pool-1", f"engine-{number}") for number in numbers]
    counts = [InFlight(key, rng.randrange(MAX_IN_FLIGHT)) for key in keys]
    return msgspec.msgpack.encode(InFlightReport(tuple(counts)))


def _measure_spread_s(fleet: Fleet, topic: FactTopic, body: bytes) -> float:
    """Return how long a new fact takes to reach all routers, in seconds."""
    fleet.nodes[0].board.publish(topic, "spread", body)
    start = fleet.timers.now()
    while fleet.timers.now() - start < MAX_SPREAD_S:
        fleet.timers.advance(SPREAD_STEP_S)
        if all(node.board.facts(topic) for node in fleet.nodes):
            return fleet.timers.now() - start
    return float("inf")


def _measure_suspicion_s(fleet: Fleet) -> tuple[float, float]:
    """Stop a router; return the time to suspicion and the percentage suspecting it."""
    dead = fleet.nodes.pop()
    del fleet.network.servers[dead.address]
    start = fleet.timers.now()
    share = 0.0
    while share < 0.99 and fleet.timers.now() - start < MAX_SPREAD_S:
        fleet.timers.advance(SPREAD_STEP_S)
        share = sum(_suspects(node, dead) for node in fleet.nodes) / len(fleet.nodes)
    return fleet.timers.now() - start, 100.0 * share


def _suspects(node: Node, dead: Node) -> bool:
    return any(
        member.router == dead.own.router and member.health is Health.SUSPECT
        for member in node.membership.members()
    )


if __name__ == "__main__":
    main(int(sys.argv[1]))
