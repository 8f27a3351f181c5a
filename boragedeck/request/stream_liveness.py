"""Detects that the replica of a stream is silent, and may have failed."""

from collections.abc import Callable
from typing import TypeVar

from boragedeck.connection.exchange import Exchange
from boragedeck.exceptions import UpstreamSilentError
from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.request.relay_attempt import probe
from boragedeck.request.relay_job import RelayJob

__all__ = ["ExchangeInterrupter", "StreamLivenessMonitor"]

T = TypeVar("T")

SUSPECT_GAP_SHARE = 0.5
"""Share of the gap objective without output after which the replica is probed."""
SUSPECT_FIRST_SHARE = 0.15
"""Share of the latency objective without a first event after which it is probed."""
SUSPECT_AFTER_PROBE_SHARE = 0.1
"""As `SUSPECT_FIRST_SHARE`, after the replica has answered a probe."""
PROBE_TIMEOUT_GAP_SHARE = 0.25
"""Share of the gap objective within which a replica has to answer a probe. Together
with `SUSPECT_GAP_SHARE` it leaves a quarter for resuming the stream elsewhere."""
PROBE_DOUBT_S = 0.05
"""How long after a probe the path to its replica is checked, too."""
PROBE_TIMEOUT_S = 0.25
"""Time-out of a probe before the first event."""
MIN_SUSPECT_S = 0.2
"""Minimum time without output before a probe, and the time while it is silent."""


class StreamLivenessMonitor:
    """Waits for the output of a stream's replica and probes it when it is silent.

    Parameters
    ----------
    job : RelayJob
        The stream.
    on_silent : callable
        Called with the exchange, and since when it has been silent, whenever the
        replica hasn't answered a probe.
    on_heard : callable
        Called when the replica answers a probe after that.

    Notes
    -----
    A silent replica may be sound, so its silence doesn't end the wait.
    """

    def __init__(
        self,
        job: RelayJob,
        on_silent: Callable[[Exchange, float], None],
        on_heard: Callable[[], None],
    ):
        self._job = job
        self._on_silent = on_silent
        self._on_heard = on_heard
        self._is_silent = False

    def note_output(self) -> None:
        """Record that a part of the answer has arrived, which ends a silence."""
        self._is_silent = False

    def wait(self, place: Place, exchange: Exchange, read: Callable[[float], T]) -> T:
        """Wait for a read; probe the replica while the read takes long.

        Parameters
        ----------
        place : Place
            The place at the replica that runs the stream.
        exchange : Exchange
            The exchange with the replica.
        read : callable
            Reads from the replica; its argument is the longest wait in seconds.

        Raises
        ------
        UpstreamSilentError
            If the request's time is over.
        """
        job, since = self._job, self._job.parts.timers.now()
        suspect_s = self._suspect_after_s()
        while True:
            try:
                return read(max(0.0, min(suspect_s, job.left_s())))
            except UpstreamSilentError:
                if job.left_s() <= 0.0:
                    raise
            was_silent = self._is_silent
            self._is_silent = not self._is_alive(place, exchange, since)
            if self._is_silent:
                self._on_silent(exchange, since)
                suspect_s = MIN_SUSPECT_S
                continue
            if was_silent:
                self._on_heard()
            suspect_s = self._suspect_after_probe_s()

    def _is_alive(self, place: Place, exchange: Exchange, since: float) -> bool:
        """Return whether a replica is alive; probe it unless it asked to wait.

        Notes
        -----
        The replica may be alive although this router's connection to it hangs, which
        ends the exchange, too.

        A replica that asked not to be sent requests isn't probed. It counts as alive
        if it has answered another request recently.
        """
        state, now = place.state, self._job.parts.timers.now()
        if now < state.held_until:
            return now - state.answered_at <= self._suspect_after_s()
        parts = self._job.parts
        if exchange.is_doubtful or parts.paths.is_dead(exchange):
            return False
        # A sound replica answers at once; the path is checked while it doesn't.
        doubt = parts.timers.call_later(
            PROBE_DOUBT_S, lambda: parts.paths.note_silent(exchange, since)
        )
        try:
            is_answered = probe(parts, place, self._probe_timeout_s()) is not None
        finally:
            doubt.cancel()
        if not is_answered:
            return False
        # The probe may have found out that it has to take another path.
        return not parts.paths.is_dead(exchange)

    def _suspect_after_s(self) -> float:
        rule = self._job.rule
        if self._has_gap_goal():
            return max(MIN_SUSPECT_S, SUSPECT_GAP_SHARE * rule.gap_goal_s)
        return max(MIN_SUSPECT_S, SUSPECT_FIRST_SHARE * rule.goal_s)

    def _suspect_after_probe_s(self) -> float:
        if self._has_gap_goal():
            return self._suspect_after_s()
        return max(MIN_SUSPECT_S, SUSPECT_AFTER_PROBE_SHARE * self._job.rule.goal_s)

    def _probe_timeout_s(self) -> float:
        if self._has_gap_goal():
            return PROBE_TIMEOUT_GAP_SHARE * self._job.rule.gap_goal_s
        return PROBE_TIMEOUT_S

    def _has_gap_goal(self) -> bool:
        return self._job.channel.has_begun and bool(self._job.rule.gap_goal_s)


class ExchangeInterrupter:
    """Interrupts an exchange when its replica is lost.

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

    def cancel(self) -> None:
        """Stop watching the replica; the exchange is not interrupted any more."""
        self._state.on_lost.discard(self._callback)
