"""A simulation of routers, store and service in one process, with fault injection."""

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
from boragedeck.process.answering.command_parts import build_call_service
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
    """A router that can be killed or paused at every step."""

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
        self.wait_if_paused()
        action = self.world.inject_fault(self, name)
        self.wait_if_paused()
        return action

    def wait_if_paused(self):
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
        self.dead = self.world.was_router_killed = True
        self.resume()


class _Timers:
    def __init__(self, router):
        self._router, self._timers = router, router.world.timers
        self.now = self.wall = self._timers.now

    def sleep(self, seconds):
        self._timers.sleep(seconds)
        self._router.wait_if_paused()

    def wait(self, event, timeout_s):
        was_notified = self._timers.wait(event, timeout_s)
        self._router.wait_if_paused()
        return was_notified

    def call_later(self, delay_s, callback):
        return self._timers.call_later(delay_s, lambda: self._call(callback))

    def subscribe(self, interval_s, callback, *, jitter=0.0):
        def repeat():
            self._call(callback)
            self.call_later(interval_s, repeat)

        return self.call_later(interval_s, repeat)

    def _call(self, callback):
        self._router.wait_if_paused()
        callback()


class _Store:
    """The platform, as seen by one router."""

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
            return Err(StoreUnknownOutcomeError("response lost"))
        return result

    def _call(self, method, *args):
        self._router.wait_if_paused()
        if self._router.partitioned:
            return Err(StoreUnavailableError("partitioned"))
        result = method(*args)
        self._router.wait_if_paused()
        return result


class _Services:
    def __init__(self, router):
        self._router = router

    def connect(self, upstream, timeout_s):
        self._router.step("before connect")
        if self._router.world.take_service_fault("refuse"):
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
        if self._world.take_service_fault("crash before run"):
            return Err(UpstreamError("connection broke"))
        response = self._world.serve(key, self._router.name)
        if self._world.take_service_fault("crash after run"):
            return Err(UpstreamError("connection broke"))
        if self._world.take_service_fault("silent"):
            self._router.world.timers.sleep(timeout_s)
            return Err(UpstreamSilentError("silent"))
        if self._world.take_service_fault("late"):
            self._world.timers.sleep(LIMITS.deadline_s + 5.0)
        self._router.step("ran")
        self._world.answered_by[key] = self._router
        return Ok(response)


class _Slot:
    def __init__(self, upstream):
        self.upstream = upstream

    def finish(self, outcome):
        pass


class _Chooser:
    def acquire(self, slot_request):
        candidates = [one for one in UPSTREAMS if one.name not in slot_request.excluded]
        return Ok(_Slot(candidates[0]))


class World:
    """The simulated environment of the routers, and the oracle.

    The oracle counts how often each command ran and collects in `violations` the
    guarantees that were broken. A fault in `fault_at`, a pair of step and function,
    is injected when a router reaches the step. `service_faults` counts the faults
    that the service still has to show.
    """

    def __init__(self, routers=3):
        self.timers = ManualTimers()
        self.platform = MemoryPlatform(sleep=self.timers.sleep)
        self.runs, self.runs_by_router, self.answered_by = Counter(), Counter(), {}
        self.sent, self.was_router_killed = set(), False
        self.service_faults = Counter()
        self.violations = set()
        self.fault_at, self.was_fault_injected = None, False
        self.routers = [Router(self, f"r{number}") for number in range(routers)]
        self._started_routers = routers

    def inject_fault(self, router, step):
        if self.fault_at is None or self.fault_at[0] != step:
            return None
        (_, fault), self.fault_at = self.fault_at, None
        self.was_fault_injected = True
        return fault(self, router)

    def take_service_fault(self, fault):
        if self.service_faults[fault] <= 0:
            return False
        self.service_faults[fault] -= 1
        return True

    def serve(self, key, router):
        self.runs[key] += 1
        self.runs_by_router[key, router] += 1
        if self.runs[key] > 1 and not key.startswith("look"):
            self.violations.add("ran twice")
        return ServiceResponse(200, (), f"{key}/{self.runs[key]}".encode())

    def is_alive(self, router):
        return any(one.name == router and not one.dead for one in self.routers)

    def send_request(self, number, key, body=b"", route="pay"):
        request = CallRequest(
            OrganisationName("o"), RouteName(route), "POST", "/x", (), body, key
        )
        return eventlet.spawn(self._handle_request, self.routers[number], request)

    def _handle_request(self, router, request):
        key = request.idempotency_key
        runs_before = self.runs[key]
        router_runs_before = self.runs_by_router[key, router.name]
        answer = router.calls.handle(request)
        # A run that another router began meanwhile belongs to another request.
        ran = runs_before or self.runs_by_router[key, router.name] > router_runs_before
        self._check_answer(key, ran, answer)
        return answer

    def _check_answer(self, key, ran, answer):
        if answer.is_ok() and answer.ok().body != f"{key}/1".encode():
            self.violations.add("wrong answer")
        if answer.is_err() and answer.err().ran is ExecutionStatus.NO and ran:
            self.violations.add("false did-not-run")

    def restart(self, number):
        self.routers[number].kill()
        self.routers[number] = Router(self, f"r{self._started_routers}")
        self._started_routers += 1

    def heal(self):
        self.platform.faults = Faults()
        self.service_faults.clear()
        self.fault_at = None
        for router in self.routers:
            router.partitioned = False
            router.resume()
        self.timers.advance(30.0)

    def final_answer(self, number, key):
        """Return the answer to a last request, after all faults have been removed."""
        pending_answer = self.send_request(number, key)
        self.timers.advance(20.0)
        answer = pending_answer.wait()
        if answer.is_err() and self._must_have_outcome(key):
            self.violations.add("lost outcome")
        if answer.is_err() and key not in self.sent and not self.was_router_killed:
            self.violations.add("stuck")
        return answer

    def _must_have_outcome(self, key):
        if key not in self.answered_by:
            return False
        row_key = command_key("o", "pay", key)
        row = self.rows().get(row_key)
        is_recorded = row is not None and row.state is IntentState.DONE
        return is_recorded or not self.answered_by[key].dead

    def rows(self):
        read = self.platform.scan(Table.INTENTS).ok()
        return {row.key: decode_row(row.value) for row in read}
