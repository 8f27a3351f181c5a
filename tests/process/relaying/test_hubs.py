import unittest

import msgspec

from boragedeck.ids import Health
from boragedeck.interfaces import Member
from boragedeck.process.relaying.hubs import (
    MIN_HUBS,
    MIN_ROUTERS_FOR_HUBS,
    Hubs,
    choose_hubs,
    hubs_for,
)
from boragedeck.process.timers import ManualTimers


def fleet(count, domains):
    return [
        Member(f"r{number}", f"v{number}", f"d{number % domains}", f"a{number}")
        for number in range(count)
    ]


def others(own, everyone):
    return [member for member in everyone if member != own]


class ChooseHubsTest(unittest.TestCase):
    def test_number_of_hubs_grows_with_domains_and_not_with_routers(self):
        for count in (20, 100, 370):
            for domains in (1, 2, 3, 5, 17):
                hubs = choose_hubs(fleet(count, domains))
                self.assertLessEqual(len(hubs), max(domains, MIN_HUBS + 1))
                self.assertGreaterEqual(len(hubs), MIN_HUBS)
                found = {member.failure_domain for member in hubs}
                self.assertEqual(len(found), domains)

    def test_all_routers_choose_the_same(self):
        everyone = fleet(60, 5)
        hubs = choose_hubs(everyone)
        for own in everyone:
            asked = hubs_for(own, others(own, everyone))
            if own in hubs:
                self.assertEqual(asked, [])
            else:
                self.assertEqual(set(asked), set(hubs))

    def test_own_domain_first_and_the_rest_spread(self):
        everyone = fleet(100, 5)
        second = set()
        for own in everyone:
            asked = hubs_for(own, others(own, everyone))
            if asked:
                self.assertEqual(asked[0].failure_domain, own.failure_domain)
                second.add(asked[1].router)
        self.assertEqual(len(second), 5)

    def test_small_fleet_has_none(self):
        own, *rest = fleet(MIN_ROUTERS_FOR_HUBS - 1, 3)
        self.assertEqual(hubs_for(own, rest), [])

    def test_suspects_and_leaving_routers_are_none(self):
        everyone = fleet(30, 3)
        first = choose_hubs(everyone)[0]
        for health in (Health.SUSPECT, Health.LEAVING):
            changed = msgspec.structs.replace(first, health=health)
            rest = others(first, everyone)
            asked = hubs_for(rest[0], [changed, *rest[1:]])
            self.assertNotIn(first.router, [member.router for member in asked])
            if health is Health.LEAVING:
                self.assertTrue(hubs_for(changed, rest))

    def test_loss_of_a_hub_moves_only_its_own_place(self):
        everyone = fleet(60, 5)
        hubs = choose_hubs(everyone)
        left = choose_hubs(others(hubs[0], everyone))
        self.assertEqual(len(set(left) - set(hubs)), 1)

    def test_vms_with_most_capacity_are_hubs(self):
        everyone = fleet(60, 5)
        for number in (7, 13, 24):
            everyone[number] = msgspec.structs.replace(everyone[number], capacity=8.0)
        hubs = {hub.router for hub in choose_hubs(everyone)}
        self.assertEqual(len(hubs & {"r7", "r13", "r24"}), 3)


class Everyone:
    """A membership that doesn't change."""

    def __init__(self, own, others):
        self.own, self._others = own, others

    def members(self):
        return self._others


class HubsTest(unittest.TestCase):
    def seen_by(self, own, everyone):
        return Hubs(ManualTimers(), Everyone(own, others(own, everyone)))

    def test_each_router_is_a_hub_or_has_hubs_above_it(self):
        everyone = fleet(40, 4)
        hubs = choose_hubs(everyone)
        for own in everyone:
            seen = self.seen_by(own, everyone)
            self.assertEqual(seen.is_hub(), own in hubs)
            self.assertEqual(bool(seen.serving_hubs()), own not in hubs)
            peer_hubs = [hub for hub in hubs if hub != own] if own in hubs else []
            self.assertEqual(seen.peer_hubs(), peer_hubs)

    def test_no_router_is_a_hub_where_too_few_are_healthy(self):
        everyone = fleet(MIN_ROUTERS_FOR_HUBS + 2, 3)
        for number in range(5):
            changed = msgspec.structs.replace(everyone[number], health=Health.SUSPECT)
            everyone[number] = changed
        for own in everyone[5:]:
            seen = self.seen_by(own, everyone)
            self.assertFalse(seen.is_hub())
            self.assertEqual((seen.serving_hubs(), seen.peer_hubs()), ([], []))
