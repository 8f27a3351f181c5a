"""Plain ways to do what better parts do: baselines for measurements and tests."""

import random
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.peer import Address
from boragedeck.connection.platform import Platform
from boragedeck.connection.store import Put, Table
from boragedeck.exceptions import RefusedError
from boragedeck.ids import RouterId, Version
from boragedeck.interfaces import Member, Outcome, Sample, Wanted
from boragedeck.process.member_row import MemberRow
from boragedeck.process.timers import TimerService
from boragedeck.version.tables import Route, Upstream

__all__ = ["DeclaredVersion", "LocalFacts", "RandomChooser", "TableMembership"]

MEMBER_REFRESH_S = 2.0
RETRY_AFTER_S = 2.0


class _Place:
    def __init__(self, upstream: Upstream):
        self.upstream = upstream

    def first_token(self) -> None:
        pass

    def tokens(self, count: int) -> None:
        pass

    def finish(self, outcome: Outcome) -> None:
        pass


class RandomChooser:
    """Chooses any upstream of the wanted version, without limits.

    Parameters
    ----------
    rng : random.Random
        The source of choice.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def acquire(self, wanted: Wanted) -> Result[_Place, RefusedError]:
        """See `Chooser.acquire`."""
        fitting = [
            upstream
            for upstream in wanted.pool.upstreams
            if not upstream.leaving
            and wanted.version in (None, upstream.version)
            and upstream.name not in wanted.excluded
        ]
        if not fitting:
            return Err(_no_upstream_error(wanted))
        return Ok(_Place(self._rng.choice(fitting)))


class DeclaredVersion:
    """Gives each request the version that its route declares."""

    def choose(self, route: Route, request_key: str) -> Version | None:
        """See `VersionPolicy.choose`."""
        return route.version

    def observe(self, sample: Sample) -> None:
        """Learn nothing."""


class TableMembership:
    """Members as rows of the platform's table, without heartbeats.

    Parameters
    ----------
    own : Member
        This router.
    callers : Address
        Where this router listens for callers.
    platform : Platform
        Where the rows are.
    timers : TimerService
        The source of time.
    """

    def __init__(
        self, own: Member, callers: Address, platform: Platform, timers: TimerService
    ):
        self.own = own
        self._callers = callers
        self._platform = platform
        self._timers = timers
        self._members: list[Member] = []
        timers.subscribe(MEMBER_REFRESH_S, self.refresh)

    def members(self) -> list[Member]:
        """See `Membership.members`."""
        return self._members

    def suspect(self, router: RouterId) -> None:
        """Learn nothing."""

    def refresh(self) -> None:
        """Write this router's row and read the others'."""
        row = MemberRow(self.own, self._callers, self._timers.wall())
        write = Put(Table.MEMBERS, self.own.router, msgspec.json.encode(row))
        self._platform.commit([write])
        rows = self._platform.scan(Table.MEMBERS)
        if rows.is_ok():
            read = [msgspec.json.decode(r.value, type=MemberRow) for r in rows.ok()]
            members = [row.member for row in read]
            self._members = [m for m in members if m.router != self.own.router]


class LocalFacts:
    """Facts that stay in this router.

    Parameters
    ----------
    own : RouterId
        This router.
    """

    def __init__(self, own: RouterId):
        self.own = own
        self._facts: dict[tuple[FactTopic, str], Fact] = {}
        self._callbacks: dict[FactTopic, list[Callable[[Fact], None]]] = {}

    def publish(
        self, topic: FactTopic, key: str, body: bytes, *, ttl_s: float = 60.0
    ) -> Fact:
        """See `FactBoard.publish`."""
        old = self._facts.get((topic, key))
        number = 1 if old is None else old.number + 1
        fact = Fact(topic, key, self.own, number, body, ttl_s)
        self._facts[topic, key] = fact
        for callback in self._callbacks.get(topic, []):
            callback(fact)
        return fact

    def facts(self, topic: FactTopic) -> list[Fact]:
        """See `FactBoard.facts`."""
        return [fact for (t, _), fact in self._facts.items() if t is topic]

    def subscribe(self, topic: FactTopic, callback: Callable[[Fact], None]) -> None:
        """See `FactBoard.subscribe`."""
        self._callbacks.setdefault(topic, []).append(callback)


def _no_upstream_error(wanted: Wanted) -> RefusedError:
    return RefusedError(
        f"pool {wanted.pool.name!r} has no upstream for this request now",
        status=503,
        kind="server_error",
        code="no_upstream",
        retry_after_s=RETRY_AFTER_S,
        step="choose upstream",
        peer=wanted.pool.name,
    )
