import unittest
from unittest import mock

from result import Err, Ok

from boragedeck.exceptions import RefusedError
from boragedeck.interfaces import Outcome, SlotRequest
from boragedeck.process.placing.versioned_chooser import VersionedChooser
from boragedeck.process.timers import ManualTimers
from tests.version.rollout_parts import config, upstream


class TestVersionedChooser(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.inner, self.versions = mock.Mock(), mock.Mock()
        self.versions.choose.return_value = "A"
        self.chooser = VersionedChooser(self.inner, self.versions, self.timers)
        cfg = config(1, "B")
        self.request = SlotRequest(
            cfg.routes[0], cfg.pools[0], "org", "B", 0, 0, fingerprint="f"
        )

    def test_call_gets_the_version_of_the_rollout_and_is_observed_once(self):
        self.inner.acquire.return_value = Ok(mock.Mock(upstream=upstream("A0", "A")))
        slot = self.chooser.acquire(self.request).unwrap()
        self.assertEqual(self.inner.acquire.call_args.args[0].version, "A")
        self.timers.advance(0.5)
        slot.finish(Outcome.COMPLETED)
        slot.finish(Outcome.CANCELLED)
        (sample,) = [call.args[0] for call in self.versions.observe.call_args_list]
        self.assertEqual((sample.version, sample.outcome), ("A", Outcome.COMPLETED))
        self.assertEqual((sample.first_token_s, sample.fingerprint), (0.5, "f"))

    def test_refusal_is_passed_on(self):
        self.inner.acquire.return_value = Err(
            RefusedError("full", status=503, kind="server_error", code="full")
        )
        self.assertTrue(self.chooser.acquire(self.request).is_err())
        self.versions.observe.assert_not_called()
