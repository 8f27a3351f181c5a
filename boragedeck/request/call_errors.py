"""Errors of calls to plain services, as their callers see them."""

from boragedeck.exceptions import RefusedError
from boragedeck.ids import Ran

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
    """Return the error for a request that is not well formed."""
    return RefusedError(
        text, status=400, kind="invalid_request_error", code="bad_request"
    )


def unknown_route(name: str) -> RefusedError:
    """Return the error for a route that is not there for the organisation."""
    return RefusedError(
        f"no route {name!r} for plain calls",
        status=404,
        kind="invalid_request_error",
        code="route_not_found",
    )


def key_reused() -> RefusedError:
    """Return the error for a key that another request has."""
    return RefusedError(
        "the Idempotency-Key belongs to another request; this one did not run",
        status=422,
        kind="invalid_request_error",
        code="idempotency_key_reused",
    )


def store_unavailable(retry_after_s: float) -> RefusedError:
    """Return the error for a command whose intent can't be written."""
    return RefusedError(
        "the command can't be recorded now, so it did not run; "
        "ask again with the same Idempotency-Key",
        status=503,
        kind="service_unavailable",
        code="store_unavailable",
        retry_after_s=retry_after_s,
        step="record intent",
    )


def overloaded() -> RefusedError:
    """Return the error for a command beyond what one router carries."""
    return RefusedError(
        "too many commands are under way; this one did not run",
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
    """Return the error for a command whose outcome is awaited.

    Parameters
    ----------
    status : int
        409 where another request has the command, 504 where this one's time ran
        out.
    """
    return RefusedError(
        "the command is under way; ask again with the same Idempotency-Key",
        status=status,
        kind="conflict_error" if status == 409 else "timeout_error",
        code="in_progress",
        ran=Ran.UNKNOWN,
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
        The upstream, or the router that has the command.
    retry_after_s : float or None
        When to ask again, where an outcome may still come.
    """
    return RefusedError(
        "the command may have run; its outcome is not known",
        status=502,
        kind="upstream_error",
        code="outcome_unknown",
        ran=Ran.UNKNOWN,
        retry_after_s=retry_after_s,
        step="await outcome",
        peer=peer,
    )


def upstream_failed(peer: str) -> RefusedError:
    """Return the error for a repeatable call whose tries all failed."""
    return RefusedError(
        "no upstream answered the call",
        status=502,
        kind="upstream_error",
        code="upstream_failed",
        ran=Ran.UNKNOWN,
        retry_after_s=OVERLOAD_RETRY_AFTER_S,
        step="call",
        peer=peer,
    )


def body_unavailable(*, is_gone: bool) -> RefusedError:
    """Return the error for an outcome whose body can't be read.

    Parameters
    ----------
    is_gone : bool
        Whether the body is lost for good.
    """
    return RefusedError(
        "the command ran; the body of its response can't be read",
        status=502 if is_gone else 503,
        kind="upstream_error",
        code="body_unavailable",
        ran=Ran.YES,
        retry_after_s=None if is_gone else UNKNOWN_RETRY_AFTER_S,
        step="read body",
    )


def earlier_outcome_unreadable(refusal: RefusedError) -> RefusedError:
    """Return the error for a command that was not sent, but maybe before.

    Parameters
    ----------
    refusal : RefusedError
        Why it was not sent.
    """
    return RefusedError(
        "this request was not sent; whether an earlier one with its "
        "Idempotency-Key ran can't be read now; ask again with the same key",
        status=refusal.status,
        kind=refusal.kind,
        code=refusal.code,
        ran=Ran.UNKNOWN,
        retry_after_s=refusal.retry_after_s,
        step=refusal.step,
        peer=refusal.peer,
    )


def with_ran(exc: RefusedError, ran: Ran) -> RefusedError:
    """Return the same error with another word on whether the request ran."""
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
