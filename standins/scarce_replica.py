"""Stand-in for an engine on the users' platform whose memory may be full."""

import time
from collections import deque

import eventlet
import msgspec

from standins.relay_replica import RelayReplica

__all__ = ["Run", "ScarceReplica"]

PROMPT_TOKENS_PER_S = 8_000
POLL_S = 0.02


class Run(msgspec.Struct):
    """What a replica did for a request, in monotonic seconds.

    Parameters
    ----------
    request : str
        The request's id.
    arrived : float
        When its head was read.
    began : float
        When it got memory; infinite if it didn't.
    ended : float
        When the replica stopped to work on it; infinite if it still does.
    broke_off : bool
        Whether the replica broke the answer off, since it was lost.
    """

    request: str
    arrived: float
    began: float = float("inf")
    ended: float = float("inf")
    broke_off: bool = False


class ScarceReplica(RelayReplica):
    """WSGI application of an engine that admits requests while it has memory.

    Parameters
    ----------
    name : str
        The replica's id.
    events : int
        Number of events in each stream.
    event_interval_s : float
        Time between events, in seconds.
    memory_tokens : int
        Its memory. What doesn't fit waits in the order of arrival.

    Attributes
    ----------
    work : list of Run
        The requests that have arrived.
    """

    def __init__(
        self, name: str, events: int, event_interval_s: float, memory_tokens: int
    ):
        super().__init__(name, events, event_interval_s)
        self.work: list[Run] = []
        self._free_tokens = memory_tokens
        self._queue: deque[Run] = deque()

    def _answer(self, environ, start_response):
        chunks = super()._answer(environ, start_response)
        if not environ.get("HTTP_TOKEN_COUNTS") or isinstance(chunks, list):
            return chunks
        run = Run(environ["HTTP_REQUEST_ID"], time.monotonic())
        self.work.append(run)
        prompt, outputs = map(int, environ["HTTP_TOKEN_COUNTS"].split(","))
        eventlet.sleep(0)
        environ["wsgi.input"].read()
        return self._served(run, prompt, prompt + outputs, chunks)

    def _served(self, run: Run, prompt: int, tokens: int, chunks):
        try:
            self._wait_memory(run, tokens)
            eventlet.sleep(prompt / PROMPT_TOKENS_PER_S)
            yield from chunks
        except ConnectionAbortedError:
            run.broke_off = True
            raise
        finally:
            run.ended = time.monotonic()
            if run.began <= run.ended:
                self._free_tokens += tokens
            if run in self._queue:
                self._queue.remove(run)

    def _wait_memory(self, run: Run, tokens: int) -> None:
        self._queue.append(run)
        while self._queue[0] is not run or self._free_tokens < tokens:
            eventlet.sleep(POLL_S)
        self._queue.popleft()
        self._free_tokens -= tokens
        run.began = time.monotonic()
