"""Seeded defects in bearing with silent replicas, each with its test."""

import msgspec

from boragedeck.exceptions import UpstreamSilentError
from boragedeck.interfaces import Outcome
from boragedeck.request import stream_silence
from boragedeck.request.event_timeout import EventTimeout
from boragedeck.request.events import EventExcessError
from boragedeck.request.place_finder import PlaceFinder
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.relay_stream import StreamRelay
from boragedeck.request.stream_attempt import StreamAttempt
from boragedeck.request.stream_events import StreamEventReader
from boragedeck.request.stream_silence import StreamSilence
from tests.support.method_defects import MethodDefect

__all__ = ["SILENCE_DEFECTS"]

TESTS = "tests.request.test_silent_replicas.SilentReplicaTest"
STALL_TESTS = "tests.request.test_event_stalls.EventStallTest"


def _ended_by_a_silence(self, exchange, since):
    raise UpstreamSilentError("silent", step="read body", peer=exchange.address)


def _stall_ends(self, since):
    raise EventExcessError("no complete event in time, though bytes keep arriving")


def _beside_any_replica(self, others):
    return self.acquire(self._parts.timers.now()).ok()


def _beside_the_same_replica(self, others):
    self.tried = set()
    req = self.request(self._parts.timers.now())
    req = msgspec.structs.replace(req, allows=lambda replica: True)
    acquired = self._parts.limited_admission.acquire(req)
    return acquired.ok() if acquired.is_ok() else None


def _both_lead(self, attempt):
    return None


def _not_ended(self, attempts):
    for attempt in list(attempts):
        self._attempts.remove(attempt)


def _failed_at_once(self):
    if self._since is not None:
        self._job.evidence.note_outcome(self._place, Outcome.FAILED)


def _judged_unheard(job, place, since):
    job.evidence.note_outcome(place, Outcome.FAILED)


def _beside_without_repeats(self, attempt, silent):
    place = self._job.places.acquire_beside([attempt.place])
    if place is not None:
        self._start(place)


def _heard_in_vain(self):
    self._silence.end()


SILENCE_DEFECTS = (
    MethodDefect(
        "a silence ends the attempt",
        f"{TESTS}.test_silence_cuts_a_stream_that_cannot_be_resumed",
        StreamAttempt,
        "_note_silent",
        _ended_by_a_silence,
    ),
    MethodDefect(
        "a second attempt goes to a replica that is silent, too",
        f"{TESTS}.test_second_attempt_goes_to_a_replica_that_is_silent_too",
        PlaceFinder,
        "acquire_beside",
        _beside_any_replica,
    ),
    MethodDefect(
        "a second attempt goes to the same replica",
        f"{TESTS}.test_second_attempt_goes_to_the_silent_replica",
        PlaceFinder,
        "acquire_beside",
        _beside_the_same_replica,
    ),
    MethodDefect(
        "the events of both attempts are delivered",
        f"{TESTS}.test_events_of_both_attempts_reach_the_caller",
        StreamRelay,
        "_let_lead",
        _both_lead,
    ),
    MethodDefect(
        "the attempt that sends later is not ended",
        f"{TESTS}.test_stream_goes_on_at_the_second_replica_if_that_sends_first",
        StreamRelay,
        "_cancel",
        _not_ended,
    ),
    MethodDefect(
        "a silence is a failure of the version at once",
        f"{TESTS}.test_silence_counts_against_a_version_though_its_replica_is_heard",
        StreamSilence,
        "note_abandoned",
        _failed_at_once,
    ),
    MethodDefect(
        "a replica that is heard again counts as lost",
        f"{TESTS}.test_silence_counts_against_a_version_though_its_replica_is_heard",
        stream_silence,
        "judge_silence",
        _judged_unheard,
    ),
    MethodDefect(
        "the limit on parts of an event counts silences",
        f"{STALL_TESTS}.test_silence_in_the_middle_of_an_event_counts_as_a_stall",
        EventTimeout,
        "_arriving_s",
        lambda self: self._timers.now(),
    ),
    MethodDefect(
        "bytes that complete no event end a stream",
        f"{STALL_TESTS}.test_stream_is_cut_while_an_event_dribbles",
        StreamEventReader,
        "_note_stalled",
        _stall_ends,
    ),
    MethodDefect(
        "a stream that may run once has a second attempt",
        f"{TESTS}.test_silence_cuts_a_stream_that_cannot_be_resumed",
        StreamRelay,
        "_note_silent",
        _beside_without_repeats,
    ),
    MethodDefect(
        "a second attempt isn't charged to the shared limit",
        f"{TESTS}.test_second_attempt_starts_though_the_shared_limit_is_reached",
        RelayJob,
        "take_repeat",
        lambda self: True,
    ),
    MethodDefect(
        "a second attempt runs on when the first replica answers a probe",
        f"{TESTS}.test_second_attempt_runs_on_after_the_silent_replica_is_heard",
        StreamAttempt,
        "_note_heard",
        _heard_in_vain,
    ),
)
