"""Seeded defects in keeping the limits that replicas name, each with its test."""

import msgspec

from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.limits.limit_grants import LimitGrants
from boragedeck.process.relaying.limits.limited_admission import LimitedAdmission
from boragedeck.process.relaying.limits.replica_limits import ReplicaLimits
from boragedeck.process.relaying.limits.send_schedule import SendSchedule
from boragedeck.process.relaying.placing.admission import Admission
from tests.support.method_defects import MethodDefect

__all__ = ["LIMIT_DEFECTS"]

FLEET = "tests.process.relaying.limits.test_limited_fleet"
KNOWN = "tests.process.relaying.limits.test_replica_limits"
SCHEDULE = "tests.process.relaying.limits.test_send_schedule"
WIRE = "tests.request.test_relay_limits"

_take = LimitGrants.take
_note_answer = ReplicaLimits.note_answer


def _granted_without_its_owner(self, req):
    decision = _take(self, req)
    is_lost = not decision.is_granted and decision.wait_s == 0.25
    return msgspec.structs.replace(decision, is_granted=True) if is_lost else decision


def _lifted_by_any_answer(self, state, rate_limit, *, may_lift=True):
    _note_answer(self, state, rate_limit)


def _reserved_without_a_send(self, req, state):
    return self._admission.reserve(req, state)


def _never_waiting(self, req):
    return 0.0


def _made_up_after_a_pause(self, now):
    return max(0.0, self._taken_until - 60.0 - now)


LIMIT_DEFECTS = (
    MethodDefect(
        "a router whose owner is lost sends all the same",
        f"{FLEET}.FaultTest.test_limit_is_exceeded_or_starved_after_the_owner_dies",
        LimitGrants,
        "take",
        _granted_without_its_owner,
    ),
    MethodDefect(
        "each side of a split grants the whole limit",
        f"{FLEET}.FaultTest.test_both_sides_of_a_split_network_send_the_whole_limit",
        TaskOwners,
        "reachable_share",
        lambda self: 1.0,
    ),
    MethodDefect(
        "a changed limit isn't published",
        f"{FLEET}.FaultTest.test_router_that_has_sent_nothing_knows_no_limit",
        ReplicaLimits,
        "_publish",
        lambda self, run, known: None,
    ),
    MethodDefect(
        "a request never waits for its turn",
        f"{FLEET}.TurnsTest.test_request_is_refused_though_its_turn_comes_in_time",
        LimitedAdmission,
        "_max_wait_s",
        _never_waiting,
    ),
    MethodDefect(
        "requests wait for replicas that were denied",
        f"{FLEET}.OnlyLimitedReplicasTest"
        ".test_request_that_cannot_be_served_waits_before_it_is_refused",
        Admission,
        "has_candidates",
        lambda self, req, *, unlimited_only=False: not unlimited_only,
    ),
    MethodDefect(
        "a stream goes on from a copy without a send",
        f"{WIRE}.LimitedReplicaTest"
        ".test_stream_resumes_from_its_copy_at_a_replica_beyond_its_limit",
        LimitedAdmission,
        "reserve",
        _reserved_without_a_send,
    ),
    MethodDefect(
        "an answer to a probe lifts the limit",
        f"{KNOWN}.KnownLimitTest.test_answer_to_a_probe_lifts_a_limit",
        ReplicaLimits,
        "note_answer",
        _lifted_by_any_answer,
    ),
    MethodDefect(
        "what wasn't sent in a pause is made up",
        f"{SCHEDULE}.SendScheduleTest.test_pause_is_made_up_by_more_than_a_short_burst",
        SendSchedule,
        "wait_s",
        _made_up_after_a_pause,
    ),
)
