import unittest

import eventlet

from boragedeck.process.answering import journal
from boragedeck.process.membership.rendezvous import rank
from boragedeck.process.timers import ManualTimers
from boragedeck.request.answer import AnswerState
from standins.tokens import find_break
from tests.support.engines import FakeEngines
from tests.support.network import FakeNetwork
from tests.support.routers import FakeCaller, FakeCluster

MAX_SILENCE_S = 2.0


class AnswerPathTest(unittest.TestCase):
    """An answer is delivered completely and once, whichever process fails."""

    def setUp(self):
        self.timers = ManualTimers()
        self.engines = FakeEngines(self.timers, 4)
        self.network = FakeNetwork(self.timers)
        self.cluster = FakeCluster(self.timers, self.engines, self.network)
        self.a, self.b, self.c = self.cluster.routers

    def caller(self, max_tokens=20, router=None, **options):
        caller = FakeCaller(self.cluster, "k1", max_tokens, **options)
        self.run_in_time(caller.start, router or self.a)
        return caller

    def run_in_time(self, function, *args, step_s=0.05, limit_s=120.0):
        thread = eventlet.spawn(function, *args)
        end = self.timers.now() + limit_s
        while not thread.dead:
            self.assertLess(self.timers.now(), end, "the call hangs")
            self.timers.advance(step_s)
        return thread.wait()

    def read(self, caller, until=10**6):
        for _ in range(500):
            if caller.finish or caller.error or len(caller.text.split()) >= until:
                return
            self.run_in_time(caller.read)

    def assert_complete(self, caller):
        self.assertIsNone(caller.error)
        self.assertEqual(caller.finish.reason, "length")
        self.assertEqual(len(caller.text.split()), caller.max_tokens)
        self.assertIsNone(find_break(caller.text))
        self.assertTrue(self.engines.prefixes_match(caller.token_ids))

    def running_engine(self):
        (run,) = self.engines.running()
        return run.engine

    def test_without_faults(self):
        caller = self.caller()
        self.read(caller)
        self.assert_complete(caller)

    def test_engine_fails_during_the_run(self):
        caller = self.caller()
        self.read(caller, 5)
        self.running_engine().set_faults(is_dead=True)
        self.read(caller)
        self.assert_complete(caller)

    def test_all_engines_but_one_fail_in_turn(self):
        caller = self.caller(40)
        for until in (5, 12, 20):
            self.read(caller, until)
            self.running_engine().set_faults(is_dead=True)
        self.read(caller)
        self.assert_complete(caller)

    def test_silent_engine_is_replaced_and_its_late_output_discarded(self):
        caller = self.caller()
        self.read(caller, 5)
        silent = self.running_engine()
        silent.set_faults(is_silent=True)
        silent_at = self.timers.now()
        self.read(caller, 10)
        self.assertLess(self.timers.now() - silent_at, MAX_SILENCE_S)
        silent.set_faults(is_silent=False)
        self.read(caller)
        self.assert_complete(caller)
        self.timers.advance(5.0)
        self.assertEqual(self.engines.running(), [])

    def test_owner_fails_and_the_caller_reattaches_to_another_router(self):
        for i in (1, 2):
            with self.subTest(router=i):
                self.setUp()
                caller = self.caller()
                self.read(caller, 7)
                self.a.kill()
                self.run_in_time(caller.reattach, self.cluster.routers[i])
                self.read(caller)
                self.assert_complete(caller)

    def test_another_router_relays_from_a_live_owner(self):
        caller = self.caller()
        self.read(caller, 7)
        self.run_in_time(caller.reattach, self.b)
        self.read(caller)
        self.assert_complete(caller)
        self.assertEqual(sum(len(e.runs) for e in self.engines.all), 1)

    def test_isolated_owner_is_superseded_and_its_callers_follow(self):
        caller = self.caller(60)
        other = FakeCaller(self.cluster, "k1", 60)
        self.read(caller, 7)
        self.network.isolate(self.a.own.address)
        other.texts = list(caller.texts)
        other.token_ids = list(caller.token_ids)
        other.last_event_id = caller.last_event_id
        self.run_in_time(other.reattach, self.b)
        self.read(other, 20)
        self.network.heal()
        self.read(other)
        self.assert_complete(other)
        self.read(caller)
        self.assertIsNone(find_break(caller.text))

    def test_copy_holder_fails(self):
        caller = self.caller(40)
        self.read(caller, 5)
        holder = next(r for r in (self.b, self.c) if len(r.copies))
        holder.kill()
        self.read(caller, 20)
        other_router = next(r for r in (self.b, self.c) if r is not holder)
        self.assertEqual(len(other_router.copies), 1)
        self.a.kill()
        self.run_in_time(caller.reattach, other_router)
        self.read(caller)
        self.assert_complete(caller)

    def test_loss_of_owner_and_holder_is_reported(self):
        caller = self.caller()
        self.read(caller, 5)
        holder = next(r for r in (self.b, self.c) if len(r.copies))
        other_router = next(r for r in (self.b, self.c) if r is not holder)
        holder.kill()
        self.a.kill()
        self.run_in_time(caller.reattach, other_router)
        self.assertEqual((caller.error.status, caller.error.code), (410, "answer_lost"))

    def test_shorter_copy_is_not_continued(self):
        caller = self.caller(40)
        self.read(caller, 5)
        # An owner that reaches no copy holder continues and counts uncopied tokens.
        self.network.isolate(self.a.own.address)
        self.read(caller, 20)
        self.assertGreater(self.a.metrics.uncopied_tokens._value.get(), 0)
        self.a.kill()
        self.run_in_time(caller.reattach, self.b)
        self.assertEqual(caller.error.code, "answer_lost")

    def test_same_key_attaches_and_other_body_is_refused(self):
        caller = self.caller()
        again = FakeCaller(self.cluster, "k1", 20)
        self.run_in_time(again.start, self.b)
        self.read(again)
        self.read(caller)
        self.assertEqual(caller.text, again.text)
        other = FakeCaller(self.cluster, "k1", 21)
        self.run_in_time(other.start, self.c)
        self.assertEqual(other.error.status, 422)

    def test_same_key_at_two_routers_at_once_runs_once(self):
        first = FakeCaller(self.cluster, "k1", 20)
        second = FakeCaller(self.cluster, "k1", 20)
        one = eventlet.spawn(first.start, self.a)
        two = eventlet.spawn(second.start, self.b)
        self.run_in_time(lambda: (one.wait(), two.wait()))
        self.read(first)
        self.read(second)
        self.assert_complete(first)
        self.assertEqual(first.text, second.text)

    def test_cancel_stops_the_engine_from_any_router(self):
        for i in (0, 1):
            with self.subTest(router=i):
                self.setUp()
                caller = self.caller(2000)
                self.read(caller, 5)
                service = self.cluster.routers[i].service
                self.run_in_time(service.cancel, caller.key)
                self.timers.advance(0.5)
                self.assertEqual(self.engines.running(), [])
                self.read(caller)
                self.assertEqual(caller.finish.reason, "cancelled")

    def test_abandoned_answer_ends_after_its_grace_period(self):
        caller = self.caller(30_000)
        self.read(caller, 5)
        caller.close()
        self.timers.advance(self.cluster.grace_s - 1.0)
        self.timers.advance(2.0)
        self.assertEqual(self.engines.running(), [])

    def test_reader_that_does_not_read_pauses_the_run(self):
        caller = self.caller(1500)
        self.read(caller, 5)
        self.timers.advance(60.0)
        self.assertEqual(self.engines.running(), [])
        self.read(caller)
        self.assert_complete(caller)

    def test_planned_stop_hands_answers_over(self):
        caller = self.caller(60)
        self.read(caller, 7)
        left = self.run_in_time(self.a.service.hand_over_all)
        self.assertEqual(left, 0)
        self.read(caller)
        self.assert_complete(caller)
        self.assertEqual(self.a.service.running(), 0)

    def test_finished_answer_outlives_its_owner(self):
        caller = self.caller()
        self.read(caller)
        self.a.kill()
        late = FakeCaller(self.cluster, "k1", 20)
        self.run_in_time(late.reattach, self.b)
        self.read(late)
        self.assertEqual(late.text, caller.text)

    def test_owner_is_found_though_it_holds_no_copy_and_many_are_dead(self):
        cluster = FakeCluster(self.timers, self.engines, self.network, routers=24)
        caller = FakeCaller(cluster, "k1", 20)
        ranked = rank(str(caller.key), cluster.routers, lambda r: r.own.router)
        # The owner ranks last for the answer, so it is not queried as a likely holder.
        owner = ranked[-1]
        self.run_in_time(caller.start, owner)
        self.read(caller)
        holder = next(r for r in cluster.routers if len(r.copies))
        others = [r for r in ranked if r not in (holder, owner)]
        for router in [holder, *others[:10]]:
            router.kill()
        for router in others[10:]:
            with self.subTest(router=router.own.router):
                late = FakeCaller(cluster, "k1", 20)
                self.run_in_time(late.reattach, router)
                self.read(late)
                self.assertEqual(late.text, caller.text)
                self.timers.advance(1.0)

    def test_refused_request_is_reported_as_not_run(self):
        for engine in self.engines.all:
            engine.set_faults(is_dead=True)
        caller = self.caller()
        self.read(caller)
        self.assertEqual(caller.finish.error.ran.value, "no")
        self.assertEqual(caller.finish.error.status, 502)

    def test_other_organisation_finds_nothing(self):
        caller = self.caller()
        self.read(caller, 5)
        other = FakeCaller(self.cluster, "k1", 20)
        other.key = type(other.key)("other", "k1")
        for router in self.cluster.routers:
            self.run_in_time(other.reattach, router)
            self.assertEqual(other.error.status, 404)

    def test_superseded_owner_stops_its_engine(self):
        caller = self.caller(2000)
        self.read(caller, 7)
        self.network.isolate(self.a.own.address)
        self.run_in_time(caller.reattach, self.b)
        self.network.heal()
        # A copy holder that failed is used again after journal.HOLDER_AVOID_S.
        self.timers.advance(journal.HOLDER_AVOID_S + 1.0)
        self.assertEqual(len(self.engines.running()), 1)
        (answer,) = self.b.service._answers.running()
        self.assertIs(answer.state, AnswerState.RUNNING)
