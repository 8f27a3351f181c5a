import math
import unittest
from unittest import mock

import msgspec

from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.speeds import replica_speeds
from boragedeck.process.relaying.speeds.address_history import KEPT_S
from boragedeck.process.relaying.speeds.pool_times import MAX_POOL_TIMES
from boragedeck.process.relaying.speeds.recent_speeds import TTL_S
from boragedeck.process.relaying.speeds.replica_speeds import (
    UPDATE_INTERVAL_S,
    ReplicaSpeeds,
)
from boragedeck.process.relaying.speeds.run_samples import (
    MAX_AGE_S,
    MAX_SAMPLES_OF_ROUTER,
)
from boragedeck.process.relaying.speeds.speed_messages import (
    MAX_SPEED_RATIO,
    RunSpeed,
    SpeedSample,
    StreamTimes,
)
from boragedeck.process.timers import ManualTimers
from tests.support.speed_fleet import replica

ENGINES = 8
READ_S, EVENT_S = 1e-4, 0.03
SLOW = 2.2


class ReplicaSpeedsTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.registry = ReplicaRegistry(self.timers)
        for number in range(ENGINES):
            self.put(f"e{number}")
        self.speeds = ReplicaSpeeds("own", self.timers, self.registry)
        self.numbers = {}

    def put(self, name, born_ms=7, address=None, **fields):
        address = address or name
        fields = {"replica": name, "address": address, "born_ms": born_ms} | fields
        self.registry.put(replica(**fields))

    def sample(self, router, name, factor=1.0, **fields):
        self.numbers[router] = number = self.numbers.get(router, 0) + 1
        values = {"born_ms": 7, "age_s": 0.0} | fields
        values = {"read_s": READ_S * factor, "event_s": EVENT_S * factor} | values
        return SpeedSample(router=router, number=number, replica=name, **values)

    def send(self, router, name, factor=1.0, **fields):
        sample = self.sample(router, name, factor, **fields)
        self.speeds.merge_samples(router, [sample])

    def send_round(self, routers="abcd", slow=("e0",)):
        """Have each router send a sample of each engine."""
        for router in routers:
            for number in range(ENGINES):
                name = f"e{number}"
                self.send(router, name, SLOW if name in slow else 1.0)

    def update(self):
        self.timers.advance(UPDATE_INTERVAL_S)
        self.speeds.update()

    def speed(self, name="e0"):
        return self.registry.get(name).speed

    def test_slow_engine_is_found_and_the_others_stay_at_one(self):
        self.send_round()
        self.update()
        self.assertAlmostEqual(self.speed(), 1 / SLOW)
        self.assertEqual(self.speeds.slow_replicas(), 1)
        self.assertEqual([self.speed(f"e{n}") for n in range(1, ENGINES)], [1.0] * 7)

    def test_wrong_reports_of_one_router_make_no_engine_slow(self):
        self.send_round("abc", slow=())
        for _ in range(50):
            self.send("faulty", "e0", 100.0)
            self.send("faulty", "e1", 0.01)
        self.update()
        self.assertEqual((self.speed("e0"), self.speed("e1")), (1.0, 1.0))

    def test_flood_of_one_router_does_not_change_what_others_are_compared_with(self):
        self.send_round("abc", slow=())
        for router in "abcd":
            for number in range(ENGINES):
                factor = 0.3 if number < 3 else 1.0
                for _ in range(MAX_POOL_TIMES):
                    self.send("faulty", "e7", factor)
                self.send(router, f"e{number}")
        self.update()
        self.assertEqual(self.speeds.slow_replicas(), 0)

    def test_wrong_reports_on_an_engine_that_no_other_router_uses_are_ignored(self):
        for router in "abc":
            for number in range(1, ENGINES):
                self.send(router, f"e{number}")
        for _ in range(50):
            self.send("faulty", "e0", 100.0)
        self.update()
        self.assertEqual(self.speed(), 1.0)

    def test_router_can_not_report_in_the_name_of_others(self):
        self.send_round("abc", slow=())
        forged = [self.sample(router, "e0", 100.0) for router in "xyzuvw"]
        self.speeds.merge_samples("faulty", forged)
        self.update()
        self.assertEqual(self.speed(), 1.0)

    def test_impossible_values_are_ignored(self):
        self.send_round(slow=())
        for value in (0.0, -1.0, math.nan, math.inf):
            for field in ("read_s", "event_s", "age_s"):
                if (field, value) != ("age_s", 0.0):
                    self.send("faulty", "e0", **{field: value})
        self.send("faulty", "unknown")
        self.update()
        self.assertEqual(self.speeds.slow_replicas(), 0)

    def test_tiny_times_of_one_router_do_not_stop_the_estimates(self):
        # The smallest float, divided by large times, is 0.0, which nothing can be
        # divided by.
        self.send_round(slow=())
        self.timers.advance(60.0)
        for _ in range(MAX_POOL_TIMES):
            self.send("faulty", "e1", read_s=3600.0, event_s=3600.0)
        for _ in range(MAX_SAMPLES_OF_ROUTER):
            self.send("faulty", "e0", read_s=5e-324, event_s=5e-324)
        self.update()
        self.assertEqual(self.speed(), 1.0)

    def test_speeds_of_a_hub_that_would_leave_an_engine_out_are_ignored(self):
        for value in (5e-324, 0.9 / MAX_SPEED_RATIO, 1.1 * MAX_SPEED_RATIO):
            self.speeds.note_received([RunSpeed("e0", 7, value)])
            self.assertEqual(self.speed(), 1.0)
        for value in (1.0 / MAX_SPEED_RATIO, MAX_SPEED_RATIO):
            self.speeds.note_received([RunSpeed("e0", 7, value)])
            self.assertEqual(self.speed(), value)

    def test_impossible_speeds_of_a_hub_are_ignored(self):
        for value in (0.0, -1.0, math.nan, math.inf):
            self.speeds.note_received([RunSpeed("e0", 7, value)])
            self.assertEqual(self.speed(), 1.0)

    def test_sample_counts_once_though_it_is_sent_several_times(self):
        self.send_round(slow=())
        sample = self.sample("a", "e0", SLOW)
        self.assertTrue(self.speeds._add(sample))
        self.assertFalse(self.speeds._add(sample))

    def test_speed_fades_without_new_samples(self):
        self.send_round()
        self.update()
        self.timers.advance(40.0)
        self.speeds.update()
        self.assertTrue(1 / SLOW < self.speed() < 1.0)
        self.timers.advance(MAX_AGE_S)
        self.speeds.update()
        self.assertEqual(self.speed(), 1.0)

    def test_recovery_is_seen_by_new_samples(self):
        self.send_round()
        self.update()
        self.timers.advance(20.0)
        self.send_round("xy", slow=())
        self.update()
        self.assertEqual(self.speed(), 1.0)

    def test_restarted_engine_begins_with_the_speed_of_the_run_before(self):
        self.send_round()
        self.update()
        self.put("e0", born_ms=8)
        self.assertEqual(self.speed(), 1.0)
        self.update()
        self.assertAlmostEqual(self.speed(), 1 / SLOW, delta=0.1)

    def test_sample_before_the_first_update_does_not_replace_the_run_before(self):
        self.send_round()
        self.update()
        self.put("e0", born_ms=8)
        self.send("a", "e0", SLOW, born_ms=8)
        self.update()
        self.assertAlmostEqual(self.speed(), 1 / SLOW, delta=0.1)

    def test_successor_at_an_address_begins_with_its_speed_after_a_gap(self):
        self.send_round()
        self.update()
        self.registry.remove("e0", "test")
        self.timers.advance(3.0)
        self.update()
        self.put("new", address="e0")
        self.update()
        self.assertAlmostEqual(self.speed("new"), 1 / SLOW, delta=0.1)

    def test_replica_of_another_pool_at_the_address_is_unknown(self):
        self.send_round()
        self.update()
        self.registry.remove("e0", "test")
        self.put("new", address="e0", pool="other")
        self.update()
        self.assertEqual(self.speed("new"), 1.0)

    def test_samples_of_a_restarted_engine_replace_those_of_the_run_before(self):
        self.send_round()
        self.update()
        self.put("e0", born_ms=8)
        self.update()
        self.timers.advance(20.0)
        for router in "xy":
            self.send(router, "e0", born_ms=8)
        self.update()
        self.assertEqual(self.speed(), 1.0)

    def test_what_is_told_of_the_run_before_does_not_count(self):
        self.put("e0", born_ms=8)
        self.update()
        self.send("a", "e0", SLOW)
        self.speeds.note_received([RunSpeed("e0", 7, 0.5)])
        self.update()
        self.assertEqual(self.speed(), 1.0)

    def test_router_that_is_cut_off_uses_its_own_samples(self):
        for _ in range(4):
            for number in range(ENGINES):
                factor = 1.0 if number else SLOW
                times = StreamTimes(READ_S * factor, EVENT_S * factor)
                self.speeds.note_stream(self.registry.get(f"e{number}"), times)
        self.update()
        self.assertAlmostEqual(self.speed(), 1 / SLOW)

    def test_received_speed_holds_until_it_expires(self):
        self.speeds.note_received([RunSpeed("e0", 7, 0.5, 9, 1.0)])
        self.assertEqual(self.speed(), 0.5)
        self.timers.advance(TTL_S - 1.0)
        self.speeds.update()
        self.assertEqual(self.speed(), 0.5)
        self.timers.advance(2.0)
        self.speeds.update()
        self.assertEqual(self.speed(), 1.0)

    def test_hub_that_knows_nothing_revokes_no_speed(self):
        self.speeds.note_received([RunSpeed("e0", 7, 0.5)])
        self.speeds.note_received(())
        self.update()
        self.assertEqual(self.speed(), 0.5)

    def test_hub_tells_that_an_engine_is_no_longer_slow(self):
        self.send_round()
        self.update()
        self.assertEqual([each.replica for each in self.speeds.answer("p")], ["e0"])
        self.assertEqual(self.speeds.answer("other"), ())
        self.timers.advance(20.0)
        self.send_round("xy", slow=())
        self.update()
        (told,) = self.speeds.answer("p")
        self.assertEqual((told.replica, told.speed), ("e0", 1.0))

    def test_burst_over_the_whole_pool_makes_no_engine_slow_that_only_ran_in_it(self):
        for router in "abcdefgh":
            for number in range(1, ENGINES):
                self.send(router, f"e{number}")
        for _ in range(10):
            for router in "abcdefgh":
                for number in range(ENGINES):
                    self.send(router, f"e{number}", 3.0)
        self.update()
        self.assertEqual(self.speeds.slow_replicas(), 0)

    def test_state_of_removed_replicas_is_dropped(self):
        self.send_round()
        self.update()
        for number in range(ENGINES):
            self.registry.remove(f"e{number}", "test")
        self.timers.advance(KEPT_S)
        self.update()
        estimator = self.speeds._estimator
        self.assertEqual(self.speeds._history.runs(), set())
        self.assertEqual((estimator._samples, estimator.speeds), ({}, {}))
        self.assertEqual(estimator._pool_times, {})

    def test_begin_and_end_of_slowness_are_logged(self):
        with mock.patch.object(replica_speeds._log, "write") as write:
            self.send_round()
            self.update()
            self.timers.advance(MAX_AGE_S)
            self.speeds.update()
        texts = [call.args[0] for call in write.call_args_list]
        self.assertEqual(texts, ["Replica is slow.", "Replica is no longer slow."])
        fields = {"replica", "speed", "samples", "age_s"}
        self.assertEqual(set(write.call_args.kwargs), fields)


class SampleTest(unittest.TestCase):
    def test_sample_survives_its_encoding(self):
        sample = SpeedSample("r1", 3, "e1", 7, 0.5, READ_S, EVENT_S)
        body = msgspec.msgpack.encode(sample)
        self.assertEqual(msgspec.msgpack.decode(body, type=SpeedSample), sample)
