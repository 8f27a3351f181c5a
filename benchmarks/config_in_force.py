"""Measures how long an accepted configuration takes to be in force in all routers.

Routers run in one process on a manual clock, with the real store, watch and delta code.
Facts reach the other routers within 1.5 s. The baseline only polls the platform, at the
same interval, and reads the whole configuration when its revision has changed.
"""

import random
import time

import msgspec

from boragedeck.process.timers import ManualTimers
from boragedeck.version import config_watch
from boragedeck.version.config_in_force import ConfigInForce, Source
from boragedeck.version.config_store import Change, StoredConfig, pack, unpack
from boragedeck.version.tables import (
    Config,
    Organisation,
    Pool,
    PoolKind,
    Route,
    RouteKind,
    Upstream,
)
from standins.memory import MemoryPlatform
from tests.version.fleet import Fleet, Link

CHANGES = 12
CHANGE_INTERVAL_S = 86_400 / 6_300
STEP_S = 0.1
MAX_WAIT_S = 60.0
MAX_GOSSIP_DELAY_S = 1.5
SLOW_READ_S = 2.0
IDLE_S = 30.0
REPEATS = 20
PLATFORM = Source.PLATFORM


def make_config(organisations, models, replicas):
    """Return a configuration of the given size."""
    orgs = tuple(
        Organisation(f"organisation-{i}", (f"{i:064x}", f"{i + 10**6:064x}"))
        for i in range(organisations)
    )
    pools, routes = [], []
    for model in range(models):
        upstreams = tuple(
            Upstream(
                f"engine-{model}-{i}",
                f"http://10.{model}.{i // 250}.{i % 250}:8000",
                f"domain-{i % 17}",
                f"model-{model}-v1",
            )
            for i in range(replicas // models)
        )
        pools.append(Pool(f"pool-{model}", upstreams=upstreams))
        routes.append(Route(f"model-{model}", f"pool-{model}"))
    pools.append(Pool("kiosks", PoolKind.SERVICE))
    routes.append(Route("dispense", "kiosks", RouteKind.CALL, repeatable=False))
    return Config(organisations=orgs, routes=tuple(routes), pools=tuple(pools))


def toggle_leaving(cfg, number):
    """Return the configuration with the `leaving` flag of one upstream toggled."""
    pool = cfg.pools[number % (len(cfg.pools) - 1)]
    upstreams = list(pool.upstreams)
    at = number % len(upstreams)
    upstreams[at] = msgspec.structs.replace(
        upstreams[at], leaving=not upstreams[at].leaving
    )
    changed = msgspec.structs.replace(pool, upstreams=tuple(upstreams))
    pools = tuple(changed if p is pool else p for p in cfg.pools)
    return msgspec.structs.replace(cfg, pools=pools)


class CountingPlatform(MemoryPlatform):
    """In-memory platform that counts the bytes read."""

    def __init__(self, sleep):
        super().__init__(sleep)
        self.read_bytes = 0

    def get(self, table, key):
        """See `TableStore.get`."""
        result = super().get(table, key)
        if result.is_ok() and result.ok() is not None:
            self.read_bytes += len(result.ok().value)
        return result

    def scan(self, table, prefix="", after="", limit=1000):
        """See `TableStore.scan`."""
        result = super().scan(table, prefix, after, limit)
        if result.is_ok():
            self.read_bytes += sum(len(row.value) for row in result.ok())
        return result


class GossipFleet(Fleet):
    """A fleet with delayed facts that counts the bytes sent between routers."""

    def __init__(self, count):
        self.peer_bytes = 0
        super().__init__(
            count, platform_type=CountingPlatform, gossip_s=MAX_GOSSIP_DELAY_S
        )

    def deliver(self, board, fact):
        """Deliver a fact to a board and count its bytes."""
        self.peer_bytes += len(msgspec.msgpack.encode(fact))
        super().deliver(board, fact)


class PollingWatch(config_watch.ConfigWatch):
    """The baseline: reads the revision, then the whole configuration if it is newer."""

    def _read_platform(self):
        newest = self._store.read_revision()
        if newest.is_err():
            return newest
        current = self._in_force.current.revision
        if newest.ok() is None or newest.ok().revision <= current:
            return newest
        return self._store.read().map(
            lambda s: self._in_force.install_config(s.config, PLATFORM)
        )

    def _fetch_from_any(self):
        pass


def count_links(fleet):
    """Add the bytes of peer messages to the fleet's count."""

    class CountingLink(Link):
        def call(self, message, answer_type, *, timeout_s):
            result = super().call(message, answer_type, timeout_s=timeout_s)
            fleet.peer_bytes += len(msgspec.msgpack.encode(message))
            if result.is_ok():
                fleet.peer_bytes += len(msgspec.msgpack.encode(result.ok()))
            return result

    for router in fleet.routers:
        router.link = lambda address, at=router.number: CountingLink(
            fleet, at, address.port
        )


def run_changes(fleet, cfg, condition, rng):
    """Return the sorted times from acceptance until in force in all routers, in s."""
    times = []
    for number in range(CHANGES):
        fleet.timers.advance(rng.uniform(0.5, 1.0) * CHANGE_INTERVAL_S)
        cfg = toggle_leaving(cfg, number)
        fleet.platform.faults.delay_s = 0.0
        read_bytes = fleet.platform.read_bytes
        revision = fleet.apply(cfg).unwrap().revision
        fleet.platform.read_bytes = read_bytes
        condition(fleet, rng)
        waited_s = 0.0
        while set(fleet.revisions()) != {revision} and waited_s < MAX_WAIT_S:
            fleet.timers.advance(STEP_S)
            waited_s += STEP_S
        times.append(waited_s)
        fleet.routers_without_platform.clear()
    return sorted(times)


def up(fleet, rng):
    """Leave the platform as it is."""


def slow(fleet, rng):
    """Delay each call to the platform."""
    fleet.platform.faults.delay_s = SLOW_READ_S


def down_for_two_thirds(fleet, rng):
    """Disconnect two thirds of the routers from the platform after the acceptance."""
    numbers = range(len(fleet.routers))
    fleet.routers_without_platform |= set(rng.sample(numbers, len(numbers) * 2 // 3))


def measure(label, count, cfg, condition, *, is_baseline=False):
    """Print a line of figures for a fleet under a condition."""
    real_watch = config_watch.ConfigWatch
    fleet_module = __import__("tests.version.fleet", fromlist=["ConfigWatch"])
    fleet_module.ConfigWatch = PollingWatch if is_baseline else real_watch
    fleet = GossipFleet(count)
    fleet_module.ConfigWatch = real_watch
    fleet.is_gossip_on = not is_baseline
    count_links(fleet)
    fleet.apply(cfg).unwrap()
    fleet.timers.advance(20.0)
    calls = sum(fleet.platform.calls.values())
    fleet.timers.advance(IDLE_S)
    reads_per_s = (sum(fleet.platform.calls.values()) - calls) / IDLE_S
    fleet.platform.read_bytes = fleet.peer_bytes = 0
    times = run_changes(fleet, cfg, condition, random.Random(7))
    received_bytes = (fleet.platform.read_bytes + fleet.peer_bytes) / count / CHANGES
    way = "polling alone" if is_baseline else "with peers"
    print(
        f"{count:4} routers  {label:22} {way:14}"
        f" median {times[CHANGES // 2]:5.1f} s  slowest {times[-1]:5.1f} s"
        f"  {reads_per_s:6.1f} reads/s idle"
        f"  {received_bytes:9.0f} bytes a router and change"
        f"  {received_bytes / CHANGE_INTERVAL_S:8.1f} bytes/s"
    )
    for router in fleet.routers:
        router.stop()


def measure_change(cfg):
    """Print the sizes and the processor time of one change of a configuration."""
    fleet = Fleet(0)
    fleet.apply(cfg).unwrap()
    stored = fleet.store.read().unwrap()
    change = fleet.apply(toggle_leaving(cfg, 1)).unwrap()
    whole = fleet.store.read().unwrap()
    uncompressed_bytes = len(msgspec.json.encode(StoredConfig(whole.config)))
    rows = {"delta": pack(change), "whole": pack(whole)}
    took_ms = {}
    for name, install in (
        ("delta", lambda f, row: f.install_changes([unpack(row, Change)], PLATFORM)),
        (
            "whole",
            lambda f, row: f.install_config(unpack(row, StoredConfig).config, PLATFORM),
        ),
    ):
        elapsed_s = 0.0
        for _ in range(REPEATS):
            in_force = ConfigInForce(ManualTimers())
            in_force.install_config(stored.config, PLATFORM)
            start = time.process_time()
            install(in_force, rows[name])
            elapsed_s += time.process_time() - start
        took_ms[name] = elapsed_s / REPEATS * 1e3
    upstreams = sum(len(pool.upstreams) for pool in cfg.pools)
    print(
        f"{len(cfg.organisations):4} organisations {upstreams:5} upstreams:"
        f" whole {uncompressed_bytes} bytes, compressed {len(rows['whole'])},"
        f" delta row {len(rows['delta'])};"
        f" processor time {took_ms['delta']:.1f} ms by delta,"
        f" {took_ms['whole']:.1f} ms whole"
        f" = {took_ms['delta'] / 1e3 / CHANGE_INTERVAL_S:.3%} of a core"
        " at 6,300 changes a day"
    )


def main():
    """Print all figures."""
    small_config, large_config = make_config(10, 2, 12), make_config(260, 7, 1200)
    for cfg in (small_config, large_config):
        measure_change(cfg)
    for condition in (up, slow, down_for_two_thirds):
        label = condition.__name__.replace("_", " ")
        for is_baseline in (True, False):
            measure(label, 9, small_config, condition, is_baseline=is_baseline)
    for count in (3, 27, 90, 370):
        for is_baseline in (True, False):
            measure("up", count, large_config, up, is_baseline=is_baseline)
    measure("slow", 370, large_config, slow)
    measure("down for two thirds", 370, large_config, down_for_two_thirds)


if __name__ == "__main__":
    main()
