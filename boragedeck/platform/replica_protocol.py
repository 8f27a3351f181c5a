"""Writes requests to replicas and reads the heads of their answers."""

import msgspec

from boragedeck.connection.exchange import AnswerHead, Headers, Message
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.platform.names import (
    BACKUP,
    COPY_SOURCE,
    DEADLINE_MS,
    EXPECTED_REPLICA,
    HOP_BY_HOP,
    LAST_EVENT_ID,
    NOT_RUN,
    ORGANISATION,
    REPLICA_ID,
    REPORT_PATH,
    REQUEST_ID,
    SEAL,
)
from boragedeck.request.relay_request import (
    AttemptPlan,
    RelayRequest,
    Verdict,
    VerdictKind,
)
from boragedeck.version.replicas import ReplicaId

__all__ = ["HttpReplicaProtocol"]

MISDIRECTED = 421
PROBE_HOST = (b"Host", b"replica")


class _Model(msgspec.Struct):
    name: str


class _Report(msgspec.Struct):
    models: list[_Model]


class HttpReplicaProtocol:
    """The replicas' protocol; see `ReplicaProtocol`."""

    def message(self, req: RelayRequest, plan: AttemptPlan) -> Message:
        """Return the request as one attempt sends it."""
        headers: Headers = [
            *req.headers,
            (DEADLINE_MS, b"%d" % max(1, int(plan.left_s * 1000.0))),
            (EXPECTED_REPLICA, plan.replica.replica.encode("latin-1")),
        ]
        if plan.organisation is not None:
            headers.append((ORGANISATION, plan.organisation.encode("latin-1")))
        if plan.last_event is not None:
            headers.append((LAST_EVENT_ID, b"%d" % plan.last_event))
        if plan.backup is not None:
            headers.append((BACKUP, str(plan.backup.address).encode()))
        if plan.source is not None:
            source = f"{plan.source.address}/{req.request_id}"
            headers.append((COPY_SOURCE, source.encode("latin-1")))
        return Message(req.method, req.target, headers, req.body)

    def probe(self) -> Message:
        """Return a question that any live engine answers without a slot."""
        return Message(b"GET", REPORT_PATH, [PROBE_HOST])

    def models(self, body: bytes) -> frozenset[str]:
        """Return the models that an engine's answer to `probe` names."""
        try:
            report = msgspec.json.decode(body, type=_Report)
        except DECODE_ERRORS:
            # What isn't a report comes from a replica that is no engine.
            return frozenset()
        return frozenset(model.name for model in report.models)

    def judge(self, req: RelayRequest, head: AnswerHead) -> Verdict:
        """Return what the head of an answer means."""
        echoed = head.get(REQUEST_ID.lower())
        if head.status == MISDIRECTED:
            found = head.get(REPLICA_ID.lower())
            name = None if found is None else ReplicaId(found.decode("latin-1"))
            return Verdict(VerdictKind.MOVED, found=name)
        if echoed is not None and echoed != req.request_id.encode("latin-1"):
            return Verdict(VerdictKind.STRAY)
        if head.get(NOT_RUN.lower()) is not None:
            return Verdict(VerdictKind.NOT_RUN)
        if head.get(b"content-encoding") is not None:
            return Verdict(VerdictKind.INVALID)
        is_success = 200 <= head.status < 300
        if is_success and (echoed is None or head.get(SEAL.lower()) is None):
            return Verdict(VerdictKind.INVALID)
        kind = VerdictKind.SUCCESS if is_success else VerdictKind.FAILED
        return Verdict(kind, _passed_on(head))


def _passed_on(head: AnswerHead) -> Headers:
    return [
        (name, value) for name, value in head.headers if name.lower() not in HOP_BY_HOP
    ]
