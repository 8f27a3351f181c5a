"""In-memory network of fact boards with delay, loss and partitions."""

import random
from collections.abc import Callable

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.ids import RouterId
from boragedeck.process.timers import TimerService

__all__ = ["BoardNetwork", "MemoryBoard"]

EXCHANGE_INTERVAL_S = 1.0


class BoardNetwork:
    """Delivers facts between boards.

    A new fact is sent to all boards. In addition, each board periodically sends the
    facts that a random other board lacks.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    rng : random.Random
        The source of random delays, losses and receivers.
    delay_s : float
        Mean delay of a delivery, in seconds.
    loss : float
        Share of deliveries that are lost.

    Attributes
    ----------
    cut_pairs : set of frozenset of RouterId
        Pairs of routers that can't reach each other.
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
        self.cut_pairs: set[frozenset[RouterId]] = set()
        self.down: set[RouterId] = set()
        self.loss = loss
        self.boards: dict[RouterId, MemoryBoard] = {}
        self._timers = timers
        self._rng = rng
        self._delay_s = delay_s
        timers.subscribe(EXCHANGE_INTERVAL_S, self._exchange)

    def board(self, own: RouterId) -> "MemoryBoard":
        """Add a board for a router and return it."""
        board = MemoryBoard(own, self._timers, self._broadcast)
        self.boards[own] = board
        return board

    def partition(self, side: set[RouterId]) -> None:
        """Separate the routers of one side from all others."""
        others = set(self.boards) - side
        self.cut_pairs = {frozenset((a, b)) for a in side for b in others}

    def heal(self) -> None:
        """End all partitions."""
        self.cut_pairs = set()

    def _broadcast(self, fact: Fact, expires_at: float) -> None:
        for router in self.boards:
            if router != fact.origin:
                self._send(fact.origin, router, fact, expires_at)

    def _send(
        self, sender: RouterId, receiver: RouterId, fact: Fact, expires_at: float
    ) -> None:
        if self._is_cut(sender, receiver) or self._rng.random() < self.loss:
            return
        delay = self._rng.expovariate(1.0 / self._delay_s)
        board = self.boards[receiver]
        self._timers.call_later(delay, lambda: self._deliver(board, fact, expires_at))

    def _deliver(self, board: "MemoryBoard", fact: Fact, expires_at: float) -> None:
        if board.own not in self.down:
            board.receive(fact, expires_at)

    def _is_cut(self, a: RouterId, b: RouterId) -> bool:
        return a in self.down or b in self.down or frozenset((a, b)) in self.cut_pairs

    def _exchange(self) -> None:
        router_ids = list(self.boards)
        for sender in router_ids:
            receiver = self._rng.choice(router_ids)
            if receiver == sender:
                continue
            for fact, expires_at in self.boards[sender].facts_missing_in(
                self.boards[receiver]
            ):
                self._send(sender, receiver, fact, expires_at)


class MemoryBoard:
    """The fact board of one router; see `FactBoard`.

    Parameters
    ----------
    own : RouterId
        The router.
    timers : TimerService
        The source of time.
    broadcast : callable
        Called with each fact that the router publishes and its expiry time.
    """

    def __init__(
        self,
        own: RouterId,
        timers: TimerService,
        broadcast: Callable[[Fact, float], None],
    ):
        self.own = own
        self._timers = timers
        self._broadcast = broadcast
        self._facts_by_key: dict[tuple, tuple[Fact, float]] = {}
        self._number = 0
        self._callbacks: dict[FactTopic, list[Callable[[Fact], None]]] = {}

    def publish(
        self, topic: FactTopic, key: str, body: bytes, *, ttl_s: float = 60.0
    ) -> Fact:
        """Publish a fact; see `FactBoard.publish`."""
        self._number += 1
        fact = Fact(topic, key, self.own, self._number, body, ttl_s)
        expires_at = self._timers.now() + ttl_s
        self.receive(fact, expires_at)
        self._broadcast(fact, expires_at)
        return fact

    def facts(self, topic: FactTopic) -> list[Fact]:
        """Return the facts that have not expired; see `FactBoard.facts`."""
        self._expire()
        return [fact for fact, _ in self._facts_by_key.values() if fact.topic is topic]

    def subscribe(self, topic: FactTopic, callback: Callable[[Fact], None]) -> None:
        """Call `callback` with new facts; see `FactBoard.subscribe`."""
        self._callbacks.setdefault(topic, []).append(callback)

    def receive(self, fact: Fact, expires_at: float) -> None:
        """Store a fact unless the board has it or a newer one with the same key.

        Parameters
        ----------
        fact : Fact
            The fact.
        expires_at : float
            When the fact expires, on the timers' monotonic clock.
        """
        if self.has(fact) or expires_at <= self._timers.now():
            return
        self._facts_by_key[_fact_key(fact)] = fact, expires_at
        for callback in self._callbacks.get(fact.topic, ()):
            callback(fact)

    def facts_missing_in(self, other: "MemoryBoard") -> list[tuple[Fact, float]]:
        """Return the facts that another board lacks, with their expiry times."""
        self._expire()
        return [held for held in self._facts_by_key.values() if not other.has(held[0])]

    def has(self, fact: Fact) -> bool:
        """Return whether the board has the fact or a newer one."""
        held = self._facts_by_key.get(_fact_key(fact))
        return held is not None and held[0].number >= fact.number

    def _expire(self) -> None:
        now = self._timers.now()
        for key in [
            key
            for key, (_, expires_at) in self._facts_by_key.items()
            if expires_at <= now
        ]:
            del self._facts_by_key[key]


def _fact_key(fact: Fact) -> tuple:
    return fact.topic, fact.key, fact.origin
