"""Draws what goes wrong in a play, by the rows of the table of faults."""

import enum
import random
import signal
import time
from collections import Counter
from collections.abc import Callable

import eventlet
import msgspec

from scripts.platform_cluster import PlatformCluster
from soak.callers import Callers, Habits
from soak.crowd import hold_unfinished
from soak.fleet import ReplicaFleet
from soak.history import History, Impairment
from soak.operator import Operator
from soak.release import Release
from soak.replica import Mood

__all__ = ["Disruptions", "Row"]

CALM_SHARE = 0.5
"""Share of the plays in which routers are disturbed by planned work only."""
KINDS_PER_PLAY = 8, 13
GAP_S = 0.2, 1.0
"""Time from one disruption to the next."""
SILENCE_S = 0.8, 1.4
FREEZE_S = 0.3, 1.5
STORE_S = 0.5, 2.0
MOOD_S = 1.0, 3.0
STORM_CHANGES = 4
STORM_GAP_S = 0.25
KILL_MARGIN_S = 0.5
GRACE_S = 8.0
RELEASE_SHARE = 0.5
"""Share of the stops at which held streams come with the final answers."""
FINAL_ANSWERS_S = 7.3
"""From a SIGTERM until what hasn't begun is answered, with `GRACE_S`."""
TIGHT_S = -0.012, 0.002
LOOSE_S = -0.3, 0.1
TIGHT_SHARE = 0.7
"""Share of the releases that come in the closer span around the final answers."""
RELEASE_SILENCE_S = 0.7, 1.2
RELEASE_LATE_S = 0.05, 0.2
HELD_BEFORE_S = 0.5
"""How long before the SIGTERM the streams that are held back are sent."""
SIGHUP_BOUNDS = {"retryBudgetRatio": 0.7}


class Row(enum.Enum):
    """Rows of the table in ``docs/FAULTS.md`` that a play draws from."""

    ROUTER_TERM = "router-term"
    ROUTER_HUP = "router-hup"
    ROUTER_KILL = "router-kill"
    ROUTER_FREEZE = "router-freeze"
    STORE_DOWN = "store-down"
    STORE_SILENT = "store-silent"
    STORE_SOME = "store-some"
    STORE_LOST_ANSWER = "store-lost-answer"
    STORE_HISTORY = "store-history"
    ENTRY_FOREIGN = "entry-foreign"
    CONFIG_CHANGE = "config-change"
    CONFIG_REVOKE = "config-revoke"
    CONFIG_STORM = "config-storm"
    REPLICA_SCARCE = "replica-scarce"
    REPLICA_MEMORY = "replica-memory"
    REPLICA_CRASH = "replica-crash"
    REPLICA_SILENT = "replica-silent"
    REPLICA_SLOW = "replica-slow"
    REPLICA_PREFILLS = "replica-prefills"
    REPLICA_GREY = "replica-grey"
    REPLICA_FULL = "replica-full"
    REPLICA_LOST_ANSWER = "replica-lost-answer"
    REPLICA_TRUNCATES = "replica-truncates"
    REPLICA_LATE_ANSWER = "replica-late-answer"
    REPLICA_IDLE_CLOSE = "replica-idle-close"
    REPLICA_DRAINS = "replica-drains"
    REPLICA_LEAVES_UNSAID = "replica-leaves-unsaid"
    REPLICA_HOLDS_BACK = "replica-holds-back"
    REPLICA_JOINS = "replica-joins"
    REPLICA_SPLITS = "replica-splits"
    REPLICA_RELEASED = "replica-released"
    CALLER_LEAVES = "caller-leaves"
    CALLER_SLOW_BODY = "caller-slow-body"
    CALLER_SHORT_TIME = "caller-short-time"
    CALLER_LARGE_BODY = "caller-large-body"
    CALLER_RESUMES = "caller-resumes"
    CALLER_UNFINISHED = "caller-unfinished"


WHOLE_PLAY = {Row.REPLICA_SCARCE, Row.REPLICA_MEMORY}
"""Rows that are drawn for a whole play; see `soak.room.ROOMS`."""
MOODS = {
    Row.REPLICA_SLOW: Mood(pace=2.5),
    Row.REPLICA_PREFILLS: Mood(first_s=2.5),
    Row.REPLICA_GREY: Mood(grey=0.3),
    Row.REPLICA_FULL: Mood(full=0.6),
    Row.REPLICA_LOST_ANSWER: Mood(loses=0.3),
    Row.REPLICA_TRUNCATES: Mood(truncates=0.3),
    Row.REPLICA_LATE_ANSWER: Mood(repeats=0.6, full=0.3),
    Row.REPLICA_IDLE_CLOSE: Mood(closes=0.7),
    Row.REPLICA_HOLDS_BACK: Mood(holds=0.6),
    Row.REPLICA_JOINS: Mood(joins=0.8, holds=0.1),
    Row.REPLICA_SPLITS: Mood(splits=0.8),
}
OUT_OF_TOUCH = {
    Row.ROUTER_KILL,
    Row.ROUTER_FREEZE,
    Row.STORE_DOWN,
    Row.STORE_SILENT,
    Row.STORE_SOME,
    Row.STORE_LOST_ANSWER,
}
"""Rows that excuse routers from the rules with a time bound."""
HABITS = {
    Row.CALLER_LEAVES: Habits(leaves=0.3),
    Row.CALLER_SLOW_BODY: Habits(slow_body=0.8),
    Row.CALLER_SHORT_TIME: Habits(short_time=0.5),
    Row.CALLER_LARGE_BODY: Habits(large_body=0.6),
    Row.CALLER_RESUMES: Habits(cuts=0.7),
}


class Disruptions:
    """Plays disruptions that overlap.

    Parameters
    ----------
    cluster : PlatformCluster
        The store and the routers.
    fleet : ReplicaFleet
        The replicas.
    operator : Operator
        Who changes the configuration.
    callers : Callers
        Who send requests.
    history : History
        Where disruptions are noted.
    rng : random.Random
        Draws the disruptions.

    Attributes
    ----------
    counts : Counter
        How often each row was played.
    """

    def __init__(
        self,
        cluster: PlatformCluster,
        fleet: ReplicaFleet,
        operator: Operator,
        callers: Callers,
        history: History,
        rng: random.Random,
    ):
        self.counts: Counter[str] = Counter()
        self._cluster = cluster
        self._fleet = fleet
        self._operator = operator
        self._callers = callers
        self._history = history
        self._rng = rng
        self._busy: set[int] = set()
        self._threads: list = []

    def run(self, until: float) -> None:
        """Begin disruptions until a time, and return when all are over."""
        apart = {Row.ROUTER_TERM, Row.REPLICA_RELEASED, *WHOLE_PLAY}
        rows = [row for row in Row if row not in apart]
        if self._rng.random() < CALM_SHARE:
            rows = [row for row in rows if row not in OUT_OF_TOUCH]
        kinds = self._rng.sample(rows, self._rng.randint(*KINDS_PER_PLAY))
        kinds.append(Row.ROUTER_TERM)
        # The others overlap a stop, which is the work that the pages name most.
        row = Row.ROUTER_TERM
        while time.monotonic() < until:
            eventlet.sleep(self._rng.uniform(*GAP_S))
            self._spawn(self._play, row)
            row = self._rng.choice(kinds)
        for thread in self._threads:
            thread.wait()

    def _play(self, row: Row) -> None:
        match row:
            case Row.ROUTER_TERM | Row.ROUTER_HUP | Row.ROUTER_KILL | Row.ROUTER_FREEZE:
                self._disturb_router(row)
            case Row.STORE_SOME:
                self._cut_router_from_store()
            case Row.STORE_DOWN | Row.STORE_SILENT | Row.STORE_LOST_ANSWER:
                self._disturb_store(row)
            case Row.STORE_HISTORY:
                self._cluster.rows.discard_history()
            case Row.ENTRY_FOREIGN:
                self._fleet.write_foreign_entry()
            case Row.CONFIG_CHANGE:
                self._rng.choice(
                    (self._operator.move_routes, self._operator.toggle_route)
                )()
            case Row.CONFIG_REVOKE:
                self._operator.toggle_key()
            case Row.CONFIG_STORM:
                self._storm()
            case Row.CALLER_UNFINISHED:
                hold_unfinished(self._callers.address(), self._rng.uniform(*MOOD_S))
            case Row.REPLICA_CRASH:
                self._fleet.crash()
            case Row.REPLICA_SILENT:
                self._fleet.silence(self._rng.uniform(*SILENCE_S))
            case Row.REPLICA_DRAINS:
                self._fleet.leave(says_so=True)
            case Row.REPLICA_LEAVES_UNSAID:
                self._fleet.leave(says_so=False)
            case _ if row in MOODS:
                self._fleet.change_mood(MOODS[row], self._rng.uniform(*MOOD_S))
            case _:
                self._change_habits(HABITS[row])
        self.counts[row.value] += 1

    def _disturb_router(self, row: Row) -> None:
        """Disturb a router that isn't disturbed yet, if others are left."""
        numbers = range(len(self._cluster.routers))
        free = [number for number in numbers if number not in self._busy]
        if len(free) < 2:
            return
        number = self._rng.choice(free)
        if row is Row.ROUTER_HUP:
            self._cluster.write_settings(number, SIGHUP_BOUNDS)
            self._history.reloads.setdefault(number, []).append(time.monotonic())
            self._cluster.routers[number].send_signal(signal.SIGHUP)
            return
        self._busy.add(number)
        if row is Row.ROUTER_TERM and self._rng.random() < RELEASE_SHARE:
            self._release_at_stop(number)
        noted = self._history.stops if row is Row.ROUTER_TERM else self._history.routers
        impairment = Impairment(time.monotonic(), what=row.value)
        noted.setdefault(number, []).append(impairment)
        match row:
            case Row.ROUTER_TERM:
                self._stop_router(number)
            case Row.ROUTER_KILL:
                self._cluster.restart_router(number)
                self._cluster.wait_ready(number)
            case _:
                self._cluster.routers[number].send_signal(signal.SIGSTOP)
                eventlet.sleep(self._rng.uniform(*FREEZE_S))
                self._cluster.routers[number].send_signal(signal.SIGCONT)
        impairment.end = time.monotonic()
        self._busy.discard(number)

    def _release_at_stop(self, number: int) -> None:
        """Let streams that are held back come with a stop's final answers."""
        sigterm_at = time.monotonic() + HELD_BEFORE_S
        spans = (TIGHT_S, LOOSE_S)
        [span] = self._rng.choices(spans, (TIGHT_SHARE, 1.0 - TIGHT_SHARE))
        at = sigterm_at + FINAL_ANSWERS_S + self._rng.uniform(*span)
        release = Release(number, time.monotonic(), at)
        silence_s = self._rng.uniform(*RELEASE_SILENCE_S)
        late_s = self._rng.uniform(*RELEASE_LATE_S)
        self._spawn(self._fleet.release, release, silence_s, late_s)
        for _ in range(self._fleet.room.released):
            self._spawn(self._callers.send_held, number)
        self.counts[Row.REPLICA_RELEASED.value] += 1
        eventlet.sleep(sigterm_at - time.monotonic())

    def _spawn(self, action: Callable, *args: object) -> None:
        self._threads.append(eventlet.spawn(action, *args))

    def _stop_router(self, number: int) -> None:
        """Stop a router as planned, with a SIGKILL at the end of its time."""
        router = self._cluster.routers[number]
        killer = eventlet.spawn_after(GRACE_S + KILL_MARGIN_S, router.kill)
        self._cluster.replace_routers([number], self._cluster.builds.get(number))
        killer.cancel()

    def _cut_router_from_store(self) -> None:
        number = self._rng.randrange(len(self._cluster.routers))
        impairment = Impairment(time.monotonic(), what=Row.STORE_SOME.value)
        self._history.routers.setdefault(number, []).append(impairment)
        self._cluster.gates[number].is_silent = True
        eventlet.sleep(self._rng.uniform(*STORE_S))
        self._cluster.gates[number].is_silent = False
        impairment.end = time.monotonic()

    def _disturb_store(self, row: Row) -> None:
        impairment = Impairment(time.monotonic(), what=row.value)
        self._history.store.append(impairment)
        faults = self._cluster.rows.faults
        match row:
            case Row.STORE_DOWN:
                faults.status = 503
            case Row.STORE_SILENT:
                faults.is_silent = True
            case _:
                faults.loses_answers = True
        eventlet.sleep(self._rng.uniform(*STORE_S))
        match row:
            case Row.STORE_DOWN:
                faults.status = 0
            case Row.STORE_SILENT:
                faults.is_silent = False
            case _:
                faults.loses_answers = False
        impairment.end = time.monotonic()

    def _storm(self) -> None:
        for _ in range(STORM_CHANGES):
            self._rng.choice(
                (
                    self._operator.move_routes,
                    self._operator.toggle_route,
                    self._operator.toggle_key,
                )
            )()
            eventlet.sleep(STORM_GAP_S)

    def _change_habits(self, habits: Habits) -> None:
        before = self._callers.habits
        self._callers.habits = msgspec.structs.replace(habits)
        eventlet.sleep(self._rng.uniform(*MOOD_S))
        self._callers.habits = before
