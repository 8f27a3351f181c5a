"""In-process model of routers that roll out versions, on a simulated clock."""

import itertools
import random
from collections.abc import Callable

import msgspec

from benchmarks.rollout_faults import Event, EventKind, Fault, Scenario
from benchmarks.rollout_routers import ModelRouter
from benchmarks.sim_timers import SimTimers
from boragedeck.connection.messages import Fact
from boragedeck.connection.store import Table
from boragedeck.ids import (
    FailureDomain,
    PoolName,
    Revision,
    RouteName,
    RouterId,
    UpstreamName,
    Version,
)
from boragedeck.interfaces import Outcome, RunSample
from boragedeck.version.rollout_facts import Stopped
from boragedeck.version.rollout_plan import allowance
from boragedeck.version.rollout_row import RolloutRow, State, decode_row
from boragedeck.version.tables import Config, Pool, Route, Upstream
from standins.boards import BoardNetwork
from standins.memory import MemoryPlatform

__all__ = ["Model", "Report"]

ROUTERS = 9
DOMAINS = 3
UPSTREAMS_PER_VERSION = 6
OLD, NEW = Version("A"), Version("B")
WARM_UP_S = 20.0
AFTER_DEADLINE_S = 150.0
BASE_FAILURE_RATE = 0.005
LONG_SHARE = 0.12
PART_INTERVAL_S = 20.0
FIRST_PART_AFTER_S = 2.0
CRASH_AFTER_REQUESTS = 60
RESTART_S = 20.0
LOAD_LIMIT = 6
POISON_INTERVAL_S = 0.3
PARTITION_SIDE_ROUTERS = 4


class Report(msgspec.Struct):
    """Results of one route in one run of a scenario.

    Notes
    -----
    A request is spoiled if the new version's fault failed, slowed or crashed it.
    """

    route: str
    is_bad: bool
    requests: int = 0
    sent_new: int = 0
    spoiled: int = 0
    early_requests: int = 0
    early_new: int = 0
    first_spoiled: float | None = None
    last_sent_new: float | None = None
    stop_lag_s: float | None = None
    is_done: bool = False
    done_at: float | None = None
    deadline: float = 0.0
    outcomes: int = 0
    late_new: int = 0
    reason: str = ""

    @property
    def early_share(self) -> float:
        """Share of requests sent to the new version before the first evidence."""
        return self.early_new / max(1, self.early_requests)


class _Engine:
    """One upstream of the model."""

    def __init__(self, spec: Upstream):
        self.spec = spec
        self.up_at = 0.0
        self.served = 0
        self.running: dict[int, Callable[[Outcome], None]] = {}


class Model:
    """Runs one scenario with one seed.

    Parameters
    ----------
    scenario : Scenario
        The faults and events.
    seed : int
        Seed of all random choices.
    baseline_share : callable, optional
        Returns the new version's share in place of the rollouts, for the baseline;
        takes the time since the edit as a share of the time to the deadline.
    """

    def __init__(self, scenario: Scenario, seed: int, baseline_share=None):
        self.scenario = scenario
        self.seed = seed
        self.rng = random.Random(seed)
        self.timers = SimTimers(random.Random(seed + 1), start_s=1_000_000.0)
        self.platform = MemoryPlatform(sleep=lambda seconds: None)
        self.network = BoardNetwork(self.timers, random.Random(seed + 2))
        self.engines = [_Engine(spec) for spec in _upstreams()]
        self.started = self.timers.now() + WARM_UP_S
        self.deadline = self.started + scenario.length_s
        self.dead_since: dict[RouterId, float] = {}
        self.routers: list[ModelRouter] = []
        self.is_baseline = baseline_share is not None
        self._baseline_share = baseline_share
        self._request_numbers = itertools.count()
        self._last_sent: dict[tuple[str, RouterId], float] = {}
        self._stopped_at: dict[tuple[str, RouterId], float] = {}
        self._active_events: set[EventKind] = set()
        self._lost_domain = ""
        self.reports = {
            route: Report(route, scenario.is_bad(route), deadline=self.deadline)
            for route in scenario.routes
        }
        self._cfg = self._make_config(1, OLD, None)
        for index in range(ROUTERS):
            self.routers.append(ModelRouter(self, index, self._cfg))

    def run(self) -> list[Report]:
        """Run the scenario and return a report for each route."""
        self._schedule_arrivals()
        self._call_at(self.started, lambda: self._change_config(NEW, self.deadline))
        for event in self.scenario.events:
            self._call_at(
                self._time_at(event.at), lambda event=event: self._begin_event(event)
            )
            if event.until:
                self._call_at(
                    self._time_at(event.until),
                    lambda event=event: self._end_event(event),
                )
        self.timers.subscribe(0.5, self._check_done, jitter=0.0)
        while self.timers.now() < self.deadline + AFTER_DEADLINE_S:
            self.timers.run_until(self.deadline + AFTER_DEADLINE_S)
        self._read_outcomes()
        return list(self.reports.values())

    def is_considered_dead(self, router: ModelRouter) -> bool:
        """Return whether the other routers have removed a router from their members."""
        since = self.dead_since.get(router.name)
        return since is not None and self.timers.now() - since > 10.0

    def rows(self, route: str) -> list[RolloutRow]:
        """Return the rows of all attempts of a route, as stored."""
        self.platform.faults.down = False
        rows = self.platform.scan(Table.ROLLOUTS, f"attempt/{route}/").unwrap()
        return [decode_row(row) for row in rows]

    # Configuration.

    def _make_config(
        self, revision: int, version: Version, deadline: float | None
    ) -> Config:
        pool = Pool(PoolName("pool"), upstreams=tuple(_upstreams()))
        routes = tuple(
            Route(RouteName(name), pool.name, version=version, deadline=deadline)
            for name in self.scenario.routes
        )
        return Config(Revision(revision), routes=routes, pools=(pool,))

    def _change_config(self, version: Version, deadline: float | None) -> None:
        self._cfg = self._make_config(self._cfg.revision + 1, version, deadline)
        for router in self.routers:
            cfg = self._cfg
            self.timers.call_later(
                self.rng.uniform(0.1, 2.0), lambda r=router, c=cfg: self._apply(r, c)
            )

    def _apply(self, router: ModelRouter, cfg: Config) -> None:
        if router.source.current().revision < cfg.revision:
            router.source.set(cfg)

    # Requests.

    def _schedule_arrivals(self) -> None:
        for route in self.scenario.routes:
            self._schedule_arrival(route)

    def _schedule_arrival(self, route: str) -> None:
        self.timers.call_later(
            self.rng.expovariate(self.scenario.rate), lambda: self._request(route)
        )

    def _request(self, route: str) -> None:
        self._schedule_arrival(route)
        alive = [router for router in self.routers if not router.is_down]
        self._send(self.rng.choice(alive), route, f"q{next(self._request_numbers)}")

    def _send(self, router: ModelRouter, route: str, key: str) -> None:
        cfg_route = router.source.current().route(route)
        if self._baseline_share is None:
            version = router.follower.choose(cfg_route, key)
        else:
            progress = (self.timers.now() - self.started) / self.scenario.length_s
            version = NEW if self.rng.random() < self._baseline_share(progress) else OLD
        engine = self._choose_engine(version)
        if engine is not None:
            self._count_request(router, route, engine)
            self._serve(router, route, engine, key)

    def _choose_engine(self, version: Version) -> _Engine | None:
        now = self.timers.now()
        available = [
            engine
            for engine in self.engines
            if engine.spec.version == version and engine.up_at <= now
        ]
        return self.rng.choice(available) if available else None

    def _count_request(self, router: ModelRouter, route: str, engine: _Engine) -> None:
        now = self.timers.now()
        if now < self.started:
            return
        report = self.reports[route]
        report.requests += 1
        is_early = self._is_before_evidence(router, route)
        report.early_requests += is_early
        if engine.spec.version != NEW:
            return
        report.sent_new += 1
        report.early_new += is_early
        report.last_sent_new = now
        self._last_sent[route, router.name] = now
        report.late_new += now > self.deadline and not report.is_done

    def _is_before_evidence(self, router: ModelRouter, route: str) -> bool:
        cached_row = router.follower.row_cache.get(route)
        if (
            cached_row is None
            or cached_row.row.number == 0
            or not cached_row.row.is_running
        ):
            return False
        is_early = allowance(cached_row.row.step) is not None
        return is_early and router.follower.stopped(cached_row.row) is None

    def _serve(
        self, router: ModelRouter, route: str, engine: _Engine, key: str
    ) -> None:
        is_long = self.rng.random() < LONG_SHARE
        slow_factor = self._slow_factor(route, engine)
        first = slow_factor * self.rng.lognormvariate(-1.6, 0.5)
        token_gap_s = slow_factor * self.rng.lognormvariate(-3.5, 0.3)
        tokens = self.rng.randint(1100, 2500) if is_long else self.rng.randint(40, 300)
        run = _Run(
            self, router, route, engine, key, first, token_gap_s, tokens, slow_factor
        )
        run.start()

    def _slow_factor(self, route: str, engine: _Engine) -> float:
        slow_factor = 5.0 if EventKind.OVERLOAD in self._active_events else 1.0
        if not self._has_active_fault(route, engine):
            return slow_factor
        match self.scenario.fault:
            case Fault.SLOW:
                return 3.0 * slow_factor
            case Fault.SLOW_UNDER_LOAD if len(engine.running) >= self._load_limit():
                return 3.0 * slow_factor
        return slow_factor

    def _load_limit(self) -> float:
        # A quarter of the load that an upstream has at the full share.
        mean_s = 0.25 + 0.03 * (0.88 * 170 + 0.12 * 1800)
        return 0.25 * self.scenario.rate * mean_s / UPSTREAMS_PER_VERSION

    def _has_active_fault(self, route: str, engine: _Engine) -> bool:
        if engine.spec.version != NEW or not self.scenario.is_bad(route):
            return False
        return self.timers.now() >= self._time_at(self.scenario.fault_at)

    def fails(self, route: str, engine: _Engine, tokens: int) -> tuple[bool, bool]:
        """Return whether a run fails, and whether the version's fault is the cause."""
        if self._has_active_fault(route, engine):
            match self.scenario.fault:
                case Fault.FAILS if self.rng.random() < 0.5:
                    return True, True
                case Fault.FAILS_LONG if tokens > 1024:
                    return True, True
        rate = 0.2 if EventKind.OVERLOAD in self._active_events else BASE_FAILURE_RATE
        return self.rng.random() < rate, False

    def count_crash(self, route: str, engine: _Engine) -> None:
        """Count a request towards the crash of its engine."""
        engine.served += 1
        is_crash = self.scenario.fault is Fault.CRASHES and self._has_active_fault(
            route, engine
        )
        if is_crash and engine.served % CRASH_AFTER_REQUESTS == 0:
            self.crash(engine, RESTART_S, is_fault=True)

    def crash(self, engine: _Engine, down_s: float, *, is_fault: bool = False) -> None:
        """Kill an engine and all its runs."""
        engine.up_at = self.timers.now() + down_s
        for finish in list(engine.running.values()):
            finish(Outcome.CRASHED, is_fault)

    def resume(self, run: "_Run") -> None:
        """Resume a request on another engine of the same version."""
        engine = self._choose_engine(run.engine.spec.version)
        if engine is not None and not run.router.is_down and run.resumes < 2:
            tokens_left = max(1, run.tokens - run.tokens_at_end)
            resumed_run = _Run(
                self,
                run.router,
                run.route,
                engine,
                run.key,
                run.first,
                run.token_gap_s,
                tokens_left,
                run.slow_factor,
            )
            resumed_run.resumes = run.resumes + 1
            resumed_run.start()

    def count_spoiled(self, route: str) -> None:
        """Count a request that the new version's fault spoiled."""
        report = self.reports[route]
        report.spoiled += 1
        if report.first_spoiled is None:
            report.first_spoiled = self.timers.now()

    # Events.

    def _begin_event(self, event: Event) -> None:
        match event.kind:
            case EventKind.OVERLOAD | EventKind.STORE_SLOW:
                self._active_events.add(event.kind)
                if event.kind is EventKind.STORE_SLOW:
                    self.timers.subscribe(7.0, self._lose_store_message)
            case EventKind.STORE_DOWN:
                self.platform.faults.down = True
            case EventKind.DOMAIN_LOST:
                down_s = self._time_at(event.until) - self.timers.now()
                for engine in self.engines:
                    if engine.spec.failure_domain == "d1":
                        self.crash(engine, down_s)
            case EventKind.ENGINE_LOST:
                down_s = self._time_at(event.until) - self.timers.now()
                self.crash(self.rng.choice(self.engines), down_s)
            case EventKind.POISON:
                self._send_poison()
            case EventKind.LEADER_KILLED | EventKind.LEADER_PAUSED:
                self._stop_leader(event)
            case EventKind.PARTITION:
                side = self.routers[:PARTITION_SIDE_ROUTERS]
                self.network.partition({router.name for router in side})
                for router in side:
                    router.store.is_disconnected = self.seed % 2 == 0
            case EventKind.EDIT_BACK:
                self._change_config(OLD, None)
            case EventKind.EDIT_DEADLINE:
                self.deadline = self.deadline + self.scenario.length_s
                self._change_config(NEW, self.deadline)
            case EventKind.RACING_EDITS:
                self._change_config(OLD, None)
                self._change_config(NEW, self.deadline + 1.0)

    def _end_event(self, event: Event) -> None:
        match event.kind:
            case EventKind.OVERLOAD | EventKind.STORE_SLOW:
                self._active_events.discard(event.kind)
            case EventKind.STORE_DOWN:
                self.platform.faults.down = False
            case EventKind.PARTITION:
                self.network.heal()
                for router in self.routers:
                    router.store.is_disconnected = False

    def _lose_store_message(self) -> None:
        if EventKind.STORE_SLOW not in self._active_events:
            return
        if self.rng.random() < 0.5:
            self.platform.faults.lose_answers = 1
        else:
            self.platform.faults.lose_requests = 1

    def _send_poison(self) -> None:
        """Let one request crash two upstreams of a version, and then a further one."""
        key = f"poison{next(self._request_numbers)}"
        route = self.scenario.routes[0]
        router = self.rng.choice([r for r in self.routers if not r.is_down])
        version = router.follower.choose(router.source.current().route(route), key)
        # Two crashes quarantine the request; if the caller sends it again at once, it
        # may reach a router that has not received that fact yet.
        for attempt in range(3):
            delay = attempt * POISON_INTERVAL_S
            self.timers.call_later(
                delay, lambda: self._crash_by_poison(router, version, key)
            )

    def _crash_by_poison(
        self, router: "ModelRouter", version: Version, key: str
    ) -> None:
        engine = self._choose_engine(version)
        if engine is None or router.is_down:
            return
        spec = engine.spec
        sample = RunSample(
            RouteName(self.scenario.routes[0]),
            spec.version,
            spec.name,
            spec.failure_domain,
            Outcome.CRASHED,
            0.2,
            None,
            3,
            fingerprint=key,
        )
        router.follower.observe(sample)
        self.crash(engine, RESTART_S)

    def _stop_leader(self, event: Event) -> None:
        now = self.timers.now()
        leader = next((r for r in self.routers if r.lease and r.lease.end > now), None)
        if leader is None:
            return
        leader.is_down = True
        self.network.down.add(leader.name)
        self.dead_since[leader.name] = now
        pause_s = self._time_at(event.until) - now
        self.timers.call_later(pause_s, lambda: self._restart_router(leader))

    def _restart_router(self, router: ModelRouter) -> None:
        router.is_down = False
        self.network.down.discard(router.name)
        self.dead_since.pop(router.name, None)

    # Results.

    def _check_done(self) -> None:
        for route, report in self.reports.items():
            for router in self.routers:
                cached_row = router.follower.row_cache.get(route)
                if cached_row is None or cached_row.row.number == 0:
                    continue
                if (
                    cached_row.row.state is State.DONE
                    and cached_row.row.new == NEW
                    and not report.is_done
                ):
                    report.is_done = True
                    report.done_at = self.timers.now()

    def _read_outcomes(self) -> None:
        for route, report in self.reports.items():
            rows = [row for row in self.rows(route) if row.number > 0]
            report.deadline = self.deadline
            report.outcomes = sum(not row.is_running for row in rows)
            report.stop_lag_s = self._stop_lag(route)
            if rows:
                report.reason = rows[-1].reason

    def _stop_lag(self, route: str) -> float | None:
        """Return the longest lag of a side of a partition, in seconds.

        A side's lag is the time from its first known stop to the last request that it
        sent to the new version.
        """
        kinds = {event.kind for event in self.scenario.events}
        names = [router.name for router in self.routers]
        side_size = PARTITION_SIDE_ROUTERS if EventKind.PARTITION in kinds else ROUTERS
        lags = []
        for side in (names[:side_size], names[side_size:]):
            stops = [self._stopped_at.get((route, name)) for name in side]
            sent = [self._last_sent.get((route, name)) for name in side]
            stops = [stop for stop in stops if stop is not None]
            sent = [last for last in sent if last is not None]
            if stops and sent:
                lags.append(max(0.0, max(sent) - min(stops)))
        return max(lags, default=None)

    def _record_stop(self, router: RouterId, fact: Fact) -> None:
        stopped = msgspec.msgpack.decode(fact.body, type=Stopped)
        key = stopped.route, router
        self._stopped_at.setdefault(key, self.timers.now())

    def _time_at(self, share: float) -> float:
        return self.started + share * self.scenario.length_s

    def _call_at(self, time: float, callback: Callable[[], None]) -> None:
        self.timers.call_later(time - self.timers.now(), callback)


class _Run:
    """One request on one engine."""

    def __init__(
        self, model, router, route, engine, key, first, token_gap_s, tokens, slow_factor
    ):
        self.model, self.router, self.route = model, router, route
        self.engine, self.key = engine, key
        self.first, self.token_gap_s, self.tokens = first, token_gap_s, tokens
        self.is_slowed = slow_factor >= 3.0 and model.scenario.fault in (
            Fault.SLOW,
            Fault.SLOW_UNDER_LOAD,
        )
        self.slow_factor = slow_factor
        self.resumes = 0
        self.tokens_at_end = 0
        self.is_finished = False
        self.is_first_token_reported = False
        self.start_at = 0.0

    def start(self) -> None:
        model = self.model
        self.start_at = model.timers.now()
        self.engine.running[id(self)] = self.finish
        if (
            self.is_slowed
            and model.scenario.is_bad(self.route)
            and self.engine.spec.version == NEW
        ):
            model.count_spoiled(self.route)
        fails, is_fault = model.fails(self.route, self.engine, self.tokens)
        if fails:
            at = (
                1024
                if self.tokens > 1024 and model.scenario.fault is Fault.FAILS_LONG
                else 10
            )
            self.tokens = at
            model.timers.call_later(
                self.first + at * self.token_gap_s,
                lambda: self.finish(Outcome.FAILED, is_fault),
            )
        else:
            model.timers.call_later(
                self.first + self.tokens * self.token_gap_s,
                lambda: self.finish(Outcome.COMPLETED, False),
            )
        model.timers.call_later(self.first, self.report_first_token)
        model.timers.call_later(self.first + FIRST_PART_AFTER_S, self.part)
        model.count_crash(self.route, self.engine)

    def report_first_token(self) -> None:
        """Report the first token."""
        if not self.is_finished:
            self._observe(None)

    def part(self) -> None:
        if self.is_finished:
            return
        self._observe(None)
        self.model.timers.call_later(PART_INTERVAL_S, self.part)

    def finish(self, outcome: Outcome, is_fault: bool) -> None:
        if self.is_finished:
            return
        self.is_finished = True
        self.engine.running.pop(id(self), None)
        if is_fault:
            self.model.count_spoiled(self.route)
        self._observe(outcome)
        if outcome is Outcome.CRASHED:
            self.model.resume(self)

    def _observe(self, outcome: Outcome | None) -> None:
        if self.router.is_down:
            return
        spec = self.engine.spec
        elapsed_s = self.model.timers.now() - self.start_at
        has_first_token = elapsed_s >= 0.999 * self.first
        first = (
            self.first if has_first_token and not self.is_first_token_reported else None
        )
        self.is_first_token_reported |= has_first_token
        tokens = (
            int(max(0.0, elapsed_s - self.first) / self.token_gap_s + 1.5)
            if has_first_token
            else 0
        )
        tokens = min(self.tokens, tokens)
        self.tokens_at_end = tokens
        # The gap is the mean of the latest part, so it reflects the current slowdown.
        token_gap_s = (
            self.token_gap_s
            / self.slow_factor
            * self.model._slow_factor(self.route, self.engine)
        )
        self.router.follower.observe(
            RunSample(
                RouteName(self.route),
                spec.version,
                spec.name,
                spec.failure_domain,
                outcome,
                first,
                token_gap_s if tokens > 1 else None,
                tokens,
                fingerprint=self.key,
                age_s=elapsed_s,
            )
        )


def _upstreams() -> list[Upstream]:
    return [
        Upstream(
            UpstreamName(f"{version}{index}"),
            f"http://127.0.0.1:{9000 + index}",
            FailureDomain(f"d{index % DOMAINS}"),
            version,
        )
        for version in (OLD, NEW)
        for index in range(UPSTREAMS_PER_VERSION)
    ]
