"""Engines in memory, which generate chained tokens and can fail."""

import random

from boragedeck.connection.engine import EngineChunk
from boragedeck.exceptions import UpstreamError, UpstreamRefusedError
from boragedeck.process.signal import Signal
from standins import tokens


class FakeEngine:
    """One engine.

    Attributes
    ----------
    is_dead : bool
        Refuses connections; running streams break.
    is_silent : bool
        Running streams stand still, new ones too.
    runs : list
        All runs so far.
    """

    def __init__(self, url, timers, rng, interval_s=0.02):
        self.url = url
        self.timers = timers
        self.rng = rng
        self.interval_s = interval_s
        self.is_dead = False
        self.is_silent = False
        self.refuses = False
        self.changed = Signal()
        self.runs = []

    def set(self, **faults):
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

    def __iter__(self):
        request, engine = self.request, self.engine
        token = None
        prompt_ids = None
        if request.prefix_ids is not None:
            token = request.prefix_ids[-1]
        else:
            prompt_ids = (1, 2, 3)
        for i in range(request.max_tokens):
            self._wait()
            if token is None:
                token = tokens.first_token(engine.rng)
            else:
                token = tokens.next_token(token)
            self.sent += 1
            reason = "length" if i + 1 == request.max_tokens else None
            yield EngineChunk((token,), tokens.text(token), prompt_ids, reason)
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
    """All engines by URL."""

    def __init__(self, timers, count, seed=0):
        rng = random.Random(seed)
        self.all = [
            FakeEngine(f"http://10.0.0.{i + 1}:8000", timers, rng) for i in range(count)
        ]

    def open_run(self, url, request):
        return next(e for e in self.all if e.url == url).open_run(request)

    def running(self):
        return [run for e in self.all for run in e.runs if not run.is_closed]
