"""Grants the sends to limited replicas, for all routers together.

The state is soft: a limit owner that has just become it learns of a limit from the
first router that asks.
"""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from boragedeck.connection.messages import Accepted
from boragedeck.connection.peer import PeerLinks, PeerServer
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.limits.limit_messages import (
    ReportLimit,
    ReturnSend,
    SendDecision,
    TakeSend,
)
from boragedeck.process.relaying.limits.send_schedule import SendSchedule
from boragedeck.process.relaying.replicas.replica_state import KnownLimit, Run
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import ReplicaId

__all__ = ["OWNER_RETRY_S", "OWNER_TIMEOUT_S", "LimitGrants", "limit_task"]

OWNER_TIMEOUT_S = 0.1
"""How long a request waits for the decision of the limit owner."""
OWNER_RETRY_S = 0.25
"""How long after a failure to reach the limit owner it is asked again."""
MIN_SENDS_PER_S = 0.5
"""Rate at which requests are sent to a replica that names less, for without a request
no router would learn that the limit has ended."""
MAX_RUNS = 4_096
"""Maximum number of runs of replicas whose schedules are kept."""

_log = PartLog("limits")


class _Granted(msgspec.Struct):
    """What is known of a replica's limit, and the sends that were granted."""

    known: KnownLimit
    schedule: SendSchedule


class LimitGrants:
    """Decides about sends as the limit owner, or passes the question on to it.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    owners : TaskOwners
        The limit owners.
    links : PeerLinks
        Links to the other routers.
    server : PeerServer
        Receives the questions and reports of other routers.

    Attributes
    ----------
    on_change : callable
        Called with a run and its newest limit, when a router reports a change to this
        one as the limit owner.
    """

    def __init__(
        self,
        timers: TimerService,
        owners: TaskOwners,
        links: PeerLinks,
        server: PeerServer,
    ):
        self._timers = timers
        self._owners = owners
        self._links = links
        self._granted: OrderedDict[Run, _Granted] = OrderedDict()
        self.on_change: Callable[[Run, KnownLimit], None] = _ignore_change
        server.register(TakeSend, self.take)
        server.register(ReportLimit, self._on_report)
        server.register(ReturnSend, self._on_return)

    def take(self, req: TakeSend) -> SendDecision:
        """Decide about a send, or ask the limit owner.

        Returns
        -------
        SendDecision
            A denial if the owner can't be reached: without it, this router can't know
            what the others send.
        """
        owner = self._owners.owner_of(limit_task(req.run.replica))
        if owner.router == self._owners.own.router:
            return self._decide(req)
        if req.is_forwarded:
            # The routers don't agree on the owner yet.
            return SendDecision(False, OWNER_RETRY_S, req.per_s, req.age_s)
        forwarded = msgspec.structs.replace(req, is_forwarded=True)
        link = self._links.link(owner.address)
        answer = link.call(forwarded, SendDecision, timeout_s=OWNER_TIMEOUT_S)
        if answer.is_ok():
            return answer.ok()
        _log.write(
            "Limit owner failed.",
            replica=req.run.replica,
            peer=owner.router,
            error=str(answer.err()),
        )
        return SendDecision(False, OWNER_RETRY_S, req.per_s, req.age_s)

    def report(self, report: ReportLimit) -> None:
        """Send a changed limit to the limit owner, or record it as the owner."""
        owner = self._owners.owner_of(limit_task(report.run.replica))
        if owner.router == self._owners.own.router:
            self._on_report(report)
            return
        link = self._links.link(owner.address)
        answer = link.call(report, Accepted, timeout_s=OWNER_TIMEOUT_S)
        if answer.is_err():
            _log.write(
                "Report of a limit failed.",
                replica=report.run.replica,
                peer=owner.router,
                error=str(answer.err()),
            )

    def give_back(self, unused: ReturnSend) -> None:
        """Return a granted send to the limit owner, or take it back as the owner."""
        owner = self._owners.owner_of(limit_task(unused.run.replica))
        if owner.router == self._owners.own.router:
            self._on_return(unused)
            return
        link = self._links.link(owner.address)
        answer = link.call(unused, Accepted, timeout_s=OWNER_TIMEOUT_S)
        if answer.is_err():
            # Nothing is sent in that turn.
            _log.write(
                "Send not returned.",
                replica=unused.run.replica,
                peer=owner.router,
                error=str(answer.err()),
            )

    def _on_return(self, unused: ReturnSend) -> Accepted:
        granted, now = self._granted.get(unused.run), self._timers.now()
        if granted is not None:
            granted.schedule.give_back(now + unused.wait_s, now)
        return Accepted()

    def _on_report(self, report: ReportLimit) -> Accepted:
        granted = self._merge(report.run, report.per_s, report.age_s)
        self.on_change(report.run, granted.known)
        return Accepted()

    def _decide(self, req: TakeSend) -> SendDecision:
        now = self._timers.now()
        granted = self._merge(req.run, req.per_s, req.age_s)
        known, schedule = granted.known, granted.schedule
        age_s = now - known.observed_at
        if known.per_s is None:
            return SendDecision(True, 0.0, None, age_s)
        wait_s = schedule.wait_s(now)
        if wait_s > max(0.0, req.max_wait_s):
            return SendDecision(False, wait_s, known.per_s, age_s)
        per_s = max(known.per_s, MIN_SENDS_PER_S) * self._owners.reachable_share()
        schedule.take(per_s, now)
        return SendDecision(True, wait_s, known.per_s, age_s)

    def _merge(self, run: Run, per_s: float | None, age_s: float) -> _Granted:
        """Return the grants of a run, with the newest limit that is known of it."""
        now = self._timers.now()
        known = KnownLimit(per_s, now - age_s)
        granted = self._granted.get(run)
        if granted is None:
            granted = self._granted[run] = _Granted(known, SendSchedule(now))
        elif known.observed_at > granted.known.observed_at:
            granted.known = known
        self._granted.move_to_end(run)
        if len(self._granted) > MAX_RUNS:
            self._granted.popitem(last=False)
        return granted


def limit_task(replica: ReplicaId) -> str:
    """Return the name of the task of granting the sends to a replica."""
    return f"limit {replica}"


def _ignore_change(run: Run, known: KnownLimit) -> None:
    """Ignore a changed limit."""
