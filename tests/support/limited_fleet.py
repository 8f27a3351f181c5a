"""Routers in memory that share replicas which name limits."""

import itertools
import random

import eventlet
import msgspec
from prometheus_client import CollectorRegistry

from boragedeck.process.relaying.admission import Admission, AdmissionRequest
from boragedeck.process.relaying.registry import ReplicaRegistry
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replica_limits import ReplicaLimits
from boragedeck.process.relaying.replica_notices import ReplicaNotices
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import RateLimit, ReplicaNotice
from tests.process.relaying.test_admission import POOL, replica
from tests.support.replicas import FakeFactBoard

SERVICE_S = 0.045
TOLD_AFTER_S = 0.5
"""How long after an answer that names a limit its router counts as told."""
MAX_WAIT_S = 0.6
WINDOW_S = 4.0
STEP_S = 0.005


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


class LimitedRouter:
    """The parts of one router that place requests and learn of limits."""

    def __init__(self, fleet, name):
        self.name = name
        self._fleet = fleet
        timers = fleet.timers
        self.registry = ReplicaRegistry(timers)
        metrics = RelayMetrics(CollectorRegistry())
        self.limits = ReplicaLimits(timers, metrics)
        self.admission = Admission(timers, self.registry, random.Random(name))
        self.notices = ReplicaNotices(
            self.registry, FakeFactBoard(name), self, self.limits, metrics
        )
        for each in fleet.replicas.values():
            self.registry.put(replica(each.name, slots=6, born_ms=1))

    def forget(self, address):
        """See `UpstreamPool.forget`."""

    def acquire(self, req):
        """Return a place for a request, or its refusal."""
        return self.admission.acquire(req)

    def send(self):
        """Place one request, and handle its answer."""
        timers, arrived = self._fleet.timers, self._fleet.timers.now()
        acquired = self.acquire(
            AdmissionRequest(
                pool=POOL,
                priority=1,
                prompt_tokens=0,
                tokens=0,
                until=arrived + MAX_WAIT_S,
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
        self.rng = random.Random(seed)
        self.replicas = {each.name: each for each in replicas}
        self.refused = []
        self.routers = [LimitedRouter(self, f"r{i}") for i in range(routers)]

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
