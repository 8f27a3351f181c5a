"""Model of engines of unequal speed, and of routers that place streams at them.

Time passes in steps. An engine reads the prompts in turn, in parts between the tokens
of its other streams, which get slower meanwhile. Loads reach routers late. Streams are
placed by `choose_replica`, measured by `StreamSampler`, and the samples are pooled by
`ReplicaSpeeds`, as a hub does it.
"""

import random
from collections import deque
from functools import partial

import msgspec

from boragedeck.process.relaying.placing.placement import (
    PlacementRequest,
    choose_replica,
    work_ahead,
)
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import Load, ReplicaState
from boragedeck.process.relaying.speeds.replica_speeds import ReplicaSpeeds
from boragedeck.process.relaying.speeds.speed_messages import SpeedSample
from boragedeck.process.relaying.speeds.stream_sampler import StreamSampler
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import Replica, ReplicaStage
from boragedeck.version.routing import EngineProfile

__all__ = ["LATE_S", "Setup", "SpeedFleet", "replica"]

STEP_S = 0.02
LOAD_DELAY_S = 0.1
"""How old the loads are by which routers choose."""
LATE_S = 4.0
"""When a first event is late."""
PROMPT_TOKENS = 8_000
OUTPUT_TOKENS = 700
EVENTS = 140
READ_S = 1.0
"""Time that an engine of speed 1.0 takes for a prompt, if it does nothing else."""
WRITE_S = 3.9
"""Time that it takes for the events."""
WRITE_SHARE = 0.4
"""Speed of a stream's events while the engine reads a prompt."""
READ_LOSS = 0.02
"""By how much each other stream slows the reading of a prompt."""
WRITE_LOSS = 0.03
"""By how much each other stream slows the events."""
OUTPUT_TOKEN_COST = WRITE_S / OUTPUT_TOKENS / (READ_S / PROMPT_TOKENS)
PROFILE = EngineProfile(slots=24, memory_tokens=88_000)


class Setup(msgspec.Struct, frozen=True, kw_only=True):
    """What is simulated.

    Parameters
    ----------
    engines, routers : int
        Number of engines and of routers.
    streams_per_s : float
        Streams of all routers together.
    slow_share : float
        Share of the engines that run at `slow_speed`; the others run at `speed`.
    speed, slow_speed : float
        Speed of the engines.
    learns : bool
        Whether the speeds are learnt.
    burst : tuple of float
        Begin and end of a time in which there are `burst_factor` as many streams.
    pauses_per_s : float
        How many engines a second stop for `PAUSE_S`.
    seed : int
        Seed of the random choices.
    """

    engines: int = 140
    routers: int = 66
    streams_per_s: float = 32.0
    slow_share: float = 0.25
    speed: float = 1.0
    slow_speed: float = 0.55 / 1.2
    learns: bool = True
    burst: tuple[float, float] = (0.0, 0.0)
    burst_factor: float = 1.0
    pauses_per_s: float = 0.0
    seed: int = 1


PAUSE_S = 0.6


class Stream:
    """A stream at an engine."""

    def __init__(self, router: str, state: ReplicaState, arrived: float):
        self.router = router
        self.state = state
        self.arrived = arrived
        self.prompt_left_s = READ_S
        self.events = 0.0
        self.first_at: float | None = None
        self.sampler = StreamSampler(PROMPT_TOKENS, work_ahead(state), arrived)


class Engine:
    """An engine of a certain speed."""

    def __init__(self, speed: float):
        self.speed = speed
        self.paused_until = 0.0
        self.reading: deque[Stream] = deque()
        self.writing: list[Stream] = []

    def step(self, now: float) -> list[tuple[Stream, int]]:
        """Work for a step; return the streams with new events, and how many."""
        if now < self.paused_until:
            return []
        produced, streams = [], len(self.writing) + len(self.reading)
        rate = EVENTS / WRITE_S * self.speed / (1.0 + WRITE_LOSS * (streams - 1))
        if self.reading:
            rate *= WRITE_SHARE
        for stream in self.writing:
            before = int(stream.events)
            stream.events = min(EVENTS, stream.events + rate * STEP_S)
            if int(stream.events) > before:
                produced.append((stream, int(stream.events) - before))
        if self.reading:
            first = self.reading[0]
            loss = 1.0 + READ_LOSS * len(self.writing)
            first.prompt_left_s -= STEP_S * self.speed / loss
            if first.prompt_left_s <= 0.0:
                first.events = 1.0
                self.writing.append(self.reading.popleft())
                produced.append((first, 1))
        self.writing = [each for each in self.writing if each.events < EVENTS]
        return produced


class SpeedFleet:
    """Routers and engines.

    Attributes
    ----------
    speeds : ReplicaSpeeds
        What a hub knows.
    took_s, first_s : list of tuple of float
        When each stream arrived, and its time to its end and to its first event.
    placed : list of str
        The engine of each stream.
    """

    def __init__(self, setup: Setup):
        self.setup = setup
        self.rng = random.Random(setup.seed)
        self.placing_rng = random.Random(setup.seed + 1)
        self.timers = ManualTimers()
        self.registry = ReplicaRegistry(self.timers)
        self.speeds = ReplicaSpeeds("hub", self.timers, self.registry)
        self.engines: dict[str, Engine] = {}
        slow = round(setup.engines * setup.slow_share)
        for number in range(setup.engines):
            entry = replica(replica=f"e{number}", address=f"e{number}")
            self.registry.put(entry)
            is_slow = number < slow
            speed = setup.slow_speed if is_slow else setup.speed
            self.engines[entry.replica] = Engine(speed)
        self.took_s: list[tuple[float, float]] = []
        self.first_s: list[tuple[float, float]] = []
        self.placed: list[str] = []
        self._due: deque[tuple[float, ReplicaState, Load, int]] = deque()
        self._numbers: dict[str, int] = {}
        self._started_at = self.timers.now()
        self._sent: list[SpeedSample] = []

    @property
    def now(self) -> float:
        """The time since the start, in seconds."""
        return self.timers.now() - self._started_at

    def run(self, seconds: float) -> None:
        """Simulate some time."""
        for step in range(round(seconds / STEP_S)):
            self.timers.advance(STEP_S)
            self._deliver_loads()
            self._place()
            self._pause_some()
            for engine in self.engines.values():
                if engine.reading or engine.writing:
                    for stream, events in engine.step(self.now):
                        self._note_events(stream, events)
            if step % round(1.0 / STEP_S) == 0:
                self._pool()

    def slow(self) -> set[str]:
        """Return the engines that count as slow."""
        states = self.registry.all()
        return {state.replica.replica for state in states if state.speed < 1.0}

    def other_than_normal(self) -> set[str]:
        """Return the engines whose speed isn't 1.0."""
        states = self.registry.all()
        return {state.replica.replica for state in states if state.speed != 1.0}

    def really_slow(self) -> set[str]:
        """Return the engines that are slow."""
        return {name for name, engine in self.engines.items() if engine.speed < 0.8}

    def flood(self, name: str, streams: int) -> None:
        """Place streams at one engine, whatever its load."""
        for _ in range(streams):
            router = f"r{self.rng.randrange(self.setup.routers)}"
            self._start(router, self.registry.get(name))

    def report(self, sample: SpeedSample) -> None:
        """Have a router send a sample."""
        self._sent.append(sample)

    def _place(self) -> None:
        begin, end = self.setup.burst
        rate = self.setup.streams_per_s
        if begin <= self.now < end:
            rate *= self.setup.burst_factor
        expected = rate * STEP_S
        count = int(expected) + (self.rng.random() < expected % 1.0)
        for _ in range(count):
            router = f"r{self.rng.randrange(self.setup.routers)}"
            req = PlacementRequest(
                tokens=PROMPT_TOKENS + OUTPUT_TOKENS,
                work_tokens=PROMPT_TOKENS + OUTPUT_TOKENS * OUTPUT_TOKEN_COST,
                now=self.timers.now(),
                engine=PROFILE,
                routers=self.setup.routers,
            )
            states = self.registry.of_pool("p")
            state = choose_replica(states, req, self.placing_rng)
            if state is not None:
                self._start(router, state)

    def _start(self, router: str, state: ReplicaState) -> None:
        name = state.replica.replica
        self.placed.append(name)
        load = Load(1, PROMPT_TOKENS, PROMPT_TOKENS + OUTPUT_TOKENS)
        self._add_load(state, load)
        # The router knows its own stream at once.
        state.own.add(load)
        stream = Stream(router, state, self.now)
        state.own.add(load, -1)
        self.engines[name].reading.append(stream)

    def _note_events(self, stream: Stream, events: int) -> None:
        if stream.first_at is None:
            stream.first_at = self.now
            self.first_s.append((stream.arrived, self.now - stream.arrived))
            self._add_load(stream.state, Load(0, PROMPT_TOKENS, 0), -1)
        times = stream.sampler.note_events(events, self.now)
        if times is not None and self.setup.learns:
            number = self._numbers[stream.router] = (
                self._numbers.get(stream.router, 0) + 1
            )
            run = stream.state.run
            self.report(
                SpeedSample(
                    stream.router,
                    number,
                    run.replica,
                    run.born_ms,
                    0.0,
                    times.read_s,
                    times.event_s,
                )
            )
        if stream.events >= EVENTS:
            self.took_s.append((stream.arrived, self.now - stream.arrived))
            tokens = PROMPT_TOKENS + OUTPUT_TOKENS
            self._add_load(stream.state, Load(1, 0, tokens), -1)

    def _add_load(self, state: ReplicaState, load: Load, sign: int = 1) -> None:
        self._due.append((self.now + LOAD_DELAY_S, state, load, sign))

    def _deliver_loads(self) -> None:
        while self._due and self._due[0][0] <= self.now:
            _, state, load, sign = self._due.popleft()
            state.peers.add(load, sign)

    def _pause_some(self) -> None:
        if self.setup.pauses_per_s:
            if self.rng.random() < self.setup.pauses_per_s * STEP_S:
                engine = self.rng.choice(list(self.engines.values()))
                engine.paused_until = self.now + PAUSE_S

    def _pool(self) -> None:
        sent, self._sent = self._sent, []
        for sample in sent:
            self.speeds.merge_samples(sample.router, [sample])
        self.speeds.update()


replica = partial(
    Replica,
    pool="p",
    failure_domain="a",
    version="v1",
    slots=24,
    stage=ReplicaStage.READY,
)
