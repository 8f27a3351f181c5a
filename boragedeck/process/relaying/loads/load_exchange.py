"""Exchanges with other routers the load that each has put on each replica.

Hundreds of routers with few requests each share the same replicas. Routers that place
requests by their own load alone would choose the same replica; the load that replicas
report themselves is late, and all routers read it at the same time.

In a small fleet each router sends its loads to all others. In a large one it sends them
to the hub of its failure domain, the hubs exchange their sums, and a router asks its
hub when it places a request. A router's messages thus grow with its own requests, and a
hub's messages with the routers of its domain and the number of domains.
"""

from collections.abc import Callable, Iterable

import eventlet

from boragedeck.connection.messages import Accepted, Message
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.connection.store import Table
from boragedeck.ids import PoolName, RouterId
from boragedeck.interfaces import Member, Membership
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.relaying.loads.load_hub import LoadHub
from boragedeck.process.relaying.loads.load_messages import LoadSum, LoadUpdate
from boragedeck.process.relaying.loads.pool_load_cache import PoolLoadCache
from boragedeck.process.relaying.placing.admission import LoadSource
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.relaying.speeds.replica_speeds import ReplicaSpeeds
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import Replica, ReplicaId

__all__ = ["LoadExchange"]

BATCH_DELAY_S = 0.03
"""Changes within this time are sent in one message."""
MAINTENANCE_INTERVAL_S = 0.5
REFRESH_S = 1.0
CALL_TIMEOUT_S = 0.5
MAX_MESSAGES_PER_S = 240.0
"""Maximum rate at which one router of a small fleet sends, over all receivers."""


class LoadExchange(LoadSource):
    """Sends this router's loads to the others and adds up theirs.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The replicas with their loads.
    membership : Membership
        The other routers.
    hubs : Hubs
        The hubs, which sum up the loads of other routers.
    links : PeerLinks
        Links to the other routers.
    server : PeerServer
        Receives their messages.
    mirrors : iterable of TableMirror
        Tables whose newest row version is sent with the loads.
    speeds : ReplicaSpeeds, optional
        The speeds of the replicas, which are exchanged beside the loads.

    Attributes
    ----------
    on_newest_version : callable
        Called with a router's address, a table, and the newest row version in that
        router's mirror of the table.
    """

    def __init__(
        self,
        timers: TimerService,
        registry: ReplicaRegistry,
        membership: Membership,
        hubs: Hubs,
        links: PeerLinks,
        server: PeerServer,
        mirrors: Iterable[TableMirror] = (),
        speeds: ReplicaSpeeds | None = None,
    ):
        self._mirrors = list(mirrors)
        self.on_newest_version: Callable[[Address, Table, int], None] = _ignore_version
        self._timers = timers
        self._registry = registry
        self._membership = membership
        self._hubs = hubs
        self._links = links
        self._number = 0
        self._has_unsent_changes = False
        self._is_send_scheduled = False
        self._sent_at = 0.0
        self._in_flight: set[Address] = set()
        own = membership.own.router
        self._speeds = speeds or ReplicaSpeeds(own, timers, registry)
        self._load_hub = LoadHub(own, timers, registry, server, self._speeds)
        self._pool_loads = PoolLoadCache(own, timers, registry, links, self._speeds)
        self._reported_hub: Member | None = None
        registry.subscribe(self._update_all_peer_loads)
        server.register(LoadUpdate, self._on_update)
        server.register(LoadSum, self._on_sum)

    def start(self) -> None:
        """Start to exchange loads."""
        self._timers.subscribe(MAINTENANCE_INTERVAL_S, self._maintain)

    def note_change(self) -> None:
        """Record that this router's loads have changed."""
        self._has_unsent_changes = True
        if self._hubs.serving_hubs():
            self._send_to_hub()
        else:
            self._schedule_send(BATCH_DELAY_S)

    def refresh(self, pool: PoolName) -> None:
        """See `LoadSource.refresh`; asks the hub if there is one."""
        hub = self._own_hub()
        if hub is not None:
            self._pool_loads.fetch(hub, pool)

    def routers(self) -> int:
        """See `LoadSource.routers`."""
        return self._membership.routers()

    def is_fresh(self, pool: PoolName) -> bool:
        """See `LoadSource.is_fresh`; always true if there is no hub to ask."""
        return not self._hubs.serving_hubs() or self._pool_loads.is_fresh(pool)

    def _maintain(self) -> None:
        """Drop expired loads, and resend own loads before others drop them."""
        self._speeds.update()
        self._update_peer_loads(self._load_hub.expire())
        for pool in self._pool_loads.expire():
            self._update_peer_loads(
                state.replica.replica for state in self._registry.of_pool(pool)
            )
        if self._timers.now() - self._sent_at >= REFRESH_S - BATCH_DELAY_S:
            self._has_unsent_changes = True
        self._send_changes()

    def _schedule_send(self, delay_s: float) -> None:
        """Send changes after a delay, unless that is scheduled already."""
        if not self._is_send_scheduled:
            self._is_send_scheduled = True
            self._timers.call_later(delay_s, self._send_scheduled)

    def _send_scheduled(self) -> None:
        self._is_send_scheduled = False
        self._send_changes()

    def _send_changes(self) -> None:
        if self._hubs.serving_hubs():
            self._send_to_hub()
        elif self._hubs.is_hub():
            self._send_to_peer_hubs()
        else:
            self._send_to_all()

    def _send_to_all(self) -> None:
        if not self._has_unsent_changes:
            return
        members = self._membership.members()
        interval_s = len(members) / MAX_MESSAGES_PER_S
        wait_s = self._sent_at + interval_s - self._timers.now()
        if wait_s > 0.0:
            self._schedule_send(wait_s)
            return
        update = self._next_update()
        for member in members:
            self._send(member.address, update)

    def _send_to_hub(self) -> None:
        """Send changes to the hub; changes during the call are sent after it."""
        hub = self._own_hub()
        if (
            hub is not None
            and self._has_unsent_changes
            and hub.address not in self._in_flight
        ):
            self._send(hub.address, self._next_update(), self._send_to_hub)

    def _send_to_peer_hubs(self) -> None:
        if self._has_unsent_changes:
            update = self._next_update()
            self._load_hub.merge(update.router, update.number, update.loads)
        others = self._hubs.peer_hubs()
        wait_s = self._load_hub.wait_s(len(others))
        if wait_s > 0.0:
            self._schedule_send(wait_s)
            return
        message = self._load_hub.next_sum(self._newest_row_versions())
        if message is not None:
            for member in others:
                self._send(member.address, message)

    def _own_hub(self) -> Member | None:
        """Return the hub that sums up this router's loads.

        Notes
        -----
        The choice depends on the membership alone: if a router changed to another hub
        because of a slow answer, both hubs would count its loads.
        """
        hub = next(iter(self._hubs.serving_hubs()), None)
        if self._reported_hub is not None and hub != self._reported_hub:
            self._withdraw_from(self._reported_hub)
        self._reported_hub = hub
        return hub

    def _withdraw_from(self, hub: Member) -> None:
        """Tell a hub that another hub counts this router's loads now."""
        self._number += 1
        own = self._membership.own.router
        self._send(hub.address, LoadUpdate(own, self._number, {}, {}))
        self._has_unsent_changes = True

    def _next_update(self) -> LoadUpdate:
        self._has_unsent_changes = False
        self._sent_at = self._timers.now()
        self._number += 1
        loads = {
            state.replica.replica: state.own.copy()
            for state in self._registry.all()
            if state.own != Load()
        }
        own = self._membership.own.router
        versions = self._newest_row_versions()
        samples = self._speeds.take_own_samples()
        return LoadUpdate(own, self._number, loads, versions, samples)

    def _newest_row_versions(self) -> dict[Table, int]:
        return {mirror.table: mirror.newest_row_version for mirror in self._mirrors}

    def _send(
        self,
        address: Address,
        message: Message,
        on_done: Callable[[], None] | None = None,
    ) -> None:
        if address not in self._in_flight:
            self._in_flight.add(address)
            eventlet.spawn_n(self._call, address, message, on_done)

    def _call(
        self, address: Address, message: Message, on_done: Callable[[], None] | None
    ) -> None:
        try:
            link = self._links.link(address)
            # A missing answer is ignored here: the membership detects dead routers.
            link.call(message, Accepted, timeout_s=CALL_TIMEOUT_S)
        finally:
            self._in_flight.discard(address)
        if on_done is not None:
            on_done()

    def _on_update(self, update: LoadUpdate) -> Accepted:
        changed = self._load_hub.merge(update.router, update.number, update.loads)
        self._update_peer_loads(changed)
        self._speeds.merge_samples(update.router, update.speed_samples)
        if changed and self._hubs.is_hub():
            self._schedule_send(BATCH_DELAY_S)
        self._notify_newest_versions(update.router, update.newest_row_versions)
        return Accepted()

    def _on_sum(self, message: LoadSum) -> Accepted:
        self._update_peer_loads(self._load_hub.merge_sum(message))
        self._notify_newest_versions(message.router, message.newest_row_versions)
        return Accepted()

    def _notify_newest_versions(
        self, router: RouterId, newest_row_versions: dict[Table, int]
    ) -> None:
        address = self._membership.address_of(router)
        if address is not None:
            known = {mirror.table for mirror in self._mirrors}
            for table in known & newest_row_versions.keys():
                version = newest_row_versions[table]
                self.on_newest_version(address, table, version)

    def _peer_load_of(self, replica: Replica) -> Load:
        hub_load = self._pool_loads.load_of(replica)
        if hub_load is not None:
            return hub_load
        own = self._membership.own.router
        return self._load_hub.load_excluding(replica.replica, own)

    def _update_peer_loads(self, replicas: Iterable[ReplicaId]) -> None:
        for replica in replicas:
            state = self._registry.get(replica)
            if state is not None:
                state.peers = self._peer_load_of(state.replica)

    def _update_all_peer_loads(self) -> None:
        self._update_peer_loads(state.replica.replica for state in self._registry.all())


def _ignore_version(address: Address, table: Table, version: int) -> None:
    """Ignore the newest version of another router's mirror."""
