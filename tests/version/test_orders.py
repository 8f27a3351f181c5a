import unittest

import msgspec
from result import Err, Ok

from boragedeck.connection.store import Table
from boragedeck.exceptions import UpstreamError, UpstreamRefusedError
from boragedeck.ids import FailureDomain, PoolName, UpstreamName
from boragedeck.process.timers import ManualTimers
from boragedeck.version.order_keeper import OrderKeeper
from boragedeck.version.orders import EngineView, Load, Unload, plan_orders
from boragedeck.version.rollout_facts import KnownRow
from boragedeck.version.rollout_ledger import RolloutLedger
from boragedeck.version.rollout_row import RolloutRow, State
from boragedeck.version.tables import Config, Pool, Route, RouteLimits, Upstream
from standins.behaviour import Behaviour
from standins.memory import MemoryPlatform
from standins.orders import Order as EngineOrder
from standins.orders import Orders
from tests.support.config import FakeConfigSource
from tests.version.rollout_parts import Fleet, Lease

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
    """Stand-in engines behind the interface, with lost answers."""

    def __init__(self, timers, count, *, checks_fencing=True):
        self.timers = timers
        self.behaviour = Behaviour(checks_fencing=checks_fencing)
        self.engines = {f"e{index}": self.make() for index in range(count)}
        self.lose_answers = 0
        self.sent = []

    def make(self):
        return Orders(["A"], LOAD_S, self.behaviour, self.timers)

    def view(self, upstream):
        view = self.engines[upstream.name].view()
        return Ok(msgspec.convert(msgspec.to_builtins(view), EngineView))

    def send(self, upstream, order, order_id, token):
        self.sent.append((upstream.name, order))
        fields = msgspec.to_builtins(order)
        kind = fields.pop("type")
        given = EngineOrder(kind, token, order_id=order_id, **fields)
        if not self.engines[upstream.name].carry_out(given):
            return Err(UpstreamRefusedError("stale"))
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(UpstreamError("answer lost"))
        return self.view(upstream)


class TestPlan(unittest.TestCase):
    def plan(self, declared, loaded, disposable=frozenset(), loads_left=2):
        views = {
            UpstreamName(f"e{index}"): EngineView(tuple(versions))
            for index, versions in enumerate(loaded)
        }
        plan = plan_orders(pool(*declared), views, disposable, loads_left=loads_left)
        return [(upstream.name, order) for upstream, order in plan.orders], plan.waiting

    def test_loads_are_paced(self):
        orders, waiting = self.plan("BBB", ["A", "A", "A"], loads_left=1)
        self.assertEqual(orders, [("e0", Load("B"))])
        self.assertEqual(len(waiting), 2)

    def test_only_disposable_versions_go(self):
        self.assertEqual(self.plan("B", ["AB"], {"A"})[0], [("e0", Unload("A"))])
        self.assertEqual(self.plan("B", ["ABC"])[0], [])
        self.assertEqual(self.plan("B", ["B"], {"B"})[0], [])

    def test_engines_that_do_not_answer_or_declare_nothing_get_no_orders(self):
        self.assertEqual(self.plan("BB", [])[0], [])
        self.assertEqual(self.plan([""], ["A"], {"A"})[0], [])


class TestOrderKeeper(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.platform = MemoryPlatform()

    def make(self, token, engines, declared, *, version="A", **options):
        route = Route("chat", PoolName("pool"), version=version)
        pools = (pool(*declared, **options),)
        cfg = Config(1, routes=(route,), pools=pools)
        board = Fleet(1).followers[0]._board
        ledger = RolloutLedger(self.platform, board)
        lease = Lease(self.platform, token)
        keeper = OrderKeeper(
            engines, ledger, FakeConfigSource(cfg), self.timers, lambda: lease
        )
        return keeper, lease

    def run_for(self, keeper, seconds):
        for _ in range(int(seconds)):
            keeper.tick()
            self.timers.advance(1.0)

    def loaded(self, engines):
        return [sorted(engine.view().versions) for engine in engines.engines.values()]

    def test_engines_come_to_what_the_pool_declares(self):
        engines = Engines(self.timers, 3)
        keeper, _ = self.make(1, engines, "BBB")
        self.run_for(keeper, 5)
        self.assertEqual(sum(engine.loads for engine in engines.engines.values()), 2)
        self.assertTrue(keeper.waiting)
        self.run_for(keeper, 60)
        self.assertTrue(all("B" in versions for versions in self.loaded(engines)))
        rows = self.platform.scan(Table.ROLLOUTS, "order/").unwrap()
        self.assertEqual(len(rows), 3)

    def test_old_version_stays_until_its_runs_can_not_go_on(self):
        engines = Engines(self.timers, 1)
        keeper, _ = self.make(1, engines, "B", version="B")
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
        ).noted(now, state=State.DONE)
        keeper._ledger.learn(KnownRow(row, 1))
        self.run_for(keeper, 100)
        self.assertEqual(self.loaded(engines), [["A", "B"]])
        self.timers.advance(RouteLimits().deadline_s)
        self.run_for(keeper, 10)
        self.assertEqual(self.loaded(engines), [["B"]])

    def test_lost_answer_and_restart_are_repaired_without_a_second_load(self):
        engines = Engines(self.timers, 1)
        engines.lose_answers = 1
        keeper, _ = self.make(1, engines, "B")
        self.run_for(keeper, 15)
        self.assertEqual(engines.engines["e0"].loads, 1)
        engines.engines["e0"] = engines.make()
        self.run_for(keeper, 40)
        self.assertIn("B", self.loaded(engines)[0])

    def test_no_order_without_a_committed_row(self):
        engines = Engines(self.timers, 1)
        keeper, _ = self.make(1, engines, "B")
        self.platform.faults.down = True
        self.run_for(keeper, 10)
        self.assertEqual(engines.sent, [])

    def test_superseded_keeper_gives_no_order_even_where_fencing_is_ignored(self):
        engines = Engines(self.timers, 1, checks_fencing=False)
        stale, lease = self.make(1, engines, "B", checks_fencing=False)
        self.make(2, engines, "A", checks_fencing=False)
        self.assertTrue(lease.is_safe(0.0))
        self.run_for(stale, 10)
        self.assertEqual(engines.sent, [])

    def test_lease_that_ends_during_the_commit_gives_no_order(self):
        engines = Engines(self.timers, 1, checks_fencing=False)
        keeper, lease = self.make(1, engines, "B", checks_fencing=False)
        commit = lease.commit

        def slow(writes):
            lease.safe = False
            return commit(writes)

        lease.commit = slow
        keeper.tick()
        self.assertEqual(engines.sent, [])
