"""Timers and a fact board for simulated routers, without green threads."""

import heapq
import itertools
import math
from collections.abc import Callable

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.ids import RouterId
from boragedeck.process.timers import Subscription
from boragedeck.version.tables import Config

__all__ = ["FixedConfig", "SimulatedBoards", "SimulatedTimers", "percentile"]


class SimulatedTimers:
    """Timer service that calls back in order of simulated time."""

    def __init__(self):
        self._now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Subscription]] = []

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self._now

    wall = now

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call once after a delay."""
        sub = Subscription(callback)
        due = self._now + max(0.0, delay_s)
        heapq.heappush(self._due, (due, next(self._order), sub))
        return sub

    def subscribe(
        self, interval_s: float, callback: Callable[[], None], *, jitter: float = 0.1
    ) -> Subscription:
        """Call at an interval without jitter."""

        def repeat() -> None:
            if not handle.cancelled:
                callback()
                self.call_later(interval_s, repeat)

        handle = self.call_later(interval_s, repeat)
        return handle

    def run(self, until_s: float) -> None:
        """Make all calls that fall due before a time."""
        while self._due and self._due[0][0] <= until_s:
            self._now, _, sub = heapq.heappop(self._due)
            if not sub.cancelled:
                sub.callback()
        self._now = until_s


class FixedConfig:
    """Configuration source with one configuration."""

    def __init__(self, cfg: Config):
        self._cfg = cfg

    def current(self) -> Config:
        """Return the configuration."""
        return self._cfg

    def subscribe(self, callback: Callable[[Config], None]) -> None:
        """Do nothing: the configuration does not change."""


class _Board:
    def __init__(self, boards: "SimulatedBoards", own: RouterId):
        self._boards = boards
        self.own = own
        self.known: dict[tuple, Fact] = {}
        self.callbacks: dict[FactTopic, list[Callable[[Fact], None]]] = {}

    def publish(
        self, topic: FactTopic, key: str, body: bytes, *, ttl_s: float = 60.0
    ) -> Fact:
        number = next(self._boards.numbers)
        fact = Fact(topic, key, self.own, number, body, ttl_s)
        self._boards.spread(self, fact)
        return fact

    def facts(self, topic: FactTopic) -> list[Fact]:
        return [fact for fact in self.known.values() if fact.topic is topic]

    def subscribe(self, topic: FactTopic, callback: Callable[[Fact], None]) -> None:
        self.callbacks.setdefault(topic, []).append(callback)

    def take(self, fact: Fact) -> None:
        self.known[fact.topic, fact.key, fact.origin] = fact
        for callback in self.callbacks.get(fact.topic, ()):
            callback(fact)


class SimulatedBoards:
    """Fact boards of several routers, joined by a network with a delay.

    Parameters
    ----------
    timers : SimulatedTimers
        The source of time.
    delay_s : float
        How long a fact takes to the other routers.
    """

    def __init__(self, timers: SimulatedTimers, delay_s: float = 0.2):
        self._timers = timers
        self._delay_s = delay_s
        self._boards: list[_Board] = []
        self.numbers = itertools.count(1)

    def board(self, own: str) -> _Board:
        """Return the board of a further router."""
        board = _Board(self, RouterId(own))
        self._boards.append(board)
        return board

    def spread(self, origin: _Board, fact: Fact) -> None:
        """Give a fact to its origin now and to the others after the delay."""
        origin.take(fact)
        for board in self._boards:
            if board is not origin:
                self._timers.call_later(
                    self._delay_s, lambda board=board: board.take(fact)
                )


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
