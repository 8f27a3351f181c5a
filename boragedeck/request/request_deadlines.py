"""When the time of a relayed request is over."""

import msgspec

from boragedeck.request.relay_request import RelayRequest
from boragedeck.version.routing import RouteRule

__all__ = ["RequestDeadlines", "request_deadlines"]

FINAL_ANSWER_MARGIN_SHARE = 0.05
MAX_FINAL_ANSWER_MARGIN_S = 0.05
"""A router's own final answer is due this long before the caller's time-out, at most,
so that it arrives."""


class RequestDeadlines(msgspec.Struct, frozen=True):
    """Times on the timer service's monotonic clock at which a request ends.

    Parameters
    ----------
    final_answer : float
        When a request whose answer hasn't begun is given up, and is answered so.
    answer_end : float
        Until when an answer that has begun goes on, and a replica may work on it.

    Notes
    -----
    A caller may count its time from the first byte of its request or from the last one.
    What is said before its time is over comes by the earlier count, and what ends an
    answer by the later one.
    """

    final_answer: float
    answer_end: float


def request_deadlines(req: RelayRequest, rule: RouteRule) -> RequestDeadlines:
    """Return the deadlines of a request on a route."""
    timeout_s = final_answer_s = rule.timeout_s
    if req.caller_timeout_s is not None:
        margin_s = _final_answer_margin_s(req.caller_timeout_s)
        timeout_s = min(rule.timeout_s, req.caller_timeout_s)
        final_answer_s = min(rule.timeout_s, req.caller_timeout_s - margin_s)
    return RequestDeadlines(
        final_answer=req.arrived + final_answer_s,
        answer_end=req.received + timeout_s,
    )


def _final_answer_margin_s(caller_timeout_s: float) -> float:
    return min(MAX_FINAL_ANSWER_MARGIN_S, FINAL_ANSWER_MARGIN_SHARE * caller_timeout_s)
