"""Refusals that a router sends when it has no answer from a replica."""

from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.request.relay_job import RelayJob

__all__ = [
    "crash_refusal",
    "final_refusal",
    "stopped_refusal",
    "stopping_refusal",
    "too_late_refusal",
]

MIN_RETRY_AFTER_S = 0.2
"""Minimum Retry-After for a request that no replica accepted."""


def final_refusal(
    job: RelayJob, reason: str, refused: RefusedError | None = None
) -> RefusedError:
    """Return the final answer for a request that no replica answered.

    Parameters
    ----------
    job : RelayJob
        The request.
    reason : str
        Why its last attempt failed.
    refused : RefusedError or None
        Why no place was granted for another attempt.

    Notes
    -----
    Retry-After is set only if the request certainly has not run.
    """
    if job.may_have_run and job.is_blamed():
        return crash_refusal(job)
    if job.is_given_up:
        return stopped_refusal(job)
    is_late = job.left_s() <= 0.0
    if not job.may_have_run:
        if refused is not None:
            return refused
        wait_s = max(MIN_RETRY_AFTER_S, job.places.hold_remaining_s())
        return RefusedError(
            f"no replica accepted the request: {reason}",
            status=503,
            kind="server_error",
            code="not_taken",
            retry_after_s=wait_s * (1.0 + job.parts.rng.random()),
            step="relay",
        )
    return RefusedError(
        f"no answer in time: {reason}" if is_late else f"no complete answer: {reason}",
        status=504 if is_late else 502,
        kind="server_error",
        code="timeout" if is_late else "upstream_failed",
        ran=ExecutionStatus.UNKNOWN,
        step="relay",
    )


def crash_refusal(job: RelayJob) -> RefusedError:
    """Return the final answer for a request that crashes replicas.

    Notes
    -----
    It has no Retry-After, since the request would be refused again.
    """
    return RefusedError(
        "this request, or a part of its prompt, crashes the replicas that run it",
        status=500,
        kind="server_error",
        code="crashes_replicas",
        ran=ExecutionStatus.UNKNOWN if job.may_have_run else ExecutionStatus.NO,
        step="route",
    )


def too_late_refusal(job: RelayJob) -> RefusedError | None:
    """Return the answer for a stream that can't complete in its caller's time, if so.

    Notes
    -----
    It has no Retry-After, since the request could not be served later either.
    """
    req, left_s = job.req, job.replica_left_s()
    min_duration_s = job.parts.pace.min_duration_s(
        job.pool_name,
        req.prompt_tokens,
        req.expected_tokens,
        req.resume_after or 0,
    )
    if min_duration_s <= left_s:
        return None
    return RefusedError(
        f"the answer takes at least {min_duration_s:.1f} s, {left_s:.1f} s are left",
        status=503,
        kind="server_error",
        code="too_late",
        step="admit",
    )


def stopped_refusal(job: RelayJob) -> RefusedError:
    """Return the final answer for a request that is given up as this process stops."""
    if not job.may_have_run:
        return stopping_refusal()
    return RefusedError(
        "this router stops; the request may have run",
        status=502,
        kind="server_error",
        code="router_stopping",
        ran=ExecutionStatus.UNKNOWN,
        step="relay",
    )


def stopping_refusal() -> RefusedError:
    """Return the answer for a request that would outlast this process.

    Notes
    -----
    Retry-After is 0, since the caller's next attempt reaches another router.
    """
    return RefusedError(
        "this router stops before the answer would be complete",
        status=503,
        kind="server_error",
        code="router_stopping",
        retry_after_s=0.0,
        step="admit",
    )
