"""Rows of the rollouts table: one row for each attempt to move a route."""

import enum

import msgspec

from boragedeck.connection.store import ABSENT, Delete, Put, Row, Table, Write
from boragedeck.ids import PoolName, Revision, RouteName, RouterId, Version

__all__ = [
    "HEAD_PREFIX",
    "Cause",
    "RolloutRow",
    "State",
    "StepNote",
    "StopRow",
    "decode_row",
    "head_key",
    "row_key",
    "no_stop_condition",
    "stop_key",
    "stop_write",
]

HEAD_PREFIX = "head/"
MAX_NOTES = 32


class State(enum.Enum):
    """State of an attempt; only `RUNNING` can change to another state."""

    RUNNING = "running"
    DONE = "done"
    """The new version is in force."""
    ROLLED_BACK = "taken back"
    """The old version remains in force."""


class Cause(enum.Enum):
    """Machine-readable reason for an attempt's state."""

    MOVING = "moving"
    """The attempt is running."""
    FIRST_VERSION = "first version"
    """The route had no row yet, so the version is in force without a rollout."""
    EVIDENCE = "evidence"
    """The last step ended without significant evidence against the new version."""
    FAULT = "fault"
    """A router stopped the attempt because of the evidence."""
    DEADLINE = "deadline"
    """The attempt could not be completed before the deadline."""
    SUPERSEDED = "superseded"
    """The configuration no longer requests this move."""
    NO_CAPACITY = "no room"
    """The declared upstreams of the new version can't carry the traffic."""


class StepNote(msgspec.Struct, frozen=True, array_like=True):
    """One decision about an attempt, for operators.

    Parameters
    ----------
    at : float
        Time of the decision, in Unix seconds.
    share : float
        Share of the new version after the decision, from 0 to 1.
    text : str
        The decision and its reason.
    """

    at: float
    share: float
    text: str


class RolloutRow(msgspec.Struct, frozen=True):
    """An attempt to move a route to a new version.

    Parameters
    ----------
    route : RouteName
        The route.
    number : int
        Number of the attempt, counted from 0 for each route; the highest is current.
    pool : PoolName
        The pool that serves the route.
    old : Version or None
        The version in force when the attempt started; None for a first version.
    new : Version
        The version that the route requests.
    deadline : float
        Time by which the move must be done, in Unix seconds.
    asked_deadline : float or None
        The deadline in the route's configuration; None if it has none.
    revision : Revision
        The revision of the configuration that requested the move.
    started : float
        Start of the attempt, in Unix seconds.
    state : State
        State of the attempt.
    cause : Cause
        Machine-readable reason for the state.
    reason : str
        Reason for the state, for operators.
    action : str
        What an operator can do next.
    step : int
        Index of the current step.
    step_since : float
        Time at which the step was committed, in Unix seconds.
    share : float
        Share of the new version, from 0 to 1.
    allowance : float or None
        Maximum number of requests that all routers together may send to the new
        version in this step; None after the first steps, for no limit.
    routers : int
        Number of routers when the step began.
    window_s : float
        Length of an evidence window, in seconds.
    token : int
        Fencing token of the leader that wrote the row.
    writer : RouterId
        The leader that wrote the row.
    notes : tuple of StepNote
        The latest decisions, oldest first.
    """

    route: RouteName
    number: int
    pool: PoolName
    old: Version | None
    new: Version
    deadline: float
    asked_deadline: float | None
    revision: Revision
    started: float
    state: State = State.RUNNING
    cause: Cause = Cause.MOVING
    reason: str = ""
    action: str = ""
    step: int = 0
    step_since: float = 0.0
    share: float = 0.0
    allowance: float | None = None
    routers: int = 1
    window_s: float = 5.0
    token: int = 0
    writer: RouterId = RouterId("")
    notes: tuple[StepNote, ...] = ()

    @property
    def in_force(self) -> Version | None:
        """The version that the route has moved to, or the old one if it has not."""
        return self.new if self.state is State.DONE else self.old

    @property
    def is_running(self) -> bool:
        """Whether the attempt has no outcome yet."""
        return self.state is State.RUNNING

    def key(self) -> str:
        """Return the row's key."""
        return row_key(self.route, self.number)

    def with_note(self, at: float, **changes) -> "RolloutRow":
        """Return a changed copy of the row with a note that records the reason."""
        row = msgspec.structs.replace(self, **changes)
        note = StepNote(at, row.share, row.reason)
        return msgspec.structs.replace(row, notes=(*self.notes, note)[-MAX_NOTES:])

    def writes(self, expect: int) -> tuple[Put, Put]:
        """Return the writes of the attempt's row and of its route's head.

        Parameters
        ----------
        expect : int
            The version that the stored head must have.
        """
        value = msgspec.json.encode(self)
        return (
            Put(Table.ROLLOUTS, head_key(self.route), value, expect),
            Put(Table.ROLLOUTS, self.key(), value),
        )


class StopRow(msgspec.Struct, frozen=True):
    """Records that a router has stopped an attempt, which rules out `State.DONE`.

    Parameters
    ----------
    router : RouterId
        The router that stopped the attempt.
    at : float
        Time of the stop, in Unix seconds.
    reason : str
        The evidence for the stop.
    """

    router: RouterId
    at: float
    reason: str


def row_key(route: str, number: int) -> str:
    """Return the key of an attempt's row; the keys of a route sort by number."""
    return f"attempt/{route}/{number:08d}"


def head_key(route: str) -> str:
    """Return the key of a route's head, a second copy of its latest row."""
    return HEAD_PREFIX + route


def stop_key(route: str, number: int) -> str:
    """Return the key of an attempt's stop."""
    return f"stop/{route}/{number:08d}"


def stop_write(row: RolloutRow, stop: StopRow) -> Put:
    """Return the write that records a stop if the attempt has none yet."""
    key = stop_key(row.route, row.number)
    return Put(Table.ROLLOUTS, key, msgspec.json.encode(stop), ABSENT)


def no_stop_condition(row: RolloutRow) -> Write:
    """Return a write condition that holds while no router has recorded a stop."""
    return Delete(Table.ROLLOUTS, stop_key(row.route, row.number), ABSENT)


def decode_row(row: Row) -> RolloutRow:
    """Decode an attempt's row.

    Raises
    ------
    msgspec.MsgspecError
        If the content is not a `RolloutRow`.
    """
    return msgspec.json.decode(row.value, type=RolloutRow)
