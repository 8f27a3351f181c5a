import unittest
from unittest import mock

import eventlet

from boragedeck.exceptions import UpstreamError, UpstreamFailedError
from boragedeck.interfaces import Outcome
from boragedeck.process.simple_parts import DeclaredVersion
from boragedeck.process.timers import ManualTimers
from boragedeck.request.attempt import AttemptEnd, EndKind, broken_outcome
from tests.support.engines import FakeEngines
from tests.support.network import FakeNetwork
from tests.support.routers import FakeCaller, FakeCluster


class TestSamples(unittest.TestCase):
    def test_a_run_reports_its_first_token_once_and_its_age(self):
        timers = ManualTimers()
        network = FakeNetwork(timers)
        cluster = FakeCluster(timers, FakeEngines(timers, 2), network)
        with mock.patch.object(DeclaredVersion, "observe") as observe:
            caller = FakeCaller(cluster, "k1", 400)
            eventlet.spawn(caller.start, cluster.routers[0])
            while not caller.finish:
                eventlet.spawn(caller.read)
                timers.advance(0.5)
        samples = [call.args[0] for call in observe.call_args_list]
        self.assertEqual(samples[-1].outcome, Outcome.COMPLETED)
        self.assertGreater(len(samples), 1)
        firsts = [s for s in samples if s.first_token_s is not None]
        self.assertEqual(firsts, samples[:1])
        self.assertIsNone(samples[0].gap_s)
        self.assertGreater(samples[-1].gap_s, 0.0)
        ages = [sample.age_s for sample in samples]
        self.assertEqual(ages, sorted(ages))
        self.assertTrue(all(sample.fingerprint for sample in samples))

    def test_an_upstream_that_answers_has_not_crashed(self):
        failed = AttemptEnd(EndKind.BROKEN, error=UpstreamFailedError("status 500"))
        broken = AttemptEnd(EndKind.BROKEN, error=UpstreamError("cut"))
        self.assertEqual(broken_outcome(failed), Outcome.FAILED)
        self.assertEqual(broken_outcome(broken), Outcome.CRASHED)
