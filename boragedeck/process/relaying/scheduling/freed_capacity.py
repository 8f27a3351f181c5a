"""Measures the capacity that waiting requests get, and estimates waits from it.

Handles many routers that wait for the same replicas: only a part of the capacity that
is freed goes to the requests of one of them, and it can't see the queues of the others.
"""

import math

from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.placing.placement import MEMORY_SHARE
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.relaying.scheduling.service_order import (
    GUARANTEED_SHARE,
    MAX_COUNTED_PRIORITIES,
)
from boragedeck.version.routing import EngineProfile

__all__ = ["FreedCapacity", "busy_work", "expected_wait_s", "work_of"]

KEPT_SERVICE_TIMES = 2.0
"""Time constant of the measurement in mean service times; within one, each place is
freed about once."""


class FreedCapacity:
    """What this router's requests have lately got and asked for while some waited.

    Notes
    -----
    State: decaying sums of the time with waiting requests, of the granted work, and of
    the requested work of each of at most `MAX_COUNTED_PRIORITIES` priorities. They grow
    only while requests wait.
    """

    def __init__(self):
        self._updated_at = -math.inf
        self._waited_s = 0.0
        self._granted = 0.0
        self._asked: dict[int, float] = {}

    def advance(self, now: float, is_waiting: bool, mean_service_s: float) -> None:
        """Account for the time since the last call.

        Parameters
        ----------
        now : float
            The current time, on the timer service's clock.
        is_waiting : bool
            Whether requests have waited since the last call.
        mean_service_s : float
            Mean time that a request takes, in seconds.
        """
        passed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        kept = math.exp(-passed_s / (KEPT_SERVICE_TIMES * mean_service_s))
        self._waited_s = kept * self._waited_s + (passed_s if is_waiting else 0.0)
        self._granted *= kept
        self._asked = {each: kept * work for each, work in self._asked.items()}

    def note_granted(self, work: float) -> None:
        """Record that a request got a place while requests waited."""
        self._granted += work

    def note_asked(self, priority: int, work: float) -> None:
        """Record a request that waits, or got a place while others waited."""
        if priority in self._asked or len(self._asked) < MAX_COUNTED_PRIORITIES:
            self._asked[priority] = self._asked.get(priority, 0.0) + work

    def rate(self, work: float, pool_rate: float) -> float:
        """Return the work per second that this router's requests get.

        Parameters
        ----------
        work : float
            The work of the request for which the rate is estimated. The estimate
            starts from the pool's rate with the weight of one such request.
        pool_rate : float
            The work per second that is freed in the whole pool.
        """
        return (work + self._granted) / self._time_s(work, pool_rate)

    def more_urgent_rate(self, priority: int, work: float, pool_rate: float) -> float:
        """Return the work per second of requests that are more urgent than a priority.

        See `rate` for the other parameters.
        """
        asked = sum(each for other, each in self._asked.items() if other < priority)
        return asked / self._time_s(work, pool_rate)

    def _time_s(self, work: float, pool_rate: float) -> float:
        return work / pool_rate + self._waited_s


def expected_wait_s(
    ahead: float, ahead_in_lane: float, work: float, rate: float, urgent_rate: float
) -> float:
    """Return the expected time that a request waits for a place, in seconds.

    Parameters
    ----------
    ahead, ahead_in_lane : float
        The work of all requests that go before it, and of those in its lane.
    work : float
        Its own work.
    rate : float
        The work per second that is granted.
    urgent_rate : float
        The part of it that goes to more urgent requests, which come later than it.
    """
    guaranteed_s = (ahead_in_lane + work) / (rate * GUARANTEED_SHARE)
    remaining_rate = rate - urgent_rate
    if remaining_rate <= 0.0:
        return guaranteed_s
    return min(guaranteed_s, (ahead + work) / remaining_rate)


def work_of(req: AdmissionRequest) -> float:
    """Return the work of a request, as the share of a replica that it takes.

    Notes
    -----
    At an engine, this is the larger one of its shares of memory and of slots, at a
    service one place.
    """
    engine = req.pool.engine
    return 1.0 if engine is None else _engine_work(engine, 1, req.tokens)


def busy_work(states: list[ReplicaState], engine: EngineProfile | None) -> float:
    """Return the work that is running at replicas; see `work_of` for its unit."""
    if engine is None:
        return float(sum(state.running for state in states))
    return sum(_engine_work(engine, state.running, state.tokens) for state in states)


def _engine_work(engine: EngineProfile, running: int, tokens: int) -> float:
    memory = max(1.0, MEMORY_SHARE * engine.memory_tokens)
    return max(running / max(1, engine.slots), tokens / memory)
