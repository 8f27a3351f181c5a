"""Fake engines, which generate tokens that depend on their predecessors, and faults."""

import itertools
import random

from boragedeck.connection.engine import EngineChunk
from boragedeck.exceptions import UpstreamError, UpstreamRefusedError
from boragedeck.process.signal import Signal
from standins import tokens

RUN_NUMBER_SHIFT_BITS = 53
MAX_RUNS = 1 << 10
PROMPT_IDS = (1, 2, 3)


def run_number(token_id):
    """Return the number of the run that generated a token, from the token's id."""
    return token_id >> RUN_NUMBER_SHIFT_BITS


class FakeEngine:
    """An engine in memory.

    Attributes
    ----------
    is_dead : bool
        Whether it refuses connections and breaks running streams.
    is_silent : bool
        Whether running and new streams stall.
    refuses : bool
        Whether it refuses new runs as busy.
    runs : list
        All runs on this engine so far.
    """

    def __init__(self, url, timers, rng, all_runs, interval_s=0.02):
        self.url = url
        self.all_runs = all_runs
        self.timers = timers
        self.rng = rng
        self.interval_s = interval_s
        self.is_dead = False
        self.is_silent = False
        self.refuses = False
        self.changed = Signal()
        self.runs = []

    def set_faults(self, **faults):
        for name, value in faults.items():
            setattr(self, name, value)
        self.changed.notify()

    def open_run(self, request):
        if self.is_dead:
            raise UpstreamRefusedError("refused", step="connect", peer=self.url)
        if self.refuses:
            raise UpstreamRefusedError("busy", step="start run", peer=self.url)
        run = FakeRun(self, request)
        self.runs.append(run)
        return run


class FakeRun:
    def __init__(self, engine, request):
        self.engine = engine
        self.request = request
        self.is_closed = False
        self.sent = 0
        self.number = len(engine.all_runs)
        assert self.number < MAX_RUNS
        engine.all_runs.append(self)

    def __iter__(self):
        request, engine = self.request, self.engine
        token = None
        prompt_ids = None
        if request.prefix_ids is not None:
            token = request.prefix_ids[-1]
        else:
            prompt_ids = PROMPT_IDS
        for i in range(request.max_tokens):
            self._wait()
            if token is None:
                token = tokens.first_token(engine.rng)
            else:
                token = tokens.next_token(token)
            self.sent += 1
            reason = "length" if i + 1 == request.max_tokens else None
            token_id = token | self.number << RUN_NUMBER_SHIFT_BITS
            yield EngineChunk((token_id,), tokens.text(token), prompt_ids, reason)
            prompt_ids = None

    def close(self):
        self.is_closed = True

    def _wait(self):
        self.engine.timers.sleep(self.engine.interval_s)
        while self.engine.is_silent and not self.engine.is_dead:
            self.engine.changed.wait(self.engine.timers, 3600.0)
        if self.engine.is_dead:
            raise UpstreamError("broke", step="read tokens", peer=self.engine.url)


class FakeEngines:
    """A set of fake engines, found by URL."""

    def __init__(self, timers, count, seed=0):
        rng = random.Random(seed)
        self.runs = []
        self.all = [
            FakeEngine(f"http://10.0.0.{i + 1}:8000", timers, rng, self.runs)
            for i in range(count)
        ]

    def prefixes_match(self, token_ids):
        """Return whether each run's prefix equals the tokens before its own tokens."""
        start = 0
        for number, group in itertools.groupby(token_ids, run_number):
            run = self.runs[number]
            prefix = (run.request.prefix_ids or PROMPT_IDS)[len(PROMPT_IDS) :]
            if list(prefix) != list(token_ids[:start]):
                return False
            start += len(list(group))
        return True

    def open_run(self, url, request):
        return next(e for e in self.all if e.url == url).open_run(request)

    def running(self):
        return [run for e in self.all for run in e.runs if not run.is_closed]
