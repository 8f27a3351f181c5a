import unittest

import msgspec
from result import Err, Ok

from boragedeck.connection.store import Table
from boragedeck.exceptions import UpstreamError, UpstreamRefusedError
from boragedeck.ids import FailureDomain, PoolName, UpstreamName
from boragedeck.process.timers import ManualTimers
from boragedeck.version.engine_reconciler import EngineReconciler
from boragedeck.version.orders import EngineState, Load, Unload, plan_orders
from boragedeck.version.rollout_facts import KnownRow
from boragedeck.version.rollout_row import RolloutRow, State
from boragedeck.version.rollout_row_cache import RolloutRowCache
from boragedeck.version.tables import Config, Pool, Route, RouteLimits, Upstream
from standins.behaviour import Behaviour
from standins.memory import MemoryPlatform
from standins.orders import Order as EngineOrder
from standins.orders import OrderHandler
from tests.support.config import FakeConfigSource
from tests.version.rollout_parts import FakeLease, Fleet

LOAD_S = 7.0


def pool(*versions, checks_fencing=True):
    upstreams = tuple(
        Upstream(
            UpstreamName(f"e{index}"),
            f"http://127.0.0.1:{index + 1}",
            FailureDomain("d0"),
            version,
        )
        for index, version in enumerate(versions)
    )
    return Pool(PoolName("pool"), checks_fencing=checks_fencing, upstreams=upstreams)


class Engines:
    """Stand-in engines behind `EngineClient` that can lose answers."""

    def __init__(self, timers, count, *, checks_fencing=True):
        self.timers = timers
        self.behaviour = Behaviour(checks_fencing=checks_fencing)
        self.engines = {f"e{index}": self.make() for index in range(count)}
        self.lose_answers = 0
        self.sent = []

    def make(self):
        return OrderHandler(["A"], LOAD_S, self.behaviour, self.timers)

    def read_state(self, upstream):
        view = self.engines[upstream.name].view()
        return Ok(msgspec.convert(msgspec.to_builtins(view), EngineState))

    def send(self, upstream, order, order_id, token):
        self.sent.append((upstream.name, order))
        fields = msgspec.to_builtins(order)
        kind = fields.pop("type")
        given = EngineOrder(kind, token, order_id=order_id, **fields)
        if not self.engines[upstream.name].execute(given):
            return Err(UpstreamRefusedError("stale"))
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(UpstreamError("answer lost"))
        return self.read_state(upstream)


class TestPlan(unittest.TestCase):
    def plan(self, declared, loaded, unused_versions=frozenset(), available_loads=2):
        states = {
            UpstreamName(f"e{index}"): EngineState(tuple(versions))
            for index, versions in enumerate(loaded)
        }
        plan = plan_orders(
            pool(*declared), states, unused_versions, available_loads=available_loads
        )
        return [(upstream.name, order) for upstream, order in plan.orders], plan.waiting

    def test_number_of_concurrent_loads_is_limited(self):
        orders, waiting = self.plan("BBB", ["A", "A", "A"], available_loads=1)
        self.assertEqual(orders, [("e0", Load("B"))])
        self.assertEqual(len(waiting), 2)

    def test_only_unused_versions_are_unloaded(self):
        self.assertEqual(self.plan("B", ["AB"], {"A"})[0], [("e0", Unload("A"))])
        self.assertEqual(self.plan("B", ["ABC"])[0], [])
        self.assertEqual(self.plan("B", ["B"], {"B"})[0], [])

    def test_engines_that_do_not_answer_or_declare_nothing_get_no_orders(self):
        self.assertEqual(self.plan("BB", [])[0], [])
        self.assertEqual(self.plan([""], ["A"], {"A"})[0], [])


class TestEngineReconciler(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.platform = MemoryPlatform()

    def make(self, token, engines, declared, *, version="A", **options):
        route = Route("chat", PoolName("pool"), version=version)
        pools = (pool(*declared, **options),)
        cfg = Config(1, routes=(route,), pools=pools)
        board = Fleet(1).followers[0]._board
        row_cache = RolloutRowCache(self.platform, board)
        lease = FakeLease(self.platform, token)
        reconciler = EngineReconciler(
            engines, row_cache, FakeConfigSource(cfg), self.timers, lambda: lease
        )
        return reconciler, lease

    def run_for(self, reconciler, seconds):
        for _ in range(int(seconds)):
            reconciler.tick()
            self.timers.advance(1.0)

    def loaded(self, engines):
        return [sorted(engine.view().versions) for engine in engines.engines.values()]

    def test_engines_load_the_declared_version(self):
        engines = Engines(self.timers, 3)
        reconciler, _ = self.make(1, engines, "BBB")
        self.run_for(reconciler, 5)
        self.assertEqual(sum(engine.loads for engine in engines.engines.values()), 2)
        self.assertTrue(reconciler.waiting)
        self.run_for(reconciler, 60)
        self.assertTrue(all("B" in versions for versions in self.loaded(engines)))
        rows = self.platform.scan(Table.ROLLOUTS, "order/").unwrap()
        self.assertEqual(len(rows), 3)

    def test_old_version_stays_loaded_until_its_runs_have_ended(self):
        engines = Engines(self.timers, 1)
        reconciler, _ = self.make(1, engines, "B", version="B")
        now = self.timers.wall()
        row = RolloutRow(
            route="chat",
            number=1,
            pool="pool",
            old="A",
            new="B",
            deadline=now,
            asked_deadline=now,
            revision=1,
            started=now,
        ).with_note(now, state=State.DONE)
        reconciler._row_cache.update(KnownRow(row, 1))
        self.run_for(reconciler, 100)
        self.assertEqual(self.loaded(engines), [["A", "B"]])
        self.timers.advance(RouteLimits().deadline_s)
        self.run_for(reconciler, 10)
        self.assertEqual(self.loaded(engines), [["B"]])

    def test_lost_answer_and_restart_are_repaired_without_a_second_load(self):
        engines = Engines(self.timers, 1)
        engines.lose_answers = 1
        reconciler, _ = self.make(1, engines, "B")
        self.run_for(reconciler, 15)
        self.assertEqual(engines.engines["e0"].loads, 1)
        engines.engines["e0"] = engines.make()
        self.run_for(reconciler, 40)
        self.assertIn("B", self.loaded(engines)[0])

    def test_no_order_is_sent_without_a_committed_row(self):
        engines = Engines(self.timers, 1)
        reconciler, _ = self.make(1, engines, "B")
        self.platform.faults.down = True
        self.run_for(reconciler, 10)
        self.assertEqual(engines.sent, [])

    def test_superseded_leader_sends_no_order_even_if_fencing_is_ignored(self):
        engines = Engines(self.timers, 1, checks_fencing=False)
        stale, lease = self.make(1, engines, "B", checks_fencing=False)
        self.make(2, engines, "A", checks_fencing=False)
        self.assertTrue(lease.is_safe(0.0))
        self.run_for(stale, 10)
        self.assertEqual(engines.sent, [])

    def test_no_order_is_sent_if_the_lease_ends_during_the_commit(self):
        engines = Engines(self.timers, 1, checks_fencing=False)
        reconciler, lease = self.make(1, engines, "B", checks_fencing=False)
        commit = lease.commit

        def slow(writes):
            lease.safe = False
            return commit(writes)

        lease.commit = slow
        reconciler.tick()
        self.assertEqual(engines.sent, [])
