"""Builds and connects the parts that mirror the platform's tables."""

import random
from collections.abc import Callable

from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.connection.store import ChangeFeed, Table
from boragedeck.platform.routing import ROUTING_KEY, decode_routing
from boragedeck.process.membership.membership import GossipMembership
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.settings_source import SettingsSource
from boragedeck.process.relaying.tables.mirror_follower import MirrorFollower
from boragedeck.process.relaying.tables.mirror_server import serve_mirrors
from boragedeck.process.relaying.tables.routing_source import RoutingSource
from boragedeck.process.relaying.tables.shared_feed import SharedFeed
from boragedeck.process.relaying.tables.table_ages import TableAges
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import TimerService

__all__ = ["MirroredTables"]


class MirroredTables:
    """The mirrors of the operators' table and of the list of replicas.

    Parameters
    ----------
    source : SettingsSource
        The settings in force.
    store : ChangeFeed
        The platform's store.
    timers : TimerService
        The source of time.
    rng : random.Random
        Chooses routers to ask, and spreads retries.
    links : PeerLinks
        Links to the other routers.
    server : PeerServer
        Receives calls of the other routers.
    membership : GossipMembership
        The other routers.
    hubs : Hubs
        The hubs, which read the store for the others.
    metrics : RelayMetrics
        Shows the ages of the tables.

    Attributes
    ----------
    routing, replicas : TableMirror
        The mirrors.
    followers : dict of Table to MirrorFollower
        They keep the mirrors up to date.
    in_force : RoutingSource
        The routing table in force.
    ages : TableAges
        How old the tables are.
    """

    def __init__(
        self,
        source: SettingsSource,
        store: ChangeFeed,
        timers: TimerService,
        rng: random.Random,
        links: PeerLinks,
        server: PeerServer,
        membership: GossipMembership,
        hubs: Hubs,
        metrics: RelayMetrics,
    ):
        self.routing = TableMirror(Table.ROUTING)
        self.replicas = TableMirror(Table.REPLICAS)
        self.routing.subscribe_restored(membership.restore_row)
        feed = SharedFeed(
            store,
            timers,
            rng,
            links,
            membership,
            hubs,
            lambda: source.current().seeds,
            source.bounds,
        )
        self.followers: dict[Table, MirrorFollower] = {}
        for mirror in self.mirrors():
            mirror.subscribe_restored(
                metrics.store_restored.labels(mirror.table.value).inc
            )
            self.followers[mirror.table] = MirrorFollower(
                mirror,
                feed,
                timers,
                links,
                _peers_of(membership),
                rng,
                lambda: source.bounds().contact_s,
            )
        serve_mirrors(
            server,
            self.mirrors(),
            timers,
            feed.is_current,
            lambda table: self.followers[table],
        )
        self.ages = TableAges(self.followers, metrics)
        self.in_force = RoutingSource(self.routing, ROUTING_KEY, decode_routing)

    def mirrors(self) -> list[TableMirror]:
        """Return the mirrors."""
        return [self.routing, self.replicas]

    def start(self) -> None:
        """Start to follow the tables."""
        for follower in self.followers.values():
            follower.start()

    def note_newest_version(
        self, address: Address, table: Table, newest_row_version: int
    ) -> None:
        """Record the newest row version that another router has of a table."""
        self.followers[table].note_peer_version(address, newest_row_version)


def _peers_of(membership: GossipMembership) -> Callable[[], list[Address]]:
    """Return a callable that returns the routers that may be asked for a table."""

    def addresses() -> list[Address]:
        members = [member.address for member in membership.members()]
        return members or membership.seeds()

    return addresses
