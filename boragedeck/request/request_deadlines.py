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
    """Times on the timer service's monotonic clock at which parts of a request end.

    Parameters
    ----------
    final_answer : float
        When a request whose answer hasn't begun is given up, and is answered so.
    replica : float
        Until when a replica may work on it.
    begun_answer : float
        Until when an answer that has begun goes on.

    Notes
    -----
    A caller may count its time from the first byte of its request or from the last one.
    What ends an answer that has begun waits for the later of the two.
    """

    final_answer: float
    replica: float
    begun_answer: float


def request_deadlines(req: RelayRequest, rule: RouteRule) -> RequestDeadlines:
    """Return the deadlines of a request on a route."""
    if req.caller_timeout_s is None:
        timeout_s = final_answer_s = rule.timeout_s
    else:
        timeout_s = min(rule.timeout_s, req.caller_timeout_s)
        margin_s = _final_answer_margin_s(req.caller_timeout_s)
        final_answer_s = min(rule.timeout_s, req.caller_timeout_s - margin_s)
    return RequestDeadlines(
        final_answer=req.arrived + final_answer_s,
        replica=req.arrived + timeout_s,
        begun_answer=req.received + timeout_s,
    )


def _final_answer_margin_s(caller_timeout_s: float) -> float:
    return min(MAX_FINAL_ANSWER_MARGIN_S, FINAL_ANSWER_MARGIN_SHARE * caller_timeout_s)
