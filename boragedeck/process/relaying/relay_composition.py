"""Builds and connects the parts by which a router relays requests to replicas."""

import random

from boragedeck.connection.store import Table
from boragedeck.connection.upstream_pool import MAX_IDLE_PER_REPLICA, UpstreamPool
from boragedeck.ids import PoolName
from boragedeck.platform.callers import refusal_headers
from boragedeck.platform.replica_protocol import HttpReplicaProtocol
from boragedeck.platform.replicas import decode_replica
from boragedeck.platform.rollout_status import PlatformRolloutBoard
from boragedeck.platform.routing import ROLLOUT_PREFIX, decode_rollout
from boragedeck.platform.store import PlatformStore
from boragedeck.process.relaying.crashes.crash_composition import make_crash_parts
from boragedeck.process.relaying.draining import DrainPeriod
from boragedeck.process.relaying.fleet.peer_composition import Peers
from boragedeck.process.relaying.limits.limit_composition import (
    make_brittle,
    make_limits,
)
from boragedeck.process.relaying.limits.limited_admission import LimitedAdmission
from boragedeck.process.relaying.loads.load_exchange import LoadExchange
from boragedeck.process.relaying.paths.path_composition import make_paths
from boragedeck.process.relaying.placing.admission import Admission
from boragedeck.process.relaying.placing.durations import RequestDurations
from boragedeck.process.relaying.placing.stream_pace import StreamTimeEstimator
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_notices import ReplicaNotices
from boragedeck.process.relaying.replicas.replica_successors import ReplicaSuccessors
from boragedeck.process.relaying.retries.retry_reserve import RetryReserve
from boragedeck.process.relaying.retries.retry_share import USABLE_SHARE, RetryShare
from boragedeck.process.relaying.rollouts.rollouts import RelayRollouts
from boragedeck.process.relaying.scheduling.urgency import UrgencyRanks
from boragedeck.process.relaying.settings_source import SettingsSource
from boragedeck.process.relaying.speeds.replica_speeds import ReplicaSpeeds
from boragedeck.process.relaying.tables.replica_source import ReplicaSource
from boragedeck.process.relaying.tables.table_composition import MirroredTables
from boragedeck.process.timers import TimerService
from boragedeck.request.open_requests import OpenRequests
from boragedeck.request.relay_components import RelayComponents
from boragedeck.version.replicas import Replica

__all__ = ["Relaying"]

IDLE_SHARE = 0.5
"""Share of a replica's connections that all routers together may keep idle."""


class Relaying:
    """The parts by which requests are placed and relayed, in their order.

    Parameters
    ----------
    source : SettingsSource
        The settings in force.
    timers : TimerService
        The source of time.
    rng : random.Random
        The random number generator.
    store : PlatformStore
        Where rollouts are reported, and what is known of crashes is kept.
    peers : Peers
        The other routers.
    tables : MirroredTables
        The operators' table and the list of replicas.
    metrics : RelayMetrics
        The metrics of this router.
    drain_period : DrainPeriod
        The time of a planned stop of this process.

    Attributes
    ----------
    upstreams : UpstreamPool
        This router's own connections to replicas.
    rollouts : RelayRollouts
        The rollouts of versions.
    loads : LoadExchange
        What the routers tell each other of their loads.
    crash_store : CrashStore
        What is known of requests that crash replicas, in the platform's store.
    parts : RelayComponents
        What relaying a request uses.
    """

    def __init__(
        self,
        source: SettingsSource,
        timers: TimerService,
        rng: random.Random,
        store: PlatformStore,
        peers: Peers,
        tables: MirroredTables,
        metrics: RelayMetrics,
        drain_period: DrainPeriod,
    ):
        self._source = source
        self._store = store
        self._timers = timers
        self._rng = rng
        self._peers = peers
        self._tables = tables
        self._metrics = metrics
        self._make_replicas()
        self.rollouts = self._make_rollouts()
        self._make_paths()
        admission = self._make_admission()
        self.parts = self._make_parts(admission, drain_period)

    def _make_replicas(self) -> None:
        self._registry = ReplicaRegistry(self._timers)
        self._replicas = ReplicaSource(
            self._tables.replicas,
            self._tables.followers[Table.REPLICAS],
            self._registry,
            decode_replica,
            self._timers,
            lambda: self._source.current().heartbeat_s,
        )

    def _make_rollouts(self) -> RelayRollouts:
        return RelayRollouts(
            self._timers,
            self._rng,
            self._tables.routing,
            ROLLOUT_PREFIX,
            decode_rollout,
            PlatformRolloutBoard(self._store),
            self._peers.board,
            self._source.bounds,
            self._replicas_of,
            self._peers.membership.routers,
        )

    def _make_paths(self) -> None:
        self.upstreams = UpstreamPool(self._timers, self._max_idle_per_replica)
        self.upstreams.on_opened = self._metrics.note_connection
        self._paths = make_paths(
            self._timers,
            self._rng,
            self.upstreams,
            self._registry,
            self._peers.membership,
            self._peers.links,
            self._peers.server,
            self._metrics,
        )

    def _make_admission(self) -> Admission:
        self._speeds = ReplicaSpeeds(
            self._peers.membership.own.router, self._timers, self._registry
        )
        self._metrics.slow_replicas.set_function(self._speeds.slow_replicas)
        self.loads = LoadExchange(
            self._timers,
            self._registry,
            self._peers.membership,
            self._peers.hubs,
            self._peers.links,
            self._peers.server,
            self._tables.mirrors(),
            self._speeds,
        )
        self.loads.on_newest_version = self._tables.note_newest_version
        admission = Admission(self._timers, self._registry, self._rng, self.loads)
        self._metrics.waiting.set_function(admission.waiting)
        admission.on_change = self.loads.note_change
        self._pace = StreamTimeEstimator()
        admission.output_token_cost = self._pace.output_token_cost
        admission.on_decision = self._metrics.note_decision
        return admission

    def _make_parts(
        self, admission: Admission, drain_period: DrainPeriod
    ) -> RelayComponents:
        owners = self._peers.make_task_owners()
        links, server, board = self._peers.links, self._peers.server, self._peers.board
        shared = self._registry, owners, links, server, board, self._metrics
        limits = make_limits(self._timers, *shared)
        brittle = make_brittle(self._timers, *shared)
        crashes = make_crash_parts(
            self._timers, self._rng, *shared, self._paths, self._store
        )
        self.crash_store = crashes.store
        self._tables.routing.subscribe_restored(crashes.store.note_restored)
        notices = ReplicaNotices(
            self._registry, board, self.upstreams, limits, brittle, self._metrics
        )
        return RelayComponents(
            timers=self._timers,
            rng=self._rng,
            table=self._tables.in_force.current,
            table_ages=self._tables.ages,
            admission=admission,
            limited_admission=LimitedAdmission(
                self._timers, admission, limits, brittle, self._rng
            ),
            registry=self._registry,
            upstreams=self.upstreams,
            paths=self._paths,
            notices=notices,
            protocol=HttpReplicaProtocol(),
            successors=self._make_successors(),
            retries=self._make_retries(),
            rollouts=self.rollouts,
            durations=RequestDurations(),
            pace=self._pace,
            speeds=self._speeds,
            crash_blame=crashes.blame,
            metrics=self._metrics,
            time_left=drain_period.time_left,
            open_requests=OpenRequests(),
            is_late_in_stop=drain_period.is_late,
            urgency_ranks=UrgencyRanks(),
            refusal_headers=refusal_headers,
        )

    def _make_successors(self) -> ReplicaSuccessors:
        return ReplicaSuccessors(
            self._timers,
            self._registry,
            self._peers.board,
            self._tables.in_force.current,
            self._tables.followers[Table.REPLICAS].age_s,
            self._metrics,
        )

    def _make_retries(self) -> RetryShare:
        timers, bounds = self._timers, self._source.bounds
        reserve = RetryReserve(
            timers,
            bounds,
            self._usable_share,
            self._peers.hubs,
            self._peers.links,
            self._peers.server,
        )
        return RetryShare(timers, bounds, self._peers.fleet_size, reserve)

    def _usable_share(self) -> float:
        return USABLE_SHARE * self._peers.reachable_share()

    def _replicas_of(self, pool: PoolName) -> list[Replica]:
        return [state.replica for state in self._registry.of_pool(pool)]

    def _max_idle_per_replica(self) -> int:
        """Return how many idle connections this router may keep to one replica."""
        pools = self._tables.in_force.current().pools.values()
        max_connections = min((pool.max_connections for pool in pools), default=0)
        share = IDLE_SHARE * max_connections / self._peers.membership.routers()
        return max(1, min(MAX_IDLE_PER_REPLICA, int(share)))
