"""Model of engines with batching, chunked prefill, a prefix cache and load reports."""

import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence

import msgspec

from benchmarks.sim_timers import SimTimers
from boragedeck.interfaces import Outcome
from boragedeck.process.placing.load import LoadReport

__all__ = ["Arrival", "Engine", "EngineSpec", "LoadSpec", "Run", "generate_arrivals"]


class EngineSpec(msgspec.Struct, frozen=True):
    """Speed and size of an engine.

    Parameters
    ----------
    batch : int
        Maximum number of requests that run at a time.
    step_s : float
        Time of a step with an empty batch, in seconds.
    step_per_run_s : float
        Additional time for each request in the batch, in seconds.
    prefill_tokens_per_s : float
        Prefill speed.
    chunk_tokens : int
        Maximum number of prefill tokens in one step.
    cache_tokens : int
        Size of the prefix cache in tokens.
    slowness : float
        Factor by which all times are multiplied.
    """

    batch: int = 16
    step_s: float = 0.018
    step_per_run_s: float = 0.0005
    prefill_tokens_per_s: float = 10_000.0
    chunk_tokens: int = 1024
    cache_tokens: int = 60_000
    slowness: float = 1.0


class Arrival(msgspec.Struct, frozen=True):
    """One request of a generated load.

    Parameters
    ----------
    at : float
        Time of arrival, in seconds.
    organisation : str
        The organisation that sends it.
    prefix : int
        Identifies the prefix that its prompt shares with others.
    prefix_tokens : int
        Length of that prefix.
    prompt_tokens : int
        Length of the prompt, the prefix included.
    output_tokens : int
        Tokens to generate.
    """

    at: float
    organisation: str
    prefix: int
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int


class LoadSpec(msgspec.Struct, frozen=True):
    """Parameters of a generated load.

    Parameters
    ----------
    rate : float
        Requests per second.
    seconds : float
        How long requests arrive, in seconds.
    organisations : int
        Number of organisations; the first ones have more traffic than the last.
    prefixes : int
        Number of prefixes; the first ones are used more often than the last.
    long_share : float
        Share of long generations.
    """

    rate: float
    seconds: float
    organisations: int = 10
    prefixes: int = 120
    long_share: float = 0.12


def generate_arrivals(load: LoadSpec, seed: int) -> list[Arrival]:
    """Return the requests of a load in order of arrival."""
    rng = random.Random(seed)
    prefix_tokens = [rng.randint(200, 2500) for _ in range(load.prefixes)]
    prefix_weights = [1.0 / (rank + 5) for rank in range(load.prefixes)]
    org_weights = [1.0 / (rank + 2) for rank in range(load.organisations)]
    arrivals = []
    at = 0.0
    while (at := at + rng.expovariate(load.rate)) < load.seconds:
        prefix = rng.choices(range(load.prefixes), prefix_weights)[0]
        (org,) = rng.choices(range(load.organisations), org_weights)
        is_long = rng.random() < load.long_share
        output = rng.randint(800, 1600) if is_long else rng.randint(40, 240)
        prompt = prefix_tokens[prefix] + rng.randint(20, 300)
        arrivals.append(
            Arrival(at, f"org-{org}", prefix, prefix_tokens[prefix], prompt, output)
        )
    return arrivals


class Run:
    """One run of a request on an engine.

    Parameters
    ----------
    prefix : int
        Identifies the cached prefix.
    prefix_tokens : int
        Its length.
    prompt_tokens : int
        Length of the prompt, the cached prefix included.
    output_tokens : int
        Tokens to generate.
    on_tokens : callable
        Called with the number of tokens at each step.
    on_end : callable
        Called once with the outcome.
    """

    def __init__(
        self,
        prefix: int,
        prefix_tokens: int,
        prompt_tokens: int,
        output_tokens: int,
        on_tokens: Callable[[int], None],
        on_end: Callable[[Outcome], None],
    ):
        self.prefix = prefix
        self.prefix_tokens = prefix_tokens
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.on_tokens = on_tokens
        self.on_end = on_end
        self.prefill_left = 0
        self.cached_tokens = 0
        self.generated = 0
        self.crash_after: int | None = None


class Engine:
    """A model engine with continuous batching.

    Parameters
    ----------
    timers : SimTimers
        The source of time.
    spec : EngineSpec
        Speed and size.
    """

    def __init__(self, timers: SimTimers, spec: EngineSpec):
        self.spec = spec
        self.is_up = True
        self.crashes = 0
        self.generated = 0
        self.busy_s = 0.0
        self.running: list[Run] = []
        self.waiting: deque[Run] = deque()
        self._timers = timers
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._is_stepping = False
        self._incarnations = itertools.count(1)
        self._current_incarnation = 0

    def start(self, run: Run) -> None:
        """Enqueue a run; an engine that is down refuses it."""
        if not self.is_up:
            self._timers.call_later(0.001, lambda: run.on_end(Outcome.REFUSED))
            return
        self.waiting.append(run)
        self._start_stepping()

    def cancel(self, run: Run) -> None:
        """Remove a run without calling its callbacks."""
        if run in self.running:
            self.running.remove(run)
        elif run in self.waiting:
            self.waiting.remove(run)

    def crash(self, restart_s: float) -> None:
        """End all runs as crashed, and restart with an empty cache after a time."""
        self.crashes += 1
        self.is_up = False
        self._current_incarnation = next(self._incarnations)
        lost = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self._cache.clear()
        self._is_stepping = False
        self._timers.call_later(restart_s, self._restart)
        for run in lost:
            run.on_end(Outcome.CRASHED)

    def report(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(len(self.running), len(self.waiting))

    def _restart(self) -> None:
        self.is_up = True

    def _start_stepping(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            self._step()

    def _step(self) -> None:
        spec = self.spec
        while self.waiting and len(self.running) < spec.batch:
            run = self.waiting.popleft()
            run.cached_tokens = self._cached_tokens(run)
            run.prefill_left = max(1, run.prompt_tokens - run.cached_tokens)
            self.running.append(run)
        if not self.running:
            self._is_stepping = False
            return
        prefilled = self._prefill()
        seconds = spec.step_s + spec.step_per_run_s * len(self.running)
        seconds += prefilled / spec.prefill_tokens_per_s
        seconds *= spec.slowness
        self.busy_s += seconds
        incarnation = self._current_incarnation
        self._timers.call_later(seconds, lambda: self._end_step(incarnation))

    def _prefill(self) -> int:
        budget = self.spec.chunk_tokens
        for run in self.running:
            done = min(budget, run.prefill_left)
            run.prefill_left -= done
            budget -= done
        return self.spec.chunk_tokens - budget

    def _end_step(self, incarnation: int) -> None:
        if incarnation != self._current_incarnation:
            return
        ready = [run for run in self.running if run.prefill_left == 0]
        for run in ready:
            run.generated += 1
            self.generated += 1
            if run.generated == 1:
                self._cache_prefix(run)
            if run.generated == run.output_tokens:
                self.running.remove(run)
            run.on_tokens(1)
            if run.generated == run.output_tokens:
                run.on_end(Outcome.COMPLETED)
            if run.crash_after is not None and run.generated >= run.crash_after:
                self.crash(restart_s=10.0)
                return
        self._step()

    def _cached_tokens(self, run: Run) -> int:
        if run.prefix not in self._cache:
            return 0
        self._cache.move_to_end(run.prefix)
        return min(run.prefix_tokens, run.prompt_tokens)

    def _cache_prefix(self, run: Run) -> None:
        self._cache[run.prefix] = run.prefix_tokens
        self._cache.move_to_end(run.prefix)
        while sum(self._cache.values()) > self.spec.cache_tokens:
            self._cache.popitem(last=False)


def total_busy_s(engines: Sequence[Engine]) -> float:
    """Return the time that engines spent in steps, in seconds."""
    return sum(engine.busy_s for engine in engines)
