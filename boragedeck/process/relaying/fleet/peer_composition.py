"""Builds the parts by which a router knows its peers and speaks to them."""

import random

from boragedeck.connection.peer import PeerLinks, PeerServer
from boragedeck.interfaces import Member
from boragedeck.platform.store import PlatformStore
from boragedeck.process.membership.gossip import GossipBoard
from boragedeck.process.membership.membership import GossipMembership
from boragedeck.process.relaying.fleet.fleet_size import FleetSize, reachable_share
from boragedeck.process.relaying.fleet.hubs import Hubs, choose_hubs
from boragedeck.process.relaying.fleet.peer_dialect import RelayDialect
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.listening import listen
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.settings_source import SettingsSource
from boragedeck.process.timers import TimerService

__all__ = ["Peers"]


class Peers:
    """What a router knows of its peers.

    Parameters
    ----------
    source : SettingsSource
        The settings in force.
    own : Member
        This router as its peers know it.
    timers : TimerService
        The source of time.
    rng : random.Random
        Chooses peers, and spreads calls.
    store : PlatformStore
        Where routers find each other.
    metrics : RelayMetrics
        Shows the share of the fleet that is reached.

    Attributes
    ----------
    server : PeerServer
        Receives their calls.
    links : PeerLinks
        Links to them.
    greeting : Greeting
        How this router introduces itself.
    board : GossipBoard
        Facts that all routers share.
    membership : GossipMembership
        The other routers.
    fleet_size : FleetSize
        How many routers there are.
    hubs : Hubs
        The routers that do some work for the others.
    """

    def __init__(
        self,
        source: SettingsSource,
        own: Member,
        timers: TimerService,
        rng: random.Random,
        store: PlatformStore,
        metrics: RelayMetrics,
    ):
        settings = source.current()
        dialect = RelayDialect(metrics)
        self._timers = timers
        self.server = PeerServer(listen(settings.peer), dialect=dialect)
        self.links = PeerLinks(timers, dialect=dialect)
        self.greeting = dialect.greeting
        self.board = GossipBoard(own, timers, self.links, self.server, rng)
        self.membership = GossipMembership(
            own,
            timers,
            self.links,
            self.server,
            store,
            rng,
            board=self.board,
            callers=settings.callers,
            seeds=lambda: source.current().seeds,
            select_row_owners=choose_hubs,
        )
        self.fleet_size = FleetSize(
            timers, self.membership.routers, lambda: bool(self.membership.seeds())
        )
        metrics.reachable_share.set_function(self.reachable_share)
        self.hubs = Hubs(timers, self.membership)

    def reachable_share(self) -> float:
        """Return the share of the fleet that this router reaches."""
        return reachable_share(self.membership, self.fleet_size)

    def make_task_owners(self) -> TaskOwners:
        """Return which router does each of the tasks that one does for all."""
        return TaskOwners(self._timers, self.membership, self.hubs, self.fleet_size)
