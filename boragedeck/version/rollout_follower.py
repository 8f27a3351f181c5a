"""Chooses versions for requests, and stops a bad version without the leader."""

import random

import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.platform import Platform
from boragedeck.exceptions import StoreConflictError
from boragedeck.ids import RouteName, RouterId, Version
from boragedeck.interfaces import ConfigSource, FactBoard, Outcome, RunSample
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.version.judgement import UpstreamCounts
from boragedeck.version.rollout_facts import (
    KnownRow,
    SeenWindow,
    Stopped,
    decode_fact,
    stop_fact_key,
    window_fact_key,
)
from boragedeck.version.rollout_metrics import RolloutMetrics
from boragedeck.version.rollout_plan import Progress
from boragedeck.version.rollout_row import RolloutRow, StopRow, stop_write
from boragedeck.version.rollout_row_cache import RolloutRowCache
from boragedeck.version.rollout_watch import ALARM_SHARE_CAP, AttemptWatch
from boragedeck.version.tables import Config, Pool, Route
from boragedeck.version.traffic_splitter import TrafficSplitter

__all__ = ["RolloutFollower"]

_log = PartLog("rollout")

POLL_INTERVAL_S = 5.0
POLL_INTERVAL_PER_ROUTER_S = 0.03
"""Added to `POLL_INTERVAL_S` for each router, to limit the reads of the store."""
REPUBLISH_INTERVAL_S = 45.0
FAULT_PUBLISH_INTERVAL_S = 0.5
"""Shortest interval between publications of evidence after faults of a new version."""
FAULT_JUDGE_DELAY_S = 0.1
"""Delay of the judgement after a fault, so that one covers several faults."""
JUDGE_INTERVAL_WINDOW_SHARE = 0.15
"""Shortest time between judgements, as a share of a window."""
STOP_TTL_AFTER_DEADLINE_S = 300.0
"""How long a stop remains published after the deadline of its attempt."""
MAX_STOPS = 1024
"""Number of known stops from which those of earlier attempts are removed."""
_FAULT_OUTCOMES = (Outcome.FAILED, Outcome.CRASHED, Outcome.SILENT)


class RolloutFollower:
    """One router's side of all rollouts; implements `VersionPolicy`.

    Parameters
    ----------
    platform : Platform
        Holds the rollouts table.
    board : FactBoard
        Publishes evidence and stops to the other routers.
    config : ConfigSource
        The configuration in force.
    timers : TimerService
        The source of time.
    metrics : RolloutMetrics, optional
        Metrics of the rollouts.
    rng : random.Random, optional
        Spreads the reads of the store over time.
    """

    def __init__(
        self,
        platform: Platform,
        board: FactBoard,
        config: ConfigSource,
        timers: TimerService,
        *,
        metrics: RolloutMetrics | None = None,
        rng: random.Random | None = None,
    ):
        self.row_cache = RolloutRowCache(platform, board)
        self._platform = platform
        self._board = board
        self._config = config
        self._timers = timers
        self._metrics = metrics or RolloutMetrics()
        self._rng = rng or random.Random()
        self._first_versions: dict[RouteName, Version] = {}
        self._request_counts: dict[RouteName, int] = {}
        self._counting_since = timers.now()
        self._watches: dict[RouteName, AttemptWatch] = {}
        self._splitters: dict[RouteName, TrafficSplitter] = {}
        self._stops: dict[tuple[str, int], Stopped] = {}
        self._unrecorded_stops: dict[tuple[str, int], Stopped] = {}
        self._published_at: dict[RouteName, float] = {}
        self._judged_at: dict[RouteName, float] = {}
        self._scheduled_judgements: set[RouteName] = set()
        self._polled_at = self._republished_at = float("-inf")
        self.row_cache.subscribe(self._on_row)
        board.subscribe(FactTopic.ROLLOUT_EVIDENCE, self._on_fact)
        board.subscribe(FactTopic.ROLLOUT_STOP, self._on_fact)
        config.subscribe(self._on_config)
        self._on_config(config.current())

    # Methods for requests.

    def choose(self, route: Route, request_key: str) -> Version | None:
        """Return the version for a new request; see `VersionPolicy.choose`."""
        version = self._choose_version(route)
        self._request_counts[route.name] = self._request_counts.get(route.name, 0) + 1
        self._metrics.requests.labels(route.name, version or "").inc()
        return version

    def observe(self, sample: RunSample) -> None:
        """Add a sample of a run to the evidence; see `VersionPolicy.observe`."""
        wall = self._timers.wall()
        for watch in list(self._watches.values()):
            row = watch.row
            if sample.route != row.route and not self._is_in_pool(sample, row):
                continue
            watch.observe(sample, wall)
            if sample.outcome in _FAULT_OUTCOMES and sample.version == row.new:
                self._publish(watch, min_interval_s=FAULT_PUBLISH_INTERVAL_S)
                self._schedule_judgement(watch)

    # Methods for the leader.

    def first_version(self, route: Route) -> Version | None:
        """Return the first version of a route that this router has received."""
        return self._first_versions.get(route.name)

    def stopped(self, row: RolloutRow) -> Stopped | None:
        """Return the stop of an attempt if this router knows of one."""
        return self._stops.get((row.route, row.number))

    def progress(self, row: RolloutRow) -> Progress:
        """Return a summary of the evidence about a running attempt."""
        watch = self._watches.get(row.route)
        if watch is None or watch.row.number != row.number:
            return Progress()
        return watch.progress(self._timers.wall())

    def recent_reporters(self, row: RolloutRow) -> set[RouterId]:
        """Return the routers whose recent evidence has been received."""
        watch = self._watches.get(row.route)
        return watch.recent_reporters(self._timers.wall()) if watch else set()

    def request_rate(self, route: RouteName) -> float:
        """Return the requests per second of a route at this router."""
        elapsed = max(1.0, self._timers.now() - self._counting_since)
        return self._request_counts.get(route, 0) / elapsed

    def stop(self, row: RolloutRow, reason: str) -> None:
        """Stop an attempt permanently at this router, and notify all others."""
        stopped = Stopped(row.route, row.number, self._timers.wall(), reason)
        self._add_stop(stopped)
        ttl = row.deadline - stopped.at + STOP_TTL_AFTER_DEADLINE_S
        self._board.publish(
            FactTopic.ROLLOUT_STOP,
            stop_fact_key(row.route, row.number),
            msgspec.msgpack.encode(stopped),
            ttl_s=max(STOP_TTL_AFTER_DEADLINE_S, ttl),
        )
        self._unrecorded_stops[row.route, row.number] = stopped
        _log.write(
            "Attempt stopped.", rollout=f"{row.route}/{row.number}", reason=reason
        )
        self._metrics.stops.labels(row.route).inc()

    def tick(self) -> None:
        """Publish and judge the evidence; this needs no access to the store."""
        for watch in list(self._watches.values()):
            self._publish(watch, min_interval_s=watch.row.window_s / 5.0)
            if self._start_judgement_if_due(watch):
                self._judge(watch)

    def sync(self) -> None:
        """Record stops, read the rows, and republish rows with too few copies."""
        self._record_stops()
        self._poll_store()
        if self._timers.now() - self._republished_at >= REPUBLISH_INTERVAL_S:
            self._republished_at = self._timers.now()
            self.row_cache.republish_scarce_rows()

    # Choice of versions.

    def _choose_version(self, route: Route) -> Version | None:
        if route.version is None:
            return None
        known_row = self.row_cache.get(route.name)
        if known_row is None:
            return self._version_without_row(route)
        row = known_row.row
        if not row.is_running:
            return self._version_after_outcome(row)
        share = self._splitters.get(route.name)
        if not self._may_use_new_version(route, row) or share is None:
            return row.old
        return (
            row.new if share.routes_to_new(row, self._effective_share(row)) else row.old
        )

    def _effective_share(self, row: RolloutRow) -> float:
        if self._watches[row.route].is_share_capped(self._timers.wall()):
            return min(row.share, ALARM_SHARE_CAP)
        return row.share

    def _may_use_new_version(self, route: Route, row: RolloutRow) -> bool:
        """Return whether this router may send requests to the new version."""
        is_requested = (route.version, route.deadline) == (row.new, row.asked_deadline)
        is_late = self._timers.wall() >= row.deadline
        return is_requested and not is_late and not self.stopped(row)

    def _version_after_outcome(self, row: RolloutRow) -> Version | None:
        # A stop that reached neither the leader nor the store in time remains in effect
        # at this router while the old version is still served.
        if (
            row.in_force == row.new
            and self.stopped(row)
            and self._is_old_version_served(row)
        ):
            self._metrics.disputed.labels(row.route).set(1)
            return row.old
        return row.in_force

    def _version_without_row(self, route: Route) -> Version | None:
        first = self._first_versions.get(route.name, route.version)
        if self.row_cache.has_read_all or first != route.version:
            return first
        pool = self._config.current().pool(route.pool)
        return _most_common_version(pool) or first

    def _is_old_version_served(self, row: RolloutRow) -> bool:
        pool = self._config.current().pool(row.pool)
        upstreams = pool.upstreams if pool else ()
        return any(
            upstream.version == row.old and not upstream.leaving
            for upstream in upstreams
        )

    # Evidence.

    def _publish(self, watch: AttemptWatch, *, min_interval_s: float) -> None:
        now, route = self._timers.now(), watch.row.route
        if now - self._published_at.get(route, float("-inf")) < min_interval_s:
            return
        self._published_at[route] = now
        for window in watch.changed_windows(self._timers.wall()):
            self._board.publish(
                FactTopic.ROLLOUT_EVIDENCE,
                window_fact_key(route, window.index),
                msgspec.msgpack.encode(SeenWindow(route, window)),
                ttl_s=4 * watch.row.window_s,
            )

    def _start_judgement_if_due(self, watch: AttemptWatch) -> bool:
        """Return whether a judgement is due, and if so, record that it starts.

        This limits the cost of judging the evidence of a large fleet. Faults that this
        router observes are judged after `FAULT_JUDGE_DELAY_S` instead.
        """
        route, now = watch.row.route, self._timers.now()
        pause_s = JUDGE_INTERVAL_WINDOW_SHARE * watch.row.window_s
        if now - self._judged_at.get(route, float("-inf")) < pause_s:
            return False
        self._judged_at[route] = now
        return True

    def _schedule_judgement(self, watch: AttemptWatch) -> None:
        """Schedule one judgement for all faults that occur close together."""
        route = watch.row.route
        if route in self._scheduled_judgements:
            return

        def judge() -> None:
            self._scheduled_judgements.discard(route)
            if self._watches.get(route) is watch:
                self._judge(watch)

        self._scheduled_judgements.add(route)
        self._timers.call_later(FAULT_JUDGE_DELAY_S, judge)

    def _judge(self, watch: AttemptWatch) -> None:
        row = watch.row
        if self._timers.wall() >= row.deadline or self.stopped(row):
            # Only the longest runs of the new version are left, and these are not
            # comparable with the others.
            return
        rejection = watch.judge(self._timers.wall(), self._count_upstreams(row))
        self._metrics.evidence.labels(row.route).set(watch.nats)
        if rejection is not None:
            self.stop(row, f"{self._board.own}: {rejection.reason}")

    def _count_upstreams(self, row: RolloutRow) -> UpstreamCounts:
        pool = self._config.current().pool(row.pool)
        upstreams = pool.upstreams if pool else ()
        new = [upstream for upstream in upstreams if upstream.version == row.new]
        old = [upstream for upstream in upstreams if upstream.version != row.new]
        domains = frozenset(upstream.failure_domain for upstream in old)
        return UpstreamCounts(max(1, len(new)), max(1, len(old)), domains)

    def _is_in_pool(self, sample: RunSample, row: RolloutRow) -> bool:
        pool = self._config.current().pool(row.pool)
        upstreams = pool.upstreams if pool else ()
        return any(upstream.name == sample.upstream for upstream in upstreams)

    # Facts, rows and stops.

    def _on_config(self, cfg: Config) -> None:
        for route in cfg.routes:
            if route.version is not None:
                self._first_versions.setdefault(route.name, route.version)
        names = {route.name for route in cfg.routes}
        for name in set(self._first_versions) - names:
            del self._first_versions[name]
            self._request_counts.pop(name, None)

    def _on_fact(self, fact: Fact) -> None:
        if fact.origin == self._board.own:
            return
        match decode_fact(fact):
            case KnownRow() as known_row:
                self.row_cache.update(known_row)
            case SeenWindow(route, window) if route in self._watches:
                self._watches[route].add_peer_window(fact.origin, window)
            case Stopped() as stopped:
                self._add_stop(stopped)

    def _add_stop(self, stopped: Stopped) -> None:
        if len(self._stops) >= MAX_STOPS:
            self._evict_old_stops()
        self._stops.setdefault((stopped.route, stopped.number), stopped)

    def _evict_old_stops(self) -> None:
        """Remove all stops except those of the latest attempts."""
        for route, number in list(self._stops):
            known_row = self.row_cache.get(route)
            if known_row is None or known_row.row.number > number:
                del self._stops[route, number]

    def _on_row(self, row: RolloutRow) -> None:
        watch = self._watches.get(row.route)
        self._metrics.disputed.labels(row.route).set(0)
        self._metrics.share.labels(row.route, row.new).set(row.share)
        if not row.is_running:
            for state in (
                self._watches,
                self._splitters,
                self._published_at,
                self._judged_at,
            ):
                state.pop(row.route, None)
            self._metrics.outcomes.labels(row.route, row.state.value).inc()
            return
        if watch is None or watch.row.number != row.number:
            self._watches[row.route] = AttemptWatch(row, self._board.own)
            self._splitters.pop(row.route, None)
        else:
            watch.update_row(row)
        share = self._splitters.get(row.route)
        if share is None or not share.counts_step_of(row):
            self._splitters[row.route] = TrafficSplitter(row, self._board.own)

    def _record_stops(self) -> None:
        for key, stopped in list(self._unrecorded_stops.items()):
            known_row = self.row_cache.get(stopped.route)
            if known_row is None or known_row.row.number != stopped.number:
                del self._unrecorded_stops[key]
                continue
            stop = StopRow(self._board.own, stopped.at, stopped.reason)
            result = self._platform.commit([stop_write(known_row.row, stop)])
            if result.is_ok() or isinstance(result.err(), StoreConflictError):
                del self._unrecorded_stops[key]

    def _poll_store(self) -> None:
        routers = max(
            (watch.row.routers for watch in self._watches.values()), default=1
        )
        interval = POLL_INTERVAL_S + POLL_INTERVAL_PER_ROUTER_S * routers
        if self._timers.now() - self._polled_at < interval:
            return
        self._polled_at = self._timers.now() + self._rng.uniform(0.0, 0.2 * interval)
        self.row_cache.refresh()


def _most_common_version(pool: Pool | None) -> Version | None:
    counts: dict[Version, int] = {}
    for upstream in pool.upstreams if pool else ():
        if upstream.version and not upstream.leaving:
            counts[upstream.version] = counts.get(upstream.version, 0) + 1
    return max(counts, key=counts.__getitem__, default=None)
