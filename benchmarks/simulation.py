"""A fact board and a configuration for simulated routers, without green threads."""

import itertools
from collections.abc import Callable

from benchmarks.sim_timers import SimTimers
from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.ids import RouterId
from boragedeck.version.tables import Config

__all__ = ["FixedConfig", "SimulatedBoards"]


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
        self.facts_by_key: dict[tuple, Fact] = {}
        self.callbacks: dict[FactTopic, list[Callable[[Fact], None]]] = {}

    def publish(
        self, topic: FactTopic, key: str, body: bytes, *, ttl_s: float = 60.0
    ) -> Fact:
        number = next(self._boards.numbers)
        fact = Fact(topic, key, self.own, number, body, ttl_s)
        self._boards.spread(self, fact)
        return fact

    def facts(self, topic: FactTopic) -> list[Fact]:
        return [fact for fact in self.facts_by_key.values() if fact.topic is topic]

    def subscribe(self, topic: FactTopic, callback: Callable[[Fact], None]) -> None:
        self.callbacks.setdefault(topic, []).append(callback)

    def deliver(self, fact: Fact) -> None:
        self.facts_by_key[fact.topic, fact.key, fact.origin] = fact
        for callback in self.callbacks.get(fact.topic, ()):
            callback(fact)


class SimulatedBoards:
    """Fact boards of several routers, connected by a network with a delay.

    Parameters
    ----------
    timers : SimTimers
        The source of time.
    delay_s : float
        Time that a fact takes to reach the other routers, in seconds.
    """

    def __init__(self, timers: SimTimers, delay_s: float = 0.2):
        self._timers = timers
        self._delay_s = delay_s
        self._boards: list[_Board] = []
        self.numbers = itertools.count(1)

    def board(self, own: str) -> _Board:
        """Create the board of a router."""
        board = _Board(self, RouterId(own))
        self._boards.append(board)
        return board

    def spread(self, origin: _Board, fact: Fact) -> None:
        """Deliver a fact to its origin at once and to the others after the delay."""
        origin.deliver(fact)
        for board in self._boards:
            if board is not origin:
                self._timers.call_later(
                    self._delay_s, lambda board=board: board.deliver(fact)
                )
