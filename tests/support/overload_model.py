"""Model of streams that compete for the memory of engines, on a fake timer.

Callers arrive at routers that share the engines and learn each other's loads late. An
engine reads one prompt after the other, and its streams slow each other down.
"""

import random
import zlib

import eventlet
import msgspec
from eventlet.event import Event

from boragedeck.connection.peer import Address
from boragedeck.process.relaying.placing.admission import Admission, LoadSource
from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import Replica, ReplicaStage
from boragedeck.version.routing import EngineProfile, RelayPool

STEP_S = 0.02
LOAD_AGE_S = 0.1
WAIT_SHARE = 0.4
MAX_TRIES = 3
READ_TOKENS_PER_S = 8_000.0
EVENT_S = 0.028
SLOWER_PER_STREAM = 0.12


class Route(msgspec.Struct, frozen=True):
    """A route of the model; `value` is that of a stream whose objective is met."""

    name: str
    priority: int
    per_s: float
    goal_s: float
    value: float
    late_share: float
    prompt_tokens: int = 8_000
    output_tokens: int = 700
    timeout_s: float = 25.0
    large_share: float = 0.0


class Burst(msgspec.Struct, frozen=True):
    """A period in which a route has a multiple of its requests."""

    route: str
    begin_s: float
    end_s: float
    factor: float


class Outage(msgspec.Struct, frozen=True):
    """A period in which a number of engines is down."""

    begin_s: float
    end_s: float
    engines: int


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """What the model plays, in a fleet of `routers` before `engines`."""

    routes: tuple[Route, ...]
    bursts: tuple[Burst, ...] = ()
    outages: tuple[Outage, ...] = ()
    engines: int = 5
    routers: int = 4
    length_s: float = 40.0
    organisations: tuple[float, ...] = (1.0,)


ROUTES = (
    Route("urgent", 0, 0.88, 4.0, 37.0, 0.44),
    Route("middle", 1, 1.76, 5.0, 19.0, 0.58),
    Route("least", 2, 0.44, 10.0, 9.7, 0.43),
)
"""Routes of three priorities, in the proportions of a deployment."""
URGENT_AFTER_LEAST = Scenario(
    routes=ROUTES,
    bursts=(Burst("least", 5.0, 15.0, 14.0), Burst("urgent", 15.0, 25.0, 4.0)),
)
"""A burst of the least urgent route that is followed by one of the most urgent."""
BURST_BESIDE_LOSS = Scenario(
    routes=ROUTES,
    bursts=(Burst("least", 8.0, 17.0, 8.0), Burst("urgent", 8.0, 17.0, 2.0)),
    outages=(Outage(8.0, 17.0, 3),),
)
"""Bursts while over half of the engines are down."""
LARGE_AMONG_USUAL = Scenario(
    routes=tuple(msgspec.structs.replace(each, large_share=0.1) for each in ROUTES),
    bursts=(Burst("least", 5.0, 15.0, 6.0), Burst("urgent", 15.0, 25.0, 2.5)),
    outages=(Outage(12.0, 20.0, 2),),
    organisations=(0.5, 0.1, 0.1, 0.1, 0.1, 0.1),
)
"""A tenth of the prompts takes half of an engine, and half of all are of one
organisation."""


class Served(msgspec.Struct):
    """What callers of one kind have got."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    value: float = 0.0
    best: float = 0.0

    @property
    def served(self):
        """Number of streams that were complete."""
        return self.on_time + self.late

    @property
    def served_share(self):
        """Share of the streams that were complete."""
        return self.served / max(1, self.asked)

    @property
    def worth(self):
        """The value as a share of the best."""
        return self.value / max(1e-9, self.best)


class _Prompt(msgspec.Struct, eq=False):
    """A prompt that waits to be read; `turn` is sent whether it is."""

    priority: int
    turn: Event = msgspec.field(default_factory=Event)


class _Engine:
    """One engine: reads prompts in turn, by priority, and runs streams beside."""

    def __init__(self, timers):
        self._timers = timers
        self.is_up = True
        self.running = 0
        self.run = 0
        self._is_reading = False
        self._waiting = []

    def read(self, priority, tokens):
        """Read a prompt; return False if the engine is or goes down meanwhile."""
        if not self.is_up:
            return False
        run = self.run
        if self._is_reading:
            prompt = _Prompt(priority)
            self._waiting.append(prompt)
            if not prompt.turn.wait() or self.run != run:
                return False
        self._is_reading = True
        self._timers.sleep(tokens / READ_TOKENS_PER_S)
        if self.run != run:
            return False
        self._read_next()
        return True

    def fail(self):
        """End all that the engine does."""
        self.is_up = self._is_reading = False
        self.run += 1
        while self._waiting:
            self._waiting.pop().turn.send(False)

    def _read_next(self):
        self._is_reading = bool(self._waiting)
        if self._waiting:
            first = min(self._waiting, key=lambda prompt: prompt.priority)
            self._waiting.remove(first)
            first.turn.send(True)


class _Peers(LoadSource):
    def __init__(self, routers):
        self._routers = routers

    def routers(self):
        return self._routers


class _Router:
    def __init__(self, model, number):
        self.registry = ReplicaRegistry(model.timers)
        for name in model.engines:
            self.registry.put(model.replica(name))
        self.admission = Admission(
            model.timers,
            self.registry,
            random.Random(number),
            _Peers(model.scenario.routers),
        )


class OverloadModel:
    """Plays a scenario.

    `has_priorities` says whether the pool counts as one with priorities, as it didn't
    before, and `engines_are_told` whether engines then get them.
    """

    def __init__(self, scenario, seed, *, has_priorities, engines_are_told=True):
        self.scenario = scenario
        self.timers = ManualTimers()
        self.pool = RelayPool("engines", 100, EngineProfile(24, 88_000))
        self.engines = {f"e{i}": _Engine(self.timers) for i in range(scenario.engines)}
        self.routers = [_Router(self, number) for number in range(scenario.routers)]
        self.by_route = {route.name: Served() for route in scenario.routes}
        self.by_organisation = {}
        self.by_size = {}
        self._has_priorities = has_priorities
        self._engines_are_told = has_priorities and engines_are_told
        self._rng = random.Random(seed)

    def replica(self, name):
        """Return the entry of an engine."""
        return Replica(
            replica=name,
            pool="engines",
            address=Address("127.0.0.1", zlib.crc32(name.encode()) % 60_000 + 1),
            failure_domain=str(int(name[1:]) % 4),
            version="v1",
            slots=24,
            stage=ReplicaStage.READY,
        )

    def play(self):
        """Play the scenario, and return what the callers of each route have got."""
        begin = self.timers.now()
        self.timers.subscribe(LOAD_AGE_S, self._exchange)
        steps = int((self.scenario.length_s + 30.0) / STEP_S)
        due = {route.name: 0.0 for route in self.scenario.routes}
        for step in range(steps):
            now_s = step * STEP_S
            self._apply_outages(now_s)
            if now_s < self.scenario.length_s:
                self._arrive(now_s, due)
            self.timers.advance(begin + now_s + STEP_S - self.timers.now())
        return self.by_route

    def _arrive(self, now_s, due):
        for route in self.scenario.routes:
            due[route.name] += STEP_S * route.per_s * self._factor(route, now_s)
            while due[route.name] >= 1.0:
                due[route.name] -= self._rng.expovariate(1.0)
                eventlet.spawn_n(self._call, route)

    def _factor(self, route, now_s):
        factor = 1.0
        for burst in self.scenario.bursts:
            if burst.route == route.name and burst.begin_s <= now_s < burst.end_s:
                factor *= burst.factor
        return factor

    def _apply_outages(self, now_s):
        for outage in self.scenario.outages:
            names = list(self.engines)[: outage.engines]
            if abs(now_s - outage.begin_s) < STEP_S / 2:
                for name in names:
                    self.engines[name].fail()
                    for router in self.routers:
                        router.registry.remove(name, "down")
            if abs(now_s - outage.end_s) < STEP_S / 2:
                for name in names:
                    self.engines[name].is_up = True
                    for router in self.routers:
                        router.registry.put(self.replica(name))

    def _exchange(self):
        """Tell each router the loads of the others."""
        for name in self.engines:
            states = [router.registry.get(name) for router in self.routers]
            total = Load()
            for state in states:
                if state is not None:
                    total.add(state.own)
            for state in states:
                if state is not None:
                    state.peers = total.copy()
                    state.peers.add(state.own, -1)

    def _call(self, route):
        """Ask for one stream, and again after a refusal, as callers do."""
        timers, router = self.timers, self._rng.choice(self.routers)
        weights = self.scenario.organisations
        organisation = self._rng.choices(range(len(weights)), weights)[0]
        is_large = self._rng.random() < route.large_share
        prompt = route.prompt_tokens * (5 if is_large else 1)
        size = "large" if is_large else "usual"
        kinds = [
            self.by_route[route.name],
            self.by_organisation.setdefault(organisation, Served()),
            self.by_size.setdefault(size, Served()),
        ]
        arrived = timers.now()
        outcome = self._ask(route, router, organisation, prompt, arrived)
        value = {"on_time": route.value, "late": route.value * route.late_share}
        for kind in kinds:
            kind.asked += 1
            kind.best += route.value
            kind.value += value.get(outcome, 0.0)
            setattr(kind, outcome, getattr(kind, outcome) + 1)

    def _ask(self, route, router, organisation, prompt, arrived):
        timers = self.timers
        deadline = arrived + route.timeout_s
        first_at, events, has_begun = None, route.output_tokens // 5, False
        for _ in range(MAX_TRIES):
            left_s = deadline - timers.now()
            acquired = router.admission.acquire(
                AdmissionRequest(
                    pool=self.pool,
                    priority=route.priority,
                    prompt_tokens=prompt,
                    tokens=prompt + route.output_tokens,
                    until=deadline if has_begun else timers.now() + WAIT_SHARE * left_s,
                    deadline=deadline,
                    has_begun=has_begun,
                    has_priorities=self._has_priorities,
                    organisation=str(organisation),
                    goal_at=arrived + route.goal_s,
                    needed_s=prompt / READ_TOKENS_PER_S,
                )
            )
            if acquired.is_err():
                if has_begun:
                    return "lost"
                retry_s = min(acquired.err().retry_after_s, left_s / 3.0)
                timers.sleep(retry_s)
                continue
            place = acquired.ok()
            engine = self.engines[place.state.replica.replica]
            run = engine.run
            is_read = engine.read(
                route.priority if self._engines_are_told else 5, prompt
            )
            if is_read:
                place.note_first_output()
                first_at = first_at or timers.now()
                has_begun = True
                engine.running += 1
                while events > 0 and engine.run == run and timers.now() < deadline:
                    slower = 1.0 + SLOWER_PER_STREAM * (engine.running - 1)
                    timers.sleep(10 * EVENT_S * slower)
                    events -= 10
                engine.running -= 1
            place.release(events <= 0)
            if events <= 0:
                return "on_time" if first_at <= arrived + route.goal_s else "late"
            if timers.now() >= deadline:
                return "lost"
        return "lost" if has_begun else "refused"
