"""Detects that the replica of a stream is silent, and may have failed."""

from collections.abc import Callable
from functools import partial
from typing import TypeVar

from boragedeck.connection.exchange import Exchange
from boragedeck.exceptions import UpstreamSilentError
from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.replica_probe import ReplicaProbe

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
"""Minimum time without output before a probe."""
REPORT_INTERVAL_S = 0.2
"""How often a silence is reported while it lasts."""


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
        self._silences = 0
        # The probe that was sent last; None if the replica wasn't probed.
        self._probe: ReplicaProbe | None = None

    def note_output(self) -> None:
        """Record that a part of the answer has arrived, which ends a silence."""
        if self._is_silent:
            self.stop()
        self._is_silent = False

    def stop(self) -> None:
        """Stop probing the replica."""
        last_probe, self._probe = self._probe, None
        if last_probe is not None:
            last_probe.stop()

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
        wait_s = self._suspect_after_s()
        is_probed = False
        while True:
            try:
                return read(max(0.0, min(wait_s, job.left_s())))
            except UpstreamSilentError:
                if job.left_s() <= 0.0:
                    raise
            may_probe = self._may_probe(place) and not self._is_broken(exchange)
            if may_probe and not (self._is_silent or is_probed):
                self._send_probe(place, exchange, since)
                is_probed = True
                wait_s = self._probe_timeout_s()
            elif not self._is_silent and self._is_alive(place, exchange):
                is_probed = False
                wait_s = self._suspect_again_after_s()
            else:
                self._note_silent(place, exchange, since)
                wait_s = REPORT_INTERVAL_S

    def _may_probe(self, place: Place) -> bool:
        """Return whether a replica may be probed, as it hasn't asked to wait."""
        return self._job.parts.timers.now() >= place.state.held_until

    def _send_probe(self, place: Place, exchange: Exchange, since: float) -> None:
        """Probe a replica; a sound one answers at once, so its path is checked, too."""
        paths, timers = self._job.parts.paths, self._job.parts.timers
        if self._probe is not None and self._probe.answered_at is None:
            return
        path_check = timers.call_later(
            PROBE_DOUBT_S, lambda: paths.note_silent(exchange, since)
        )

        def note_answered() -> None:
            path_check.cancel()
            if self._is_silent and not self._is_broken(exchange):
                self._is_silent = False
                self._on_heard()

        may_probe = partial(self._may_probe, place)
        self._probe = ReplicaProbe(self._job, place, may_probe, note_answered)

    def _is_alive(self, place: Place, exchange: Exchange) -> bool:
        """Return whether a replica has answered the last probe.

        Notes
        -----
        The replica may be alive although this router's connection to it hangs, which
        counts as a silence, too. One that isn't probed counts as alive if it has
        answered another request recently.
        """
        now, state = self._job.parts.timers.now(), place.state
        if now < state.held_until:
            return now - state.answered_at <= self._suspect_after_s()
        is_answered = self._probe is not None and self._probe.answered_at is not None
        return is_answered and not self._is_broken(exchange)

    def _is_broken(self, exchange: Exchange) -> bool:
        """Return whether the replica may be sound, but not this way to it."""
        return exchange.is_doubtful or self._job.parts.paths.is_dead(exchange)

    def _note_silent(self, place: Place, exchange: Exchange, since: float) -> None:
        if not self._is_silent:
            self._is_silent = True
            self._silences += 1
            self._send_probe(place, exchange, since)
        self._on_silent(exchange, since)

    def _suspect_after_s(self) -> float:
        rule = self._job.rule
        if self._has_gap_goal():
            return max(MIN_SUSPECT_S, SUSPECT_GAP_SHARE * rule.gap_goal_s)
        return max(MIN_SUSPECT_S, SUSPECT_FIRST_SHARE * rule.goal_s)

    def _suspect_again_after_s(self) -> float:
        """Return how long to wait from now on, after a probe was answered."""
        wait_s = max(MIN_SUSPECT_S, SUSPECT_AFTER_PROBE_SHARE * self._job.rule.goal_s)
        if self._has_gap_goal():
            wait_s = self._suspect_after_s()
        if self._probe is None or self._probe.answered_at is None:
            return wait_s
        return wait_s - (self._job.parts.timers.now() - self._probe.answered_at)

    def _probe_timeout_s(self) -> float:
        """Return how long a probe may take, in seconds.

        Notes
        -----
        It grows with each silence, so that a replica which answers slowly isn't taken
        for silent again and again.
        """
        timeout_s = PROBE_TIMEOUT_S
        if self._has_gap_goal():
            timeout_s = PROBE_TIMEOUT_GAP_SHARE * self._job.rule.gap_goal_s
        return (1 + self._silences) * timeout_s

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
