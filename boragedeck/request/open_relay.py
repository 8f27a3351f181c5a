"""How far a relayed request is, and what a stop of this process needs to know of it."""

from boragedeck.request.open_requests import Stage
from boragedeck.request.relay_job import RelayJob
from boragedeck.version.routing import CallKind

__all__ = ["OpenRelay"]


class OpenRelay:
    """A request that is being relayed; see `OpenRequest`.

    Parameters
    ----------
    job : RelayJob
        The request.
    """

    def __init__(self, job: RelayJob):
        self._job = job
        # Whether it arrived so late that the stop of this process must not end it.
        self._is_late = job.parts.is_late_in_stop()

    def stage(self) -> Stage:
        """Return how far the request is."""
        if self._job.channel.has_begun:
            return Stage.ANSWERING
        return Stage.AT_REPLICA if self._job.attempts.running else Stage.WAITING

    def left_s(self) -> float:
        """Return the time until the request is given up by itself, in seconds."""
        return self._job.left_s()

    def begin_interrupt(self) -> bool:
        """Return whether its handler may be ended, which is allowed once."""
        channel = self._job.channel
        is_first = not channel.is_interrupted
        channel.is_interrupted = True
        return is_first

    def needed_s(self) -> float:
        """Return how much time a stop must leave to serve the request, in seconds.

        Notes
        -----
        A request that the stop must not end is taken only if all of its time fits. One
        that may have run, and may run once only, is kept: no caller repeats it.
        """
        job, rule = self._job, self._job.rule
        if job.may_have_run and not rule.may_repeat:
            return 0.0
        if self._is_late:
            return job.replica_left_s()
        # The objective of a stream says how soon it begins.
        goal_s = None if rule.kind is CallKind.STREAM else rule.goal_s
        durations = job.parts.durations
        return durations.long_duration_s(job.pool_name, rule.timeout_s, goal_s)

    def log_fields(self) -> dict:
        """Return what the log says of the request."""
        job = self._job
        return {
            "request": job.req.request_id,
            "route": job.rule.name,
            "stage": self.stage().value,
            "sent": job.attempts.sent,
            "may_have_run": job.may_have_run,
            "running": len(job.attempts.running),
            "body_bytes": len(job.req.body),
            "tokens": job.req.tokens,
            "age_s": round(job.parts.timers.now() - job.req.arrived, 3),
            "left_s": round(job.left_s(), 3),
        }
