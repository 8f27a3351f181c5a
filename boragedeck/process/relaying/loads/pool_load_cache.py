"""Fetches the loads of a pool from a hub, and caches them."""

import msgspec

from boragedeck.connection.peer import PeerLinks
from boragedeck.exceptions import PeerError
from boragedeck.ids import PoolName, RouterId
from boragedeck.interfaces import Member
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.loads.load_messages import FetchLoads, PoolLoads
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.relaying.speeds.replica_speeds import ReplicaSpeeds
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import Replica, ReplicaId

__all__ = ["PoolLoadCache"]

FETCH_TIMEOUT_S = 0.05
"""Upper bound on how long a request waits for the loads."""
FAILED_HUB_BACKOFF_S = 0.3
"""How long after the failure of a hub none is asked."""
MAX_FRESH_AGE_S = 0.02
"""Maximum age of an answer that is used without asking again."""
SPEEDS_INTERVAL_S = 1.0
"""How often a hub is asked for speeds, which change slowly."""
ANSWER_TTL_S = 2.5
"""How long the answer of a hub counts."""

_log = PartLog("loads")


class _Answer(msgspec.Struct, frozen=True):
    """A hub's answer about one pool."""

    at: float
    loads: dict[ReplicaId, Load]


class PoolLoadCache:
    """The loads of each pool as a hub last reported them.

    Parameters
    ----------
    own : RouterId
        This router, whose own loads the hub leaves out.
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The replicas.
    links : PeerLinks
        Links to the hubs.
    speeds : ReplicaSpeeds
        Receives the speeds that hubs report.
    """

    def __init__(
        self,
        own: RouterId,
        timers: TimerService,
        registry: ReplicaRegistry,
        links: PeerLinks,
        speeds: ReplicaSpeeds,
    ):
        self._own = own
        self._timers = timers
        self._registry = registry
        self._links = links
        self._speeds = speeds
        self._answers: dict[PoolName, _Answer] = {}
        self._speeds_at: dict[PoolName, float] = {}
        self._backoff_until = 0.0

    def is_fresh(self, pool: PoolName) -> bool:
        """Return whether the last answer is younger than `MAX_FRESH_AGE_S`."""
        answer = self._answers.get(pool)
        return answer is not None and self._timers.now() - answer.at < MAX_FRESH_AGE_S

    def load_of(self, replica: Replica) -> Load | None:
        """Return other routers' load on a replica; None if no answer is cached."""
        answer = self._answers.get(replica.pool)
        return None if answer is None else answer.loads.get(replica.replica, Load())

    def fetch(self, hub: Member, pool: PoolName) -> None:
        """Fetch the loads of a pool from a hub, unless the last answer is fresh."""
        if self._backoff_until > self._timers.now() or self.is_fresh(pool):
            return
        link = self._links.link(hub.address)
        query = FetchLoads(self._own, pool, self._needs_speeds(pool))
        answer = link.call(query, PoolLoads, timeout_s=FETCH_TIMEOUT_S)
        if answer.is_err():
            self._note_failure(hub, answer.err())
        else:
            self._store_answer(pool, answer.ok().loads)
            if query.with_speeds:
                self._speeds_at[pool] = self._timers.now()
                self._speeds.note_received(answer.ok().speeds)

    def expire(self) -> list[PoolName]:
        """Drop old answers, and return the pools that they were about."""
        before = self._timers.now() - ANSWER_TTL_S
        old = [pool for pool, answer in self._answers.items() if answer.at < before]
        for pool in old:
            del self._answers[pool]
            self._speeds_at.pop(pool, None)
        return old

    def _needs_speeds(self, pool: PoolName) -> bool:
        asked_at = self._speeds_at.get(pool, float("-inf"))
        return self._timers.now() - asked_at >= SPEEDS_INTERVAL_S

    def _note_failure(self, hub: Member, error: PeerError) -> None:
        _log.write("Hub failed.", peer=hub.router, error=str(error))
        self._backoff_until = self._timers.now() + FAILED_HUB_BACKOFF_S

    def _store_answer(self, pool: PoolName, loads: dict[ReplicaId, Load]) -> None:
        self._answers[pool] = _Answer(self._timers.now(), loads)
        for state in self._registry.of_pool(pool):
            state.peers = loads.get(state.replica.replica, Load())
