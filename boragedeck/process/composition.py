"""Composition root: creates the parts of a router and connects them."""

import random
import secrets

import eventlet
import msgspec

from boragedeck.connection.connection_table import connection_bounds
from boragedeck.connection.edge import (
    MAX_CONNECTIONS,
    CallerConnections,
    serve_http,
)
from boragedeck.connection.engine import open_run
from boragedeck.connection.listening import close_listener
from boragedeck.connection.memory_budget import MemoryBudget
from boragedeck.connection.metrics_poll import EngineProbe
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.connection.platform import HttpPlatform
from boragedeck.connection.reservation import ReservationService
from boragedeck.connection.resource_limits import resource_limits
from boragedeck.connection.service import HttpServices
from boragedeck.ids import Health, RouterId
from boragedeck.interfaces import Member
from boragedeck.process.answering.answer_service import AnswerService
from boragedeck.process.answering.answers import AnswerTable
from boragedeck.process.answering.command_parts import (
    CallComponents,
    build_call_service,
    register_call_metrics,
)
from boragedeck.process.answering.copies import CopyStore
from boragedeck.process.answering.grace import LearnedGrace
from boragedeck.process.answering.intent_pruner import IntentPruner
from boragedeck.process.answering.journal import Journal
from boragedeck.process.crashes.claims import ClaimClient, ClaimTable
from boragedeck.process.crashes.quarantine import Quarantine
from boragedeck.process.keys import KeyRing
from boragedeck.process.membership.gossip import GossipBoard
from boragedeck.process.membership.membership import GossipMembership
from boragedeck.process.membership.peer_guard import make_guard
from boragedeck.process.observing.budget_metrics import BudgetMetrics
from boragedeck.process.observing.metrics import Metrics
from boragedeck.process.observing.status import StatusReport
from boragedeck.process.placing.chooser import PoolChooser
from boragedeck.process.placing.leaving import LeavingUpstreamMonitor
from boragedeck.process.placing.load_gossip import LoadGossip
from boragedeck.process.placing.polling import LoadPoller
from boragedeck.process.placing.utilisation import PoolUtilisation
from boragedeck.process.placing.versioned_chooser import VersionedChooser
from boragedeck.process.rollouts import RolloutService
from boragedeck.process.settings import Settings
from boragedeck.process.timers import RealTimers
from boragedeck.request.abandonment import AbandonmentMonitor
from boragedeck.request.api import Api
from boragedeck.request.call_edge import CallEdge
from boragedeck.request.generation import GenerationComponents
from boragedeck.version.config_messages import FetchConfig
from boragedeck.version.config_metrics import register_config_metrics
from boragedeck.version.config_store import ConfigStore
from boragedeck.version.config_watch import ConfigWatch

__all__ = ["Router"]

DRAIN_POLL_S = 0.1
CLOSE_DELAY_S = 0.5
ROUTER_ID_BYTES = 4
BACKLOG = 1024


class Router:
    """One router with all its parts.

    Parameters
    ----------
    settings : Settings
        The checked settings.

    Attributes
    ----------
    own : Member
        This router's entry in the membership.
    http_address : Address
        The address at which callers reach it.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._rng = random.Random()
        self.timers = RealTimers(self._rng)
        self.metrics = Metrics()
        self._listener = _listen(settings.listen)
        peer_listener = _listen(settings.peer_listen)
        self.http_address = _advertised_address(settings.advertise, self._listener)
        self.own = Member(
            RouterId(f"{settings.vm}-{secrets.token_hex(ROUTER_ID_BYTES)}"),
            settings.vm,
            settings.failure_domain,
            _advertised_address(settings.peer_advertise, peer_listener),
        )
        guard = make_guard(settings)
        self._server = PeerServer(peer_listener, guard)
        self._links = PeerLinks(self.timers, guard)
        self._platform = HttpPlatform(settings.platform_url)
        self._board = GossipBoard(
            self.own, self.timers, self._links, self._server, self._rng
        )
        self._membership = self._make_membership()
        self._config = self._make_config()
        self._chooser = self._make_chooser()
        self._rollouts = self._make_rollouts()
        self._answers = self._make_answers()
        self._calls = self._make_calls()
        self._pruner = IntentPruner(
            self._platform,
            self._calls.breaker,
            self.timers,
            self._membership,
            self._rng,
        )
        self.api = self._make_api()

    def start(self) -> None:
        """Start serving peers and callers."""
        eventlet.spawn_n(self._server.serve)
        self._board.start()
        self._membership.start()
        self._config.start()
        self._rollouts.start()
        self._pruner.start()
        limits = resource_limits(self._settings.memory_mb, self._settings.max_fds)
        budget = MemoryBudget(limits.budget_bytes)
        reservations = ReservationService(budget, self.timers)
        metrics = BudgetMetrics(self.metrics.registry, budget)
        reservations.on_event = metrics.note_event
        bounds = connection_bounds(
            limits.max_fds, min(MAX_CONNECTIONS, limits.max_connections)
        )
        connections = CallerConnections(bounds, metrics.closed_idle.inc)
        eventlet.spawn_n(
            serve_http, self._listener, self.api, reservations, connections
        )

    def drain(self) -> None:
        """Stop the router without interrupting requests; return when it is closed.

        Notes
        -----
        New requests are refused at once, with errors that say that they did not run.
        Running answers may end within the drain time; the remaining ones are handed
        over to their copy holders, and callers are told to reattach.
        """
        self.api.is_draining = True
        eventlet.spawn_n(self._rollouts.lease_manager.release_all)
        self._membership.leave()
        until = self.timers.now() + self._settings.drain_s
        while self._is_busy() and self.timers.now() < until:
            self.timers.sleep(DRAIN_POLL_S)
        self._answers.hand_over_all()
        self.api.is_stopping = True
        self.timers.sleep(CLOSE_DELAY_S)
        close_listener(self._listener)
        self._server.close()

    def _make_membership(self) -> GossipMembership:
        return GossipMembership(
            self.own,
            self.timers,
            self._links,
            self._server,
            self._platform,
            self._rng,
            board=self._board,
            callers=self.http_address,
            seeds=lambda: self._settings.seed_peers,
        )

    def _make_config(self) -> ConfigWatch:
        config = ConfigWatch(
            ConfigStore(self._platform, self.timers),
            self.timers,
            board=self._board,
            membership=self._membership,
            links=self._links,
            rng=self._rng,
        )
        self._server.register(FetchConfig, config.answer_fetch)
        register_config_metrics(self.metrics.registry, config)
        return config

    def _make_chooser(self) -> PoolChooser:
        claims = ClaimClient(
            self._membership, self._links, ClaimTable(self.timers, self._is_suspect)
        )
        claims.register(self._server)
        self.quarantine = Quarantine(self.timers, self._board, self._config, claims)
        chooser = PoolChooser(
            self.timers,
            self._config,
            self._board,
            self.own.failure_domain,
            self._rng,
            self.quarantine,
        )
        LoadGossip(self.timers, self._board, chooser.registry)
        leaving = LeavingUpstreamMonitor(
            self.timers,
            self._board,
            self._membership,
            self._platform,
            chooser.registry,
        )
        LoadPoller(
            self.timers,
            self._board,
            self._membership,
            self._config,
            chooser.registry,
            EngineProbe(),
            leaving.report_leaving_upstream,
        )
        return chooser

    def _make_rollouts(self) -> RolloutService:
        return RolloutService(
            self._platform,
            self._board,
            self._config,
            self._membership,
            self.timers,
            self.metrics.registry,
            self._rng,
            PoolUtilisation(self._chooser.registry, self.timers),
        )

    def _make_answers(self) -> AnswerService:
        journal = Journal(self._membership, self._links, self.timers, self.metrics)
        parts = GenerationComponents(
            chooser=self._chooser,
            journal=journal,
            config=self._config,
            versions=self._rollouts.follower,
            timers=self.timers,
            metrics=self.metrics,
            open_run=open_run,
            rng=self._rng,
            is_quarantined=self.quarantine.is_quarantined,
        )
        answers = AnswerService(
            parts,
            AnswerTable(self.timers),
            CopyStore(self.timers),
            self._membership,
            self._links,
            AbandonmentMonitor(
                LearnedGrace(self._config, self._rng), self.timers, self.metrics
            ),
        )
        answers.register(self._server)
        return answers

    def _make_calls(self) -> CallComponents:
        parts = build_call_service(
            cfg=self._config,
            platform=self._platform,
            chooser=VersionedChooser(
                self._chooser, self._rollouts.follower, self.timers
            ),
            services=HttpServices(),
            timers=self.timers,
            own=self.own.router,
            routers=self._membership.routers,
            is_alive=self._is_alive,
            rng=self._rng,
        )
        register_call_metrics(self.metrics.registry, parts)
        return parts

    def _make_api(self) -> Api:
        status = StatusReport(
            self.own,
            self._membership,
            self._config,
            self._answers,
            self.quarantine,
            self.timers,
        )
        return Api(
            self._answers,
            self._config,
            KeyRing(self._config),
            self.metrics,
            lambda: msgspec.json.encode(status.read()),
            CallEdge(self._calls.calls),
        )

    def _is_busy(self) -> bool:
        # The process must not end before the outcome of each command is recorded.
        calls = self._calls
        return bool(self._answers.running() or calls.calls.running() or calls.settler)

    def _is_suspect(self, router: RouterId) -> bool:
        return any(
            member.router == router and member.health is Health.SUSPECT
            for member in self._membership.members()
        )

    def _is_alive(self, router: RouterId) -> bool:
        others = [member.router for member in self._membership.members()]
        return router == self.own.router or router in others


def _listen(address: Address):
    return eventlet.listen((address.host, address.port), backlog=BACKLOG)


def _advertised_address(host: str, listener) -> Address:
    return Address(host, listener.getsockname()[1])
