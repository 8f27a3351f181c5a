"""Reads the platform's tables, mostly through the hubs.

All routers read the same changes. If each of them called the store, the number of calls
would grow with the number of routers, and all would retry at once when the store fails.
"""

import random
from collections.abc import Callable, Iterable, Sequence

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.peer import Address, PeerLinks
from boragedeck.connection.store import (
    FEED_SLACK_S,
    SNAPSHOT_TIMEOUT_S,
    ChangeFeed,
    Changes,
    Table,
)
from boragedeck.connection.store_version import StoreVersion
from boragedeck.exceptions import (
    PeerError,
    PeerRefusedError,
    StoreError,
    StoreUnavailableError,
)
from boragedeck.interfaces import Membership
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.relaying.settings import Bounds
from boragedeck.process.relaying.tables.mirror_messages import FetchTable, TablePart
from boragedeck.process.relaying.tables.older_versions import is_comparable
from boragedeck.process.timers import TimerService

__all__ = ["SharedFeed"]

WAIT_SHARE = 0.25
"""How long a call for changes waits, as a share of the time in which a change must be
in force. A hub's wait, its answer that the store is silent, and a second hub's answer
fit into the rest."""
SLACK_S = 0.3
"""Timeout of a call between routers beyond the time that it waits."""
STORE_SILENCE_SLACK_S = 0.7
"""How long beyond its wait a hub may be without an answer from the store before its
table no longer counts as current."""
AVOID_FAILED_HUB_S = 2.0
"""How long after its failure a hub is asked only after the others."""
MAX_HUBS_ASKED = 3
FLEET_RETRIES_PER_S = 40.0
"""Rate at which all routers together retry a store that answers no hub."""
JOIN_PERIOD_S = 2.0
"""How long after its start a router may know no other router but its seeds."""
SEED_TIMEOUT_S = 0.05
"""How long a starting router waits for a seed, which may be down after the same power
loss."""

_log = PartLog("feed")


class SharedFeed:
    """Changes of tables, from the store or from a router that reads it.

    Parameters
    ----------
    store : ChangeFeed
        The platform's store.
    timers : TimerService
        The source of time.
    rng : random.Random
        Spreads the retries of a store that fails.
    links : PeerLinks
        Links to the other routers.
    membership : Membership
        The other routers.
    hubs : Hubs
        The hubs, which read the store for the others.
    seeds : callable
        Returns addresses where other routers may listen while none is known.
    bounds : callable
        Returns the operators' bounds.
    """

    def __init__(
        self,
        store: ChangeFeed,
        timers: TimerService,
        rng: random.Random,
        links: PeerLinks,
        membership: Membership,
        hubs: Hubs,
        seeds: Callable[[], Iterable[Address]],
        bounds: Callable[[], Bounds],
    ):
        self._store = store
        self._timers = timers
        self._rng = rng
        self._links = links
        self._membership = membership
        self._hubs = hubs
        self._seeds = seeds
        self._bounds = bounds
        self._join_until = timers.now() + JOIN_PERIOD_S
        self._store_answered_at: dict[Table, float] = {}
        self._avoid_until: dict[Address, float] = {}
        self._next_try_at: dict[Table, float] = {}

    def snapshot(
        self, table: Table, timeout_s: float = SNAPSHOT_TIMEOUT_S
    ) -> Result[Changes, StoreError]:
        """Read a whole table, from another router if one has it."""
        hubs = self._hubs_to_ask()
        if hubs:
            peer_result = self._ask_each(hubs, table, -1, 0.0)
        else:
            peer_result = self._ask_each(
                self._seeds_to_ask(), table, -1, 0.0, SEED_TIMEOUT_S
            )
        if peer_result.is_ok():
            return peer_result
        return self._read(table, lambda: self._store.snapshot(table, timeout_s), 0.0)

    def changes(
        self,
        table: Table,
        after: int,
        wait_s: float,
        slack_s: float = FEED_SLACK_S,
    ) -> Result[Changes, StoreError]:
        """Wait for changes; see `ChangeFeed`."""
        hubs = self._hubs_to_ask()
        if not hubs:
            if self._hubs.is_hub():
                wait_s = min(wait_s, self._wait_s())
            return self._read_changes(table, after, wait_s, slack_s)
        peer_result = self._ask_each(hubs, table, after, self._wait_s())
        if peer_result.is_ok():
            self._next_try_at.pop(table, None)
            return peer_result
        if isinstance(peer_result.err(), PeerRefusedError) and not self._may_try(table):
            text = "no hub has a recent answer from the store"
            return Err(StoreUnavailableError(text, step="read a table"))
        return self._read_changes(table, after, 0.0, slack_s)

    def is_current(self, table: Table) -> bool:
        """Return whether the store itself recently answered this router for a table."""
        answered_at = self._store_answered_at.get(table, float("-inf"))
        return self._timers.now() - answered_at <= self._max_current_age_s()

    def _max_current_age_s(self) -> float:
        return self._wait_s() + STORE_SILENCE_SLACK_S

    def _read_changes(
        self, table: Table, after: int, wait_s: float, slack_s: float
    ) -> Result[Changes, StoreError]:
        return self._read(
            table, lambda: self._store.changes(table, after, wait_s, slack_s), wait_s
        )

    def _wait_s(self) -> float:
        return WAIT_SHARE * self._bounds().config_apply_s

    def _hubs_to_ask(self) -> list[Address]:
        """Return the hubs to ask; those that failed recently come last."""
        now = self._timers.now()
        addresses = [member.address for member in self._hubs.serving_hubs()]
        addresses.sort(key=lambda address: self._avoid_until.get(address, 0.0) > now)
        return addresses[:MAX_HUBS_ASKED]

    def _seeds_to_ask(self) -> list[Address]:
        """Return one random seed if this router has just started, else nothing.

        Notes
        -----
        Only one seed is asked per read: if all routers start together, the seeds have
        no table yet, and callers wait until this router has one.
        """
        seeds = list(self._seeds())
        is_seed = self._membership.own.address in seeds
        if is_seed or not seeds or self._timers.now() >= self._join_until:
            return []
        return [self._rng.choice(seeds)]

    def _ask_each(
        self,
        addresses: Sequence[Address],
        table: Table,
        after: int,
        wait_s: float,
        slack_s: float = SLACK_S,
    ) -> Result[Changes, PeerError]:
        """Ask one router after the other; only the first may wait for changes."""
        text = "there is no other router to read from"
        result: Result[Changes, PeerError] = Err(PeerError(text, step="read a table"))
        for address in addresses:
            peer_result = self._ask(address, table, after, wait_s, slack_s)
            if peer_result.is_ok():
                return peer_result
            self._note_failure(address, table, after, peer_result.err())
            # A hub's report that the store is silent says more than no answer.
            if not isinstance(result.err(), PeerRefusedError):
                result = peer_result
            wait_s = 0.0
        return result

    def _ask(
        self,
        address: Address,
        table: Table,
        after: int,
        wait_s: float,
        slack_s: float,
    ) -> Result[Changes, PeerError]:
        started_at = self._timers.now()
        answer = self._links.link(address).call(
            FetchTable(table, after, wait_s, counts_eras=True),
            TablePart,
            timeout_s=wait_s + slack_s,
        )
        if answer.is_err():
            return answer
        context = {"step": "read a table", "peer": str(address)}
        part = answer.ok()
        try:
            changes = part.unpack()
        except ValueError as exc:
            return Err(PeerError(str(exc), **context))
        if changes is not None and not is_comparable(part, changes, after):
            text = "it counts the store's versions otherwise"
            return Err(PeerRefusedError(text, **context))
        if part.is_current and changes is None and after >= 0:
            changes = Changes((), StoreVersion(after))
        if part.is_current and changes is not None:
            age_s = self._max_current_age_s() if part.age_s is None else part.age_s
            changes = msgspec.structs.replace(changes, answering_s=part.answering_s)
            return Ok(self._with_age(changes, started_at, wait_s, age_s))
        return Err(
            PeerRefusedError("it has no recent answer from the store", **context)
        )

    def _note_failure(
        self, address: Address, table: Table, after: int, error: PeerError
    ) -> None:
        now = self._timers.now()
        if self._avoid_until.get(address, 0.0) <= now and after >= 0:
            _log.write(
                "Hub failed.",
                table=table.value,
                peer=str(address),
                version=after,
                error=str(error),
            )
        self._avoid_until = {
            at: until for at, until in self._avoid_until.items() if until > now
        }
        self._avoid_until[address] = now + AVOID_FAILED_HUB_S

    def _may_try(self, table: Table) -> bool:
        """Return whether it is this router's turn to retry a store that is silent."""
        now = self._timers.now()
        mean_s = self._membership.routers() / FLEET_RETRIES_PER_S
        if table not in self._next_try_at:
            # Routers that notice the failure together spread their first retries.
            self._next_try_at[table] = now + mean_s * self._rng.random()
        if now < self._next_try_at[table]:
            return False
        self._next_try_at[table] = now + mean_s * self._rng.uniform(0.5, 1.5)
        return True

    def _read(
        self,
        table: Table,
        read: Callable[[], Result[Changes, StoreError]],
        wait_s: float,
    ) -> Result[Changes, StoreError]:
        started_at = self._timers.now()
        result = read()
        if result.is_ok():
            self._next_try_at.pop(table, None)
            self._store_answered_at[table] = self._timers.now()
        return result.map(
            lambda changes: self._with_age(changes, started_at, wait_s, 0.0)
        )

    def _with_age(
        self, changes: Changes, started_at: float, wait_s: float, age_s: float
    ) -> Changes:
        """Return changes with their age: how old they were, and their way here."""
        way_s = max(0.0, self._timers.now() - started_at - wait_s)
        return msgspec.structs.replace(changes, age_s=age_s + way_s)
