"""Rows of the rollouts table: one for each attempt to move a route."""

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
    """Where an attempt stands; only `RUNNING` ever changes."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "taken back"


class Cause(enum.Enum):
    """Why an attempt is in its state, for programs."""

    MOVING = "moving"
    FIRST_VERSION = "first version"
    EVIDENCE = "evidence"
    FAULT = "fault"
    DEADLINE = "deadline"
    SUPERSEDED = "superseded"
    NO_ROOM = "no room"


class StepNote(msgspec.Struct, frozen=True, array_like=True):
    """One decision about an attempt, for operators.

    Parameters
    ----------
    at : float
        When it was decided, in Unix seconds.
    share : float
        The share of the new version from then on, from 0 to 1.
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
        Counts the route's attempts from 0; the highest one holds.
    pool : PoolName
        The pool that serves the route.
    old : Version or None
        The version in force when the attempt started.
    new : Version
        The version that the route asks for.
    deadline : float
        When the move must be done, in Unix seconds.
    asked_deadline : float or None
        The deadline as the route states it.
    revision : Revision
        The configuration that asked for it.
    started : float
        When the attempt started, in Unix seconds.
    state : State
        Where it stands.
    cause : Cause
        Why, for programs.
    reason : str
        Why, for people.
    action : str
        What an operator can do next.
    step : int
        Index of the step in force.
    step_since : float
        When the step was committed, in Unix seconds.
    share : float
        Share of the new version, from 0 to 1.
    allowance : float or None
        Requests that all routers together may send to the new version in this step;
        None once the first evidence is in.
    routers : int
        Routers at the time of the step.
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
        """The version that the route has moved to, or stays on."""
        return self.new if self.state is State.DONE else self.old

    @property
    def is_running(self) -> bool:
        """Whether the attempt has no outcome yet."""
        return self.state is State.RUNNING

    def key(self) -> str:
        """Return the row's key."""
        return row_key(self.route, self.number)

    def with_note(self, at: float, **changes) -> "RolloutRow":
        """Return the row with changes, and a note of their reason."""
        row = msgspec.structs.replace(self, **changes)
        note = StepNote(at, row.share, row.reason)
        return msgspec.structs.replace(row, notes=(*self.notes, note)[-MAX_NOTES:])

    def writes(self, expect: int) -> tuple[Put, Put]:
        """Return the writes of the row and of its route's head.

        Parameters
        ----------
        expect : int
            The version that the head must have.
        """
        value = msgspec.json.encode(self)
        return (
            Put(Table.ROLLOUTS, head_key(self.route), value, expect),
            Put(Table.ROLLOUTS, self.key(), value),
        )


class StopRow(msgspec.Struct, frozen=True):
    """States that a router has stopped an attempt; it excludes `State.DONE`.

    Parameters
    ----------
    router : RouterId
        The router whose evidence it was.
    at : float
        When it stopped, in Unix seconds.
    reason : str
        What the evidence showed.
    """

    router: RouterId
    at: float
    reason: str


def row_key(route: str, number: int) -> str:
    """Return the key of an attempt's row; keys sort by attempt."""
    return f"attempt/{route}/{number:08d}"


def head_key(route: str) -> str:
    """Return the key under which a route's latest row is kept again."""
    return HEAD_PREFIX + route


def stop_key(route: str, number: int) -> str:
    """Return the key of an attempt's stop."""
    return f"stop/{route}/{number:08d}"


def stop_write(row: RolloutRow, stop: StopRow) -> Put:
    """Return the write that records the first stop of an attempt."""
    key = stop_key(row.route, row.number)
    return Put(Table.ROLLOUTS, key, msgspec.json.encode(stop), ABSENT)


def no_stop_condition(row: RolloutRow) -> Write:
    """Return a condition that holds while no router has recorded a stop."""
    return Delete(Table.ROLLOUTS, stop_key(row.route, row.number), ABSENT)


def decode_row(row: Row) -> RolloutRow:
    """Decode an attempt's row.

    Raises
    ------
    msgspec.MsgspecError
        If the content is not a `RolloutRow`.
    """
    return msgspec.json.decode(row.value, type=RolloutRow)
