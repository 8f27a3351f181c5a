"""Builds and connects the parts of a router that relays requests."""

import random
import secrets

import eventlet
from eventlet import wsgi
from eventlet.greenio import GreenSocket
from prometheus_client import make_wsgi_app

from boragedeck.connection.caller_edge import CallerChannel, CallerEdge, RawRequest
from boragedeck.connection.early_listener import BACKLOG
from boragedeck.connection.listening import DiscardingLog
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.connection.store import Table
from boragedeck.connection.upstream_pool import MAX_IDLE_PER_REPLICA, UpstreamPool
from boragedeck.ids import PoolName, RouterId
from boragedeck.interfaces import Member
from boragedeck.platform.callers import refusal_headers
from boragedeck.platform.replica_protocol import HttpReplicaProtocol
from boragedeck.platform.replicas import decode_replica
from boragedeck.platform.rollout_status import PlatformRolloutBoard
from boragedeck.platform.routing import (
    ROLLOUT_PREFIX,
    decode_rollout,
)
from boragedeck.platform.store import PlatformStore
from boragedeck.process.membership.gossip import GossipBoard
from boragedeck.process.membership.membership import GossipMembership
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.observing.metrics import Metrics
from boragedeck.process.relaying.crashes.crash_composition import make_crash_blame
from boragedeck.process.relaying.draining import DrainPeriod
from boragedeck.process.relaying.fleet.fleet_size import FleetSize, reachable_share
from boragedeck.process.relaying.fleet.hubs import Hubs, choose_hubs
from boragedeck.process.relaying.fleet.peer_dialect import RelayDialect
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.limits.limit_composition import (
    make_brittle,
    make_limits,
)
from boragedeck.process.relaying.limits.limited_admission import LimitedAdmission
from boragedeck.process.relaying.loads.load_exchange import LoadExchange
from boragedeck.process.relaying.paths.path_composition import (
    forward_address,
    make_forward_edge,
    make_paths,
)
from boragedeck.process.relaying.placing.admission import Admission
from boragedeck.process.relaying.placing.durations import RequestDurations
from boragedeck.process.relaying.placing.stream_pace import StreamTimeEstimator
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_notices import ReplicaNotices
from boragedeck.process.relaying.request_handler import handle_request
from boragedeck.process.relaying.retries.retry_reserve import RetryReserve
from boragedeck.process.relaying.retries.retry_share import USABLE_SHARE, RetryShare
from boragedeck.process.relaying.rollouts.rollouts import RelayRollouts
from boragedeck.process.relaying.settings_source import SettingsSource
from boragedeck.process.relaying.tables.replica_source import ReplicaSource
from boragedeck.process.relaying.tables.store_meter import StoreMeter
from boragedeck.process.relaying.tables.table_composition import MirroredTables
from boragedeck.process.timers import RealTimers
from boragedeck.request.address_claims import watch_address_claims
from boragedeck.request.relay_components import RelayComponents
from boragedeck.version.replicas import Replica

__all__ = ["RelayRouter"]

ROUTER_ID_BYTES = 4
FIRST_TABLE_TIMEOUT_S = 0.3
"""How long after the start callers wait for a first table; without one, they are then
refused."""
FIRST_TABLE_POLL_S = 0.01
EXPIRE_INTERVAL_S = 1.0
IDLE_SHARE = 0.5
"""Share of a replica's connections that all routers together may keep idle."""

_log = PartLog("daemon")


class RelayRouter:
    """One router on the platform, with all its parts.

    Parameters
    ----------
    source : SettingsSource
        The settings in force.
    timers : RealTimers
        The source of time.
    listener : socket
        The socket to which callers connect.

    Attributes
    ----------
    own : Member
        This router as its peers know it.
    """

    def __init__(
        self, source: SettingsSource, timers: RealTimers, listener: GreenSocket
    ):
        self._source = source
        settings = source.current()
        self._rng = random.Random()
        self.timers = timers
        self.metrics = RelayMetrics(Metrics().registry)
        self._ready_listener = _listen(settings.ready)
        self._metrics_listener = _listen(settings.metrics)
        self.own = Member(
            RouterId(f"{settings.vm}-{secrets.token_hex(ROUTER_ID_BYTES)}"),
            settings.vm,
            settings.failure_domain,
            settings.peer,
            capacity=settings.capacity,
        )
        self._drain_period = DrainPeriod(timers, lambda: source.bounds().grace_s)
        self._store_meter = StoreMeter(timers, self.metrics)
        self._store = PlatformStore(settings.store, self._store_meter.note)
        self._make_peers()
        self._make_tables()
        self._make_relaying()
        self._edge = CallerEdge(
            listener,
            lambda: self._routing.current().limits,
            self._handle,
            self.timers,
        )
        for edge in (self._edge, self._forward_edge):
            edge.on_unanswered = self.metrics.note_unanswered

    def start(self) -> None:
        """Serve peers and callers."""
        build, protocol = self._greeting.build, self._greeting.protocol
        self.metrics.build.labels(build, str(protocol)).set(1)
        _log.write("Started.", build=build, protocol=protocol)
        eventlet.spawn_n(self._peer_server.serve)
        self._source.start()
        self._tables.start()
        self._store_meter.start()
        self._board.start()
        self._membership.start()
        self._loads.start()
        self._rollouts.start()
        self.timers.subscribe(EXPIRE_INTERVAL_S, self._upstreams.expire)
        eventlet.spawn_n(self._forward_edge.serve)
        eventlet.spawn_n(self._serve_callers)
        _serve_wsgi(self._ready_listener, self._answer_ready)
        _serve_wsgi(self._metrics_listener, make_wsgi_app(self.metrics.registry))

    def _serve_callers(self) -> None:
        """Accept callers once there is a table, which mostly arrives at once."""
        until = self.timers.now() + FIRST_TABLE_TIMEOUT_S
        while not self.is_ready() and self.timers.now() < until:
            self.timers.sleep(FIRST_TABLE_POLL_S)
        self._edge.serve()

    def is_ready(self) -> bool:
        """Return whether the platform should send callers here."""
        has_table = self._routing.current().version > 0
        has_replicas = self._tables.replicas.version >= 0
        return has_table and has_replicas and not self._drain_period.is_begun()

    def drain(self) -> None:
        """Return when all requests are answered or the time to stop is over."""
        # In a thread of its own: the store may be slow, and the time to stop is short.
        eventlet.spawn_n(self._membership.leave)
        self._drain_period.run([self._edge, self._forward_edge])

    def _make_peers(self) -> None:
        dialect = RelayDialect(self.metrics)
        self._peer_server = PeerServer(
            _listen(self._source.current().peer), dialect=dialect
        )
        self._links = PeerLinks(self.timers, dialect=dialect)
        self._greeting = dialect.greeting
        self._board = GossipBoard(
            self.own, self.timers, self._links, self._peer_server, self._rng
        )
        self._membership = GossipMembership(
            self.own,
            self.timers,
            self._links,
            self._peer_server,
            self._store,
            self._rng,
            board=self._board,
            callers=self._source.current().callers,
            seeds=lambda: self._source.current().seeds,
            select_row_owners=choose_hubs,
        )

        self._fleet_size = FleetSize(
            self.timers,
            self._membership.routers,
            lambda: bool(self._membership.seeds()),
        )
        self.metrics.reachable_share.set_function(self._reachable_share)

    def _make_tables(self) -> None:
        self._hubs = Hubs(self.timers, self._membership)
        self._tables = MirroredTables(
            self._source,
            self._store,
            self.timers,
            self._rng,
            self._links,
            self._peer_server,
            self._membership,
            self._hubs,
            self.metrics,
        )
        self._routing = self._tables.in_force

    def _make_relaying(self) -> None:
        self._registry = ReplicaRegistry(self.timers)
        self._replicas = ReplicaSource(
            self._tables.replicas,
            self._tables.followers[Table.REPLICAS],
            self._registry,
            decode_replica,
            self.timers,
            lambda: self._source.current().heartbeat_s,
        )
        self._rollouts = RelayRollouts(
            self.timers,
            self._rng,
            self._tables.routing,
            ROLLOUT_PREFIX,
            decode_rollout,
            PlatformRolloutBoard(self._store),
            self._board,
            self._source.bounds,
            self._replicas_of,
            self._membership.routers,
        )
        self._upstreams = UpstreamPool(self.timers, self._max_idle_per_replica)
        self._upstreams.on_opened = self.metrics.note_connection
        self._paths = make_paths(
            self.timers,
            self._rng,
            self._upstreams,
            self._registry,
            self._membership,
            self._links,
            self._peer_server,
            self.metrics,
        )
        self._loads = LoadExchange(
            self.timers,
            self._registry,
            self._membership,
            self._hubs,
            self._links,
            self._peer_server,
            self._tables.mirrors(),
        )
        self._loads.on_newest_version = self._tables.note_newest_version
        admission = Admission(
            self.timers,
            self._registry,
            self._rng,
            self._loads,
        )
        self.metrics.waiting.set_function(admission.waiting)
        admission.on_change = self._loads.note_change
        self._task_owners = TaskOwners(
            self.timers, self._membership, self._hubs, self._fleet_size
        )
        fleet_parts = (
            self.timers,
            self._registry,
            self._task_owners,
            self._links,
            self._peer_server,
            self._board,
            self.metrics,
        )
        limits = make_limits(*fleet_parts)
        brittle = make_brittle(*fleet_parts)
        protocol = HttpReplicaProtocol()
        notices = ReplicaNotices(
            self._registry,
            self._board,
            self._upstreams,
            limits,
            brittle,
            self.metrics,
        )
        self._parts = RelayComponents(
            timers=self.timers,
            rng=self._rng,
            table=self._routing.current,
            table_ages=self._tables.ages,
            admission=admission,
            limited_admission=LimitedAdmission(
                self.timers, admission, limits, brittle, self._rng
            ),
            registry=self._registry,
            upstreams=self._upstreams,
            paths=self._paths,
            notices=notices,
            protocol=protocol,
            retries=self._make_retries(),
            rollouts=self._rollouts,
            durations=RequestDurations(),
            pace=StreamTimeEstimator(),
            crash_blame=make_crash_blame(
                self.timers,
                self._rng,
                self._registry,
                self._task_owners,
                self._links,
                self._peer_server,
                self._board,
                self.metrics,
                self._paths,
            ),
            metrics=self.metrics,
            time_left=self._drain_period.time_left,
            refusal_headers=refusal_headers,
        )
        watch_address_claims(self._parts)

        self._forward_edge = make_forward_edge(
            _listen(forward_address(self.own)),
            self.timers,
            self._registry,
            self._upstreams,
            self._paths,
            notices,
            protocol,
            self.metrics,
            lambda: self._routing.current().limits,
            self._drain_period.time_left,
        )

    def _make_retries(self) -> RetryShare:
        timers, bounds = self.timers, self._source.bounds
        reserve = RetryReserve(
            timers,
            bounds,
            self._usable_share,
            self._hubs,
            self._links,
            self._peer_server,
        )
        return RetryShare(timers, bounds, self._fleet_size, reserve)

    def _usable_share(self) -> float:
        return USABLE_SHARE * self._reachable_share()

    def _reachable_share(self) -> float:
        return reachable_share(self._membership, self._fleet_size)

    def _replicas_of(self, pool: PoolName) -> list[Replica]:
        return [state.replica for state in self._registry.of_pool(pool)]

    def _handle(self, raw: RawRequest, channel: CallerChannel) -> None:
        handle_request(self._parts, raw, channel)

    def _max_idle_per_replica(self) -> int:
        """Return how many idle connections this router may keep to one replica."""
        pools = self._routing.current().pools.values()
        max_connections = min((pool.max_connections for pool in pools), default=0)
        share = IDLE_SHARE * max_connections / self._membership.routers()
        return max(1, min(MAX_IDLE_PER_REPLICA, int(share)))

    def _answer_ready(self, environ, start_response):
        is_ready = self.is_ready()
        status = "200 OK" if is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Type", "text/plain")])
        return [b"ready\n" if is_ready else b"not ready\n"]


def _listen(address: Address):
    return eventlet.listen(
        (address.host, address.port), backlog=BACKLOG, reuse_port=False
    )


def _serve_wsgi(listener, app) -> None:
    eventlet.spawn_n(
        wsgi.server, listener, app, log_output=False, debug=False, log=DiscardingLog()
    )
