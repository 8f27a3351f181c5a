"""Seeded defects in the handling of replicas' notices, each with its test."""

from boragedeck.connection.messages import FactTopic
from boragedeck.platform.replica_protocol import HttpReplicaProtocol
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_notices import ReplicaNotices
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.relaying.replicas.restraint import Restraints
from boragedeck.request.stream_liveness import StreamLivenessMonitor
from boragedeck.version.replicas import HoldOff, ReplicaNotice
from tests.support.method_defects import MethodDefect

__all__ = ["NOTICE_DEFECTS"]

ANSWERS = "tests.request.test_relay_attempt"
NOTICES = "tests.process.relaying.replicas.test_replica_notices"


_read_notice = HttpReplicaProtocol.notice
_put = ReplicaRegistry.put
_handle = ReplicaNotices.handle


def _ignored_on_streams(self, head):
    is_stream = head.get(b"transfer-encoding") is not None
    return ReplicaNotice() if is_stream else _read_notice(self, head)


def _read_on_failures_only(self, head):
    return _read_notice(self, head) if head.status >= 500 else ReplicaNotice()


def _truncated_to_whole_seconds(self, head):
    notice = _read_notice(self, head)
    hold = notice.hold_off
    if hold is None or hold.asked_s is None:
        return notice
    return ReplicaNotice(notice.is_leaving, HoldOff(float(int(hold.asked_s)), ""))


def _forgotten_at_the_next_update(self, replica):
    state = self.get(replica.replica)
    if state is not None:
        state.restraints = Restraints()
    _put(self, replica)


def _kept_by_address(self, replica):
    before = self.at(replica.address)
    _put(self, replica)
    if before is not None and before.is_leaving:
        self.note_leaving(self.get(replica.replica).run, "its address")


def _probed_while_held_off(self, place):
    return True


def _holds_published(self, state, notice, **fields):
    _handle(self, state, notice, **fields)
    if notice.hold_off is not None:
        key = f"replica/{state.run.born_ms}/{state.run.replica}"
        self._board.publish(FactTopic.LEAVING, key, b"")


def _sent_at_once(self, now):
    """Send all waiting requests at once."""


NOTICE_DEFECTS = (
    MethodDefect(
        "leaving is ignored on streams",
        f"{ANSWERS}.LeavingAnswerTest.test_head_of_a_stream",
        HttpReplicaProtocol,
        "notice",
        _ignored_on_streams,
    ),
    MethodDefect(
        "leaving is read from failures only",
        f"{ANSWERS}.LeavingAnswerTest.test_success_of_a_call",
        HttpReplicaProtocol,
        "notice",
        _read_on_failures_only,
    ),
    MethodDefect(
        "leaving is kept by address",
        f"{NOTICES}.LeavingTest.test_successor_at_the_address_serves_at_once",
        ReplicaRegistry,
        "put",
        _kept_by_address,
    ),
    MethodDefect(
        "leaving is lost at the next update of the list",
        f"{NOTICES}.LeavingTest"
        ".test_leaving_replica_gets_no_request_though_the_list_says_ready",
        ReplicaRegistry,
        "put",
        _forgotten_at_the_next_update,
    ),
    MethodDefect(
        "Retry-After is truncated to whole seconds",
        f"{ANSWERS}.HeldOffAnswerTest"
        ".test_retry_after_below_one_second_is_not_rounded_down",
        HttpReplicaProtocol,
        "notice",
        _truncated_to_whole_seconds,
    ),
    MethodDefect(
        "a replica that is held off is probed",
        f"{ANSWERS}.HeldOffAnswerTest.test_held_off_engine_is_not_probed",
        StreamLivenessMonitor,
        "_may_probe",
        _probed_while_held_off,
    ),
    MethodDefect(
        "a hold-off is published to other routers",
        f"{NOTICES}.TwoRoutersTest.test_hold_off_is_not_published",
        ReplicaNotices,
        "handle",
        _holds_published,
    ),
    MethodDefect(
        "waiting requests are sent at once after a hold",
        f"{NOTICES}.HoldOffTest.test_waiting_requests_are_sent_one_after_the_other",
        ReplicaState,
        "note_sent",
        _sent_at_once,
    ),
)
