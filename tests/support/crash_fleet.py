"""Routers in memory whose replicas crash under requests with a deadly part."""

import itertools
import random

import eventlet
import msgspec
from prometheus_client import CollectorRegistry
from result import Err

from boragedeck.connection.messages import FactTopic
from boragedeck.exceptions import StoreUnavailableError
from boragedeck.interfaces import Member
from boragedeck.process.relaying.crashes.crash_composition import make_crash_parts
from boragedeck.process.relaying.crashes.crash_identity import RequestTraits
from boragedeck.process.relaying.crashes.judge_client import JUDGE_TASK
from boragedeck.process.relaying.fleet.fleet_size import FleetSize
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.timers import ManualTimers
from boragedeck.request.answer_progress import AnswerProgress
from standins.memory import MemoryPlatform
from tests.process.relaying.placing.test_admission import replica
from tests.support.limited_fleet import (
    GOSSIP_DELAY_S,
    FleetBoard,
    FleetMembers,
    FleetNetwork,
    FleetPeer,
)
from tests.support.replicas import FakeFactBoard

POOL = "engines"
DOMAINS = 4
READ_S = 1.0
"""How long a replica reads a prompt."""
FIRST_EVENT_S = 0.04
"""From the head of an answer to its first event, or to the crash."""
OUTPUT_S = 2.0
RESTART_S = 4.0
MAX_ATTEMPTS = 5
VERDICT_WAIT_S = 0.6
STEP_S = 0.01


class Req(msgspec.Struct, frozen=True):
    """A request: its number, which no other one has, and its shared parts."""

    number: int
    parts: tuple[str, ...] = ()

    def traits(self, *, with_parts=True):
        """Return what the request may have in common with others."""
        parts = self.parts if with_parts else ()
        return RequestTraits(POOL, f"fp-{self.number}", parts)


class Engine:
    """One run of a replica.

    Attributes
    ----------
    streams : set of Stream
        The streams that it reads or writes.
    crashed_by : Req or None
        The request that crashed it.
    """

    def __init__(self, name, domain, version="v1"):
        self.name, self.domain, self.version = name, domain, version
        self.streams = set()
        self.is_up = True
        self.crashed_by = None
        self.crashed_at = None


class Stream:
    """An attempt of a request at an engine."""

    def __init__(self, progress):
        self.progress = progress
        self.is_broken = False


class CrashBoard(FleetBoard):
    """Delivers verdicts on crashes to all reachable routers after a delay."""

    def publish_alone(self, topic, key, body, *, ttl_s=60.0):
        """Publish a fact to this router only."""
        return FakeFactBoard.publish(self, topic, key, body, ttl_s=ttl_s)

    def receive(self, fact):
        """Deliver a fact of another router, and remember it."""
        self._store[fact.topic, fact.key, fact.origin] = fact
        for topic, callback in self._callbacks:
            if topic is fact.topic:
                callback(fact)


class PoolVersions:
    """The part of a replica registry that crash reports use."""

    def __init__(self, current=lambda: {"v1"}):
        self._current = current

    def versions(self, pool):
        """See `ReplicaRegistry.versions`."""
        return self._current()


class RouterStore:
    """The platform's store as one router reaches it, which may have been killed."""

    def __init__(self, store):
        self._store = store
        self.is_killed = False

    def get(self, table, key):
        """See `TableStore.get`."""
        return self._lost() if self.is_killed else self._store.get(table, key)

    def commit(self, writes):
        """See `TableStore.commit`."""
        return self._lost() if self.is_killed else self._store.commit(writes)

    def _lost(self):
        return Err(StoreUnavailableError("the router was killed"))


class CrashRouter:
    """The parts of one router that find out which requests crash replicas."""

    def __init__(self, fleet, number):
        self.name = f"r{number}"
        self.fleet = fleet
        timers = fleet.timers
        self.member = Member(self.name, self.name, f"d{number % DOMAINS}", self.name)
        self.members = FleetMembers(fleet, self.member)
        self.board = CrashBoard(fleet, self.name)
        self.metrics = RelayMetrics(CollectorRegistry())
        self.states = {}
        peer = FleetPeer(fleet.net, self.name)
        size = FleetSize(timers, self.members.routers)
        self.owners = TaskOwners(timers, self.members, Hubs(timers, self.members), size)
        self.platform = RouterStore(fleet.store)
        parts = make_crash_parts(
            timers,
            random.Random(self.name),
            PoolVersions(lambda: fleet.versions),
            self.owners,
            peer,
            peer,
            self.board,
            self.metrics,
            store=self.platform,
        )
        self.verdicts, self.blame = parts.verdicts, parts.blame
        parts.store.start()

    def state(self, engine):
        """Return the state of an engine as this router knows it."""
        if engine.name not in self.states:
            entry = msgspec.structs.replace(
                replica(engine.name, born_ms=1),
                pool=POOL,
                failure_domain=engine.domain,
                version=engine.version,
            )
            self.states[engine.name] = ReplicaState(entry)
        return self.states[engine.name]

    def run(self, req):
        """Send a request until it is served, or given up; record the outcome."""
        fleet, timers = self.fleet, self.fleet.timers
        traits = req.traits(with_parts=fleet.uses_parts)
        is_trial = self.blame.is_blamed(traits)
        if not self.blame.admits(traits):
            fleet.refused.append(req)
            return
        lost_at_begin = 0
        for attempt in range(fleet.max_attempts):
            engine = fleet.choose_engine()
            if engine is None:
                break
            fleet.sent.append((timers.now(), self.name, req))
            progress = AnswerProgress(self.blame, traits)
            may_withdraw = fleet.withdraws and not is_trial
            if self._run_at(engine, req, traits, progress, attempt, may_withdraw):
                return
            lost_at_begin += progress.is_at_begin
            is_suspected = self.blame.is_suspected(traits)
            if progress.is_at_begin and (lost_at_begin > 1 or is_suspected):
                self._await_verdict(traits)
            if self.blame.is_blamed(traits):
                break
        fleet.lost.append(req)

    def _run_at(self, engine, req, traits, progress, attempt, may_withdraw):
        """Return whether an engine served a request."""
        timers, state = self.fleet.timers, self.state(engine)
        stream = Stream(progress)
        engine.streams.add(stream)
        end = timers.now() + self.fleet.read_s
        while timers.now() < end:
            timers.sleep(min(0.05, end - timers.now()))
            if may_withdraw and self.blame.is_blamed(traits):
                engine.streams.discard(stream)
                return False
        if not stream.is_broken:
            if self.fleet.sees_begin:
                progress.note_head()
            timers.sleep(FIRST_EVENT_S)
        if not stream.is_broken and self.fleet.is_deadly(req, engine):
            self.fleet.crash(engine, req)
        if not stream.is_broken and attempt == 0:
            self.fleet.begun_first.append(req)
        end = timers.now() + OUTPUT_S
        while not stream.is_broken and timers.now() < end:
            progress.note_output(timers.now())
            timers.sleep(0.05)
        if not stream.is_broken:
            engine.streams.discard(stream)
            progress.note_complete(timers.now())
            state.note_answer(True, timers.now())
            self.fleet.served.append(req)
            return True
        state.note_miss(timers.now())
        progress.note_broken(state)
        # The stream returns to the engine first, which refuses the connection.
        self.blame.note_lost(state)
        return False

    def _await_verdict(self, traits):
        timers = self.fleet.timers
        until = timers.now() + VERDICT_WAIT_S
        while timers.now() < until and not self.blame.is_blamed(traits):
            timers.sleep(0.02)


class CrashFleet:
    """Routers that share engines, on a manual clock.

    Attributes
    ----------
    deadly : set of str
        The parts that crash each engine that begins an answer on them.
    deadly_requests : set of int
        Numbers of requests that do so whatever their parts are.
    deadly_versions : set of str
        Versions that crash under each request.
    uses_parts, sees_begin, withdraws : bool
        Whether routers count crashes for parts, know whether an answer had begun, and
        withdraw blamed requests that are being read.
    served, refused, lost, begun_first : list of Req
        Requests by outcome; and those whose answer began at the first attempt.
    sent : list of tuple
        Time, router and request of each attempt.
    crashes : list of Engine
        The engines that crashed under a request.
    store : MemoryPlatform
        The platform's store.
    """

    def __init__(self, routers=9, engines=24, seed=1):
        self.timers = ManualTimers()
        self.store = MemoryPlatform(self.timers.sleep)
        self.net = FleetNetwork(self.timers)
        self.rng = random.Random(seed)
        self.read_s = READ_S
        self.max_attempts = MAX_ATTEMPTS
        self.uses_parts = self.sees_begin = self.withdraws = True
        self.versions = {"v1"}
        self.deadly, self.deadly_requests = set(), set()
        self.deadly_versions = set()
        self.served, self.refused, self.lost = [], [], []
        self.begun_first, self.sent, self.crashes = [], [], []
        self._numbers = itertools.count()
        self._names = itertools.count()
        self._router_numbers = itertools.count()
        self.engines = [self._engine(f"d{n % DOMAINS}") for n in range(engines)]
        self.routers = []
        for _ in range(routers):
            self.start_router()

    def start_router(self):
        """Start another router."""
        router = CrashRouter(self, next(self._router_numbers))
        self.routers.append(router)
        return router

    def kill(self, *routers):
        """Kill routers, with all that they know."""
        for router in routers:
            router.platform.is_killed = True
            self.net.cut.add(router.name)
            self.routers.remove(router)

    def restart(self, *routers, after_s=0.5):
        """Kill routers, and start others in their places."""
        self.kill(*routers)
        self.run(after_s)
        for _ in routers:
            self.start_router()

    def judge(self):
        """Return the router that judges crashes, as the first one sees it."""
        return self.router(self.routers[0].owners.owner_of(JUDGE_TASK).router)

    def router(self, name):
        """Return a router by its name."""
        return next(each for each in self.routers if each.name == name)

    def send(self, *parts, router=None, number=None):
        """Start a request at a router, or at one chosen at random."""
        number = next(self._numbers) if number is None else number
        req = Req(number, parts)
        router = router or self.rng.choice(self.routers)
        eventlet.spawn_n(router.run, req)
        return req

    def run(self, seconds, *sources):
        """Play requests that arrive at random.

        Parameters
        ----------
        seconds : float
            How long.
        *sources : tuple
            Requests per second, and a callable that sends one.
        """
        end = self.timers.now() + seconds
        due = [self.timers.now() + self.rng.expovariate(rate) for rate, _ in sources]
        while self.timers.now() < end:
            for index, (rate, send) in enumerate(sources):
                while due[index] <= self.timers.now():
                    send()
                    due[index] += self.rng.expovariate(rate)
            self.timers.advance(min(STEP_S, end - self.timers.now()))

    def is_deadly(self, req, engine):
        """Return whether a request crashes an engine when its answer begins."""
        return (
            bool(self.deadly & set(req.parts))
            or req.number in self.deadly_requests
            or engine.version in self.deadly_versions
        )

    def choose_engine(self):
        """Return a running engine."""
        running = [each for each in self.engines if each.is_up]
        return self.rng.choice(running) if running else None

    def crash(self, engine, req=None):
        """Crash an engine, and start it again later as a new run."""
        engine.is_up = False
        engine.crashed_by, engine.crashed_at = req, self.timers.now()
        if req is not None:
            self.crashes.append(engine)
        for stream in engine.streams:
            stream.is_broken = True
        self.timers.call_later(RESTART_S, lambda: self._restart(engine))

    def crashes_by(self, part):
        """Return the engines that a part has crashed."""
        return [each for each in self.crashes if part in each.crashed_by.parts]

    def knows_blame(self, *parts):
        """Return the names of the routers that refuse requests with some parts."""
        traits = RequestTraits(POOL, "fp-other", parts)
        return {each.name for each in self.routers if each.blame.is_blamed(traits)}

    def _engine(self, domain, version="v1"):
        return Engine(f"engine-{next(self._names)}", domain, version)

    def _restart(self, engine):
        self.engines.remove(engine)
        self.engines.append(self._engine(engine.domain, engine.version))


def is_verdict(fact):
    """Return whether a fact is a verdict on crashes."""
    return fact.topic is FactTopic.CRASH


__all__ = [
    "GOSSIP_DELAY_S",
    "POOL",
    "CrashFleet",
    "PoolVersions",
    "Req",
    "is_verdict",
]
