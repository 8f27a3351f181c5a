import unittest

import msgspec

from boragedeck.ids import Health
from boragedeck.interfaces import Member
from boragedeck.process.relaying.fleet.hubs import (
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

    def test_all_routers_choose_the_same_hubs(self):
        everyone = fleet(60, 5)
        hubs = choose_hubs(everyone)
        for own in everyone:
            hubs_to_ask = hubs_for(own, others(own, everyone))
            if own in hubs:
                self.assertEqual(hubs_to_ask, [])
            else:
                self.assertEqual(set(hubs_to_ask), set(hubs))

    def test_hub_of_own_domain_is_first_and_others_are_spread(self):
        everyone = fleet(100, 5)
        second_hubs = set()
        for own in everyone:
            hubs_to_ask = hubs_for(own, others(own, everyone))
            if hubs_to_ask:
                self.assertEqual(hubs_to_ask[0].failure_domain, own.failure_domain)
                second_hubs.add(hubs_to_ask[1].router)
        self.assertEqual(len(second_hubs), 5)

    def test_small_fleet_has_no_hubs(self):
        own, *rest = fleet(MIN_ROUTERS_FOR_HUBS - 1, 3)
        self.assertEqual(hubs_for(own, rest), [])

    def test_suspect_and_leaving_routers_are_no_hubs(self):
        everyone = fleet(30, 3)
        first = choose_hubs(everyone)[0]
        for health in (Health.SUSPECT, Health.LEAVING):
            changed = msgspec.structs.replace(first, health=health)
            rest = others(first, everyone)
            hubs_to_ask = hubs_for(rest[0], [changed, *rest[1:]])
            self.assertNotIn(first.router, [member.router for member in hubs_to_ask])
            if health is Health.LEAVING:
                self.assertTrue(hubs_for(changed, rest))

    def test_loss_of_a_hub_replaces_only_that_hub(self):
        everyone = fleet(60, 5)
        hubs = choose_hubs(everyone)
        remaining_hubs = choose_hubs(others(hubs[0], everyone))
        self.assertEqual(len(set(remaining_hubs) - set(hubs)), 1)

    def test_vms_with_most_capacity_are_hubs(self):
        everyone = fleet(60, 5)
        for number in (7, 13, 24):
            everyone[number] = msgspec.structs.replace(everyone[number], capacity=8.0)
        hubs = {hub.router for hub in choose_hubs(everyone)}
        self.assertEqual(len(hubs & {"r7", "r13", "r24"}), 3)


class FixedMembership:
    """A membership with constant members."""

    def __init__(self, own, others):
        self.own, self._others = own, others

    def members(self):
        return self._others


class HubsTest(unittest.TestCase):
    def hubs_seen_by(self, own, everyone):
        return Hubs(ManualTimers(), FixedMembership(own, others(own, everyone)))

    def test_each_router_is_a_hub_or_is_served_by_hubs(self):
        everyone = fleet(40, 4)
        hubs = choose_hubs(everyone)
        for own in everyone:
            own_view = self.hubs_seen_by(own, everyone)
            self.assertEqual(own_view.is_hub(), own in hubs)
            self.assertEqual(bool(own_view.serving_hubs()), own not in hubs)
            peer_hubs = [hub for hub in hubs if hub != own] if own in hubs else []
            self.assertEqual(own_view.peer_hubs(), peer_hubs)

    def test_no_router_is_a_hub_if_too_few_are_healthy(self):
        everyone = fleet(MIN_ROUTERS_FOR_HUBS + 2, 3)
        for number in range(5):
            changed = msgspec.structs.replace(everyone[number], health=Health.SUSPECT)
            everyone[number] = changed
        for own in everyone[5:]:
            own_view = self.hubs_seen_by(own, everyone)
            self.assertFalse(own_view.is_hub())
            self.assertEqual((own_view.serving_hubs(), own_view.peer_hubs()), ([], []))
