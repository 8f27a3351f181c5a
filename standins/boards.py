"""In-memory network of fact boards with delay, loss and partitions."""

import random
from collections.abc import Callable

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.ids import RouterId
from boragedeck.process.timers import TimerService

__all__ = ["BoardNetwork", "MemoryBoard"]

EXCHANGE_S = 1.0


class BoardNetwork:
    """Delivers facts between boards: at once to all, and again to one at random.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    rng : random.Random
        The source of delays, losses and choices.
    delay_s : float
        Mean delay of a delivery, in seconds.
    loss : float
        Share of deliveries that are lost.

    Attributes
    ----------
    cut : set of frozenset of RouterId
        Pairs that can't reach each other.
    down : set of RouterId
        Routers that neither send nor receive.
    """

    def __init__(
        self,
        timers: TimerService,
        rng: random.Random,
        *,
        delay_s: float = 0.005,
        loss: float = 0.0,
    ):
        self.cut: set[frozenset[RouterId]] = set()
        self.down: set[RouterId] = set()
        self.loss = loss
        self.boards: dict[RouterId, MemoryBoard] = {}
        self._timers = timers
        self._rng = rng
        self._delay_s = delay_s
        timers.subscribe(EXCHANGE_S, self._exchange)

    def board(self, own: RouterId) -> "MemoryBoard":
        """Add a router's board."""
        board = MemoryBoard(own, self._timers, self._spread)
        self.boards[own] = board
        return board

    def partition(self, side: set[RouterId]) -> None:
        """Cut the routers of one side off from the others."""
        others = set(self.boards) - side
        self.cut = {frozenset((a, b)) for a in side for b in others}

    def heal(self) -> None:
        """End all partitions."""
        self.cut = set()

    def _spread(self, fact: Fact, end: float) -> None:
        for router in self.boards:
            if router != fact.origin:
                self._send(fact.origin, router, fact, end)

    def _send(
        self, sender: RouterId, receiver: RouterId, fact: Fact, end: float
    ) -> None:
        if self._is_cut(sender, receiver) or self._rng.random() < self.loss:
            return
        delay = self._rng.expovariate(1.0 / self._delay_s)
        board = self.boards[receiver]
        self._timers.call_later(delay, lambda: self._deliver(board, fact, end))

    def _deliver(self, board: "MemoryBoard", fact: Fact, end: float) -> None:
        if board.own not in self.down:
            board.receive(fact, end)

    def _is_cut(self, a: RouterId, b: RouterId) -> bool:
        return a in self.down or b in self.down or frozenset((a, b)) in self.cut

    def _exchange(self) -> None:
        names = list(self.boards)
        for sender in names:
            receiver = self._rng.choice(names)
            if receiver == sender:
                continue
            for fact, end in self.boards[sender].missing_in(self.boards[receiver]):
                self._send(sender, receiver, fact, end)


class MemoryBoard:
    """The fact board of one router; see `FactBoard`.

    Parameters
    ----------
    own : RouterId
        The router.
    timers : TimerService
        The source of time.
    spread : callable
        Called with each fact that the router states.
    """

    def __init__(
        self, own: RouterId, timers: TimerService, spread: Callable[[Fact, float], None]
    ):
        self.own = own
        self._timers = timers
        self._spread = spread
        self._held: dict[tuple, tuple[Fact, float]] = {}
        self._number = 0
        self._callbacks: dict[FactTopic, list[Callable[[Fact], None]]] = {}

    def publish(
        self, topic: FactTopic, key: str, body: bytes, *, ttl_s: float = 60.0
    ) -> Fact:
        """State a fact; see `FactBoard.publish`."""
        self._number += 1
        fact = Fact(topic, key, self.own, self._number, body, ttl_s)
        end = self._timers.now() + ttl_s
        self.receive(fact, end)
        self._spread(fact, end)
        return fact

    def facts(self, topic: FactTopic) -> list[Fact]:
        """Return the facts that hold; see `FactBoard.facts`."""
        self._expire()
        return [fact for fact, _ in self._held.values() if fact.topic is topic]

    def subscribe(self, topic: FactTopic, callback: Callable[[Fact], None]) -> None:
        """Call with new facts; see `FactBoard.subscribe`."""
        self._callbacks.setdefault(topic, []).append(callback)

    def receive(self, fact: Fact, end: float) -> None:
        """Take in a fact unless a later one of the same key is held.

        Parameters
        ----------
        fact : Fact
            The fact.
        end : float
            Until when it holds, on the timers' monotonic clock.
        """
        if self.has(fact) or end <= self._timers.now():
            return
        self._held[_key(fact)] = fact, end
        for callback in self._callbacks.get(fact.topic, ()):
            callback(fact)

    def missing_in(self, other: "MemoryBoard") -> list[tuple[Fact, float]]:
        """Return the facts that another board lacks, each with its end."""
        self._expire()
        return [held for held in self._held.values() if not other.has(held[0])]

    def has(self, fact: Fact) -> bool:
        """Return whether the board holds the fact or a later one."""
        held = self._held.get(_key(fact))
        return held is not None and held[0].number >= fact.number

    def _expire(self) -> None:
        now = self._timers.now()
        for key in [key for key, (_, end) in self._held.items() if end <= now]:
            del self._held[key]


def _key(fact: Fact) -> tuple:
    return fact.topic, fact.key, fact.origin
