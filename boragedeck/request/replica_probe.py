"""Probes a replica until it answers, however late that is."""

from collections.abc import Callable

from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.threads import end_thread, spawn_task
from boragedeck.request.relay_attempt import probe
from boragedeck.request.relay_job import RelayJob

__all__ = ["ReplicaProbe"]

PROBE_TIMEOUT_S = 2.0
"""Time-out of one probe; longer than a sound replica is silent."""
PROBE_INTERVAL_S = 0.2
"""Time between two probes."""


class ReplicaProbe:
    """Probes a replica in a green thread of its own.

    Parameters
    ----------
    job : RelayJob
        The request that the replica runs.
    place : Place
        The place at the replica.
    may_probe : callable
        Returns whether the replica may be probed now.
    on_answered : callable
        Called once, when the replica has answered a probe.

    Attributes
    ----------
    answered_at : float or None
        When it did, on the timer service's monotonic clock; None if it hasn't.

    Notes
    -----
    A replica that is slow, or wakes up, answers the probe that waits. So it is found to
    be alive at once, and not only by another probe.
    """

    def __init__(
        self,
        job: RelayJob,
        place: Place,
        may_probe: Callable[[], bool],
        on_answered: Callable[[], None],
    ):
        self._job = job
        self._place = place
        self._may_probe = may_probe
        self._on_answered = on_answered
        self.answered_at: float | None = None
        self._thread = spawn_task(self._run)

    def stop(self) -> None:
        """Stop probing."""
        if self.answered_at is None:
            end_thread(self._thread)

    def _run(self) -> None:
        timers = self._job.parts.timers
        while self._job.left_s() > 0.0:
            if self._is_answered():
                self.answered_at = timers.now()
                self._on_answered()
                return
            timers.sleep(PROBE_INTERVAL_S)

    def _is_answered(self) -> bool:
        job = self._job
        if not self._may_probe():
            return False
        timeout_s = min(PROBE_TIMEOUT_S, job.left_s())
        return probe(job.parts, self._place, timeout_s) is not None
