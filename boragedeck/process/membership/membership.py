"""A router's view of the other routers; see `boragedeck.interfaces.Membership`.

Routers announce themselves by gossip and check each other by heartbeats. A router that
fails its checks is first a suspect, and is removed as dead only later. New routers find
others by rows in the platform's table.
"""

import random
from collections.abc import Callable, Sequence

import eventlet
import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.connection.platform import Platform
from boragedeck.connection.store import Vm
from boragedeck.ids import Health, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.membership.gossip import GossipBoard
from boragedeck.process.membership.gossip_messages import SUSPICION_PREFIX
from boragedeck.process.membership.heartbeats import Heartbeats, Reachability
from boragedeck.process.membership.member_table import MemberTable, MemberTableListener
from boragedeck.process.membership.member_view import DEAD_AFTER_S, MemberView
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService

__all__ = ["GossipMembership"]

TICK_S = 1.0
MIN_ANNOUNCEMENT_INTERVAL_S = 10.0
ANNOUNCEMENT_INTERVAL_PER_ROUTER_S = 0.2
ANNOUNCEMENT_TTL_INTERVALS = 3.5
"""How long an announcement is valid, in intervals between announcements."""
REFUTE_INTERVAL_S = 1.0
"""Minimum time between an announcement and one that refutes a suspicion."""
MAX_SUSPECT_CHECKS_PER_TICK = 8
LOST_SEARCH_INTERVAL_TICKS = 10
"""Number of ticks between two attempts to contact a lost router or a seed."""
LEAVING_TTL_S = 600.0
ANNOUNCEMENT_KEY = "self"
"""Key of a router's announcement of itself; the origin of the fact names the router."""
TABLE_START_DELAY_S = 2.0
"""Delay before a starting router uses the table, if not all routers keep a row.

Until then it learns of the others by its seeds alone."""
VM_PREFIX = "vm/"


_log = PartLog("membership")


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Body of a suspicion: `router` is unreached since its announcement `number`.

    A later announcement, which has a higher number, refutes it.
    """

    router: RouterId
    number: int


class GossipMembership(MemberTableListener):
    """Membership by gossip and heartbeats.

    Parameters
    ----------
    own : Member
        This router.
    timers : TimerService
        The source of time.
    links : PeerLinks
        Links to the other routers.
    server : PeerServer
        Receives calls from the other routers.
    platform : Platform
        Stores a row for each router, and has the list of VMs.
    rng : random.Random
        The source of jitter and choice.
    board : GossipBoard
        Gossips announcements and suspicions.
    callers : Address
        The address on which this router listens for callers.
    seeds : callable
        Returns the peers to contact if no other router is known.
    select_row_owners : callable, optional
        Returns, from a list of this router and the others, those that keep a row in
        the platform's table, by which new routers find them; by default all do.

    Notes
    -----
    A router is suspect if neither this one nor others that it asks reach it, and dead
    after `DEAD_AFTER_S` as a suspect. A suspect that is alive receives the suspicion
    and refutes it with a new announcement. The others take no action about a
    dead router except that they send it nothing.
    """

    def __init__(
        self,
        own: Member,
        timers: TimerService,
        links: PeerLinks,
        server: PeerServer,
        platform: Platform,
        rng: random.Random,
        *,
        board: GossipBoard,
        callers: Address,
        seeds: Callable[[], Sequence[Address]] = tuple,
        select_row_owners: Callable[[list[Member]], list[Member]] | None = None,
    ):
        self.own = own
        self._timers = timers
        self._links = links
        self._rng = rng
        self._board = board
        self._configured_seeds = seeds
        self._view = MemberView(own, timers)
        self._heartbeats = Heartbeats(own, timers, links, server, rng)
        self._select_row_owners = select_row_owners
        first_delay_s = 0.0 if select_row_owners is None else TABLE_START_DELAY_S
        self._table = MemberTable(
            own, callers, platform, timers, rng, self, first_delay_s
        )
        self._listed_vms: set[VmName] = set()
        self._checking: set[RouterId] = set()
        self._ticks = 0
        self._announced_at = float("-inf")
        board.set_peer_source(self._gossip_peers)
        board.subscribe(FactTopic.MEMBER, self._on_member_fact)
        board.subscribe(FactTopic.LEAVING, self._on_leaving_fact)

    def start(self) -> None:
        """Announce this router, and start its periodic checks and its table."""
        self._announce()
        self._table.start()
        self._timers.subscribe(TICK_S, self._tick)

    def leave(self) -> None:
        """Publish that this router is about to stop, and delete its row."""
        self.own = msgspec.structs.replace(self.own, health=Health.LEAVING)
        self._announce()
        self._board.publish(
            FactTopic.LEAVING, f"router/{self.own.router}", b"", ttl_s=LEAVING_TTL_S
        )
        # A slow store must not delay the stop.
        eventlet.spawn_n(self._table.leave)

    def restore_row(self) -> None:
        """Write this router's row again, after the store has lost recent writes."""
        eventlet.spawn_n(self._table.write_row)

    def members(self) -> list[Member]:
        """See `Membership.members`."""
        return self._view.members()

    def address_of(self, router: RouterId) -> Address | None:
        """See `Membership.address_of`."""
        known = self._view.get(router)
        return None if known is None else known.member.address

    def suspect(self, router: RouterId) -> None:
        """See `Membership.suspect`; a heartbeat clears or confirms it."""
        self._view.unreached(router)
        eventlet.spawn_n(self._check, router)

    def routers(self) -> int:
        """See `MemberTableListener.routers`."""
        return 1 + len(self._view)

    def is_known(self, router: RouterId) -> bool:
        """See `MemberTableListener.is_known`."""
        return self._view.get(router) is not None

    def keeps_row(self) -> bool:
        """See `MemberTableListener.keeps_row`; without known peers, always True."""
        others = self.members()
        if self._select_row_owners is None or not others:
            return True
        healthy = [member for member in others if member.health is Health.HEALTHY]
        return self.own in self._select_row_owners([self.own, *healthy])

    def on_rows(self, members: list[Member]) -> None:
        """See `MemberTableListener.on_rows`."""
        for member in members:
            self._view.add_from_row(member)

    def on_vms(self, vms: list[Vm]) -> None:
        """See `MemberTableListener.on_vms`; also publishes VMs newly seen leaving."""
        listed = {VmName(vm.name) for vm in vms}
        removed = (self._view.removed_vms | self._listed_vms) - listed
        self._view.removed_vms = removed & {k.member.vm for k in self._view.all()}
        self._listed_vms = listed
        leaving = {VmName(vm.name) for vm in vms if vm.leaving}
        for name in leaving - self._view.leaving_vms:
            self._board.publish(
                FactTopic.LEAVING, VM_PREFIX + name, b"", ttl_s=LEAVING_TTL_S
            )
        self._view.leaving_vms |= leaving

    def _tick(self) -> None:
        self._ticks += 1
        now = self._timers.now()
        if now - self._announced_at >= self._announcement_interval_s():
            self._announce()
        for member in self._view.remove_dead(self._silent_limit_s()):
            _log.write("Router lost.", peer=str(member.address), lost=member.router)
            if not self._view.is_in_use(member.address):
                self._links.forget(member.address)
        self._view.leaving_vms = self._leaving_vms()
        for known in self._view.ring_successors():
            eventlet.spawn_n(self._check, known.member.router)
        self._check_suspects()
        if self._ticks % LOST_SEARCH_INTERVAL_TICKS == 0:
            self._contact_lost()

    def _check_suspects(self) -> None:
        suspects = [k for k in self._view.all() if k.is_suspect]
        for known in self._rng.sample(
            suspects, min(MAX_SUSPECT_CHECKS_PER_TICK, len(suspects))
        ):
            eventlet.spawn_n(self._check, known.member.router)

    def _contact_lost(self) -> None:
        """Contact a lost router or a seed, since a partition may have healed."""
        lost = [
            address
            for address in (*self.seeds(), *self._view.lost_addresses())
            if not self._view.is_in_use(address)
        ]
        if lost:
            eventlet.spawn_n(self._board.synchronise_with, self._rng.choice(lost))

    def _check(self, router: RouterId) -> None:
        known = self._view.get(router)
        if known is None or router in self._checking:
            return
        self._checking.add(router)
        number = known.number
        try:
            reachability = self._heartbeats.check(
                known.member, self._heartbeat_helpers(router)
            )
        finally:
            self._checking.discard(router)
        match reachability:
            case Reachability.ALIVE:
                self._view.alive(router)
            case Reachability.REPLACED:
                self._view.remove(router)
            case Reachability.UNREACHED:
                self._view.unreached(router)
            case Reachability.SILENT:
                self._publish_suspicion(router, number)

    def _heartbeat_helpers(self, router: RouterId) -> list[Address]:
        return [
            known.member.address
            for known in self._view.all()
            if not known.is_suspect and known.member.router != router
        ]

    def _publish_suspicion(self, router: RouterId, number: int) -> None:
        known = self._view.get(router)
        # An announcement received during the check is newer than its result.
        if known is None or known.number != number:
            return
        self._view.unreached(router)
        self._view.suspect(router)
        if not self._view.has_suspicion(router, number):
            body = msgspec.msgpack.encode(Suspicion(router, number))
            key = SUSPICION_PREFIX + router
            self._board.publish(FactTopic.MEMBER, key, body, ttl_s=DEAD_AFTER_S)

    def _announce(self) -> None:
        self._announced_at = self._timers.now()
        body = msgspec.msgpack.encode(self.own)
        ttl_s = self._announcement_ttl_s()
        self._board.publish(FactTopic.MEMBER, ANNOUNCEMENT_KEY, body, ttl_s=ttl_s)

    def _announcement_interval_s(self) -> float:
        per_router = ANNOUNCEMENT_INTERVAL_PER_ROUTER_S * self.routers()
        return max(MIN_ANNOUNCEMENT_INTERVAL_S, per_router)

    def _announcement_ttl_s(self) -> float:
        return ANNOUNCEMENT_TTL_INTERVALS * self._announcement_interval_s()

    def _silent_limit_s(self) -> float:
        # A router that pauses just before its next announcement still has the full
        # period as a suspect.
        return self._announcement_ttl_s() + DEAD_AFTER_S

    def seeds(self) -> list[Address]:
        """Return the configured seeds without this router; they needn't be running."""
        seeds = self._configured_seeds()
        return [seed for seed in seeds if seed != self.own.address]

    def _gossip_peers(self) -> list[Address]:
        return self._view.gossip_peers() or self.seeds()

    def _on_member_fact(self, fact: Fact) -> None:
        if fact.key.startswith(SUSPICION_PREFIX):
            self._on_suspicion(msgspec.msgpack.decode(fact.body, type=Suspicion))
        elif fact.key == ANNOUNCEMENT_KEY and fact.origin != self.own.router:
            member = msgspec.msgpack.decode(fact.body, type=Member)
            if member.router == fact.origin:
                self._view.state(member, fact.number)
                for other in self._view.routers_sharing_address(member):
                    eventlet.spawn_n(self._check, other)

    def _on_suspicion(self, suspicion: Suspicion) -> None:
        if suspicion.router != self.own.router:
            self._view.merge_suspicion(suspicion.router, suspicion.number)
        elif self._timers.now() - self._announced_at >= REFUTE_INTERVAL_S:
            self._announce()

    def _on_leaving_fact(self, fact: Fact) -> None:
        self._view.leaving_vms = self._leaving_vms()

    def _leaving_vms(self) -> set[VmName]:
        return {
            VmName(fact.key.removeprefix(VM_PREFIX))
            for fact in self._board.facts(FactTopic.LEAVING)
            if fact.key.startswith(VM_PREFIX)
        }
