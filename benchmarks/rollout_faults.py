"""Rollout scenarios: faults of the new version, and events during the rollout."""

import enum

import msgspec

__all__ = ["SCENARIOS", "Event", "EventKind", "Fault", "Scenario", "scenario"]


class Fault(enum.Enum):
    """Fault of a new version."""

    NONE = "none"
    FAILS = "fails"
    SLOW = "slow"
    SLOW_UNDER_LOAD = "slow under load"
    CRASHES = "crashes after N requests"
    FAILS_LONG = "fails on long outputs"


class EventKind(enum.Enum):
    """Kind of event during a rollout."""

    OVERLOAD = "overload"
    DOMAIN_LOST = "domain lost"
    POISON = "poison request"
    STORE_SLOW = "store slow"
    STORE_DOWN = "store down"
    ENGINE_LOST = "engine lost"
    LEADER_KILLED = "leader killed"
    LEADER_PAUSED = "leader paused"
    PARTITION = "partition"
    EDIT_BACK = "edit back"
    EDIT_DEADLINE = "edit deadline"
    RACING_EDITS = "racing edits"


class Event(msgspec.Struct, frozen=True):
    """An event during a rollout.

    Parameters
    ----------
    kind : EventKind
        The kind.
    at : float
        Start, as a share of the time from the edit to the deadline.
    until : float
        End, as a share of the same time; 0 for an event without an end.
    """

    kind: EventKind
    at: float
    until: float = 0.0


class Scenario(msgspec.Struct, frozen=True):
    """One row of the matrix.

    Parameters
    ----------
    name : str
        Its name in the results.
    fault : Fault
        Fault of the new version.
    fault_at : float
        Start of the fault, as a share of the time from the edit to the deadline.
    fault_route : str
        The route that has the fault; empty for all.
    events : tuple of Event
        Events during the rollout.
    may_finish : bool
        Whether the rollout of a good version can complete in time.
    must_finish : bool
        Whether the rollout of a good version must complete in time.
    rate : float
        Requests per second on each route.
    length_s : float
        Time from the edit to the deadline, in seconds.
    routes : tuple of str
        Names of the routes that roll out the new version.
    """

    name: str
    fault: Fault = Fault.NONE
    fault_at: float = 0.0
    fault_route: str = ""
    events: tuple[Event, ...] = ()
    may_finish: bool = True
    must_finish: bool = True
    rate: float = 12.0
    length_s: float = 600.0
    routes: tuple[str, ...] = ("chat",)

    def is_bad(self, route: str) -> bool:
        """Return whether the new version is bad on a route."""
        return self.fault is not Fault.NONE and self.fault_route in ("", route)


def _event(kind: EventKind, at: float, until: float = 0.0) -> tuple[Event, ...]:
    return (Event(kind, at, until),)


def _at_each_step(kind: EventKind) -> tuple[Event, ...]:
    return tuple(Event(kind, at, at + 0.06) for at in (0.03, 0.25, 0.45, 0.55, 0.84))


SCENARIOS = (
    Scenario("bad: fails at once", Fault.FAILS),
    Scenario("bad: slow at once", Fault.SLOW),
    Scenario("bad: fails after minutes", Fault.FAILS, 0.5),
    Scenario("bad: fails in the soak", Fault.FAILS, 0.75),
    Scenario("bad: slow after minutes", Fault.SLOW, 0.5),
    Scenario("bad: slow under load", Fault.SLOW_UNDER_LOAD),
    Scenario(
        "bad: fails on one route",
        Fault.FAILS,
        fault_route="letters",
        routes=("chat", "letters"),
    ),
    Scenario("bad: crashes after N requests", Fault.CRASHES),
    Scenario("bad: wrong on long outputs", Fault.FAILS_LONG),
    Scenario("bad: fails, small route", Fault.FAILS, rate=0.5, length_s=1200.0),
    Scenario(
        "bad: fails after minutes, overload before",
        Fault.FAILS,
        0.5,
        events=_event(EventKind.OVERLOAD, 0.3, 0.4),
    ),
    Scenario(
        "bad: fails after minutes, store down",
        Fault.FAILS,
        0.5,
        events=_event(EventKind.STORE_DOWN, 0.48, 1.2),
    ),
    Scenario(
        "bad: fails after minutes, partition",
        Fault.FAILS,
        0.5,
        events=_event(EventKind.PARTITION, 0.45, 0.95),
    ),
    Scenario(
        "bad: fails after minutes, leader killed",
        Fault.FAILS,
        0.5,
        events=_at_each_step(EventKind.LEADER_KILLED),
    ),
    Scenario(
        "bad: fails in the soak, leader paused",
        Fault.FAILS,
        0.8,
        events=_at_each_step(EventKind.LEADER_PAUSED),
    ),
    Scenario("good"),
    Scenario("good: small route", rate=0.5, length_s=1200.0),
    Scenario("good: overload", events=_event(EventKind.OVERLOAD, 0.3, 0.45)),
    Scenario(
        "good: overload in the soak", events=_event(EventKind.OVERLOAD, 0.65, 0.75)
    ),
    Scenario("good: domain lost", events=_event(EventKind.DOMAIN_LOST, 0.5, 0.7)),
    Scenario(
        "good: poison requests",
        events=tuple(Event(EventKind.POISON, at / 10) for at in range(1, 8)),
    ),
    Scenario(
        "good: engines lost",
        events=(
            Event(EventKind.ENGINE_LOST, 0.2, 0.3),
            Event(EventKind.ENGINE_LOST, 0.65, 0.75),
        ),
    ),
    Scenario("good: slow store", events=_event(EventKind.STORE_SLOW, 0.0, 1.0)),
    Scenario(
        "good: leader killed at each step",
        events=_at_each_step(EventKind.LEADER_KILLED),
    ),
    Scenario(
        "good: leader paused at each step",
        events=_at_each_step(EventKind.LEADER_PAUSED),
    ),
    Scenario("good: partition", events=_event(EventKind.PARTITION, 0.3, 0.5)),
    Scenario(
        "good: store down for a while",
        events=_event(EventKind.STORE_DOWN, 0.3, 0.5),
    ),
    Scenario(
        "good: store down over the deadline",
        events=_event(EventKind.STORE_DOWN, 0.7, 1.2),
        may_finish=False,
        must_finish=False,
    ),
    Scenario(
        "good: edited back",
        events=_event(EventKind.EDIT_BACK, 0.5),
        may_finish=False,
        must_finish=False,
    ),
    Scenario(
        "good: new deadline while running", events=_event(EventKind.EDIT_DEADLINE, 0.5)
    ),
    Scenario("good: racing edits", events=_event(EventKind.RACING_EDITS, 0.02, 0.1)),
)


def scenario(name: str) -> Scenario:
    """Return the scenario with a name.

    Raises
    ------
    StopIteration
        If there is none.
    """
    return next(item for item in SCENARIOS if item.name == name)
