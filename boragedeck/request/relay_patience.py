"""How long a stream waits for its replica before it goes on elsewhere."""

from collections.abc import Callable
from typing import TypeVar

from boragedeck.connection.exchange import Exchange
from boragedeck.exceptions import UpstreamSilentError
from boragedeck.process.relaying.admission import Place
from boragedeck.process.relaying.replica_state import ReplicaState
from boragedeck.request.relay_attempt import probe
from boragedeck.request.relay_job import RelayJob

__all__ = ["Interruption", "StreamPatience"]

T = TypeVar("T")

SUSPECT_GAP_SHARE = 0.5
"""A stream may have lost its replica when it pauses for this share of its objective."""
SUSPECT_FIRST_SHARE = 0.15
"""And when its first event takes this share of its objective."""
SUSPECT_AGAIN_SHARE = 0.1
"""The same after the replica has said that it lives."""
PROBE_GAP_SHARE = 0.25
"""Of the gap objective, how long a replica may take to say that it lives; together
with `SUSPECT_GAP_SHARE` it leaves a quarter for going on elsewhere."""
PROBE_TIMEOUT_S = 0.25
"""The same before the first event."""
MIN_SUSPECT_S = 0.2


class StreamPatience:
    """Waits for the answers of a stream's replicas.

    Parameters
    ----------
    job : RelayJob
        The stream.
    """

    def __init__(self, job: RelayJob):
        self._job = job

    def wait(self, place: Place, read: Callable[[float], T]) -> T:
        """Wait for a read, asking the replica whether it lives when that takes long.

        Parameters
        ----------
        place : Place
            Where the stream runs.
        read : callable
            Reads; takes the longest wait in seconds.

        Raises
        ------
        UpstreamSilentError
            Where the replica doesn't answer, or the time is over.
        """
        job = self._job
        suspect_s = self._suspect_after_s()
        while True:
            wait_s = min(suspect_s, job.left_s())
            try:
                return read(max(0.0, wait_s))
            except UpstreamSilentError:
                if job.left_s() <= 0.0:
                    raise
                if not self._is_alive(place):
                    raise
            suspect_s = self._suspect_again_s()

    def _is_alive(self, place: Place) -> bool:
        """Return whether a replica shows that it runs; it may be asked for that.

        Notes
        -----
        One that asked for nothing to be sent shows it by its answers to others.
        """
        state, now = place.state, self._job.parts.timers.now()
        if now < state.held_until:
            return now - state.answered_at <= self._suspect_after_s()
        return probe(self._job.parts, place, self._probe_timeout_s()) is not None

    def _suspect_after_s(self) -> float:
        rule = self._job.rule
        if self._has_gap_goal():
            return max(MIN_SUSPECT_S, SUSPECT_GAP_SHARE * rule.gap_goal_s)
        return max(MIN_SUSPECT_S, SUSPECT_FIRST_SHARE * rule.goal_s)

    def _suspect_again_s(self) -> float:
        if self._has_gap_goal():
            return self._suspect_after_s()
        return max(MIN_SUSPECT_S, SUSPECT_AGAIN_SHARE * self._job.rule.goal_s)

    def _probe_timeout_s(self) -> float:
        if self._has_gap_goal():
            return PROBE_GAP_SHARE * self._job.rule.gap_goal_s
        return PROBE_TIMEOUT_S

    def _has_gap_goal(self) -> bool:
        return self._job.channel.has_begun and bool(self._job.rule.gap_goal_s)


class Interruption:
    """Ends an exchange when its replica is found not to run any more.

    Parameters
    ----------
    exchange : Exchange
        The exchange.
    state : ReplicaState
        The replica.
    """

    def __init__(self, exchange: Exchange, state: ReplicaState):
        self._state = state
        self._callback = exchange.interrupt
        state.on_lost.add(self._callback)

    def end(self) -> None:
        """Leave the exchange alone from now on."""
        self._state.on_lost.discard(self._callback)
