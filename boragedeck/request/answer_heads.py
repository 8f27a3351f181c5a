"""Reads the head of the answer that belongs to a request, and skips late answers."""

from collections.abc import Callable
from typing import Any

import msgspec

from boragedeck.connection.exchange import Exchange
from boragedeck.connection.http_message import AnswerHead
from boragedeck.connection.sent_requests import AnswerMatch
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.request.relay_request import ReplicaProtocol
from boragedeck.version.replicas import ReplicaNotice

__all__ = ["AnswerWait", "ReceivedHead", "read_own_head"]

AnswerWait = Callable[[Exchange, Callable[[float], Any]], Any]
"""Waits for a read on an exchange; the argument of the read is its longest wait in
seconds."""

_log = PartLog("answers")


class ReceivedHead(msgspec.Struct, frozen=True):
    """The head of an answer that isn't another request's.

    Parameters
    ----------
    head : AnswerHead
        The head.
    match : AnswerMatch
        How certain it is that the answer belongs to the request; never `OTHER`.
    notice : ReplicaNotice
        What the answer says about the replica that gave it.
    """

    head: AnswerHead
    match: AnswerMatch
    notice: ReplicaNotice


def read_own_head(
    exchange: Exchange,
    protocol: ReplicaProtocol,
    metrics: RelayMetrics,
    wait: AnswerWait,
) -> ReceivedHead:
    """Wait for the answer to a request, and skip late answers to earlier ones.

    Parameters
    ----------
    exchange : Exchange
        The exchange of the request.
    protocol : ReplicaProtocol
        Interprets the heads of answers.
    metrics : RelayMetrics
        Counts answers by how they match.
    wait : callable
        Waits for each head, and for the end of each late answer.

    Raises
    ------
    UpstreamError
        If the answer was lost, or a late one can't be skipped.

    Notes
    -----
    When a late answer was made isn't known, so it may name a hold-off or a limit that
    has ended since. Leaving is for good. It concerns the replica at the other end of
    the connection, which is known only from the request's own answer.
    """
    is_leaving = False
    while True:
        head = wait(exchange, exchange.head)
        answer_id = protocol.request_id(head.headers)
        match = exchange.match(answer_id)
        metrics.answers.labels(match.value).inc()
        if match is AnswerMatch.UNKNOWN:
            _log_mismatch("Answer names no request.", exchange, head, answer_id)
            return ReceivedHead(head, match, ReplicaNotice())
        notice = protocol.notice(head)
        is_leaving = is_leaving or notice.is_leaving
        if match is not AnswerMatch.OTHER:
            notice = msgspec.structs.replace(notice, is_leaving=is_leaving)
            return ReceivedHead(head, match, notice)
        _log_mismatch("Skipped a late answer.", exchange, head, answer_id)
        wait(exchange, exchange.skip)


def _log_mismatch(
    text: str, exchange: Exchange, head: AnswerHead, answer_id: bytes | None
) -> None:
    _log.write(
        text,
        request=_text(exchange.request_id),
        answer_to=_text(answer_id),
        status=head.status,
        address=str(exchange.address),
    )


def _text(request_id: bytes | None) -> str | None:
    return None if request_id is None else request_id.decode("latin-1")
