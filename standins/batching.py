"""Continuous batching of a stand-in engine; one green thread steps all runs."""

import itertools
import os
import random
from collections import Counter

import msgspec
from eventlet.event import Event

from boragedeck.process.timers import TimerService
from standins import tokens
from standins.behaviour import Behaviour
from standins.prefix_cache import BLOCK_TOKENS, PrefixCache, split_into_blocks
from standins.run import Run, RunState

__all__ = ["Batcher", "Speed"]

STEP_GROWTH_PER_RUN = 0.02
PREFILL_CHUNK_TOKENS = 2048
MAX_LAG_S = 0.05
CRASH_EXIT_CODE = 70


class Speed(msgspec.Struct, frozen=True):
    """Speed of an engine.

    Parameters
    ----------
    token_interval_s : float
        Duration of a step with one run, in seconds.
    prefill_s_per_token : float
        Duration of the prefill per uncached token of a prompt, in seconds.
    max_batch : int
        Maximum number of runs in a step.
    """

    token_interval_s: float = 0.02
    prefill_s_per_token: float = 50e-6
    max_batch: int = 64

    def step_s(self, batch: int, prefill_tokens: int) -> float:
        """Return the duration of a step in seconds.

        Parameters
        ----------
        batch : int
            Number of runs that get a token in the step.
        prefill_tokens : int
            Number of tokens that are prefilled in the step.
        """
        growth = 1.0 + STEP_GROWTH_PER_RUN * max(0, batch - 1)
        decode_s = self.token_interval_s * growth if batch else 0.0
        return decode_s + self.prefill_s_per_token * prefill_tokens


class Batcher:
    """Admits runs by priority and generates a token per step for each admitted one.

    Parameters
    ----------
    speed : Speed
        Speed of the engine.
    behaviour : Behaviour
        Faults of the engine.
    cache : PrefixCache
        The prefix cache of the engine.
    timers : TimerService
        The source of time.
    rng : random.Random
        Chooses the first token of each generation.

    Attributes
    ----------
    running, waiting : list of Run
        The runs that hold memory, and the queued runs in the order of admission.
    counts : collections.Counter
        Number of tokens by kind, for metrics.
    """

    def __init__(
        self,
        speed: Speed,
        behaviour: Behaviour,
        cache: PrefixCache,
        timers: TimerService,
        rng: random.Random,
    ):
        self.behaviour = behaviour
        self.running: list[Run] = []
        self.waiting: list[Run] = []
        self.counts: Counter[str] = Counter()
        self._speed = speed
        self._cache = cache
        self._timers = timers
        self._rng = rng
        self._order = itertools.count()
        self._work_arrived = Event()

    def submit(self, run: Run) -> None:
        """Queue a run."""
        run.order = next(self._order)
        self.counts["prompt"] += len(run.prompt)
        self._queue(run)
        if not self._work_arrived.ready():
            self._work_arrived.send(None)

    def abort(self, run: Run, state: RunState = RunState.ABORTED) -> None:
        """End a run at once, queued or running; no effect if it has ended."""
        if run in self.waiting:
            self.waiting.remove(run)
        if run in self.running:
            self._remove(run)
        run.end(state)

    def serve(self) -> None:
        """Step the batch in an endless loop."""
        due = self._timers.now()
        while True:
            if not self.running and not self.waiting:
                self._work_arrived = Event()
                self._work_arrived.wait()
                due = self._timers.now()
            batch = self._admit()
            prefill_tokens = self._plan_prefill(batch)
            decoding = [run for run in batch if not run.tokens_to_prefill]
            # Timers may be late by a millisecond, which the next step compensates.
            due = max(due, self._timers.now() - MAX_LAG_S)
            due += self._step_s(len(decoding), prefill_tokens)
            self._timers.sleep(max(0.0, due - self._timers.now()))
            self._step(decoding)

    def _step_s(self, decode_runs: int, prefill_tokens: int) -> float:
        step_s = self._speed.step_s(decode_runs, prefill_tokens)
        if not decode_runs and not prefill_tokens:
            step_s = self._speed.token_interval_s
        return step_s * self.behaviour.step_factor(decode_runs)

    def _queue(self, run: Run) -> None:
        self.waiting.append(run)
        self.waiting.sort(key=lambda other: (other.priority, other.order))

    def _admit(self) -> list[Run]:
        while self.waiting and len(self.running) < self._speed.max_batch:
            if not self._acquire_memory(self.waiting[0]):
                break
            self.running.append(self.waiting.pop(0))
        return list(self.running)

    def _acquire_memory(self, run: Run) -> bool:
        """Hold memory for all tokens of a run, or none; return whether it fits."""
        context = run.prompt + run.generated
        blocks = split_into_blocks(run.version, context)
        cached_tokens = self._cache.count_cached(blocks) * BLOCK_TOKENS
        held = list(itertools.takewhile(self._cache.hold, blocks))
        if len(held) < len(blocks) or not self._cache.hold_partial():
            for block in held:
                self._cache.release(block)
            return False
        run.blocks = held
        run.tokens_to_prefill = max(1, len(context) - cached_tokens)
        self.counts["prefix_queries"] += len(context)
        self.counts["prefix_hits"] += cached_tokens
        return True

    def _plan_prefill(self, batch: list[Run]) -> int:
        budget = PREFILL_CHUNK_TOKENS
        for run in batch:
            part = min(budget, run.tokens_to_prefill)
            run.tokens_to_prefill -= part
            budget -= part
        return PREFILL_CHUNK_TOKENS - budget

    def _step(self, decoding: list[Run]) -> None:
        if self.behaviour.is_silent:
            return
        for run in decoding:
            if run.state is RunState.RUNNING and run in self.running:
                self._generate_token(run)

    def _generate_token(self, run: Run) -> None:
        self._apply_faults(run)
        if run.state is not RunState.RUNNING or self._is_silent(run):
            return
        if not self._extend_memory(run):
            return
        context = run.generated or run.prompt
        last = context[-1] if context else 0
        if tokens.is_generated(last):
            run.add(tokens.next_token(last))
        else:
            run.add(tokens.first_token(self._rng))
        self.counts["generated"] += 1
        if len(run.generated) >= run.max_tokens:
            self._remove(run)
            run.end(RunState.COMPLETED)

    def _apply_faults(self, run: Run) -> None:
        done = len(run.generated)
        if run.is_poison and done >= self.behaviour.crash_after_tokens:
            os._exit(CRASH_EXIT_CODE)
        limit = self.behaviour.fail_after_tokens
        if limit is not None and done >= limit:
            self.abort(run, RunState.FAILED)

    def _is_silent(self, run: Run) -> bool:
        limit = self.behaviour.silent_after_tokens
        return limit is not None and len(run.generated) >= limit

    def _extend_memory(self, run: Run) -> bool:
        """Hold the last block once it is full; return False if preempted."""
        size = len(run.prompt) + len(run.generated)
        if size // BLOCK_TOKENS <= len(run.blocks):
            return True
        last = (run.prompt + run.generated)[size - BLOCK_TOKENS : size]
        parent = run.blocks[-1] if run.blocks else None
        (block,) = split_into_blocks(run.version, last, parent=parent)
        while not self._cache.hold(block):
            victim = max(self.running, key=lambda other: (other.priority, other.order))
            self._remove(victim)
            self._queue(victim)
            if victim is run:
                return False
        run.blocks.append(block)
        return True

    def _remove(self, run: Run) -> None:
        self.running.remove(run)
        for block in run.blocks:
            self._cache.release(block)
        self._cache.release_partial()
        run.blocks = []
