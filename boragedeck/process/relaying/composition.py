"""Builds a router that relays requests: its peers, its tables, relaying, serving."""

import random
import secrets

import eventlet
from eventlet.greenio import GreenSocket
from prometheus_client import make_wsgi_app

from boragedeck.connection.caller_channel import CallerChannel, RawRequest
from boragedeck.connection.caller_edge import MAX_CONNECTIONS, CallerEdge
from boragedeck.connection.connection_table import connection_bounds
from boragedeck.connection.memory_budget import MemoryBudget
from boragedeck.connection.reservation import ReservationService
from boragedeck.connection.resource_limits import resource_limits
from boragedeck.ids import RouterId
from boragedeck.interfaces import Member
from boragedeck.platform.store import PlatformStore
from boragedeck.process.observing.budget_metrics import BudgetMetrics
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.observing.metrics import Metrics
from boragedeck.process.relaying.draining import DrainPeriod
from boragedeck.process.relaying.explain_app import make_explain_app
from boragedeck.process.relaying.fleet.peer_composition import Peers
from boragedeck.process.relaying.listening import (
    listen,
    make_ready_app,
    serve_operators,
)
from boragedeck.process.relaying.paths.path_composition import (
    forward_address,
    make_forward_edge,
)
from boragedeck.process.relaying.relay_composition import Relaying
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.request_handler import handle_request
from boragedeck.process.relaying.settings_source import SettingsSource
from boragedeck.process.relaying.tables.store_meter import StoreMeter
from boragedeck.process.relaying.tables.table_composition import MirroredTables
from boragedeck.process.timers import RealTimers
from boragedeck.request.address_claims import watch_address_claims

__all__ = ["RelayRouter"]

ROUTER_ID_BYTES = 4
FIRST_TABLE_TIMEOUT_S = 0.3
"""How long after the start callers wait for a first table and for what was known of
requests that crash replicas; without a table, they are then refused."""
FIRST_TABLE_POLL_S = 0.01
EXPIRE_INTERVAL_S = 1.0

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
        self._ready_listener = listen(settings.ready)
        self._metrics_listener = listen(settings.metrics)
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
        self._peers = Peers(
            source, self.own, timers, self._rng, self._store, self.metrics
        )
        self._membership = self._peers.membership
        self._tables = MirroredTables(
            source,
            self._store,
            timers,
            self._rng,
            self._peers.links,
            self._peers.server,
            self._membership,
            self._peers.hubs,
            self.metrics,
        )
        self._routing = self._tables.in_force
        self._relaying = Relaying(
            source,
            timers,
            self._rng,
            self._store,
            self._peers,
            self._tables,
            self.metrics,
            self._drain_period,
        )
        self._parts = self._relaying.parts
        watch_address_claims(self._parts)
        self._limits = resource_limits(settings.memory_mb, settings.max_fds)
        self._reservations = self._make_reservations()
        self._forward_edge = self._make_forward_edge()
        self._edge = CallerEdge(
            listener,
            lambda: self._routing.current().limits,
            self._handle,
            self.timers,
            reservations=self._reservations,
            bounds=connection_bounds(
                self._limits.max_fds,
                min(MAX_CONNECTIONS, self._limits.max_connections),
            ),
            closes_idle=True,
            send_buffer_bytes=self._limits.send_buffer_bytes,
        )
        self._edge.on_closed_idle = self._budget_metrics.closed_idle.inc
        for edge in (self._edge, self._forward_edge):
            edge.on_unanswered = self.metrics.note_unanswered

    def start(self) -> None:
        """Serve peers and callers."""
        greeting = self._peers.greeting
        build, protocol = greeting.build, greeting.protocol
        self.metrics.build.labels(build, str(protocol)).set(1)
        _log.write("Started.", build=build, protocol=protocol)
        eventlet.spawn_n(self._peers.server.serve)
        self._source.start()
        self._tables.start()
        self._store_meter.start()
        self._peers.board.start()
        self._membership.start()
        self._relaying.loads.start()
        self._relaying.rollouts.start()
        self._relaying.crash_store.start()
        self.timers.subscribe(EXPIRE_INTERVAL_S, self._relaying.upstreams.expire)
        eventlet.spawn_n(self._forward_edge.serve)
        eventlet.spawn_n(self._serve_callers)
        serve_operators(self._ready_listener, make_ready_app(self.is_ready))
        metrics_app = make_wsgi_app(self.metrics.registry)
        operators_app = make_explain_app(self._parts, self.own.router, metrics_app)
        serve_operators(self._metrics_listener, operators_app)

    def _serve_callers(self) -> None:
        """Accept callers once all is read, which mostly arrives at once."""
        until = self.timers.now() + FIRST_TABLE_TIMEOUT_S
        while not self._has_read_all() and self.timers.now() < until:
            self.timers.sleep(FIRST_TABLE_POLL_S)
        self._edge.serve()

    def _has_read_all(self) -> bool:
        return self.is_ready() and self._relaying.crash_store.has_read

    def is_ready(self) -> bool:
        """Return whether the platform should send callers here."""
        has_table = self._routing.current().version > 0
        has_replicas = self._tables.replicas.version >= 0
        return has_table and has_replicas and not self._drain_period.is_begun()

    def drain(self) -> None:
        """Return when all requests are answered or the time to stop is over."""
        # In a thread of its own: the store may be slow, and the time to stop is short.
        eventlet.spawn_n(self._membership.leave)
        self._drain_period.run(
            [self._edge, self._forward_edge], self._parts.open_requests
        )

    def _make_reservations(self) -> ReservationService:
        budget = MemoryBudget(self._limits.budget_bytes)
        service = ReservationService(budget, self.timers)
        self._budget_metrics = BudgetMetrics(self.metrics.registry, budget)
        service.on_event = self._budget_metrics.note_event
        service.demand_of = self._parts.admission.place_demand
        _log.write(
            "Limits.",
            budget_bytes=self._limits.budget_bytes,
            max_fds=self._limits.max_fds,
        )
        return service

    def _make_forward_edge(self) -> CallerEdge:
        parts = self._parts
        return make_forward_edge(
            listen(forward_address(self.own)),
            self.timers,
            parts.registry,
            parts.upstreams,
            parts.paths,
            parts.notices,
            parts.protocol,
            self.metrics,
            lambda: self._routing.current().limits,
            self._drain_period.time_left,
            self._reservations,
            self._limits,
        )

    def _handle(self, raw: RawRequest, channel: CallerChannel) -> None:
        handle_request(self._parts, raw, channel)
