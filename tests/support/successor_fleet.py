"""Routers in memory whose replicas restart under new ids while the store is away."""

import enum
import itertools
import random

import eventlet
import msgspec
from prometheus_client import CollectorRegistry

from boragedeck.connection.peer import Address
from boragedeck.ids import FailureDomain, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.membership.gossip import GossipBoard
from boragedeck.process.relaying.fleet.fleet_size import FleetSize
from boragedeck.process.relaying.placing.admission import Admission, LoadSource
from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.relaying.replicas.replica_successors import ReplicaSuccessors
from boragedeck.process.relaying.retries.retry_share import RetryShare
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import Replica, ReplicaStage
from boragedeck.version.routing import (
    EngineProfile,
    RelayPool,
    RoutingTable,
)
from standins.network import Network, NetworkLinks, NetworkServer
from tests.support.replicas import BOUNDS, NoReserve

DOMAINS = 4
SLOTS = 24
SERVICE_S = 4.0
WAIT_S = 4.0
REPORT_S = 0.01
"""How long a replica takes to answer a report."""
MAX_DELAY_S = 0.02
"""Maximum delay of a message between two routers."""
MAX_PEERS = 24
STEP_S = 0.02
MODELS = {"p": frozenset({"m"}), "q": frozenset({"n"})}
POOLS = {
    name: RelayPool(name, 100, EngineProfile(SLOTS, 88_000, False, models=models))
    for name, models in MODELS.items()
}
TABLE = RoutingTable(version=1, routes={}, pools=POOLS)


class Result(enum.Enum):
    """How an attempt ended."""

    SERVED = "served"
    UNREACHED = "unreached"
    MOVED = "moved"
    LOST = "lost"


class Engine:
    """The engine at one address, whose runs have ids of their own.

    Attributes
    ----------
    replica : ReplicaId
        The id of the current run.
    pool : PoolName
        The pool whose models it serves.
    running : int
        Number of streams that run.
    misplaced : int
        Number of requests of another pool that it has run.
    """

    def __init__(self, number):
        self.number = number
        self.address = Address("10.0.1.1", number + 1)
        self.domain = f"d{number % DOMAINS}"
        self.pool = "p"
        self.is_up = True
        self.misplaced = 0
        self._runs = itertools.count()
        self._start()

    def entry(self):
        """Return the entry of the current run."""
        return Replica(
            replica=self.replica,
            pool=self.pool,
            address=self.address,
            failure_domain=self.domain,
            version="v1",
            slots=SLOTS,
            stage=ReplicaStage.READY,
            born_ms=1,
        )

    def crash(self):
        """End the current run."""
        self.is_up = False
        self.running = 0

    def restart(self, pool=None):
        """Start under a new id, for another pool if one is given."""
        self.pool = pool or self.pool
        self._start()

    def _start(self):
        self.replica = f"i-{self.number}-{next(self._runs)}"
        self.is_up = True
        self.running = 0


class FleetLoads(LoadSource):
    """The loads of all routers, as one of them knows them."""

    def __init__(self, fleet, registry):
        self._fleet = fleet
        self._registry = registry

    def refresh(self, pool):
        """See `LoadSource.refresh`."""
        for state in self._registry.of_pool(pool):
            engine = self._fleet.engines[state.replica.address]
            is_known = engine.replica == state.replica.replica
            running = engine.running if is_known else 0
            state.peers = Load(max(0, running - state.own.running))


class SuccessorRouter:
    """The parts of one router that place requests and learn of successors."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        timers = fleet.timers
        name, address = f"r{number}", Address("10.0.0.1", number + 1)
        rng = random.Random(f"{name} {fleet.seed}")
        self.registry = ReplicaRegistry(timers)
        self.metrics = RelayMetrics(CollectorRegistry())
        self.server = NetworkServer()
        self.address = address
        self.board = GossipBoard(
            Member(RouterId(name), VmName(name), FailureDomain("d0"), address),
            timers,
            NetworkLinks(fleet.network, address, timers),
            self.server,
            rng,
        )
        loads = FleetLoads(fleet, self.registry)
        self._admission = Admission(timers, self.registry, rng, loads)
        fleet_size = FleetSize(timers, lambda: len(fleet.routers))
        self._retries = RetryShare(
            timers, lambda: fleet.bounds, fleet_size, NoReserve()
        )
        self.successors = ReplicaSuccessors(
            timers,
            self.registry,
            self.board,
            lambda: TABLE,
            lambda: timers.now() - fleet.confirmed_at,
            self.metrics,
        )

    def send(self):
        """Serve one stream, or refuse it."""
        self._retries.note_request("p")
        delivered, has_run = 0, False
        until = self._fleet.timers.now() + WAIT_S
        while True:
            acquired = self._admission.acquire(
                AdmissionRequest(
                    pool=POOLS["p"],
                    priority=1,
                    prompt_tokens=0,
                    tokens=0,
                    until=until,
                )
            )
            if acquired.is_err():
                self._fleet.ends["no_room"] += 1
                return
            place = acquired.ok()
            result = self._attempt(place)
            place.release(result is Result.SERVED)
            delivered += result is not Result.UNREACHED
            has_run |= result is Result.LOST
            if result is Result.SERVED:
                self._fleet.ends["served"] += 1
                return
            if delivered and not self._retries.take("p"):
                self._fleet.ends["lost" if has_run else "not_taken"] += 1
                return

    def _attempt(self, place):
        fleet, state = self._fleet, place.state
        engine = fleet.engines[state.replica.address]
        if not engine.is_up:
            self.registry.note_miss(state)
            return Result.UNREACHED
        if engine.replica != state.replica.replica:
            fleet.misdirected += 1
            self._note_moved(engine, state)
            return Result.MOVED
        return self._run(engine, state)

    def _note_moved(self, engine, state):
        def fetch_models():
            fleet = self._fleet
            fleet.reports += 1
            fleet.timers.sleep(REPORT_S)
            return MODELS[engine.pool] if engine.is_up else None

        self.successors.note_moved(state, engine.replica, fetch_models)

    def _run(self, engine, state):
        timers, replica = self._fleet.timers, engine.replica
        engine.running += 1
        engine.misplaced += engine.pool != "p"
        timers.sleep(SERVICE_S)
        is_served = engine.is_up and engine.replica == replica
        if is_served:
            engine.running -= 1
            state.note_answer(True, timers.now())
        else:
            self.registry.note_miss(state)
        return Result.SERVED if is_served else Result.LOST


class SuccessorFleet:
    """Routers and engines on a manual clock, whose list of replicas doesn't change.

    Parameters
    ----------
    routers, engines : int
        How many there are.
    seed : int, optional
        Seed of all random choices.
    tells : bool, optional
        Whether the routers reach each other.
    bounds : Bounds, optional
        The bounds on repeats.

    Attributes
    ----------
    confirmed_at : float
        When the list was the store's newest state, on the manual clock.
    misdirected, reports : int
        Number of answers 421, and of reports that engines were asked for.
    ends : dict of str to int
        Number of streams by how they ended; `not_taken` and `no_room` have not run.
    """

    def __init__(self, routers, engines, seed=1, *, tells=True, bounds=BOUNDS):
        self.seed, self.bounds = seed, bounds
        self.timers = ManualTimers()
        self.rng = random.Random(seed)
        self.network = Network(self.timers, self.rng)
        self.network.max_delay_s = MAX_DELAY_S
        self.engines = {each.address: each for each in map(Engine, range(engines))}
        self.confirmed_at = self.timers.now()
        self.misdirected = self.reports = 0
        self.ends = dict.fromkeys(("served", "lost", "not_taken", "no_room"), 0)
        self.routers = []
        self._tells = tells
        for _ in range(routers):
            self.add_router()
        for router in self.routers:
            self._link(router)

    def add_router(self):
        """Add a router that has the list of replicas."""
        router = SuccessorRouter(self, len(self.routers))
        for engine in self.engines.values():
            router.registry.put(engine.entry())
        self.routers.append(router)
        return router

    def domain(self, name):
        """Return the engines of a failure domain."""
        return [each for each in self.engines.values() if each.domain == name]

    def run(self, seconds, per_s=0.0):
        """Play streams that arrive at random at the routers."""
        end = self.timers.now() + seconds
        due = self._next_arrival(per_s)
        while self.timers.now() < end:
            while due <= self.timers.now():
                eventlet.spawn_n(self.rng.choice(self.routers).send)
                due += self.rng.expovariate(per_s)
            self.timers.advance(min(STEP_S, end - self.timers.now()))

    def crash(self, engines, down_s, per_s):
        """Crash engines and restart them under new ids, while streams arrive."""
        for engine in engines:
            engine.crash()
        self.run(down_s, per_s)
        for engine in engines:
            engine.restart()

    def _next_arrival(self, per_s):
        if not per_s:
            return float("inf")
        return self.timers.now() + self.rng.expovariate(per_s)

    def _link(self, router):
        if not self._tells:
            return
        self.network.servers[router.address] = router.server
        others = [each.address for each in self.routers if each is not router]
        peers = self.rng.sample(others, min(MAX_PEERS, len(others)))
        router.board.set_peer_source(lambda: peers)
        router.board.start()


def small_bounds(ratio, extra):
    """Return bounds with other limits on repeats."""
    return msgspec.structs.replace(BOUNDS, retry_ratio=ratio, retry_extra=extra)
