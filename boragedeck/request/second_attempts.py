"""Decides whether an attempt of a stream may start beside one that is silent."""

from boragedeck.process.relaying.placing.place import Place
from boragedeck.request.crash_wait import MAX_WAIT_S
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.stream_messages import Silent

__all__ = ["may_start_beside", "take_repeat_or_release"]


def may_start_beside(job: RelayJob, silent: Silent) -> bool:
    """Return whether another attempt may start beside a silent one.

    Parameters
    ----------
    job : RelayJob
        The stream.
    silent : Silent
        The report of the silence.

    Notes
    -----
    A request that may crash replicas waits until it is known whether it does.
    """
    silent_s = job.parts.timers.now() - silent.since
    is_suspected = job.parts.crash_blame.is_suspected(job.traits)
    return (
        job.rule.may_repeat
        and job.left_s() > 0.0
        and job.has_attempts_left()
        and not (is_suspected and silent_s < MAX_WAIT_S)
    )


def take_repeat_or_release(job: RelayJob, place: Place) -> bool:
    """Return whether another attempt may start at a place, or release the place.

    Parameters
    ----------
    job : RelayJob
        The stream.
    place : Place
        The place that was acquired for the attempt.
    """
    is_granted = False
    try:
        # This may ask another router, and the caller may leave meanwhile.
        is_granted = job.take_repeat()
    finally:
        if not is_granted:
            place.release()
    return is_granted
