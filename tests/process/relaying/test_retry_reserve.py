import unittest

from boragedeck.process.relaying.hubs import Hubs
from boragedeck.process.relaying.retry_reserve import RetryReserve
from boragedeck.process.relaying.retry_share import USABLE_SHARE, RetryShare
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.test_load_exchange import Members, Network, Server
from tests.support.replicas import BOUNDS

ROUTERS = 195
DOMAINS = 5


class RetryReserveTest(unittest.TestCase):
    """Routers with one stream each, before the loss of a failure domain."""

    def setUp(self):
        self.timers, self.net = ManualTimers(), Network()
        names = [f"r{number}" for number in range(ROUTERS)]
        self.shares, self.hubs = {}, {}
        for name in names:
            members = Members(names, name, DOMAINS)
            hubs = self.hubs[name] = Hubs(self.timers, members)
            server = Server(self.net, name)
            reserve = RetryReserve(
                self.timers, lambda: BOUNDS, USABLE_SHARE, hubs, self.net, server
            )
            self.shares[name] = RetryShare(
                self.timers, lambda: BOUNDS, lambda: ROUTERS, reserve
            )
        self.non_hubs = [name for name in names if not self.hubs[name].is_hub()]

    def taken(self, names, each):
        return sum(self.shares[name].take("p") for name in names for _ in range(each))

    def test_reserve_covers_streams_lost_twice_at_routers_with_few_requests(self):
        for share in self.shares.values():
            share.note_request("p")
        lost = self.non_hubs[::7]
        self.assertEqual(self.taken(lost, 2), 2 * len(lost))

    def test_all_routers_together_stay_within_the_bound(self):
        for share in self.shares.values():
            share.note_request("p")
        bound = BOUNDS.retry_ratio * ROUTERS + BOUNDS.retry_extra
        self.assertLessEqual(self.taken(self.shares, 3), bound)

    def test_reserve_refills_as_the_window_slides(self):
        first = self.taken(self.non_hubs, 3)
        self.assertEqual(self.taken(self.non_hubs, 1), 0)
        self.timers.advance(BOUNDS.retry_window_s + 0.1)
        self.assertEqual(self.taken(self.non_hubs, 3), first)

    def test_router_whose_hub_is_dead_takes_from_another(self):
        first = self.non_hubs[0]
        self.net.dead.add(self.hubs[first].serving_hubs()[0].address)
        self.assertTrue(self.shares[first].take("p"))

    def test_router_without_live_hubs_repeats_what_its_own_requests_allow(self):
        first = self.non_hubs[0]
        self.net.dead |= {hub.address for hub in self.hubs[first].serving_hubs()}
        self.assertFalse(self.shares[first].take("p"))
        for _ in range(10):
            self.shares[first].note_request("p")
        self.assertTrue(self.shares[first].take("p"))
