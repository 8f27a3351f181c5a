"""Simulated fleet: generated requests, several routers and a placement policy."""

import math
import random
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from benchmarks.figures import percentile
from benchmarks.model import Arrival, Engine, EngineSpec, Run
from benchmarks.sim_timers import SimTimers
from benchmarks.simulation import (
    FixedConfig,
    SimulatedBoards,
)
from boragedeck.ids import FailureDomain, OrganisationName, PoolName, UpstreamName
from boragedeck.interfaces import Outcome, SlotRequest
from boragedeck.process.placing.chooser import PoolChooser
from boragedeck.process.placing.load_gossip import LoadGossip
from boragedeck.version.tables import Config, Pool, Route, RouteLimits, Upstream

__all__ = ["Fleet", "FleetSpec", "RequestRecord", "Summary", "summarise"]

POOL = PoolName("models")
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 0.5


class FleetSpec(msgspec.Struct, frozen=True):
    """Size and settings of a simulated fleet.

    Parameters
    ----------
    routers : int
        Number of routers; each request arrives at a random one.
    engines : tuple of EngineSpec
        The engines.
    failure_domains : int
        Number of failure domains, to which routers and engines are assigned in turn.
    queue_s : float
        How long a request may wait, in seconds.
    seed : int
        Seed of all random choices.
    """

    routers: int = 9
    engines: tuple[EngineSpec, ...] = (EngineSpec(),) * 12
    failure_domains: int = 3
    queue_s: float = 10.0
    seed: int = 1


class RequestRecord:
    """Progress and outcome of one request.

    Parameters
    ----------
    arrival : Arrival
        The request.
    """

    def __init__(self, arrival: Arrival):
        self.arrival = arrival
        self.first_token_at = math.inf
        self.done_at = math.inf
        self.cached_tokens = 0
        self.delivered_tokens = 0
        self.extra_tokens = 0
        self.is_refused = False
        self.retry_after_s: float | None = None
        self.lost_at: float | None = None
        self.resume_times_s: list[float] = []
        self.attempts = 0
        self.excluded: set[UpstreamName] = set()

    @property
    def first_token_s(self) -> float:
        """Time to the first token in seconds."""
        return self.first_token_at - self.arrival.at


class Placement(Protocol):
    """The engine chosen for a run, and callbacks about the progress of the run."""

    index: int

    def first_token(self) -> None:
        """See `boragedeck.interfaces.Slot.first_token`."""

    def tokens(self, count: int) -> None:
        """See `boragedeck.interfaces.Slot.tokens`."""

    def finish(self, outcome: Outcome) -> None:
        """See `boragedeck.interfaces.Slot.finish`."""


class PlainPlacement:
    """A placement whose callbacks do nothing."""

    def __init__(self, index: int):
        self.index = index

    def first_token(self) -> None:
        """Do nothing."""

    def tokens(self, count: int) -> None:
        """Do nothing."""

    def finish(self, outcome: Outcome) -> None:
        """Do nothing."""


class _ChosenPlacement:
    def __init__(self, index: int, slot):
        self.index = index
        self._slot = slot
        self.first_token = slot.first_token
        self.tokens = slot.tokens
        self.finish = slot.finish


class Fleet:
    """Routers and engines under a generated load.

    Parameters
    ----------
    spec : FleetSpec
        Size and settings of the fleet.
    choose_engine : callable, optional
        Takes the fleet, the request's record and the router's number, and returns
        the number of an engine; None for `PoolChooser`.
    resumes : bool
        Whether a lost run resumes from its prefix instead of starting again.
    """

    def __init__(
        self,
        spec: FleetSpec,
        choose_engine: Callable[["Fleet", RequestRecord, int], int] | None = None,
        *,
        resumes: bool = True,
    ):
        self.spec = spec
        self.timers = SimTimers()
        self.rng = random.Random(spec.seed)
        self.engines = [Engine(self.timers, each) for each in spec.engines]
        self.reports = [engine.report() for engine in self.engines]
        self.records: list[RequestRecord] = []
        self.loads: list[list[int]] = []
        self._choose_engine = choose_engine
        self._resumes = resumes
        self.pool = Pool(
            POOL, upstreams=tuple(map(self._make_upstream, self._indices()))
        )
        limits = RouteLimits(queue_s=spec.queue_s)
        self.route = Route("chat", POOL, limits=limits)
        self.choosers = [] if choose_engine else self._make_choosers()
        self.timers.subscribe(REPORT_INTERVAL_S, self._collect_reports)

    def run(
        self, arrivals: Sequence[Arrival], drain_s: float = 60.0
    ) -> list[RequestRecord]:
        """Simulate a load to its end and return a record of each request."""
        for arrival in arrivals:
            self.timers.call_later(
                arrival.at - self.timers.now(),
                lambda each=arrival: self._on_arrival(each),
            )
        self.timers.run_until(arrivals[-1].at + drain_s)
        return self.records

    def domain_engines(self, domain: int) -> list[Engine]:
        """Return the engines of one failure domain."""
        return self.engines[domain :: self.spec.failure_domains]

    def _indices(self) -> range:
        return range(len(self.engines))

    def _domain_name(self, index: int) -> FailureDomain:
        return FailureDomain(f"domain-{index % self.spec.failure_domains}")

    def _make_upstream(self, index: int) -> Upstream:
        name = UpstreamName(f"engine-{index}")
        return Upstream(name, f"http://127.0.0.1:{index + 1}", self._domain_name(index))

    def _make_choosers(self) -> list[PoolChooser]:
        cfg_source = FixedConfig(Config(routes=(self.route,), pools=(self.pool,)))
        boards = SimulatedBoards(self.timers)
        choosers = []
        for index in range(self.spec.routers):
            board = boards.board(f"router-{index}")
            rng = random.Random(self.spec.seed * 1000 + index)
            chooser = PoolChooser(
                self.timers, cfg_source, board, self._domain_name(index), rng
            )
            LoadGossip(self.timers, board, chooser.registry)
            choosers.append(chooser)
        return choosers

    def _collect_reports(self) -> None:
        measured_at = self.timers.now()
        reports = [engine.report() for engine in self.engines]
        self.loads.append([report.total for report in reports])
        self.timers.call_later(
            REPORT_LAG_S, lambda: self._deliver_reports(reports, measured_at)
        )

    def _deliver_reports(self, reports, measured_at: float) -> None:
        self.reports = reports
        for chooser in self.choosers:
            states = chooser.registry.pool(POOL)
            for state, engine, report in zip(
                states, self.engines, reports, strict=True
            ):
                if engine.is_up:
                    now = self.timers.now()
                    state.apply_report(report, measured_at, now, self.rng.random())

    def _on_arrival(self, arrival: Arrival) -> None:
        record = RequestRecord(arrival)
        self.records.append(record)
        self._place(record, self.rng.randrange(self.spec.routers))

    def _place(self, record: RequestRecord, router: int) -> None:
        record.attempts += 1
        if self._choose_engine is not None:
            place = PlainPlacement(self._choose_engine(self, record, router))
            self._start_run(record, router, place)
            return
        slot_request = self._slot_request(record)
        names = {each.name: index for index, each in enumerate(self.pool.upstreams)}

        def on_placed(result) -> None:
            if result.is_err():
                record.is_refused = True
                record.retry_after_s = result.err().retry_after_s
                return
            slot = result.ok()
            self._start_run(
                record, router, _ChosenPlacement(names[slot.upstream.name], slot)
            )

        self.choosers[router].submit(slot_request, on_placed)

    def _slot_request(self, record: RequestRecord) -> SlotRequest:
        arrival = record.arrival
        return SlotRequest(
            route=self.route,
            pool=self.pool,
            organisation=OrganisationName(arrival.organisation),
            version=None,
            prompt_tokens=arrival.prompt_tokens + record.delivered_tokens,
            prefix_hash=arrival.prefix,
            fingerprint=f"{arrival.at}",
            excluded=frozenset(record.excluded),
            is_resume=record.delivered_tokens > 0,
            deadline=arrival.at + self.route.limits.deadline_s,
        )

    def _start_run(self, record: RequestRecord, router: int, place: Placement) -> None:
        arrival = record.arrival
        resumed_tokens = record.delivered_tokens if self._resumes else 0
        repeated_tokens = record.delivered_tokens - resumed_tokens
        generated_tokens = 0

        def on_tokens(count: int) -> None:
            nonlocal generated_tokens
            if generated_tokens == 0:
                place.first_token()
                record.cached_tokens += run.cached_tokens
                if record.delivered_tokens:
                    record.extra_tokens += run.prompt_tokens - run.cached_tokens
            else:
                place.tokens(count)
            generated_tokens += count
            if generated_tokens <= repeated_tokens:
                record.extra_tokens += count
                return
            self._deliver_token(record, count)

        def on_end(outcome: Outcome) -> None:
            place.finish(outcome)
            if outcome is Outcome.COMPLETED:
                record.done_at = self.timers.now()
                return
            record.excluded.add(self.pool.upstreams[place.index].name)
            if record.lost_at is None and record.delivered_tokens:
                record.lost_at = self.timers.now()
            self._place(record, router)

        run = Run(
            arrival.prefix,
            arrival.prefix_tokens,
            arrival.prompt_tokens + resumed_tokens,
            arrival.output_tokens - resumed_tokens,
            on_tokens,
            on_end,
        )
        self.engines[place.index].start(run)

    def _deliver_token(self, record: RequestRecord, count: int) -> None:
        now = self.timers.now()
        if record.delivered_tokens == 0:
            record.first_token_at = now
        if record.lost_at is not None:
            record.resume_times_s.append(now - record.lost_at)
            record.lost_at = None
        record.delivered_tokens += count


class Summary(msgspec.Struct, frozen=True):
    """Figures of one run.

    Parameters
    ----------
    p50_s, p95_s, p99_s : float
        Time to the first token in seconds; a request without one counts as
        infinitely long.
    cached : float
        Share of prompt tokens found in a cache.
    imbalance : float
        Ratio of the highest load of an engine to the mean load, averaged over time.
    done : float
        Share of requests completed.
    """

    p50_s: float
    p95_s: float
    p99_s: float
    cached: float
    imbalance: float
    done: float

    def __str__(self) -> str:
        return (
            f"first token p50 {self.p50_s:6.3f} p95 {self.p95_s:6.3f} "
            f"p99 {self.p99_s:6.3f} s  cached {self.cached:4.0%}  "
            f"imbalance {self.imbalance:4.2f}  done {self.done:4.0%}"
        )


def summarise(fleet: Fleet) -> Summary:
    """Return a run's figures; the times leave out refused requests."""
    taken = [record for record in fleet.records if not record.is_refused]
    times = [record.first_token_s for record in taken]
    prompts = sum(record.arrival.prompt_tokens for record in taken)
    cached = sum(record.cached_tokens for record in taken)
    ratios = [max(each) * len(each) / sum(each) for each in fleet.loads if sum(each)]
    done = sum(record.done_at < math.inf for record in fleet.records)
    return Summary(
        percentile(times, 0.50),
        percentile(times, 0.95),
        percentile(times, 0.99),
        cached / max(1, prompts),
        sum(ratios) / max(1, len(ratios)),
        done / max(1, len(fleet.records)),
    )
