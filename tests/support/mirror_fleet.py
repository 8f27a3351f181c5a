"""Routers in memory that mirror the tables of one store, on a manual clock.

The calls go through the adapter of the platform's store and its stand-in.
"""

import random
from collections import Counter
from unittest.mock import patch
from urllib.parse import parse_qsl, urlsplit

import eventlet
from result import Err, Ok

from boragedeck.connection.peer import Address
from boragedeck.connection.store import Table
from boragedeck.connection.store_http import StoreAnswer
from boragedeck.exceptions import StoreUnavailableError
from boragedeck.interfaces import Member
from boragedeck.platform import store as store_module
from boragedeck.platform.store import PlatformStore
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.tables.mirror_follower import MirrorFollower
from boragedeck.process.relaying.tables.mirror_server import serve_mirrors
from boragedeck.process.relaying.tables.replica_source import ReplicaSource
from boragedeck.process.relaying.tables.shared_feed import SharedFeed
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.process.timers import ManualTimers
from standins.rows import PATH_PREFIX, RowStore
from tests.process.relaying.placing.test_admission import replica
from tests.support.limited_fleet import FleetMembers, FleetNetwork, FleetPeer
from tests.support.replicas import BOUNDS

TABLES = (Table.ROUTING, Table.REPLICAS)
POLL_S = 0.02
"""How often a waiting call for changes looks for new ones."""
ANSWER_S = 0.004
DOMAINS = 4
HEARTBEAT_S = 1.2
LOAD_INTERVAL_S = 0.9
"""How often each router tells some others the newest version that it knows."""
PEERS_TOLD = 3


class StoreLine:
    """Carries the calls of all routers to the store.

    Attributes
    ----------
    is_down : bool
        Whether calls fail.
    cut : set of str
        Routers whose calls fail.
    silent : set of str
        Routers whose calls get no answer until their timeout, also calls that wait
        already.
    latency_s : float
        How long an answer takes, in seconds.
    calls : Counter
        Number of calls by path.
    """

    def __init__(self, timers, rows):
        self._timers, self._rows = timers, rows
        self.is_down = False
        self.cut = set()
        self.silent = set()
        self.latency_s = ANSWER_S
        self.calls = Counter()

    def call(self, pool, method, url, *, body, timeout, step, peer, headers=None):
        """See `call_store`; the name of the pool's host is the router's."""
        target = urlsplit(url)
        path = target.path.removeprefix(PATH_PREFIX)
        fields = dict(parse_qsl(target.query))
        started_at = self._timers.now()
        until = started_at + int(fields.pop("waitMs", 0)) / 1000.0
        timeout_at = started_at + timeout.read_timeout
        self.calls[path] += 1
        while True:
            self._timers.sleep(self.latency_s)
            if pool.host in self.silent:
                self._timers.sleep(max(0.0, timeout_at - self._timers.now()))
                return Err(StoreUnavailableError("timeout", step=step, peer=peer))
            if self.is_down or pool.host in self.cut:
                return Err(StoreUnavailableError("down", step=step, peer=peer))
            answer = self._rows.serve(path, fields | {"waitMs": "0"}, body or b"")
            is_empty = path == "rows-feed" and b'"rows":[]' in answer.body
            if not is_empty or self._timers.now() >= until:
                return Ok(StoreAnswer(answer.status, _headers(answer), answer.body))
            self._timers.sleep(POLL_S)


def _headers(answer):
    return dict(answer.extra_headers)


class MirrorRouter:
    """The parts of one router that mirror the store's tables."""

    def __init__(self, fleet, number):
        self.name = f"r{number}"
        self.member = Member(self.name, self.name, f"d{number % DOMAINS}", self.name)
        timers, self._fleet = fleet.timers, fleet
        rng = random.Random(number)
        members = FleetMembers(fleet, self.member)
        peer = FleetPeer(fleet.net, self.name)
        store = PlatformStore(Address(self.name, 1))
        self.mirrors = {table: TableMirror(table) for table in TABLES}
        feed = SharedFeed(
            store,
            timers,
            rng,
            peer,
            members,
            Hubs(timers, members),
            tuple,
            lambda: BOUNDS,
        )
        self.followers = {
            table: MirrorFollower(
                mirror,
                feed,
                timers,
                peer,
                lambda: [each.address for each in members.members()],
                rng,
                lambda: BOUNDS.contact_s,
            )
            for table, mirror in self.mirrors.items()
        }
        serve_mirrors(
            peer,
            self.mirrors.values(),
            timers,
            feed.is_current,
            lambda table: self.followers[table],
        )
        self.registry = ReplicaRegistry(timers)
        ReplicaSource(
            self.mirrors[Table.REPLICAS],
            self.followers[Table.REPLICAS],
            self.registry,
            lambda key, body: Ok(replica(key)),
            timers,
            lambda: HEARTBEAT_S,
        )
        self._rng = rng

    def start(self):
        """Follow the tables, and tell others the newest version that is known."""
        for follower in self.followers.values():
            follower.start()
        self._fleet.timers.subscribe(LOAD_INTERVAL_S, self._tell_versions)

    def value(self, table, key):
        """Return a row's value as this router knows it; None if there is none."""
        row = self.mirrors[table].rows.get(key)
        return None if row is None else row.value

    def _tell_versions(self):
        others = [each for each in self._fleet.routers if each is not self]
        for other in self._rng.sample(others, min(PEERS_TOLD, len(others))):
            if self._fleet.net.can_reach(self.name, other.name):
                for table, mirror in self.mirrors.items():
                    other.followers[table].note_peer_version(
                        self.name, mirror.newest_row_version
                    )


class MirrorFleet:
    """Routers that mirror one store.

    Attributes
    ----------
    rows : RowStore
        The store.
    line : StoreLine
        The way to the store.
    """

    def __init__(self, count):
        self.timers = ManualTimers()
        self.rows = RowStore()
        self.line = StoreLine(self.timers, self.rows)
        self.net = FleetNetwork(self.timers)
        self._patch = patch.object(store_module, "call_store", self.line.call)
        self._patch.start()
        self.routers = []
        for number in range(count):
            self.routers.append(MirrorRouter(self, number))

    def start(self):
        """Start all routers."""
        for router in self.routers:
            router.start()

    def add_router(self):
        """Start another router, and return it."""
        router = MirrorRouter(self, len(self.routers))
        self.routers.append(router)
        router.start()
        return router

    def run(self, seconds, step_s=0.05):
        """Let time pass."""
        until = self.timers.now() + seconds
        while self.timers.now() < until:
            self.timers.advance(step_s)

    def restore(self, ver, away_s=2.0):
        """Take the store away for some time, and restore it from an older copy."""
        self.line.is_down = True
        self.run(away_s)
        self.rows.restore(ver)
        self.line.is_down = False

    def values(self, table, key):
        """Return the different values of a row at the routers."""
        return {router.value(table, key) for router in self.routers}

    def close(self):
        """Stop the routers' calls."""
        self.line.is_down = True
        self._patch.stop()
        eventlet.sleep(0)
