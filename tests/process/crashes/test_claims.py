import unittest

from boragedeck.process.crashes.claims import Claim, ClaimTable
from boragedeck.process.timers import ManualTimers


class ClaimTableTest(unittest.TestCase):
    """Claims of a router that is suspected of failure don't block exclusive claims."""

    def setUp(self):
        self.silent = set()
        self.table = ClaimTable(ManualTimers(), self.silent.__contains__)
        self.table.claim(Claim("run/f", "dead/1", False, 30.0))

    def is_granted(self, holder):
        claim = Claim("run/f", holder, True, 1.5, ("pool/u1",))
        return self.table.claim(claim).is_granted

    def test_claim_of_a_live_router_blocks_others(self):
        self.assertFalse(self.is_granted("next"))

    def test_claim_of_a_suspected_router_is_dropped(self):
        self.silent.add("dead")
        self.assertTrue(self.is_granted("next"))
        self.assertFalse(self.is_granted("another"))
