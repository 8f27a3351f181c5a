"""Measures the messages of load exchange, through hubs and sent to all, by fleet size.

The real `LoadExchange` of every router runs on a fake timer over a network that counts
the frames of calls and answers and their bytes. Calls and streams arrive at the rates
of a large fleet, so the offered load is the same for all sizes.
"""

import argparse
import random
from collections import Counter

import eventlet
import msgspec
from result import Ok

from boragedeck.ids import FailureDomain, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.relaying.fleet import hubs as hubs_module
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.relaying.loads.load_exchange import LoadExchange
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import Replica, ReplicaStage

__all__ = ["main", "measure"]

STEP_S = 0.01
FRAME_BYTES = 16
"""Approximate size of the length, the number and the kind of a frame."""
CALLS_PER_S = 118.0
CALL_S = 0.02
STREAMS_PER_S = 26.0
STREAM_S = 5.5
ENGINES = 99
SERVICES = 5
DOMAINS = 5
HUBS_DISABLED = 10**9
"""Value of `MIN_ROUTERS_FOR_HUBS` that no fleet reaches."""


class Network:
    """Delivers calls at once, and counts frames and bytes by the sender's address."""

    def __init__(self):
        self.handlers = {}
        self.sent_bytes: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()

    def links_of(self, own: str) -> "Links":
        """Return the links of one router."""
        return Links(self, own)

    def call(self, own: str, address: str, message):
        """Deliver a call and return its answer."""
        answer = self.handlers[address, type(message)](message)
        for sender, body in ((own, message), (address, answer)):
            self.sent[sender] += 1
            self.sent_bytes[sender] += len(msgspec.msgpack.encode(body)) + FRAME_BYTES
        return Ok(answer)


class Links:
    """The links of one router, each to an address."""

    def __init__(self, net: Network, own: str, address: str = ""):
        self._net, self._own, self._address = net, own, address

    def link(self, address: str) -> "Links":
        """See `PeerLinks.link`."""
        return Links(self._net, self._own, address)

    def call(self, message, answer_type, timeout_s):
        """See `PeerLink.call`."""
        return self._net.call(self._own, self._address, message)


class Server:
    """The peer server of one router."""

    def __init__(self, net: Network, own: str):
        self._net, self._own = net, own

    def register(self, kind, handler):
        """See `PeerServer.register`."""
        self._net.handlers[self._own, kind] = handler


class FixedMembership:
    """A membership that doesn't change."""

    def __init__(self, all_members: list[Member], own: Member):
        self.own = own
        self._others = [member for member in all_members if member != own]
        self._addresses = {member.router: member.address for member in all_members}

    def members(self) -> list[Member]:
        """See `Membership.members`."""
        return self._others

    def routers(self) -> int:
        """See `Membership.routers`."""
        return 1 + len(self._others)

    def address_of(self, router: RouterId):
        """See `Membership.address_of`."""
        return self._addresses.get(router)


class Rates(msgspec.Struct, frozen=True):
    """Frames and bytes per second of the median and of the busiest router."""

    median_frames_per_s: float
    max_frames_per_s: float
    median_bytes_per_s: float
    max_bytes_per_s: float


def measure(routers: int, seconds: float, has_hubs: bool) -> Rates:
    """Simulate a fleet and return its message rates.

    Parameters
    ----------
    routers : int
        Number of routers.
    seconds : float
        Simulated time.
    has_hubs : bool
        Whether hubs sum up the loads; otherwise each router sends its own to all.
    """
    hubs_module.MIN_ROUTERS_FOR_HUBS, previous = (
        (0 if has_hubs else HUBS_DISABLED),
        hubs_module.MIN_ROUTERS_FOR_HUBS,
    )
    try:
        return _simulate(routers, seconds)
    finally:
        hubs_module.MIN_ROUTERS_FOR_HUBS = previous


def _simulate(routers: int, seconds: float) -> Rates:
    timers, net, rng = ManualTimers(), Network(), random.Random(1)
    exchanges, registries = _fleet(routers, timers, net)
    _advance(timers, 2.0)
    net.sent.clear()
    net.sent_bytes.clear()
    in_progress: list[tuple[float, int, str, Load]] = []
    for _ in range(round(seconds / STEP_S)):
        for rate, pool, count, load, length_s in (
            (CALLS_PER_S, "services", SERVICES, Load(1, 0, 0), CALL_S),
            (STREAMS_PER_S, "engines", ENGINES, Load(1, 8_000, 9_000), STREAM_S),
        ):
            if rng.random() < rate * STEP_S:
                number = rng.randrange(routers)
                name = f"{pool}-{rng.randrange(count)}"
                exchanges[number].refresh(pool)
                registries[number].get(name).own.add(load)
                exchanges[number].note_change()
                in_progress.append((timers.now() + length_s, number, name, load))
        _end_due_requests(in_progress, timers.now(), exchanges, registries)
        _advance(timers, STEP_S)
    frames = sorted(net.sent[f"r{n}"] / seconds for n in range(routers))
    sizes = sorted(net.sent_bytes[f"r{n}"] / seconds for n in range(routers))
    middle = routers // 2
    return Rates(frames[middle], frames[-1], sizes[middle], sizes[-1])


def _end_due_requests(in_progress, now, exchanges, registries) -> None:
    for entry in [entry for entry in in_progress if entry[0] <= now]:
        in_progress.remove(entry)
        _, number, name, load = entry
        registries[number].get(name).own.add(load, -1)
        exchanges[number].note_change()


def _advance(timers: ManualTimers, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        timers.advance(STEP_S)
        eventlet.sleep(0)


def _fleet(routers: int, timers: ManualTimers, net: Network):
    all_members = [
        Member(
            RouterId(f"r{n}"),
            VmName(f"vm-{n}"),
            FailureDomain(f"d{n % DOMAINS}"),
            f"r{n}",
        )
        for n in range(routers)
    ]
    exchanges, registries = [], []
    for own in all_members:
        members, registry = FixedMembership(all_members, own), ReplicaRegistry(timers)
        for pool, count in (("services", SERVICES), ("engines", ENGINES)):
            for number in range(count):
                registry.put(_replica(pool, number))
        exchange = LoadExchange(
            timers,
            registry,
            members,
            Hubs(timers, members),
            net.links_of(own.address),
            Server(net, own.address),
        )
        exchange.start()
        exchanges.append(exchange)
        registries.append(registry)
    return exchanges, registries


def _replica(pool: str, number: int) -> Replica:
    return Replica(
        replica=f"{pool}-{number}",
        pool=pool,
        address=f"{pool}-{number}",
        failure_domain=f"d{number % DOMAINS}",
        version="v1",
        slots=32,
        stage=ReplicaStage.READY,
    )


def main() -> None:
    """Print a table of all fleet sizes, with and without hubs."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--routers", type=int, nargs="+", default=[9, 30, 100, 300])
    parser.add_argument("--seconds", type=float, default=4.0)
    args = parser.parse_args()
    print("| Routers | Way | Frames/s, median | most | KB/s, median | most |")
    print("|---|---|---|---|---|---|")
    for routers in args.routers:
        for way, has_hubs in (("sent to all", False), ("hubs", True)):
            f = measure(routers, args.seconds, has_hubs)
            print(
                f"| {routers} | {way} "
                f"| {f.median_frames_per_s:.1f} | {f.max_frames_per_s:.1f} "
                f"| {f.median_bytes_per_s / 1000:.2f} "
                f"| {f.max_bytes_per_s / 1000:.2f} |"
            )


if __name__ == "__main__":
    main()
