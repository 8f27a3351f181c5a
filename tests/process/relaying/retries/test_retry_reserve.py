import unittest
from functools import partial

import msgspec

from boragedeck.ids import Health
from boragedeck.process.relaying.fleet.fleet_size import FleetSize, reachable_share
from boragedeck.process.relaying.fleet.hubs import CACHE_TTL_S, Hubs
from boragedeck.process.relaying.retries.retry_reserve import RetryReserve
from boragedeck.process.relaying.retries.retry_share import USABLE_SHARE, RetryShare
from boragedeck.process.timers import ManualTimers
from tests.process.relaying.loads.test_load_exchange import Members, Network, Server
from tests.support.replicas import BOUNDS

ROUTERS = 195
DOMAINS = 5


class SplitMembers(Members):
    """Members of which some are unreachable."""

    def __init__(self, names, own, domains):
        super().__init__(names, own, domains)
        self.unreachable = set()

    def members(self):
        """See `Membership.members`."""
        return [
            msgspec.structs.replace(each, health=Health.SUSPECT)
            if each.router in self.unreachable
            else each
            for each in super().members()
        ]


class RetryReserveTest(unittest.TestCase):
    """Routers with one stream each, before the loss of a failure domain."""

    def setUp(self):
        self.timers, self.net = ManualTimers(), Network()
        names = [f"r{number}" for number in range(ROUTERS)]
        self.shares, self.hubs, self.members = {}, {}, {}
        for name in names:
            members = self.members[name] = SplitMembers(names, name, DOMAINS)
            size = FleetSize(self.timers, members.routers)
            hubs = self.hubs[name] = Hubs(self.timers, members)
            server = Server(self.net, name)
            reserve = RetryReserve(
                self.timers,
                lambda: BOUNDS,
                partial(self.usable_share, members, size),
                hubs,
                self.net,
                server,
            )
            self.shares[name] = RetryShare(self.timers, lambda: BOUNDS, size, reserve)
        self.non_hubs = [name for name in names if not self.hubs[name].is_hub()]

    def usable_share(self, members, size):
        return USABLE_SHARE * reachable_share(members, size)

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

    def test_both_sides_of_a_split_network_use_the_whole_reserve(self):
        sides = [set(self.shares) - self.domains("d0", "d1")]
        sides.append(set(self.shares) - sides[0])
        for side in sides:
            for name in side:
                self.members[name].unreachable = set(self.shares) - side
        self.timers.advance(CACHE_TTL_S)
        bound = BOUNDS.retry_extra
        taken = self.taken(self.non_hubs, 3)
        self.assertLessEqual(taken, bound)
        self.assertGreaterEqual(taken, 0.7 * bound)

    def domains(self, *names):
        own = {name: each.own.failure_domain for name, each in self.members.items()}
        return {name for name, domain in own.items() if domain in names}

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
