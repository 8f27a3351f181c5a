"""Texts in rollout rows that tell operators what they can do."""

from boragedeck.version.rollout_row import Cause, State
from boragedeck.version.tables import Route

__all__ = ["RUNNING_ACTION", "action", "superseded"]

RUNNING_ACTION = (
    "wait, or set the route's version back to the old one to end the move at once"
)


def action(state: State, cause: Cause) -> str:
    """Return what an operator can do about an attempt that has ended."""
    match state, cause:
        case State.DONE, Cause.FIRST_VERSION:
            return "nothing; edit the route's version to move it"
        case State.DONE, _:
            return "mark the old version's upstreams as leaving, then remove them"
        case _, Cause.FAULT:
            return (
                "set the route's version back to the old one, fix the new one and "
                "publish it under a new name, or set a new deadline to try again"
            )
        case _, Cause.NO_CAPACITY:
            return (
                "add upstreams of the new version to the pool, or clear `leaving`, "
                "then set a new deadline to try again"
            )
        case _, Cause.DEADLINE:
            return "set a later deadline to try again"
        case _, Cause.SUPERSEDED:
            return "nothing; the later edit is carried out"
    return "see the reason"


def superseded(route: Route) -> str:
    """Return the reason for the end of an attempt that a later edit supersedes."""
    if route.version is None:
        return "the route no longer requests a version"
    return f"a later edit requests {route.version} by {route.deadline or 'no deadline'}"
