"""Encodes requests to replicas and interprets the heads of their answers."""

import math

import msgspec

from boragedeck.connection.http_message import AnswerHead, Headers, Message
from boragedeck.connection.sent_requests import AnswerMatch
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.platform.header_text import decode_header_text, encode_header_text
from boragedeck.platform.names import (
    BACKUP,
    COPY_SOURCE,
    DEADLINE_MS,
    EXPECTED_REPLICA,
    HOP_BY_HOP,
    LAST_EVENT_ID,
    LEAVING,
    NOT_RUN,
    ORGANISATION,
    RATE_LIMIT,
    REJECTION_LIMIT,
    REPLICA_ID,
    REPORT_PATH,
    REQUEST_ID,
    REQUEST_PRIORITY,
    RETRY_AFTER,
    SEAL,
)
from boragedeck.request.relay_request import (
    AttemptPlan,
    RelayRequest,
    Verdict,
    VerdictKind,
)
from boragedeck.version.replicas import (
    HoldOff,
    RateLimit,
    RejectionLimit,
    ReplicaId,
    ReplicaNotice,
)

__all__ = ["HttpReplicaProtocol"]

STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
LEAVING_VALUE = b"1"
MAX_LOGGED_HEADER_BYTES = 100
MAX_PRIORITY = 9
PROBE_HOST_HEADER = (b"Host", b"replica")


class _Model(msgspec.Struct):
    name: str


class _Report(msgspec.Struct):
    models: list[_Model]


class HttpReplicaProtocol:
    """`ReplicaProtocol` over HTTP, with the platform's headers."""

    def message(self, req: RelayRequest, plan: AttemptPlan) -> Message:
        """Return the request that is sent for one attempt."""
        headers: Headers = [
            *req.headers,
            (DEADLINE_MS, b"%d" % max(1, int(plan.left_s * 1000.0))),
            (EXPECTED_REPLICA, encode_header_text(plan.replica.replica)),
        ]
        if plan.organisation is not None:
            headers.append((ORGANISATION, encode_header_text(plan.organisation)))
        if plan.last_event is not None:
            headers.append((LAST_EVENT_ID, b"%d" % plan.last_event))
        if plan.backup is not None:
            headers.append((BACKUP, str(plan.backup.address).encode()))
        if plan.source is not None:
            source = f"{plan.source.address}/{req.request_id}"
            headers.append((COPY_SOURCE, source.encode("latin-1")))
        if plan.priority is not None:
            priority = min(MAX_PRIORITY, max(0, plan.priority))
            headers.append((REQUEST_PRIORITY, b"%d" % priority))
        request_id = self.request_id(headers)
        return Message(req.method, req.target, headers, req.body, request_id)

    def request_id(self, headers: Headers) -> bytes | None:
        """Return the id that a request or an answer names; None if it has none.

        Notes
        -----
        Headers that name several requests name none.
        """
        name = REQUEST_ID.lower()
        values = {value for other, value in headers if other.lower() == name}
        return (values.pop() or None) if len(values) == 1 else None

    def probe_message(self, expected: ReplicaId | None = None) -> Message:
        """Return a probe, which any live engine answers without using a slot.

        Parameters
        ----------
        expected : ReplicaId, optional
            The replica that is asked; another one at its address says so.
        """
        headers: Headers = [PROBE_HOST_HEADER]
        if expected is not None:
            headers.append((EXPECTED_REPLICA, encode_header_text(expected)))
        return Message(b"GET", REPORT_PATH, headers)

    def models(self, body: bytes) -> frozenset[str]:
        """Return the models listed in an engine's answer to a probe."""
        try:
            report = msgspec.json.decode(body, type=_Report)
        except DECODE_ERRORS:
            # A replica that isn't an engine sends no valid report.
            return frozenset()
        return frozenset(model.name for model in report.models)

    def notice(self, head: AnswerHead) -> ReplicaNotice:
        """Return the notice about the replica's own state in the head of an answer."""
        return ReplicaNotice(
            is_leaving=LEAVING_VALUE in head.all(LEAVING.lower()),
            hold_off=_hold_off(head),
            rate_limit=_rate_limit(head),
            rejection_limit=_rejection_limit(head),
        )

    def verdict(self, head: AnswerHead, match: AnswerMatch) -> Verdict:
        """Return the classification of an answer that isn't another request's."""
        match match:
            case AnswerMatch.OWN:
                return _own_verdict(head)
            case AnswerMatch.UNPROVEN:
                verdict = _own_verdict(head)
                is_claim = verdict.kind in (VerdictKind.MOVED, VerdictKind.NOT_RUN)
                return Verdict(VerdictKind.INVALID) if is_claim else verdict
        return Verdict(VerdictKind.INVALID)


def _own_verdict(head: AnswerHead) -> Verdict:
    """Return the classification of an answer that names the request."""
    if head.status == STATUS_MISDIRECTED:
        actual_id = head.get(REPLICA_ID.lower())
        name = None if actual_id is None else decode_header_text(actual_id)
        # An empty value names no replica.
        actual = ReplicaId(name) if name else None
        return Verdict(VerdictKind.MOVED, actual_replica=actual)
    if head.get(NOT_RUN.lower()) is not None:
        return Verdict(VerdictKind.NOT_RUN)
    if head.get(b"content-encoding") is not None:
        return Verdict(VerdictKind.INVALID)
    is_success = 200 <= head.status < 300
    if is_success and head.get(SEAL.lower()) is None:
        return Verdict(VerdictKind.INVALID)
    kind = VerdictKind.SUCCESS if is_success else VerdictKind.FAILED
    return Verdict(kind, _forwarded_headers(head))


def _hold_off(head: AnswerHead) -> HoldOff | None:
    values = head.all(RETRY_AFTER.lower())
    if head.status != STATUS_UNAVAILABLE or not values:
        return None
    # If the header occurs several times, the longest wait satisfies all values.
    return HoldOff(max(_parse_numbers(values), default=None), _log_text(values))


def _rate_limit(head: AnswerHead) -> RateLimit | None:
    values = head.all(RATE_LIMIT.lower())
    if not values:
        return None
    # If the header occurs several times, the lowest limit satisfies all values.
    return RateLimit(min(_parse_numbers(values), default=None), _log_text(values))


def _rejection_limit(head: AnswerHead) -> RejectionLimit | None:
    values = head.all(REJECTION_LIMIT.lower())
    if not values:
        return None
    # If the header occurs several times, the lowest limit satisfies all values.
    return RejectionLimit(min(_parse_numbers(values), default=None), _log_text(values))


def _parse_numbers(values: list[bytes]) -> list[float]:
    """Return the values that are finite decimal numbers and not negative."""
    numbers = []
    for value in values:
        try:
            number = float(value)
        except ValueError:
            # The caller treats a header without a valid value as a case of its own.
            continue
        if math.isfinite(number) and number >= 0.0:
            numbers.append(number)
    return numbers


def _log_text(values: list[bytes]) -> str:
    return b", ".join(values)[:MAX_LOGGED_HEADER_BYTES].decode("latin-1")


def _forwarded_headers(head: AnswerHead) -> Headers:
    return [
        (name, value) for name, value in head.headers if name.lower() not in HOP_BY_HOP
    ]
