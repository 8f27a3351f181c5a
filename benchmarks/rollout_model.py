"""In-process model of routers that move routes, on a fake clock."""

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
AFTER_S = 150.0
BASE_FAILURES = 0.005
LONG_SHARE = 0.12
PART_S = 20.0
FIRST_PART_S = 2.0
CRASH_AFTER = 60
RESTART_S = 20.0
LOAD_LIMIT = 6
POISON_DELAY_S = 0.3
PARTITION_SIDE = 4


class Report(msgspec.Struct):
    """What one run of a scenario showed of one route."""

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
        """Share of the new version before the first evidence was in."""
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
        What goes wrong.
    seed : int
        Seeds all that is random.
    choose : callable, optional
        Chooses versions in place of the rollouts, for the baseline; takes the
        time since the edit as a share of the time to the deadline.
    """

    def __init__(self, scenario: Scenario, seed: int, choose=None):
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
        self.is_baseline = choose is not None
        self._choose = choose
        self._numbers = itertools.count()
        self._last_sent: dict[tuple[str, RouterId], float] = {}
        self._stopped_at: dict[tuple[str, RouterId], float] = {}
        self._active: set[EventKind] = set()
        self._lost_domain = ""
        self.reports = {
            route: Report(route, scenario.is_bad(route), deadline=self.deadline)
            for route in scenario.routes
        }
        self._cfg = self._config(1, OLD, None)
        for index in range(ROUTERS):
            self.routers.append(ModelRouter(self, index, self._cfg))

    def run(self) -> list[Report]:
        """Run the scenario and return a report for each route."""
        self._arrive()
        self._at(self.started, lambda: self._edit(NEW, self.deadline))
        for event in self.scenario.events:
            self._at(self._time(event.at), lambda event=event: self._begin(event))
            if event.until:
                self._at(self._time(event.until), lambda event=event: self._end(event))
        self.timers.subscribe(0.5, self._look, jitter=0.0)
        while self.timers.now() < self.deadline + AFTER_S:
            self.timers.run_until(self.deadline + AFTER_S)
        self._read_outcomes()
        return list(self.reports.values())

    def believed_dead(self, router: ModelRouter) -> bool:
        """Return whether the others have taken a router off their lists."""
        since = self.dead_since.get(router.name)
        return since is not None and self.timers.now() - since > 10.0

    def rows(self, route: str) -> list[RolloutRow]:
        """Return all attempts of a route, as the store has them."""
        self.platform.faults.down = False
        rows = self.platform.scan(Table.ROLLOUTS, f"attempt/{route}/").unwrap()
        return [decode_row(row) for row in rows]

    # Configuration.

    def _config(
        self, revision: int, version: Version, deadline: float | None
    ) -> Config:
        pool = Pool(PoolName("pool"), upstreams=tuple(_upstreams()))
        routes = tuple(
            Route(RouteName(name), pool.name, version=version, deadline=deadline)
            for name in self.scenario.routes
        )
        return Config(Revision(revision), routes=routes, pools=(pool,))

    def _edit(self, version: Version, deadline: float | None) -> None:
        self._cfg = self._config(self._cfg.revision + 1, version, deadline)
        for router in self.routers:
            cfg = self._cfg
            self.timers.call_later(
                self.rng.uniform(0.1, 2.0), lambda r=router, c=cfg: self._apply(r, c)
            )

    def _apply(self, router: ModelRouter, cfg: Config) -> None:
        if router.source.current().revision < cfg.revision:
            router.source.set(cfg)

    # Requests.

    def _arrive(self) -> None:
        for route in self.scenario.routes:
            self._next_arrival(route)

    def _next_arrival(self, route: str) -> None:
        self.timers.call_later(
            self.rng.expovariate(self.scenario.rate), lambda: self._request(route)
        )

    def _request(self, route: str) -> None:
        self._next_arrival(route)
        alive = [router for router in self.routers if not router.is_down]
        self._send(self.rng.choice(alive), route, f"q{next(self._numbers)}")

    def _send(self, router: ModelRouter, route: str, key: str) -> None:
        cfg_route = router.source.current().route(route)
        if self._choose is None:
            version = router.follower.choose(cfg_route, key)
        else:
            progress = (self.timers.now() - self.started) / self.scenario.length_s
            version = NEW if self.rng.random() < self._choose(progress) else OLD
        engine = self._engine(version)
        if engine is not None:
            self._account(router, route, engine)
            self._serve(router, route, engine, key)

    def _engine(self, version: Version) -> _Engine | None:
        now = self.timers.now()
        able = [
            engine
            for engine in self.engines
            if engine.spec.version == version and engine.up_at <= now
        ]
        return self.rng.choice(able) if able else None

    def _account(self, router: ModelRouter, route: str, engine: _Engine) -> None:
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
        known = router.follower.row_cache.get(route)
        if known is None or known.row.number == 0 or not known.row.is_running:
            return False
        is_early = allowance(known.row.step) is not None
        return is_early and router.follower.stopped(known.row) is None

    def _serve(
        self, router: ModelRouter, route: str, engine: _Engine, key: str
    ) -> None:
        is_long = self.rng.random() < LONG_SHARE
        slow = self._slowness(route, engine)
        first = slow * self.rng.lognormvariate(-1.6, 0.5)
        gap = slow * self.rng.lognormvariate(-3.5, 0.3)
        tokens = self.rng.randint(1100, 2500) if is_long else self.rng.randint(40, 300)
        run = _Run(self, router, route, engine, key, first, gap, tokens, slow)
        run.start()

    def _slowness(self, route: str, engine: _Engine) -> float:
        slow = 5.0 if EventKind.OVERLOAD in self._active else 1.0
        if not self._is_struck(route, engine):
            return slow
        match self.scenario.fault:
            case Fault.SLOW:
                return 3.0 * slow
            case Fault.SLOW_UNDER_LOAD if len(engine.running) >= self._load_limit():
                return 3.0 * slow
        return slow

    def _load_limit(self) -> float:
        # A quarter of the load that an upstream has at the full share.
        mean_s = 0.25 + 0.03 * (0.88 * 170 + 0.12 * 1800)
        return 0.25 * self.scenario.rate * mean_s / UPSTREAMS_PER_VERSION

    def _is_struck(self, route: str, engine: _Engine) -> bool:
        if engine.spec.version != NEW or not self.scenario.is_bad(route):
            return False
        return self.timers.now() >= self._time(self.scenario.fault_at)

    def fails(self, route: str, engine: _Engine, tokens: int) -> tuple[bool, bool]:
        """Return whether a run fails, and whether the version's fault did it."""
        if self._is_struck(route, engine):
            match self.scenario.fault:
                case Fault.FAILS if self.rng.random() < 0.5:
                    return True, True
                case Fault.FAILS_LONG if tokens > 1024:
                    return True, True
        rate = 0.2 if EventKind.OVERLOAD in self._active else BASE_FAILURES
        return self.rng.random() < rate, False

    def count_crash(self, route: str, engine: _Engine) -> None:
        """Count a request towards the crash of its engine."""
        engine.served += 1
        is_crash = self.scenario.fault is Fault.CRASHES and self._is_struck(
            route, engine
        )
        if is_crash and engine.served % CRASH_AFTER == 0:
            self.crash(engine, RESTART_S, is_fault=True)

    def crash(self, engine: _Engine, down_s: float, *, is_fault: bool = False) -> None:
        """Kill an engine and all its runs."""
        engine.up_at = self.timers.now() + down_s
        for finish in list(engine.running.values()):
            finish(Outcome.CRASHED, is_fault)

    def resume(self, run: "_Run") -> None:
        """Go on with a request on another engine of the same version."""
        engine = self._engine(run.engine.spec.version)
        if engine is not None and not run.router.is_down and run.resumes < 2:
            left = max(1, run.tokens - run.tokens_at_end)
            again = _Run(
                self,
                run.router,
                run.route,
                engine,
                run.key,
                run.first,
                run.gap,
                left,
                run.slow,
            )
            again.resumes = run.resumes + 1
            again.start()

    def spoil(self, route: str) -> None:
        """Count a request that the bad version spoiled."""
        report = self.reports[route]
        report.spoiled += 1
        if report.first_spoiled is None:
            report.first_spoiled = self.timers.now()

    # Events.

    def _begin(self, event: Event) -> None:
        match event.kind:
            case EventKind.OVERLOAD | EventKind.STORE_SLOW:
                self._active.add(event.kind)
                if event.kind is EventKind.STORE_SLOW:
                    self.timers.subscribe(7.0, self._lose_answer)
            case EventKind.STORE_DOWN:
                self.platform.faults.down = True
            case EventKind.DOMAIN_LOST:
                down_s = self._time(event.until) - self.timers.now()
                for engine in self.engines:
                    if engine.spec.failure_domain == "d1":
                        self.crash(engine, down_s)
            case EventKind.ENGINE_LOST:
                down_s = self._time(event.until) - self.timers.now()
                self.crash(self.rng.choice(self.engines), down_s)
            case EventKind.POISON:
                self._poison()
            case EventKind.LEADER_KILLED | EventKind.LEADER_PAUSED:
                self._stop_leader(event)
            case EventKind.PARTITION:
                side = self.routers[:PARTITION_SIDE]
                self.network.partition({router.name for router in side})
                for router in side:
                    router.store.is_cut = self.seed % 2 == 0
            case EventKind.EDIT_BACK:
                self._edit(OLD, None)
            case EventKind.EDIT_DEADLINE:
                self.deadline = self.deadline + self.scenario.length_s
                self._edit(NEW, self.deadline)
            case EventKind.RACING_EDITS:
                self._edit(OLD, None)
                self._edit(NEW, self.deadline + 1.0)

    def _end(self, event: Event) -> None:
        match event.kind:
            case EventKind.OVERLOAD | EventKind.STORE_SLOW:
                self._active.discard(event.kind)
            case EventKind.STORE_DOWN:
                self.platform.faults.down = False
            case EventKind.PARTITION:
                self.network.heal()
                for router in self.routers:
                    router.store.is_cut = False

    def _lose_answer(self) -> None:
        if EventKind.STORE_SLOW not in self._active:
            return
        if self.rng.random() < 0.5:
            self.platform.faults.lose_answers = 1
        else:
            self.platform.faults.lose_requests = 1

    def _poison(self) -> None:
        """Let one request crash two upstreams of a version, then again elsewhere."""
        key = f"poison{next(self._numbers)}"
        route = self.scenario.routes[0]
        router = self.rng.choice([r for r in self.routers if not r.is_down])
        version = router.follower.choose(router.source.current().route(route), key)
        # Two crashes quarantine it; a caller that sends it again at once may reach a
        # router that has not heard of that yet.
        for attempt in range(3):
            delay = attempt * POISON_DELAY_S
            self.timers.call_later(
                delay, lambda: self._poison_one(router, version, key)
            )

    def _poison_one(self, router: "ModelRouter", version: Version, key: str) -> None:
        engine = self._engine(version)
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
        pause_s = self._time(event.until) - now
        self.timers.call_later(pause_s, lambda: self._resume(leader))

    def _resume(self, router: ModelRouter) -> None:
        router.is_down = False
        self.network.down.discard(router.name)
        self.dead_since.pop(router.name, None)

    # Results.

    def _look(self) -> None:
        for route, report in self.reports.items():
            for router in self.routers:
                known = router.follower.row_cache.get(route)
                if known is None or known.row.number == 0:
                    continue
                if (
                    known.row.state is State.DONE
                    and known.row.new == NEW
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
        """Return the longest time that a side of a partition sent after its stop."""
        kinds = {event.kind for event in self.scenario.events}
        names = [router.name for router in self.routers]
        cut = PARTITION_SIDE if EventKind.PARTITION in kinds else ROUTERS
        lags = []
        for side in (names[:cut], names[cut:]):
            stops = [self._stopped_at.get((route, name)) for name in side]
            sent = [self._last_sent.get((route, name)) for name in side]
            stops = [stop for stop in stops if stop is not None]
            sent = [last for last in sent if last is not None]
            if stops and sent:
                lags.append(max(0.0, max(sent) - min(stops)))
        return max(lags, default=None)

    def _note_stop(self, router: RouterId, fact: Fact) -> None:
        stopped = msgspec.msgpack.decode(fact.body, type=Stopped)
        key = stopped.route, router
        self._stopped_at.setdefault(key, self.timers.now())

    def _time(self, share: float) -> float:
        return self.started + share * self.scenario.length_s

    def _at(self, time: float, callback: Callable[[], None]) -> None:
        self.timers.call_later(time - self.timers.now(), callback)


class _Run:
    """One request on one engine."""

    def __init__(self, model, router, route, engine, key, first, gap, tokens, slow):
        self.model, self.router, self.route = model, router, route
        self.engine, self.key = engine, key
        self.first, self.gap, self.tokens = first, gap, tokens
        self.is_slowed = slow >= 3.0 and model.scenario.fault in (
            Fault.SLOW,
            Fault.SLOW_UNDER_LOAD,
        )
        self.slow = slow
        self.resumes = 0
        self.tokens_at_end = 0
        self.is_over = False
        self.shown_first = False
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
            model.spoil(self.route)
        fails, is_fault = model.fails(self.route, self.engine, self.tokens)
        if fails:
            at = (
                1024
                if self.tokens > 1024 and model.scenario.fault is Fault.FAILS_LONG
                else 10
            )
            self.tokens = at
            model.timers.call_later(
                self.first + at * self.gap,
                lambda: self.finish(Outcome.FAILED, is_fault),
            )
        else:
            model.timers.call_later(
                self.first + self.tokens * self.gap,
                lambda: self.finish(Outcome.COMPLETED, False),
            )
        model.timers.call_later(self.first, self.show_first)
        model.timers.call_later(self.first + FIRST_PART_S, self.part)
        model.count_crash(self.route, self.engine)

    def show_first(self) -> None:
        """Report the first token."""
        if not self.is_over:
            self._observe(None)

    def part(self) -> None:
        if self.is_over:
            return
        self._observe(None)
        self.model.timers.call_later(PART_S, self.part)

    def finish(self, outcome: Outcome, is_fault: bool) -> None:
        if self.is_over:
            return
        self.is_over = True
        self.engine.running.pop(id(self), None)
        if is_fault:
            self.model.spoil(self.route)
        self._observe(outcome)
        if outcome is Outcome.CRASHED:
            self.model.resume(self)

    def _observe(self, outcome: Outcome | None) -> None:
        if self.router.is_down:
            return
        spec = self.engine.spec
        elapsed = self.model.timers.now() - self.start_at
        has_first = elapsed >= 0.999 * self.first
        first = self.first if has_first and not self.shown_first else None
        self.shown_first |= has_first
        tokens = (
            int(max(0.0, elapsed - self.first) / self.gap + 1.5) if has_first else 0
        )
        tokens = min(self.tokens, tokens)
        self.tokens_at_end = tokens
        # A gap is the mean of the latest part, so it shows the present slowness.
        gap = self.gap / self.slow * self.model._slowness(self.route, self.engine)
        self.router.follower.observe(
            RunSample(
                RouteName(self.route),
                spec.version,
                spec.name,
                spec.failure_domain,
                outcome,
                first,
                gap if tokens > 1 else None,
                tokens,
                fingerprint=self.key,
                age_s=elapsed,
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
