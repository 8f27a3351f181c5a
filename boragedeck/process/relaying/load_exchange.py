"""Tells the other routers what this one has sent to each replica.

Routers that place by their own requests alone meet at the same replica; what the
replicas report of themselves is late and is read by all routers at once. All are
told; the more there are, the less often.
"""

from collections.abc import Callable, Iterable

import eventlet

from boragedeck.connection.messages import Accepted, Message
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.connection.store import Table
from boragedeck.ids import RouterId
from boragedeck.interfaces import Membership
from boragedeck.process.relaying.registry import Load, ReplicaRegistry
from boragedeck.process.relaying.table_mirror import TableMirror
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import ReplicaId

__all__ = ["LoadExchange", "LoadUpdate"]

MIN_INTERVAL_S = 0.05
REFRESH_S = 1.0
TTL_S = 2.5
"""For so long the loads of a silent router count."""
CALL_TIMEOUT_S = 0.5
MAX_MESSAGES_PER_S = 240.0
"""What one router sends to all others together."""


class LoadUpdate(Message, frozen=True):
    """What a router has sent to each replica that has not ended.

    Parameters
    ----------
    router : RouterId
        The sender.
    number : int
        Counts the sender's updates; the highest one holds.
    loads : dict of ReplicaId to Load
        The loads that aren't zero.
    newest : dict of Table to int
        The newest change of a row in each mirror of the sender.
    """

    router: RouterId
    number: int
    loads: dict[ReplicaId, Load]
    newest: dict[Table, int]


class LoadExchange:
    """Sends this router's loads to the others and adds up theirs.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The replicas with their loads.
    membership : Membership
        The other routers.
    links : PeerLinks
        Links to them.
    server : PeerServer
        Where they call.
    mirrors : iterable of TableMirror
        Tables whose newest change is told.

    Attributes
    ----------
    on_newest : callable
        Called with a router's address and the newest change of its mirrors.
    """

    def __init__(
        self,
        timers: TimerService,
        registry: ReplicaRegistry,
        membership: Membership,
        links: PeerLinks,
        server: PeerServer,
        mirrors: Iterable[TableMirror] = (),
    ):
        self._mirrors = list(mirrors)
        self.on_newest: Callable[[Address, Table, int], None] = _ignore
        self._timers = timers
        self._registry = registry
        self._membership = membership
        self._links = links
        self._number = 0
        self._is_changed = False
        self._sent_at = 0.0
        self._sending: set = set()
        self._seen: dict[RouterId, tuple[float, LoadUpdate]] = {}
        self._totals: dict[ReplicaId, Load] = {}
        registry.subscribe(self._link_totals)
        server.register(LoadUpdate, self._on_update)

    def start(self) -> None:
        """Exchange loads from now on."""
        self._timers.subscribe(MIN_INTERVAL_S, self._tick)

    def note_change(self) -> None:
        """Note that this router's loads have changed."""
        self._is_changed = True

    def _tick(self) -> None:
        now = self._timers.now()
        self._expire(now)
        if not self._is_changed and now - self._sent_at < REFRESH_S:
            return
        members = self._membership.members()
        if self._is_changed and now - self._sent_at < len(members) / MAX_MESSAGES_PER_S:
            return
        self._is_changed = False
        self._sent_at = now
        self._number += 1
        loads = {
            state.replica.replica: state.own
            for state in self._registry.all()
            if state.own.running or state.own.tokens
        }
        newest = {mirror.table: mirror.newest for mirror in self._mirrors}
        own = self._membership.own.router
        update = LoadUpdate(own, self._number, loads, newest)
        for member in members:
            if member.address not in self._sending:
                self._sending.add(member.address)
                eventlet.spawn_n(self._send, member.address, update)

    def _send(self, address, update: LoadUpdate) -> None:
        try:
            link = self._links.link(address)
            # A router that doesn't answer is found out by the membership.
            link.call(update, Accepted, timeout_s=CALL_TIMEOUT_S)
        finally:
            self._sending.discard(address)

    def _on_update(self, update: LoadUpdate) -> Accepted:
        seen = self._seen.get(update.router)
        if seen is None or seen[1].number < update.number:
            self._seen[update.router] = (self._timers.now(), update)
            if seen is not None:
                self._count(seen[1], -1)
            self._count(update, 1)
            self._tell_newest(update)
        return Accepted()

    def _tell_newest(self, update: LoadUpdate) -> None:
        address = self._membership.address_of(update.router)
        if address is not None:
            for table, newest in update.newest.items():
                self.on_newest(address, table, newest)

    def _expire(self, now: float) -> None:
        old = [router for router, (at, _) in self._seen.items() if now - at > TTL_S]
        for router in old:
            self._count(self._seen.pop(router)[1], -1)

    def _count(self, update: LoadUpdate, sign: int) -> None:
        for replica, load in update.loads.items():
            total = self._totals.get(replica)
            if total is None:
                total = self._totals[replica] = Load()
                self._link(replica, total)
            total.add(load, sign)
            if total == Load():
                del self._totals[replica]
                self._link(replica, Load())

    def _link(self, replica: ReplicaId, total: Load) -> None:
        state = self._registry.get(replica)
        if state is not None:
            state.peers = total

    def _link_totals(self) -> None:
        for replica, total in self._totals.items():
            self._link(replica, total)


def _ignore(address: Address, table: Table, newest: int) -> None:
    """Take no notice of another router's mirrors."""
