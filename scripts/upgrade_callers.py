"""Callers of a fleet whose routers are replaced."""

import itertools
import random
from collections import Counter
from collections.abc import Callable

import eventlet
import urllib3

from scripts.platform_cluster import EVENTS, ROUTE_HEADERS
from scripts.upgrade_silences import EngineSilences, SilenceWatch

__all__ = ["Callers"]

STREAM_INTERVAL_S = 0.15
READ_TIMEOUT_S = 15.0
POLL_S = 0.01
STREAMS_PER_POOL = 40
"""Number of streams after which idle connections are closed, well before the routers'
time for idle connections is over: a request that meets its end would be lost."""
PATHS = ("/answers/x", "/drafts/x")
"""A stream that can be resumed, and one that can't."""
BODY = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))


class Callers:
    """Read streams through the routers in service.

    Parameters
    ----------
    rng : random.Random
        Chooses the router of each stream.
    find : callable
        Is called with a promise that was broken, the router, and what was seen.
    silences : EngineSilences
        The silences of engines. What a router that doesn't bear them does in one isn't
        judged.

    Attributes
    ----------
    urls : list of str
        The URL of each router.
    in_service : set of int
        The routers that callers may use.
    key : str
        The API key that is in force.
    counts : Counter
        Numbers of requests, of streams by status, of streams during silences that their
        routers bear, and of broken streams that aren't judged.
    """

    def __init__(
        self,
        rng: random.Random,
        find: Callable[[str, int, str], None],
        silences: EngineSilences,
    ):
        self.urls: list[str] = []
        self.in_service: set[int] = set()
        self.key = "demo-key"
        self.counts: Counter[str] = Counter()
        self._rng = rng
        self._find = find
        self._silences = silences
        self._pool = urllib3.PoolManager(retries=False, maxsize=32)
        self._numbers = itertools.count(1)
        self._open: Counter[int] = Counter()
        self._is_over = False
        self._streams = None

    def start(self) -> None:
        """Start to read streams."""
        self._streams = eventlet.spawn(self._read_streams)

    def stop(self) -> None:
        """Begin no further streams."""
        self._is_over = True

    def finish(self) -> None:
        """Begin no further streams, and return when all are read."""
        self.stop()
        self._streams.wait()

    def take_out(self, number: int) -> None:
        """Use a router no longer, and return when nothing is read through it.

        Notes
        -----
        A caller that waits for longer than `READ_TIMEOUT_S` gives up and says so.
        """
        self.in_service.remove(number)
        while self._open[number]:
            eventlet.sleep(POLL_S)

    def ask_all(
        self, key: str, times: int = 1
    ) -> list[tuple[int, urllib3.BaseHTTPResponse]]:
        """Ask each router in service at the same time; return what answers came."""
        numbers = sorted(self.in_service) * times
        pool = eventlet.GreenPool()
        answers = pool.imap(self._ask, numbers, itertools.repeat(key, len(numbers)))
        pairs = list(zip(numbers, answers, strict=True))
        return [(number, answer) for number, answer in pairs if answer is not None]

    def _ask(self, number: int, key: str) -> urllib3.BaseHTTPResponse | None:
        self._open[number] += 1
        try:
            return self._request(number, key, PATHS[0])
        except urllib3.exceptions.HTTPError as exc:
            self._find("LOST", number, repr(exc))
            return None
        finally:
            self._open[number] -= 1

    def _request(self, number: int, key: str, path: str) -> urllib3.BaseHTTPResponse:
        headers = ROUTE_HEADERS | {
            "Api-Key": key,
            "Request-Id": f"ask-{next(self._numbers)}",
            "Token-Counts": "100,40",
        }
        url = f"{self.urls[number]}{path}"
        self.counts["asked"] += 1
        return self._pool.request("POST", url, headers=headers, timeout=READ_TIMEOUT_S)

    def _read_streams(self) -> None:
        pool = eventlet.GreenPool()
        begun = 0
        paths = itertools.cycle(PATHS)
        while not self._is_over:
            if begun % STREAMS_PER_POOL == 0:
                self._pool.clear()
            begun += 1
            if self.in_service:
                number = self._rng.choice(sorted(self.in_service))
                # Counted before its green thread runs, so that `take_out` waits for it.
                self._open[number] += 1
                pool.spawn_n(self._read_stream, number, self.key, next(paths))
            eventlet.sleep(STREAM_INTERVAL_S)
        pool.waitall()

    def _read_stream(self, number: int, key: str, path: str) -> None:
        watch = self._silences.watch(number)
        try:
            answer = self._request(number, key, path)
        except urllib3.exceptions.HTTPError as exc:
            self._judge(watch, "LOST", number, repr(exc))
            return
        finally:
            self._open[number] -= 1
        self.counts[f"stream {answer.status}"] += 1
        if watch.was_silent and watch.is_borne:
            self.counts["stream borne"] += 1
        if answer.status == 200 and answer.data != BODY:
            seen = f"{len(answer.data)} of {len(BODY)} bytes"
            self._judge(watch, "ORDER", number, seen)
        elif answer.status != 200 and watch.was_silent:
            self._judge(watch, "LOST", number, f"status {answer.status} in a silence")

    def _judge(self, watch: SilenceWatch, promise: str, number: int, text: str) -> None:
        """Report a broken stream, unless its router doesn't bear a silence.

        Notes
        -----
        A standstill of this process is a silence of all engines for a router.
        """
        if not watch.is_borne and (watch.was_silent or watch.stood_still):
            self.counts["stream not judged"] += 1
            return
        self._find(promise, number, text)
