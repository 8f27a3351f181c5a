"""Finds out which replicas this router reaches, and which ones other routers reach."""

import random
from collections.abc import Callable, Iterable

import eventlet
import msgspec
from eventlet.event import Event
from eventlet.queue import LightQueue

from boragedeck.connection.address import Address
from boragedeck.connection.peer import PeerLinks, PeerServer
from boragedeck.connection.upstream_pool import ConnectOutcome, UpstreamPool
from boragedeck.ids import Health
from boragedeck.interfaces import Member, Membership
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.paths.path_messages import AskPaths, PathReport
from boragedeck.process.relaying.paths.path_state import PathState
from boragedeck.process.timers import TimerService

__all__ = ["RECENT_S", "CheckResult", "PathChecker"]

PROBE_TIMEOUT_S = 0.15
"""How long a replica has to accept a connection."""
ASK_TIMEOUT_S = 0.5
"""How long another router has to answer; it may have to probe first."""
ROUTERS_PER_ROUND = 4
MAX_ROUNDS = 2
"""If none of the routers that are asked at once reaches a replica, others are asked: in
a large cut, all of them may be cut off."""
MAX_ADDRESSES = 32
"""Maximum number of replicas in one check."""
RECENT_S = 0.5
"""A replica from which something arrived within this time needs no probe, if its path
is checked again. When a path may have just been lost, the replica may have ended since
then, so others probe it."""

_log = PartLog("paths")


class CheckResult(msgspec.Struct):
    """What a check has found.

    Parameters
    ----------
    probes : dict of Address to ConnectOutcome
        How this router's own attempts to connect ended.
    gateways : dict of Address to list of Member
        For each replica, the routers that reach it.
    not_reached : set of Address
        Replicas that at least one other router doesn't reach, either.
    """

    probes: dict[Address, ConnectOutcome]
    gateways: dict[Address, list[Member]]
    not_reached: set[Address]


class PathChecker:
    """Checks paths to replicas, also for other routers.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    rng : random.Random
        Chooses the routers to ask.
    upstreams : UpstreamPool
        This router's own connections to replicas.
    membership : Membership
        The other routers.
    links : PeerLinks
        Links to them.
    server : PeerServer
        Receives their questions.
    is_known : callable
        Returns whether a replica has an address; others aren't probed.
    state_of : callable
        Returns how this router reaches an address.
    """

    def __init__(
        self,
        timers: TimerService,
        rng: random.Random,
        upstreams: UpstreamPool,
        membership: Membership,
        links: PeerLinks,
        server: PeerServer,
        is_known: Callable[[Address], bool],
        state_of: Callable[[Address], PathState],
    ):
        self._timers = timers
        self._rng = rng
        self._upstreams = upstreams
        self._membership = membership
        self._links = links
        self._is_known = is_known
        self._state_of = state_of
        self._probes: dict[Address, Event] = {}
        server.register(AskPaths, self._on_ask)

    def check(
        self,
        addresses: Iterable[Address],
        failed: frozenset[Address] = frozenset(),
        *,
        max_age_s: float = 0.0,
    ) -> CheckResult:
        """Find out how some replicas are reached.

        Parameters
        ----------
        addresses : iterable of Address
            The replicas; only the first `MAX_ADDRESSES` are checked.
        failed : frozenset of Address
            Those that have just failed to accept a connection of this router.
        max_age_s : float, optional
            How old the knowledge of other routers may be, in seconds.
        """
        checked = list(addresses)[:MAX_ADDRESSES]
        probes = self._probe_all([each for each in checked if each not in failed])
        rest = tuple(
            each for each in checked if probes.get(each) is not ConnectOutcome.ACCEPTED
        )
        result = CheckResult(probes, {}, set())
        if rest:
            self._ask_others(AskPaths(rest, max_age_s), result)
        return result

    def _probe_all(self, addresses: Iterable[Address]) -> dict[Address, ConnectOutcome]:
        """Try to connect to some replicas at once."""
        probes = [(each, eventlet.spawn(self._probe, each)) for each in addresses]
        return {address: probe.wait() for address, probe in probes}

    def _probe(self, address: Address) -> ConnectOutcome:
        """Try to connect to a replica, once for all that want to know."""
        running = self._probes.get(address)
        if running is not None:
            return running.wait()
        probe = self._probes[address] = Event()
        outcome = ConnectOutcome.TIMED_OUT
        try:
            outcome = self._upstreams.open_idle(address, PROBE_TIMEOUT_S)
        finally:
            del self._probes[address]
            probe.send(outcome)
        return outcome

    def _ask_others(self, query: AskPaths, result: CheckResult) -> None:
        """Ask routers in rounds, until all replicas are reached."""
        healthy = [
            each for each in self._membership.members() if each.health is Health.HEALTHY
        ]
        self._rng.shuffle(healthy)
        for number in range(MAX_ROUNDS):
            first = number * ROUTERS_PER_ROUND
            asked = healthy[first : first + ROUTERS_PER_ROUND]
            missing = tuple(
                each for each in query.addresses if each not in result.gateways
            )
            if not (asked and missing):
                return
            self._ask_round(asked, AskPaths(missing, query.max_age_s), result)

    def _ask_round(
        self, asked: list[Member], query: AskPaths, result: CheckResult
    ) -> None:
        """Ask some routers, until all replicas are reached or all have answered."""
        answers: LightQueue = LightQueue()
        for member in asked:
            eventlet.spawn_n(self._ask, member, query, answers)
        for _ in asked:
            member, report = answers.get()
            for address in report.reached:
                result.gateways.setdefault(address, []).append(member)
            result.not_reached.update(report.not_reached)
            if all(address in result.gateways for address in query.addresses):
                return

    def _ask(self, member: Member, query: AskPaths, answers: LightQueue) -> None:
        report = PathReport()
        try:
            answer = self._links.link(member.address).call(
                query, PathReport, timeout_s=ASK_TIMEOUT_S
            )
            if answer.is_ok():
                report = answer.ok()
            else:
                error = str(answer.err())
                _log.write("No report.", peer=str(member.address), error=error)
        finally:
            answers.put((member, report))

    def _on_ask(self, query: AskPaths) -> PathReport:
        # A router that has lost a path itself can't vouch for the replica's loss.
        known = [
            each
            for each in query.addresses[:MAX_ADDRESSES]
            if self._is_known(each) and self._state_of(each) is PathState.DIRECT
        ]
        since = self._timers.now() - query.max_age_s
        reached = {each for each in known if self._upstreams.heard_at(each) >= since}
        probes = self._probe_all(each for each in known if each not in reached)
        reached |= {
            address
            for address, outcome in probes.items()
            if outcome is ConnectOutcome.ACCEPTED
        }
        not_reached = tuple(each for each in known if each not in reached)
        return PathReport(tuple(reached), not_reached)
