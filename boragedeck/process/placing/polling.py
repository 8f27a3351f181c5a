"""Polls a share of the upstreams and publishes the results to the other routers."""

from collections.abc import Sequence
from typing import Protocol

import eventlet
import msgspec
import xxhash
from result import Result

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import UpstreamError
from boragedeck.ids import PoolName, RouterId, Version
from boragedeck.interfaces import ConfigSource, FactBoard, Membership
from boragedeck.process.membership.pace import publish_interval_s
from boragedeck.process.placing.load import LoadReport
from boragedeck.process.placing.upstreams import (
    UpstreamKey,
    UpstreamRegistry,
    UpstreamState,
)
from boragedeck.process.timers import TimerService
from boragedeck.version.tables import PoolKind

__all__ = [
    "PolledLoad",
    "PolledLoads",
    "LoadPoller",
    "Probe",
    "polling_routers",
    "polling_plan",
]

FACT_KEY = "reports"
POLL_INTERVAL_S = 1.0
POLLS_PER_S = 4.0
MAX_POLLERS = 3
ROUNDS_PER_VERSION_POLL = 5
INTERVAL_PER_ROUTER_S = 0.05
FACT_TTL_S = 60.0
MAX_CONCURRENT_POLLS = 16


class Probe(Protocol):
    """Reads the load and status of an upstream; see `EngineProbe`."""

    def is_leaving(self, url: str) -> bool:
        """Return whether the upstream reports that it will stop."""

    def load(self, url: str) -> Result[LoadReport, UpstreamError]:
        """Read the upstream's load."""

    def versions(self, url: str) -> Result[frozenset[Version], UpstreamError]:
        """Read the versions that the upstream serves."""


class PolledLoad(msgspec.Struct, frozen=True, array_like=True):
    """One upstream's load as polled by a router.

    Parameters
    ----------
    upstream : UpstreamKey
        The upstream.
    report : LoadReport
        The upstream's load.
    age_s : float
        Age of the report at publication, in seconds.
    versions : tuple of Version
        The versions that the upstream serves; empty if not known.
    """

    upstream: UpstreamKey
    report: LoadReport
    age_s: float
    versions: tuple[Version, ...] = ()


class PolledLoads(msgspec.Struct, frozen=True, array_like=True):
    """Body of a load fact: the loads polled by one router."""

    loads: tuple[PolledLoad, ...]


class LoadPoller:
    """Polls the load of the upstreams assigned to this router.

    Parameters
    ----------
    timers : TimerService
        Provides the time and timers.
    board : FactBoard
        Publishes the polled loads to the other routers.
    membership : Membership
        The routers among which the upstreams are divided.
    cfg_source : ConfigSource
        Declares which pools consist of engines.
    registry : UpstreamRegistry
        Receives the load reports.
    probe : Probe
        Reads the load and status of upstreams.
    on_leaving : callable
        Called with each upstream that reports that it will stop.

    Notes
    -----
    A router polls at most `POLLS_PER_S` upstreams per second. With many routers per
    upstream, each upstream is polled by up to `MAX_POLLERS` routers, otherwise by one,
    and with too few routers less often than every `POLL_INTERVAL_S` seconds. The
    larger the fleet, the less often a router publishes its results. State: one fact
    for each router, with the upstreams that it polls.
    """

    def __init__(
        self,
        timers: TimerService,
        board: FactBoard,
        membership: Membership,
        cfg_source: ConfigSource,
        registry: UpstreamRegistry,
        probe: Probe,
        on_leaving,
    ):
        self._timers = timers
        self._board = board
        self._membership = membership
        self._cfg_source = cfg_source
        self._registry = registry
        self._probe = probe
        self._on_leaving = on_leaving
        self._round = 0
        self._last_published: tuple[PolledLoad, ...] = ()
        self._published_at = float("-inf")
        board.subscribe(FactTopic.LOAD, self._receive)
        self._schedule(POLL_INTERVAL_S)

    def poll(self) -> None:
        """Poll the upstreams assigned to this router and publish their load."""
        states = self._own_states()
        pool = eventlet.GreenPool(MAX_CONCURRENT_POLLS)
        loads = [load for load in pool.imap(self._poll_one, states) if load]
        self._round += 1
        if loads:
            self._publish(tuple(loads))

    def _own_states(self) -> list[UpstreamState]:
        engines = self._engine_pools()
        states = [s for s in self._registry.all() if s.key.pool in engines]
        routers = self._routers()
        count, _ = polling_plan(len(routers), len(states))
        own = self._membership.own.router
        return [s for s in states if own in polling_routers(s.key, routers, count)]

    def _poll_one(self, state: UpstreamState) -> PolledLoad | None:
        url = state.upstream.url
        read_at = self._timers.now()
        result = self._probe.load(url)
        if result.is_err():
            return None
        if self._round % ROUNDS_PER_VERSION_POLL == 0:
            self._poll_versions_and_leaving(state)
        now = self._timers.now()
        versions = tuple(sorted(state.versions or ()))
        load = PolledLoad(state.key, result.ok(), now - read_at, versions)
        self._apply_load(load)
        return load

    def _poll_versions_and_leaving(self, state: UpstreamState) -> None:
        versions = self._probe.versions(state.upstream.url)
        if versions.is_ok():
            state.versions = versions.ok()
        if self._probe.is_leaving(state.upstream.url):
            self._on_leaving(state.key)

    def _publish(self, loads: tuple[PolledLoad, ...]) -> None:
        now = self._timers.now()
        routers = len(self._routers())
        interval_s = publish_interval_s(routers, POLL_INTERVAL_S, INTERVAL_PER_ROUTER_S)
        if now - self._published_at < interval_s - POLL_INTERVAL_S / 2.0:
            return
        is_changed = list(map(_comparable_content, loads)) != list(
            map(_comparable_content, self._last_published)
        )
        if not is_changed and now - self._published_at < FACT_TTL_S / 3.0:
            return
        self._last_published = loads
        self._published_at = now
        body = msgspec.msgpack.encode(PolledLoads(loads))
        self._board.publish(FactTopic.LOAD, FACT_KEY, body, ttl_s=FACT_TTL_S)

    def _receive(self, fact: Fact) -> None:
        if fact.key != FACT_KEY or fact.origin == self._board.own:
            return
        try:
            loads = msgspec.msgpack.decode(fact.body, type=PolledLoads).loads
        except DECODE_ERRORS:
            return
        for load in loads:
            self._apply_load(load)

    def _apply_load(self, load: PolledLoad) -> None:
        state = self._registry.get(load.upstream)
        if state is None:
            return
        now = self._timers.now()
        measured_at = now - load.age_s
        name = f"{self._board.own}/{load.upstream.upstream}/{measured_at}"
        rounding = xxhash.xxh32_intdigest(name.encode()) / 2.0**32
        state.apply_report(load.report, measured_at, now, rounding)
        if load.versions:
            state.versions = frozenset(load.versions)
        if measured_at > state.failed_at:
            # The upstream answered after its last failure, so its probation may begin.
            state.health.record_probe_answer(now)

    def _engine_pools(self) -> set[PoolName]:
        pools = self._cfg_source.current().pools
        return {pool.name for pool in pools if pool.kind is PoolKind.ENGINE}

    def _routers(self) -> list[RouterId]:
        members = self._membership.members()
        return sorted([self._membership.own.router, *(m.router for m in members)])

    def _schedule(self, interval_s: float) -> None:
        self._timers.call_later(interval_s, self._poll_again)

    def _poll_again(self) -> None:
        try:
            self.poll()
        finally:
            _, interval_s = polling_plan(
                len(self._routers()), len(self._registry.all())
            )
            self._schedule(interval_s)


def polling_plan(routers: int, upstreams: int) -> tuple[int, float]:
    """Return the number of routers that poll each upstream, and the interval in s."""
    polls_per_upstream = POLLS_PER_S * POLL_INTERVAL_S * routers / max(1, upstreams)
    if polls_per_upstream >= 1.0:
        return min(MAX_POLLERS, routers, int(polls_per_upstream)), POLL_INTERVAL_S
    return 1, POLL_INTERVAL_S / polls_per_upstream


def polling_routers(
    upstream: UpstreamKey, routers: Sequence[RouterId], count: int
) -> set[RouterId]:
    """Return the routers that poll an upstream.

    Notes
    -----
    This computes one hash for each upstream. Rendezvous hashing would compute one for
    each pair: 444,000 per round with 370 routers and 1,200 upstreams. A change of
    membership reassigns many upstreams, but reassignment is free here.
    """
    first = xxhash.xxh64_intdigest(f"{upstream.pool}/{upstream.upstream}".encode())
    return {routers[(first + offset) % len(routers)] for offset in range(count)}


def _comparable_content(load: PolledLoad) -> tuple:
    return load.upstream, load.report, load.versions
