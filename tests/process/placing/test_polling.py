import unittest
from collections import Counter

from result import Err, Ok

from boragedeck.connection.metrics_poll import parse_load
from boragedeck.connection.peer import Address
from boragedeck.exceptions import UpstreamError
from boragedeck.ids import Health
from boragedeck.interfaces import Member, Outcome
from boragedeck.process.placing.load import LoadReport
from boragedeck.process.placing.polling import LoadPoller, polling_plan, polling_routers
from boragedeck.process.placing.upstreams import UpstreamKey, UpstreamRegistry
from boragedeck.process.timers import ManualTimers
from tests.process.policy_fakes import (
    FakeBoards,
    FakeMembership,
    make_config,
    make_pool,
)
from tests.support.config import FakeConfigSource

METRICS_PAGE = b"""# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{model_name="a"} 3.0
vllm:num_requests_running{model_name="b"} 2.0
# TYPE vllm:num_requests_waiting gauge
vllm:num_requests_waiting{model_name="a"} 4.0
# TYPE vllm:kv_cache_usage_perc gauge
vllm:kv_cache_usage_perc{model_name="a"} 0.25
"""


class FakeProbe:
    def __init__(self):
        self.calls = Counter()
        self.down = set()

    def load(self, url):
        self.calls[url] += 1
        if url in self.down:
            return Err(UpstreamError("down"))
        return Ok(LoadReport(7, 1))

    def versions(self, url):
        return Ok(frozenset({"v1", "v2"}))

    def is_leaving(self, url):
        return False


class PollingTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.probe = FakeProbe()
        boards = FakeBoards()
        cfg = make_config(make_pool(12))
        members = [
            Member(f"r{i}", f"vm{i}", "d0", Address("127.0.0.1", i)) for i in range(9)
        ]
        self.registries = []
        for member in members:
            registry = UpstreamRegistry()
            registry.apply(cfg, 0.0)
            others = [other for other in members if other is not member]
            LoadPoller(
                self.timers,
                boards.board(member.router),
                FakeMembership(member, others),
                FakeConfigSource(cfg),
                registry,
                self.probe,
                lambda upstream: None,
            )
            self.registries.append(registry)

    def test_every_router_knows_every_load_but_polls_few_upstreams(self):
        self.timers.advance(1.5)
        self.assertLessEqual(max(self.probe.calls.values()), 3)
        for registry in self.registries:
            for state in registry.all():
                self.assertEqual(state.load.total(self.timers.now()), 8)
                self.assertTrue(state.serves("v2"))

    def test_report_after_a_crash_starts_probation(self):
        self.timers.advance(1.5)
        state = self.registries[0].all()[0]
        state.observe_failure(Outcome.CRASHED, self.timers.now())
        self.probe.down.add(state.upstream.url)
        self.timers.advance(0.4)
        self.assertIs(state.health.state, Health.DEAD)
        self.probe.down.clear()
        self.timers.advance(1.2)
        self.assertIs(state.health.state, Health.SUSPECT)

    def test_poll_rate_is_bounded_for_1200_upstreams(self):
        count, interval_s = polling_plan(370, 1200)
        self.assertLessEqual(count * 1200 / 370 / interval_s, 4.0)
        count, interval_s = polling_plan(2, 1200)
        self.assertLessEqual(count * 1200 / 2 / interval_s, 4.0)

    def test_upstreams_are_distributed_evenly_over_routers(self):
        routers = [f"r{i:03}" for i in range(370)]
        counts = Counter(
            router
            for i in range(1200)
            for router in polling_routers(UpstreamKey("p", f"u{i}"), routers, 1)
        )
        self.assertEqual(counts.total(), 1200)
        self.assertLess(max(counts.values()), 14)

    def test_metrics_page_is_parsed_with_values_summed_over_labels(self):
        self.assertEqual(parse_load(METRICS_PAGE), LoadReport(5, 4, 0.25))

    def test_metrics_page_without_load_metrics_is_an_error(self):
        with self.assertRaises(ValueError):
            parse_load(b"other 1\n")
