"""Errors with which an answer ends before it is complete."""

from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.request.answer import Answer, ErrorInfo

__all__ = [
    "deadline_error",
    "internal_error",
    "refusal_error",
    "route_gone_error",
    "upstreams_failed_error",
]

RETRY_AFTER_S = 5.0


def refusal_error(error: RefusedError, ran: ExecutionStatus) -> ErrorInfo:
    """Return the error of an answer that the chooser refused.

    Parameters
    ----------
    error : RefusedError
        The refusal of the chooser.
    ran : ExecutionStatus
        Whether an earlier attempt ran.
    """
    return ErrorInfo(
        message=error.message,
        status=error.status,
        kind=error.kind,
        code=error.code,
        ran=error.ran if ran is ExecutionStatus.NO else ran,
        retry_after_s=error.retry_after_s,
    )


def deadline_error(ran: ExecutionStatus) -> ErrorInfo:
    """Return the error of a request whose deadline has passed."""
    text = "the request's deadline has passed"
    return ErrorInfo(text, 504, "timeout_error", "deadline", ran)


def route_gone_error(answer: Answer, ran: ExecutionStatus) -> ErrorInfo:
    """Return the error of an answer whose route or pool was removed."""
    text = f"route {answer.spec.route!r} or its pool is no longer configured"
    return ErrorInfo(text, 404, "invalid_request_error", "route_gone", ran)


def upstreams_failed_error(attempts: int, ran: ExecutionStatus) -> ErrorInfo:
    """Return the error of an answer for which too many attempts failed."""
    text = f"{attempts} attempts on the pool's upstreams failed"
    return ErrorInfo(
        text, 502, "upstream_error", "upstreams_failed", ran, RETRY_AFTER_S
    )


def internal_error(ran: ExecutionStatus) -> ErrorInfo:
    """Return the error of a request that failed because of a bug in the router."""
    text = "the router failed; it has logged the cause"
    return ErrorInfo(text, 500, "server_error", "internal_error", ran)
