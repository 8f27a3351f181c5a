import unittest

from boragedeck.connection.exchange import DEFAULT_IDLE_S
from boragedeck.process.relaying.paths.path_composition import forward_limits
from boragedeck.version.routing import CallerLimits


class ForwardLimitsTest(unittest.TestCase):
    def test_lower_limits_of_the_gateway_refuse_what_its_sender_has_accepted(self):
        accepted = CallerLimits()
        lowered = CallerLimits(header_bytes=1_000, body_bytes=1_000)
        limits = forward_limits(lowered)
        self.assertGreater(limits.header_bytes, accepted.header_bytes)
        self.assertGreaterEqual(limits.body_bytes, accepted.body_bytes)

    def test_higher_limits_hold_for_forwarded_requests(self):
        limits = forward_limits(CallerLimits(body_bytes=64 * 1024 * 1024))
        self.assertEqual(limits.body_bytes, 64 * 1024 * 1024)

    def test_lower_idle_timeout_closes_connections_that_a_sender_may_reuse(self):
        limits = forward_limits(CallerLimits(idle_timeout_s=0.3))
        self.assertGreater(limits.idle_timeout_s, DEFAULT_IDLE_S)
