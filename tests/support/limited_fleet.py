"""Routers in memory that share replicas which name limits."""

import itertools
import random

import eventlet
import msgspec
from prometheus_client import CollectorRegistry
from result import Err, Ok

from boragedeck.connection.messages import FactTopic
from boragedeck.exceptions import PeerRefusedError, PeerUnreachableError
from boragedeck.ids import Health
from boragedeck.interfaces import Member
from boragedeck.process.relaying.fleet.fleet_size import FleetSize
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.limits.brittle_replicas import BrittleReplicas
from boragedeck.process.relaying.limits.limit_grants import LimitGrants
from boragedeck.process.relaying.limits.limited_admission import LimitedAdmission
from boragedeck.process.relaying.limits.replica_limits import ReplicaLimits
from boragedeck.process.relaying.limits.room_grants import RoomGrants
from boragedeck.process.relaying.placing.admission import Admission
from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_notices import ReplicaNotices
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import RateLimit, ReplicaNotice
from tests.process.relaying.placing.test_admission import POOL, replica
from tests.support.replicas import FakeFactBoard

SERVICE_S = 0.045
TOLD_AFTER_S = 0.5
"""How long after an answer that names a limit its router counts as told."""
MAX_WAIT_S = 0.6
WINDOW_S = 4.0
STEP_S = 0.005
LATENCY_S = 0.0015
"""One way between two routers."""
GOSSIP_DELAY_S = 0.3
DOMAINS = 4
SPREAD_TOPICS = FactTopic.REPLICA_LIMIT, FactTopic.BRITTLE_REPLICA


class Received(msgspec.Struct, frozen=True):
    """A request as received by a replica; `is_told` if its router knew the limit."""

    at: float
    router: str
    is_told: bool


class LimitedReplica:
    """A replica that names a limit in its answers, or none."""

    def __init__(self, name, per_s=None):
        self.name = name
        self.per_s = per_s
        self.received = []
        self._told_at = {}

    def receive(self, router, now):
        """Record a request."""
        told_at = self._told_at.get(router, float("inf"))
        is_told = now - told_at >= TOLD_AFTER_S
        self.received.append(Received(now, router, is_told))

    def answer(self, router, now):
        """Return the notice in the answer to a request."""
        if self.per_s is None:
            self._told_at.pop(router, None)
            return ReplicaNotice()
        self._told_at.setdefault(router, now)
        return ReplicaNotice(rate_limit=RateLimit(self.per_s, str(self.per_s)))

    def count(self, since, until=float("inf"), *, told_only=False):
        """Return the number of requests received in a time."""
        return sum(
            since <= each.at < until and (each.is_told or not told_only)
            for each in self.received
        )

    def most_in_window(self, since, until=float("inf"), *, told_only=False):
        """Return the most requests received in any `WINDOW_S`."""
        starts = [each.at for each in self.received if since <= each.at < until]
        return max(
            (
                self.count(at, min(until, at + WINDOW_S), told_only=told_only)
                for at in starts
            ),
            default=0,
        )


class FleetNetwork:
    """Links between the routers of a fleet.

    Attributes
    ----------
    cut : set
        Addresses that the others can't reach, and that can't reach them.
    frozen : set
        Addresses that don't answer.
    split : set
        Addresses that reach only each other.
    calls : int
        Number of calls that arrived.
    unknown : set
        Address and kind of the messages that a router's build doesn't know.
    """

    def __init__(self, timers):
        self.timers = timers
        self.handlers = {}
        self.unknown = set()
        self.cut = set()
        self.frozen = set()
        self.split = set()
        self.calls = 0

    def can_reach(self, source, target):
        """Return whether a call from one address to another is answered."""
        is_lost = bool({source, target} & (self.cut | self.frozen))
        is_split = (source in self.split) != (target in self.split)
        return source == target or not (is_lost or is_split)


class FleetPeer:
    """Links and server of one router."""

    def __init__(self, net, address):
        self._net, self._address = net, address

    def register(self, kind, handler):
        """See `PeerServer.register`."""
        self._net.handlers[self._address, kind] = handler

    def link(self, address):
        """See `PeerLinks.link`."""
        return FleetLink(self._net, self._address, address)


class FleetLink:
    """A link between two routers."""

    def __init__(self, net, source, target):
        self._net, self._source, self._target = net, source, target

    def call(self, message, answer_type, *, timeout_s):
        """See `PeerLink.call`."""
        net = self._net
        net.timers.sleep(LATENCY_S)
        handler = net.handlers.get((self._target, type(message)))
        if handler is None or not net.can_reach(self._source, self._target):
            net.timers.sleep(timeout_s)
            return Err(PeerUnreachableError("no answer in time"))
        net.calls += 1
        if (self._target, type(message)) in net.unknown:
            return Err(PeerRefusedError("bad_message"))
        answer = handler(message)
        net.timers.sleep(LATENCY_S)
        return Ok(answer)


class FleetMembers:
    """The membership as one router sees it.

    Attributes
    ----------
    health : dict
        The health of other routers, by id, where it isn't `Health.HEALTHY`.
    unknown : set
        The ids of running routers that this one doesn't know yet.
    """

    def __init__(self, fleet, own):
        self.own = own
        self._fleet = fleet
        self.health = {}
        self.unknown = set()

    def members(self):
        """See `Membership.members`."""
        return [
            msgspec.structs.replace(
                each.member, health=self.health.get(each.name, Health.HEALTHY)
            )
            for each in self._fleet.routers
            if each.name != self.own.router and each.name not in self.unknown
        ]

    def routers(self):
        """See `Membership.routers`."""
        return 1 + len(self.members())

    def suspect(self, router):
        """See `Membership.suspect`."""
        self.health[router] = Health.SUSPECT


class FleetBoard(FakeFactBoard):
    """Delivers facts to all reachable routers after `GOSSIP_DELAY_S`."""

    def __init__(self, fleet, own):
        super().__init__(own)
        self._fleet = fleet

    def publish(self, topic, key, body, *, ttl_s=60.0):
        """Publish a fact."""
        fact = super().publish(topic, key, body, ttl_s=ttl_s)
        self._fleet.timers.call_later(GOSSIP_DELAY_S, lambda: self._spread(fact))
        return fact

    def age_s(self, fact):
        """See `FactBoard.age_s`."""
        return 0.0 if fact.origin == self.own else GOSSIP_DELAY_S

    def _spread(self, fact):
        for other in self._fleet.routers:
            if other.name != self.own and self._fleet.net.can_reach(
                self.own, other.name
            ):
                other.board.receive(fact)

    def receive(self, fact):
        """Deliver a fact of another router."""
        for topic, callback in self._callbacks:
            if topic is fact.topic and topic in SPREAD_TOPICS:
                callback(fact)


class LimitedRouter:
    """The parts of one router that place requests and learn of limits."""

    def __init__(self, fleet, number):
        self.name = f"r{number}"
        self._fleet = fleet
        timers = self.timers = fleet.timers
        domain = f"d{number % DOMAINS}"
        self.member = Member(self.name, self.name, domain, self.name)
        self.members = FleetMembers(fleet, self.member)
        self.registry = ReplicaRegistry(timers)
        self.board = FleetBoard(fleet, self.name)
        self.metrics = RelayMetrics(CollectorRegistry())
        peer = FleetPeer(fleet.net, self.name)
        hubs = Hubs(timers, self.members)
        fleet_size = FleetSize(timers, self.members.routers)
        self.owners = TaskOwners(timers, self.members, hubs, fleet_size)
        grants = LimitGrants(timers, self.owners, peer, peer)
        self.limits = ReplicaLimits(
            timers, self.registry, grants, self.board, self.metrics
        )
        admission = Admission(timers, self.registry, random.Random(self.name))
        rooms = RoomGrants(timers, self.owners, peer, peer)
        self.brittle = BrittleReplicas(
            timers, self.registry, rooms, self.board, self.metrics
        )
        self.admission = LimitedAdmission(
            timers,
            admission,
            self.limits,
            self.brittle,
            random.Random(f"{self.name} limits"),
        )
        self.notices = ReplicaNotices(
            self.registry, self.board, self, self.limits, self.brittle, self.metrics
        )
        for each in fleet.replicas.values():
            self.registry.put(replica(each.name, slots=6, born_ms=1))

    def forget(self, address):
        """See `UpstreamPool.forget`."""

    def acquire(self, req):
        """Return a place for a request, or its refusal."""
        return self.admission.acquire(req)

    def state(self, name):
        """Return the state of a replica as this router knows it."""
        return self.registry.get(name)

    def send(self, max_wait_s=MAX_WAIT_S):
        """Place one request that waits so long at most, and handle its answer."""
        timers, arrived = self._fleet.timers, self._fleet.timers.now()
        acquired = self.acquire(
            AdmissionRequest(
                pool=POOL,
                priority=1,
                prompt_tokens=0,
                tokens=0,
                until=arrived + max_wait_s,
            )
        )
        if acquired.is_err():
            waited_s = timers.now() - arrived
            self._fleet.refused.append((waited_s, acquired.err().retry_after_s))
            return
        place = acquired.ok()
        chosen = self._fleet.replicas[place.state.replica.replica]
        chosen.receive(self.name, timers.now())
        timers.sleep(SERVICE_S)
        notice = chosen.answer(self.name, timers.now())
        self.notices.handle(place.state, notice)
        place.state.note_answer(True, timers.now())
        place.release(True)


class LimitedFleet:
    """Routers that share replicas, on a manual clock.

    Attributes
    ----------
    refused : list of tuple of float
        For each refused request, how long it waited and its Retry-After, in seconds.
    """

    def __init__(self, routers, replicas, seed=1):
        self.timers = ManualTimers()
        self.net = FleetNetwork(self.timers)
        self.rng = random.Random(seed)
        self.replicas = {each.name: each for each in replicas}
        self.refused = []
        self.routers = []
        for _ in range(routers):
            self.start_router()

    def start_router(self):
        """Start another router."""
        router = LimitedRouter(self, len(self.routers))
        self.routers.append(router)
        return router

    def run(self, seconds, per_s, routers=None):
        """Play calls that arrive at random at the routers."""
        arrivals = self._arrivals(seconds, per_s)
        end = self.timers.now() + seconds
        due = next(arrivals)
        while self.timers.now() < end:
            while due <= self.timers.now():
                router = self.rng.choice(routers or self.routers)
                eventlet.spawn_n(router.send)
                due = next(arrivals)
            self.timers.advance(min(STEP_S, end - self.timers.now()))

    def _arrivals(self, seconds, per_s):
        at = self.timers.now()
        for _ in itertools.count():
            at += self.rng.expovariate(per_s)
            yield at
