"""Errors that are returned to callers of plain services."""

from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus

__all__ = [
    "bad_request",
    "in_progress",
    "key_reused",
    "upstream_failed",
    "body_unavailable",
    "outcome_unknown",
    "overloaded",
    "store_unavailable",
    "unknown_route",
    "earlier_outcome_unreadable",
    "unreachable",
    "with_ran",
]

IN_PROGRESS_RETRY_AFTER_S = 1.0
UNKNOWN_RETRY_AFTER_S = 5.0
OVERLOAD_RETRY_AFTER_S = 1.0


def bad_request(text: str) -> RefusedError:
    """Return the error for a malformed request."""
    return RefusedError(
        text, status=400, kind="invalid_request_error", code="bad_request"
    )


def unknown_route(name: str) -> RefusedError:
    """Return the error for a route that the organisation can't use."""
    return RefusedError(
        f"no route {name!r} for plain calls",
        status=404,
        kind="invalid_request_error",
        code="route_not_found",
    )


def key_reused() -> RefusedError:
    """Return the error for a key that was used for a different request."""
    return RefusedError(
        "the Idempotency-Key belongs to another request; this one did not run",
        status=422,
        kind="invalid_request_error",
        code="idempotency_key_reused",
    )


def store_unavailable(retry_after_s: float) -> RefusedError:
    """Return the error for a command whose intent can't be stored."""
    return RefusedError(
        "the command can't be recorded now, so it did not run; "
        "retry with the same Idempotency-Key",
        status=503,
        kind="service_unavailable",
        code="store_unavailable",
        retry_after_s=retry_after_s,
        step="record intent",
    )


def overloaded() -> RefusedError:
    """Return the error for a command beyond the limit of running commands."""
    return RefusedError(
        "too many commands are running; this one did not run",
        status=503,
        kind="service_unavailable",
        code="overloaded",
        retry_after_s=OVERLOAD_RETRY_AFTER_S,
    )


def unreachable(peer: str) -> RefusedError:
    """Return the error for a call that reached no upstream."""
    return RefusedError(
        "no upstream could be reached; the call did not run",
        status=503,
        kind="service_unavailable",
        code="upstream_unreachable",
        retry_after_s=OVERLOAD_RETRY_AFTER_S,
        step="connect",
        peer=peer,
    )


def in_progress(status: int = 409) -> RefusedError:
    """Return the error for a command that is still running.

    Parameters
    ----------
    status : int
        409 if another request runs the command, 504 if this request's time ran out.
    """
    return RefusedError(
        "the command is still running; retry with the same Idempotency-Key",
        status=status,
        kind="conflict_error" if status == 409 else "timeout_error",
        code="in_progress",
        ran=ExecutionStatus.UNKNOWN,
        retry_after_s=IN_PROGRESS_RETRY_AFTER_S,
        step="await outcome",
    )


def outcome_unknown(
    *, peer: str = "", retry_after_s: float | None = None
) -> RefusedError:
    """Return the error for a command that may have run.

    Parameters
    ----------
    peer : str
        The upstream, or the router that runs the command.
    retry_after_s : float or None
        When to retry, if an outcome may still be recorded.
    """
    return RefusedError(
        "the command may have run; its outcome is not known",
        status=502,
        kind="upstream_error",
        code="outcome_unknown",
        ran=ExecutionStatus.UNKNOWN,
        retry_after_s=retry_after_s,
        step="await outcome",
        peer=peer,
    )


def upstream_failed(peer: str) -> RefusedError:
    """Return the error for a repeatable call after all attempts have failed."""
    return RefusedError(
        "no upstream answered the call",
        status=502,
        kind="upstream_error",
        code="upstream_failed",
        ran=ExecutionStatus.UNKNOWN,
        retry_after_s=OVERLOAD_RETRY_AFTER_S,
        step="call",
        peer=peer,
    )


def body_unavailable(*, is_lost: bool) -> RefusedError:
    """Return the error for an outcome whose body can't be read.

    Parameters
    ----------
    is_lost : bool
        Whether the body is permanently lost.
    """
    return RefusedError(
        "the command ran; the body of its response can't be read",
        status=502 if is_lost else 503,
        kind="upstream_error",
        code="body_unavailable",
        ran=ExecutionStatus.YES,
        retry_after_s=None if is_lost else UNKNOWN_RETRY_AFTER_S,
        step="read body",
    )


def earlier_outcome_unreadable(refusal: RefusedError) -> RefusedError:
    """Return the error for an unsent command that may have run earlier.

    Parameters
    ----------
    refusal : RefusedError
        Why the command was not sent.
    """
    return RefusedError(
        "this request was not sent; it can't be determined now whether an earlier "
        "one with its Idempotency-Key ran; retry with the same key",
        status=refusal.status,
        kind=refusal.kind,
        code=refusal.code,
        ran=ExecutionStatus.UNKNOWN,
        retry_after_s=refusal.retry_after_s,
        step=refusal.step,
        peer=refusal.peer,
    )


def with_ran(exc: RefusedError, ran: ExecutionStatus) -> RefusedError:
    """Return a copy of an error with another value of `ran`."""
    return RefusedError(
        exc.message,
        status=exc.status,
        kind=exc.kind,
        code=exc.code,
        ran=ran,
        retry_after_s=exc.retry_after_s,
        step=exc.step,
        peer=exc.peer,
    )
