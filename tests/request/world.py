"""Routers, store and service in one process, with a fault at any step."""

import random
from collections import Counter

import eventlet
from eventlet.event import Event
from greenlet import GreenletExit
from result import Err, Ok

from boragedeck.connection.service import ServiceResponse
from boragedeck.connection.store import Table
from boragedeck.exceptions import (
    StoreUnavailableError,
    StoreUnknownOutcomeError,
    UpstreamError,
    UpstreamRefusedError,
    UpstreamSilentError,
)
from boragedeck.ids import (
    ExecutionStatus,
    OrganisationName,
    PoolName,
    RouteName,
    RouterId,
)
from boragedeck.process.command_parts import build_call_service
from boragedeck.process.timers import ManualTimers
from boragedeck.request.calls import CallRequest
from boragedeck.request.intents import IntentState, command_key, decode_row
from boragedeck.version.tables import (
    Config,
    Pool,
    PoolKind,
    Route,
    RouteKind,
    RouteLimits,
    Upstream,
)
from standins.memory import Faults, MemoryPlatform

LIMITS = RouteLimits(deadline_s=8.0, queue_s=4.0)
UPSTREAMS = tuple(Upstream(f"s{n}", f"http://10.0.0.{n}:1", "fd") for n in (1, 2, 3))
CONFIG = Config(
    revision=1,
    routes=tuple(
        Route(RouteName(name), PoolName("p"), RouteKind.CALL, repeatable, limits=LIMITS)
        for name, repeatable in (("pay", False), ("look", True))
    ),
    pools=(Pool(PoolName("p"), PoolKind.SERVICE, upstreams=UPSTREAMS),),
)


class Router:
    """A router whose every step passes a gate: it can be killed or paused."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.dead, self.paused, self.partitioned = False, None, False
        parts = build_call_service(
            cfg=self,
            platform=_Store(self),
            chooser=_Chooser(),
            services=_Services(self),
            timers=_Timers(self),
            own=RouterId(name),
            is_alive=world.is_alive,
            rng=random.Random(1),
        )
        self.calls, self.settler, self.breaker = (
            parts.calls,
            parts.settler,
            parts.breaker,
        )

    def current(self):
        return CONFIG

    def step(self, name):
        self.pass_gate()
        action = self.world.reach(self, name)
        self.pass_gate()
        return action

    def pass_gate(self):
        while self.paused is not None and not self.dead:
            self.paused.wait()
        if self.dead:
            raise GreenletExit

    def pause(self):
        self.paused = self.paused or Event()

    def resume(self):
        paused, self.paused = self.paused, None
        if paused is not None:
            paused.send(None)

    def kill(self):
        self.dead = self.world.killed = True
        self.resume()


class _Timers:
    def __init__(self, router):
        self._router, self._timers = router, router.world.timers
        self.now = self.wall = self._timers.now

    def sleep(self, seconds):
        self._timers.sleep(seconds)
        self._router.pass_gate()

    def wait(self, event, timeout_s):
        came = self._timers.wait(event, timeout_s)
        self._router.pass_gate()
        return came

    def call_later(self, delay_s, callback):
        return self._timers.call_later(delay_s, lambda: self._call(callback))

    def subscribe(self, interval_s, callback, *, jitter=0.0):
        def repeat():
            self._call(callback)
            self.call_later(interval_s, repeat)

        return self.call_later(interval_s, repeat)

    def _call(self, callback):
        self._router.pass_gate()
        callback()


class _Store:
    """The platform as one router reaches it."""

    def __init__(self, router):
        self._router, self._platform = router, router.world.platform

    def __getattr__(self, name):
        return lambda *args: self._call(getattr(self._platform, name), *args)

    def commit(self, writes):
        states = {decode_row(write.value).state for write in writes}
        kind = "intent" if IntentState.INTENDED in states else "outcome"
        self._router.step(f"before {kind}")
        result = self._call(self._platform.commit, writes)
        if result.is_ok() and self._router.step(f"{kind} written") == "lose answer":
            return Err(StoreUnknownOutcomeError("answer lost"))
        return result

    def _call(self, method, *args):
        self._router.pass_gate()
        if self._router.partitioned:
            return Err(StoreUnavailableError("partitioned"))
        result = method(*args)
        self._router.pass_gate()
        return result


class _Services:
    def __init__(self, router):
        self._router = router

    def connect(self, upstream, timeout_s):
        self._router.step("before connect")
        if self._router.world.take("refuse"):
            return Err(UpstreamRefusedError("refused", peer=upstream.name))
        self._router.step("connected")
        return Ok(_Connection(self._router))


class _Connection:
    def __init__(self, router):
        self._router, self._world = router, router.world

    def close(self):
        pass

    def exchange(self, req, timeout_s):
        key = dict(req.headers)["Idempotency-Key"]
        self._world.sent.add(key)
        self._router.step("sent")
        if self._world.take("crash before run"):
            return Err(UpstreamError("connection broke"))
        response = self._world.serve(key, self._router.name)
        if self._world.take("crash after run"):
            return Err(UpstreamError("connection broke"))
        if self._world.take("silent"):
            self._router.world.timers.sleep(timeout_s)
            return Err(UpstreamSilentError("silent"))
        if self._world.take("late"):
            self._world.timers.sleep(LIMITS.deadline_s + 5.0)
        self._router.step("ran")
        self._world.answered[key] = self._router
        return Ok(response)


class _Slot:
    def __init__(self, upstream):
        self.upstream = upstream

    def finish(self, outcome):
        pass


class _Chooser:
    def acquire(self, wanted):
        left = [one for one in UPSTREAMS if one.name not in wanted.excluded]
        return Ok(_Slot(left[0]))


class World:
    """Everything outside the routers, and the oracle."""

    def __init__(self, routers=3):
        self.timers = ManualTimers()
        self.platform = MemoryPlatform(sleep=self.timers.sleep)
        self.runs, self.runs_by, self.answered = Counter(), Counter(), {}
        self.sent, self.killed = set(), False
        self.trouble = Counter()
        self.violations = set()
        self.fault_at, self.reached = None, False
        self.routers = [Router(self, f"r{number}") for number in range(routers)]
        self._started = routers

    def reach(self, router, step):
        if self.fault_at is None or self.fault_at[0] != step:
            return None
        (_, fault), self.fault_at = self.fault_at, None
        self.reached = True
        return fault(self, router)

    def take(self, trouble):
        if self.trouble[trouble] <= 0:
            return False
        self.trouble[trouble] -= 1
        return True

    def serve(self, key, router):
        self.runs[key] += 1
        self.runs_by[key, router] += 1
        if self.runs[key] > 1 and not key.startswith("look"):
            self.violations.add("ran twice")
        return ServiceResponse(200, (), f"{key}/{self.runs[key]}".encode())

    def is_alive(self, router):
        return any(one.name == router and not one.dead for one in self.routers)

    def ask(self, number, key, body=b"", route="pay"):
        request = CallRequest(
            OrganisationName("o"), RouteName(route), "POST", "/x", (), body, key
        )
        return eventlet.spawn(self._ask, self.routers[number], request)

    def _ask(self, router, request):
        key = request.idempotency_key
        ran_before = self.runs[key]
        own_before = self.runs_by[key, router.name]
        answer = router.calls.handle(request)
        # A run that another router began meanwhile is another request's.
        ran = ran_before or self.runs_by[key, router.name] > own_before
        self._judge(key, ran, answer)
        return answer

    def _judge(self, key, ran, answer):
        if answer.is_ok() and answer.ok().body != f"{key}/1".encode():
            self.violations.add("wrong answer")
        if answer.is_err() and answer.err().ran is ExecutionStatus.NO and ran:
            self.violations.add("false did-not-run")

    def restart(self, number):
        self.routers[number].kill()
        self.routers[number] = Router(self, f"r{self._started}")
        self._started += 1

    def heal(self):
        self.platform.faults = Faults()
        self.trouble.clear()
        self.fault_at = None
        for router in self.routers:
            router.partitioned = False
            router.resume()
        self.timers.advance(30.0)

    def final(self, number, key):
        """Return the answer to a last request, when all is well again."""
        asked = self.ask(number, key)
        self.timers.advance(20.0)
        answer = asked.wait()
        if answer.is_err() and self._must_be_known(key):
            self.violations.add("lost outcome")
        if answer.is_err() and key not in self.sent and not self.killed:
            self.violations.add("stuck")
        return answer

    def _must_be_known(self, key):
        if key not in self.answered:
            return False
        row_key = command_key("o", "pay", key)
        row = self.rows().get(row_key)
        is_recorded = row is not None and row.state is IntentState.DONE
        return is_recorded or not self.answered[key].dead

    def rows(self):
        read = self.platform.scan(Table.INTENTS).ok()
        return {row.key: decode_row(row.value) for row in read}
