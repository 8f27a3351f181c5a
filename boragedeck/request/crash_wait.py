"""Keeps requests that may crash replicas from doing so before that is found out.

A request that crashes each replica at which its answer begins must not be sent to one
after the other faster than the routers can find that out. Once they have, those that
are still read by replicas are withdrawn.
"""

from collections.abc import Callable
from typing import TypeVar

from boragedeck.connection.exchange import Exchange
from boragedeck.exceptions import UpstreamError, UpstreamWithdrawnError
from boragedeck.process.relaying.placing.place import Place
from boragedeck.request.relay_attempt import CONNECT_TIMEOUT_S, probe
from boragedeck.request.relay_job import RelayJob

__all__ = ["await_crash_verdict", "wait_unless_blamed"]

T = TypeVar("T")

MAX_WAIT_S = 0.6
POLL_S = 0.02
MIN_LOST_TO_WAIT = 2
"""Replicas lost when the answer began, after which a request waits for a verdict."""


def await_crash_verdict(job: RelayJob, place: Place) -> None:
    """Wait after a replica was lost when the answer of a request had begun.

    Parameters
    ----------
    job : RelayJob
        The request.
    place : Place
        The place at the replica.

    Notes
    -----
    The first loss is most probably no fault of the request, and the caller waits. So
    only a request that has lost another replica before waits, or one with a part that
    is suspected already. A probe shows at once whether the replica is really lost.
    """
    blame, timers = job.parts.crash_blame, job.parts.timers
    is_second = job.lost_at_begin >= MIN_LOST_TO_WAIT
    if not (is_second or blame.is_suspected(job.traits)):
        return
    until = min(timers.now() + MAX_WAIT_S, job.deadline)
    # An idle connection to a lost replica would fail without showing that it is lost.
    job.parts.upstreams.forget(place.state.replica.address)
    if probe(job.parts, place, CONNECT_TIMEOUT_S) is not None:
        place.state.note_output(timers.now())
        return
    while timers.now() < until and not job.is_blamed():
        timers.sleep(POLL_S)


def wait_unless_blamed(job: RelayJob, exchange: Exchange, wait: Callable[[], T]) -> T:
    """Wait for an answer to begin; withdraw the request if it is blamed meanwhile.

    Parameters
    ----------
    job : RelayJob
        The request.
    exchange : Exchange
        The exchange.
    wait : callable
        Waits for the answer, or for a part of what precedes it.

    Raises
    ------
    UpstreamWithdrawnError
        If the request was withdrawn.
    """
    if job.is_trial:
        return wait()
    is_withdrawn = False

    def check() -> None:
        nonlocal is_withdrawn
        if job.is_blamed():
            is_withdrawn = True
            exchange.interrupt()

    on_blamed = job.parts.crash_blame.on_blamed
    on_blamed.add(check)
    try:
        return wait()
    except UpstreamError as exc:
        if not is_withdrawn:
            raise
        raise UpstreamWithdrawnError(
            "a part of the request was found to crash replicas", step="read head"
        ) from exc
    finally:
        on_blamed.discard(check)
