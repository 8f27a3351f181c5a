"""Leads rollouts: raises shares and records outcomes in fenced, committed rows."""

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
from result import Result

from boragedeck.connection.platform import Platform
from boragedeck.connection.store import ABSENT, Table, Write
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnknownOutcomeError,
)
from boragedeck.ids import RouterId
from boragedeck.interfaces import ConfigSource, Membership
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.version import rollout_texts as texts
from boragedeck.version.rollout_capacity import CapacitySource
from boragedeck.version.rollout_facts import KnownRow
from boragedeck.version.rollout_follower import RolloutFollower
from boragedeck.version.rollout_metrics import RolloutMetrics
from boragedeck.version.rollout_plan import (
    STEPS,
    Decision,
    ExtendAllowance,
    Finish,
    Progress,
    RaiseShare,
    RollBack,
    Wait,
    allowance,
    decide,
    first_share,
    first_step,
    is_too_short,
    window_s,
)
from boragedeck.version.rollout_row import (
    Cause,
    RolloutRow,
    State,
    StopRow,
    no_stop_condition,
    stop_key,
)
from boragedeck.version.tables import Route

__all__ = ["LeaderLease", "RolloutLeader"]

_log = PartLog("rollout")

LEASE_MARGIN_S = 2.0
"""Time for which the lease has to stay valid when a write starts."""
DEFAULT_ROLLOUT_S = 3600.0
"""Time to the deadline if the route has none."""


class LeaderLease(Protocol):
    """The lease that the leader of the rollouts holds."""

    token: int

    def is_safe(self, margin_s: float) -> bool:
        """Return whether the lease stays valid for at least `margin_s` seconds."""

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """Write rows on the condition that no other router has the lease.

        Returns
        -------
        Result
            The new versions of the rows.
        """


class RolloutLeader:
    """Runs the rollouts of all routes while this router holds the lease.

    Parameters
    ----------
    follower : RolloutFollower
        The follower of this router.
    platform : Platform
        Holds the rollouts table.
    config : ConfigSource
        The configuration in force.
    membership : Membership
        The routers whose evidence is required.
    timers : TimerService
        The source of time.
    lease : callable
        Returns the `LeaderLease`, or None if this router doesn't lead.
    capacity : CapacitySource
        Checks whether the new version's upstreams can carry a share.
    metrics : RolloutMetrics, optional
        Metrics that count the commits.

    Notes
    -----
    The head of a route is the second copy of its latest row, under a fixed key. Each
    write is conditional on the head that was read and on the lease. A write that
    raises the share or finishes an attempt also requires that no stop is recorded. If
    the answer to a write is lost, the head is read to find out whether it took effect.
    """

    def __init__(
        self,
        follower: RolloutFollower,
        platform: Platform,
        config: ConfigSource,
        membership: Membership,
        timers: TimerService,
        lease: Callable[[], LeaderLease | None],
        capacity: CapacitySource,
        *,
        metrics: RolloutMetrics | None = None,
    ):
        self._follower = follower
        self._row_cache = follower.row_cache
        self._platform = platform
        self._config = config
        self._membership = membership
        self._timers = timers
        self._lease = lease
        self._capacity = capacity
        self._metrics = metrics or RolloutMetrics()
        # The token of the lease under which the rows were read; None before the first.
        self._token: int | None = None
        self._own: RouterId = membership.own.router

    def tick(self) -> None:
        """Advance each rollout if this router leads."""
        lease = self._lease()
        if lease is None or not lease.is_safe(LEASE_MARGIN_S):
            return
        if lease.token != self._token:
            # The rows that an earlier leader committed have to be read first.
            if self._row_cache.refresh().is_err():
                return
            self._token = lease.token
        cfg = self._config.current()
        for route in cfg.routes:
            self._advance_route(route)
        names = {route.name for route in cfg.routes}
        for row in self._row_cache.rows():
            if row.is_running and row.route not in names:
                self._supersede_attempt(row, "the route was removed")

    # Steps of one route.

    def _advance_route(self, route: Route) -> None:
        known_row = self._row_cache.get(route.name)
        if known_row is None:
            self._record_first_version(route)
            return
        row = known_row.row
        # This router has not received the configuration that requested the attempt.
        if self._config.current().revision < row.revision:
            return
        is_requested = (row.new, row.asked_deadline) == (route.version, route.deadline)
        match row.is_running, is_requested:
            case True, True:
                self._advance_attempt(row)
            case True, False:
                self._supersede_attempt(row, texts.superseded(route))
            case False, False if route.version not in (None, row.in_force):
                self._start_attempt(route, row)

    def _record_first_version(self, route: Route) -> None:
        first = self._follower.first_version(route)
        if first is None:
            return
        now = self._timers.wall()
        row = RolloutRow(
            route=route.name,
            number=0,
            pool=route.pool,
            old=None,
            new=first,
            deadline=now,
            asked_deadline=route.deadline if route.version == first else None,
            revision=self._config.current().revision,
            started=now,
        )
        reason = f"{first} is the first version of this route"
        self._end_attempt(row, State.DONE, Cause.FIRST_VERSION, reason, expect=ABSENT)

    def _start_attempt(self, route: Route, last: RolloutRow) -> None:
        now = self._timers.wall()
        deadline = now + DEFAULT_ROLLOUT_S if route.deadline is None else route.deadline
        routers = 1 + len(self._membership.members())
        rate = routers * self._follower.request_rate(route.name)
        step = first_step(rate, deadline - now)
        share = first_share(step)
        row = RolloutRow(
            route=route.name,
            number=last.number + 1,
            pool=route.pool,
            old=last.in_force,
            new=route.version,
            deadline=deadline,
            asked_deadline=route.deadline,
            revision=self._config.current().revision,
            started=now,
            step=step,
            step_since=now,
            share=share,
            allowance=allowance(step),
            routers=routers,
            window_s=window_s(routers * self._running_rollouts_with_new()),
            reason=f"started: {share:.1%} of the requests",
            action=texts.RUNNING_ACTION,
        )
        declared_shortfall = self._capacity.declared_shortfall(row, 1.0)
        if declared_shortfall is not None:
            self._end_attempt(
                row, State.ROLLED_BACK, Cause.NO_CAPACITY, declared_shortfall
            )
        elif is_too_short(now, deadline):
            reason = "the deadline leaves too little time for evidence"
            self._end_attempt(row, State.ROLLED_BACK, Cause.DEADLINE, reason)
        else:
            self._commit(row.with_note(now))

    def _running_rollouts_with_new(self) -> int:
        return 1 + sum(row.is_running for row in self._row_cache.rows())

    def _advance_attempt(self, row: RolloutRow) -> None:
        now = self._timers.wall()
        stopped = self._follower.stopped(row)
        if stopped is not None:
            self._end_attempt(row, State.ROLLED_BACK, Cause.FAULT, stopped.reason)
        elif now >= row.deadline:
            reason = "the deadline passed before the outcome could be written"
            self._end_attempt(row, State.ROLLED_BACK, Cause.DEADLINE, reason)
        else:
            self._apply(row, decide(row, self._progress(row), now), now)

    def _apply(self, row: RolloutRow, decision: Decision, now: float) -> None:
        match decision:
            case Wait():
                return
            case RollBack(reason):
                self._end_attempt(row, State.ROLLED_BACK, Cause.DEADLINE, reason)
            case Finish(reason):
                self._end_attempt(row, State.DONE, Cause.EVIDENCE, reason)
            case ExtendAllowance(reason):
                more = (row.allowance or 0.0) + (allowance(row.step) or 0.0)
                self._commit(row.with_note(now, allowance=more, reason=reason))
            case RaiseShare(reason):
                self._raise_share(row, reason, now)

    def _raise_share(self, row: RolloutRow, reason: str, now: float) -> None:
        step = row.step + 1
        changed = row.with_note(
            now,
            step=step,
            step_since=now,
            share=STEPS[step].share,
            allowance=allowance(step),
            routers=1 + len(self._membership.members()),
            reason=f"raised to {STEPS[step].share:.0%}: {reason}",
        )
        self._commit(changed, no_stop_condition(changed))

    def _progress(self, row: RolloutRow) -> Progress:
        next_share = STEPS[min(row.step + 1, len(STEPS) - 1)].share
        expected = {member.router for member in self._membership.members()}
        return msgspec.structs.replace(
            self._follower.progress(row),
            missing=len(expected - self._follower.recent_reporters(row)),
            has_capacity=self._capacity.current_shortfall(row, next_share) is None,
        )

    def _supersede_attempt(self, row: RolloutRow, reason: str) -> None:
        self._end_attempt(row, State.ROLLED_BACK, Cause.SUPERSEDED, reason)

    # Writes.

    def _end_attempt(
        self,
        row: RolloutRow,
        state: State,
        cause: Cause,
        reason: str,
        *,
        expect: int | None = None,
    ) -> None:
        ended = row.with_note(
            self._timers.wall(),
            state=state,
            cause=cause,
            share=1.0 if state is State.DONE else 0.0,
            reason=reason,
            action=texts.action(state, cause),
        )
        conditions = [no_stop_condition(ended)] if state is State.DONE else []
        self._commit(ended, *conditions, expect=expect)

    def _commit(
        self, row: RolloutRow, *conditions: Write, expect: int | None = None
    ) -> None:
        lease = self._lease()
        if lease is None or lease.token != self._token:
            return
        if not lease.is_safe(LEASE_MARGIN_S):
            return
        row = msgspec.structs.replace(row, token=lease.token, writer=self._own)
        # By default, the head must still have the version that this router knows.
        if expect is None:
            expect = self._row_cache.get(row.route).version
        result = lease.commit([*row.writes(expect), *conditions])
        self._metrics.commits.labels("ok" if result.is_ok() else "error").inc()
        self._handle_commit_result(row, result)

    def _handle_commit_result(
        self, row: RolloutRow, result: Result[list[int], StoreError]
    ) -> None:
        if result.is_ok():
            _log.write(
                "Row committed.",
                rollout=f"{row.route}/{row.number}",
                step=row.step,
                version=row.new,
                state=row.state.value,
                share=row.share,
                reason=row.reason,
            )
            self._row_cache.update(KnownRow(row, result.ok()[0]))
            self._row_cache.publish_row(row.route)
            return
        match result.err():
            case StoreConflictError():
                self._row_cache.refresh_route(row.route)
                self._load_recorded_stop(row)
            case StoreUnknownOutcomeError():
                # Only the head shows whether the write took effect. If it has not, it
                # may still do so later; the next write requires the same head.
                self._row_cache.refresh_route(row.route)
                known_row = self._row_cache.get(row.route)
                if known_row is not None and known_row.row == row:
                    self._row_cache.publish_row(row.route)

    def _load_recorded_stop(self, row: RolloutRow) -> None:
        """Adopt a stop that another router recorded; it may explain the conflict."""
        read = self._platform.get(Table.ROLLOUTS, stop_key(row.route, row.number))
        if read.is_err() or read.ok() is None or self._follower.stopped(row):
            return
        try:
            stop = msgspec.json.decode(read.ok().value, type=StopRow)
        except DECODE_ERRORS:
            return
        self._follower.stop(row, stop.reason)
