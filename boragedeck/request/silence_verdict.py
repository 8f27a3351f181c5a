"""Counts a silence against a version only if its replica is lost.

The silence of a sound replica says nothing about its version.
"""

import eventlet

from boragedeck.interfaces import Outcome
from boragedeck.process.relaying.crashes.crash_reports import SILENT_CONFIRM_S
from boragedeck.process.relaying.placing.place import Place
from boragedeck.request.relay_attempt import CONNECT_TIMEOUT_S, probe
from boragedeck.request.relay_job import RelayJob

__all__ = ["judge_late_answer", "judge_silence"]

RECENT_S = 0.2
"""A replica that answered something within this time isn't silent."""


def judge_silence(job: RelayJob, place: Place, since: float) -> None:
    """Wait, and count a failure of an attempt if its silent replica is lost.

    Parameters
    ----------
    job : RelayJob
        The request.
    place : Place
        The place of the attempt, which has ended.
    since : float
        Since when the replica is silent, on the timer service's monotonic clock.
    """
    job.parts.timers.sleep(SILENT_CONFIRM_S)
    if place.state.answered_at > since:
        return
    if probe(job.parts, place, CONNECT_TIMEOUT_S) is None:
        job.evidence.note_outcome(place, Outcome.FAILED)


def judge_late_answer(job: RelayJob, place: Place) -> None:
    """Count a failure of a call whose time is over, unless its replica is silent.

    Parameters
    ----------
    job : RelayJob
        The call.
    place : Place
        The place of the attempt, which has ended.

    Notes
    -----
    A replica that answers other requests, or a probe, has failed this one. The silence
    of one that doesn't is judged later.
    """
    if job.parts.timers.now() - place.state.answered_at <= RECENT_S:
        job.evidence.note_outcome(place, Outcome.FAILED)
    else:
        eventlet.spawn_n(_judge_late_answer, job, place)


def _judge_late_answer(job: RelayJob, place: Place) -> None:
    since = job.parts.timers.now()
    if probe(job.parts, place, CONNECT_TIMEOUT_S) is None:
        judge_silence(job, place, since)
    else:
        job.evidence.note_outcome(place, Outcome.FAILED)
