import random
import unittest

from result import Err, Ok

from boragedeck.connection.store import Change, Changes, Table
from boragedeck.exceptions import PeerUnreachableError, StoreUnavailableError
from boragedeck.interfaces import Member
from boragedeck.process.relaying.fleet.hubs import Hubs, hubs_for
from boragedeck.process.relaying.tables.mirror_messages import (
    FetchTable,
    TablePart,
    pack,
)
from boragedeck.process.relaying.tables.shared_feed import (
    AVOID_FAILED_HUB_S,
    FLEET_RETRIES_PER_S,
    STORE_SILENCE_SLACK_S,
    WAIT_SHARE,
    SharedFeed,
)
from boragedeck.process.timers import ManualTimers
from tests.support.replicas import BOUNDS

ROUTING = Table.ROUTING
UPDATE = Changes((Change("k", b"1", 6),), 6)
SNAPSHOT = Changes((Change("k", b"1", 6),), 6, True)
WAIT_S = WAIT_SHARE * BOUNDS.config_apply_s
NOT_CURRENT = Ok(TablePart(None, False))
UNREACHABLE = Err(PeerUnreachableError("silent"))
STORE_DOWN = Err(StoreUnavailableError("503"))


def fleet(count, domains=3):
    return [
        Member(f"r{number}", f"v{number}", f"d{number % domains}", f"a{number}")
        for number in range(count)
    ]


class Store:
    def __init__(self):
        self.waits = []
        self.snapshots = 0
        self.answer = Ok(Changes((), 5))

    def snapshot(self, table, timeout_s):
        self.snapshots += 1
        return self.answer

    def changes(self, table, after, wait_s, slack_s=0.5):
        self.waits.append(wait_s)
        return self.answer


class Links:
    def __init__(self):
        self.asked = []
        self.answer = Ok(TablePart(None, True, age_s=0.0, counts_eras=True))
        self.answers = {}

    def link(self, address):
        self.address = address
        return self

    def call(self, message, answer_type, timeout_s):
        self.asked.append((self.address, message))
        return self.answers.get(self.address, self.answer)


class FixedMembership:
    def __init__(self, own, members):
        self.own, self._members = own, members

    def members(self):
        return self._members

    def routers(self):
        return 1 + len(self._members)


class SharedFeedTestCase(unittest.TestCase):
    def setUp(self):
        self.timers, self.store, self.links = ManualTimers(), Store(), Links()
        self.everyone = fleet(30)
        self.follower, self.reader = None, None
        for own in self.everyone:
            rest = [member for member in self.everyone if member != own]
            if hubs_for(own, rest):
                self.follower = own
                self.hub_addresses = [member.address for member in hubs_for(own, rest)]
            else:
                self.reader = own
        self.follower_feed = self.feed(self.follower)
        self.hub_feed = self.feed(self.reader)

    def feed(self, own, members=None, seeds=(), number=1):
        if members is None:
            members = [member for member in self.everyone if member != own]
        everyone = FixedMembership(own, members)
        return SharedFeed(
            self.store,
            self.timers,
            random.Random(number),
            self.links,
            everyone,
            Hubs(self.timers, everyone),
            lambda: seeds,
            lambda: BOUNDS,
        )

    def addresses(self):
        return [address for address, _ in self.links.asked]


class SharedFeedTest(SharedFeedTestCase):
    def test_follower_reads_from_the_hub_of_its_domain(self):
        self.links.answer = Ok(
            TablePart(pack(UPDATE), True, age_s=0.0, counts_eras=True)
        )
        self.assertEqual(self.follower_feed.changes(ROUTING, 5, 4.0), Ok(UPDATE))
        address, query = self.links.asked[0]
        self.assertEqual(address, self.hub_addresses[0])
        self.assertEqual((query.table, query.after), (ROUTING, 5))
        self.assertIsInstance(query, FetchTable)
        self.assertEqual(self.store.waits, [])

    def test_hub_limits_how_long_the_store_may_wait(self):
        self.hub_feed.changes(ROUTING, 5, 4.0)
        self.assertEqual(self.store.waits, [WAIT_S])
        self.assertEqual(self.links.asked, [])

    def test_follower_of_a_dead_hub_asks_the_next_at_once(self):
        self.links.answers = {self.hub_addresses[0]: UNREACHABLE}
        self.links.answer = Ok(
            TablePart(pack(UPDATE), True, age_s=0.0, counts_eras=True)
        )
        self.assertEqual(self.follower_feed.changes(ROUTING, 5, 4.0), Ok(UPDATE))
        self.assertEqual(self.addresses(), self.hub_addresses[:2])
        self.assertEqual(self.links.asked[1][1].wait_s, 0.0)
        self.assertEqual(self.store.waits, [])

    def test_follower_of_a_hub_cut_off_from_the_store_asks_the_next(self):
        self.links.answers = {self.hub_addresses[0]: NOT_CURRENT}
        self.links.answer = Ok(
            TablePart(pack(UPDATE), True, age_s=0.0, counts_eras=True)
        )
        self.assertEqual(self.follower_feed.changes(ROUTING, 5, 4.0), Ok(UPDATE))
        self.assertEqual(self.store.waits, [])

    def test_failed_hub_is_asked_last_for_a_while(self):
        self.links.answers = {self.hub_addresses[0]: UNREACHABLE}
        self.follower_feed.changes(ROUTING, 5, 4.0)
        self.follower_feed.changes(ROUTING, 5, 4.0)
        self.assertEqual(self.addresses()[-1], self.hub_addresses[1])
        self.links.answers = {}
        self.timers.advance(AVOID_FAILED_HUB_S + 0.1)
        self.follower_feed.changes(ROUTING, 5, 4.0)
        self.assertEqual(self.addresses()[-1], self.hub_addresses[0])

    def test_router_that_reaches_no_hub_reads_the_store_at_once(self):
        self.links.answer = UNREACHABLE
        self.assertTrue(self.follower_feed.changes(ROUTING, 5, 4.0).is_ok())
        self.assertEqual(len(self.store.waits), 1)

    def test_retries_of_the_whole_fleet_have_a_bounded_rate(self):
        self.links.answer, self.store.answer = NOT_CURRENT, STORE_DOWN
        feeds = [self.feed(own, number=n) for n, own in enumerate(self.everyone)]
        feeds = [feed for feed in feeds if feed._hubs_to_ask()]
        seconds, step_s = 20.0, 0.1
        for _ in range(int(seconds / step_s)):
            for feed in feeds:
                self.assertTrue(feed.changes(ROUTING, 5, 4.0).is_err())
            self.timers.advance(step_s)
        self.assertLessEqual(len(self.store.waits), FLEET_RETRIES_PER_S * seconds)
        self.assertGreater(len(self.store.waits), 0)

    def test_router_retries_the_store_in_time_if_no_hub_is_current(self):
        self.links.answer = NOT_CURRENT
        mean_s = len(self.everyone) / FLEET_RETRIES_PER_S
        result = self.follower_feed.changes(ROUTING, 5, 4.0)
        waited_s = 0.0
        while result.is_err():
            # A follower's pause between calls is 1 s at most.
            self.timers.advance(1.0)
            waited_s += 1.0
            result = self.follower_feed.changes(ROUTING, 5, 4.0)
        self.assertLessEqual(waited_s, mean_s + 1.0)

    def test_only_an_answer_of_the_store_itself_is_current(self):
        self.follower_feed.changes(ROUTING, 5, 4.0)
        self.assertFalse(self.follower_feed.is_current(ROUTING))
        self.hub_feed.changes(ROUTING, 5, 4.0)
        self.assertTrue(self.hub_feed.is_current(ROUTING))
        self.timers.advance(WAIT_S + STORE_SILENCE_SLACK_S + 0.1)
        self.assertFalse(self.hub_feed.is_current(ROUTING))
        self.store.answer = STORE_DOWN
        self.hub_feed.changes(ROUTING, 5, 4.0)
        self.assertFalse(self.hub_feed.is_current(ROUTING))

    def test_follower_detects_a_cut_off_hub_before_changes_are_due(self):
        # The time since the hub's last answer from the store, up to its timeout, then
        # the follower's call and a question to the next hub.
        worst_s = WAIT_S + STORE_SILENCE_SLACK_S + WAIT_S
        self.assertLess(worst_s, BOUNDS.config_apply_s)


class AgeTest(SharedFeedTestCase):
    def age_s(self, part):
        self.links.answer = Ok(part)
        return self.follower_feed.changes(ROUTING, 5, 4.0).ok().age_s

    def test_changes_are_as_old_as_the_hub_says(self):
        part = TablePart(pack(UPDATE), True, age_s=0.4)
        self.assertAlmostEqual(self.age_s(part), 0.4)

    def test_unchanged_table_is_as_old_as_the_hub_says(self):
        self.assertAlmostEqual(self.age_s(TablePart(None, True, age_s=0.4)), 0.4)

    def test_hub_that_says_no_age_is_as_old_as_a_current_one_can_be(self):
        limit_s = WAIT_S + STORE_SILENCE_SLACK_S
        self.assertAlmostEqual(self.age_s(TablePart(pack(UPDATE), True)), limit_s)

    def test_changes_from_the_store_are_new(self):
        self.assertEqual(self.hub_feed.changes(ROUTING, 5, 4.0).ok().age_s, 0.0)


class SnapshotTest(SharedFeedTestCase):
    def starting(self, own, seeds):
        return self.feed(own, members=[], seeds=seeds)

    def test_starting_router_takes_the_table_from_a_seed(self):
        self.links.answer = Ok(
            TablePart(pack(SNAPSHOT), True, age_s=0.0, counts_eras=True)
        )
        feed = self.starting(self.everyone[4], ["a0", "a1"])
        self.assertEqual(feed.snapshot(ROUTING), Ok(SNAPSHOT))
        self.assertEqual(self.store.snapshots, 0)

    def test_starting_seed_reads_the_store(self):
        feed = self.starting(self.everyone[0], ["a0", "a1"])
        feed.snapshot(ROUTING)
        self.assertEqual((self.store.snapshots, self.links.asked), (1, []))

    def test_starting_router_without_a_seed_that_answers_reads_the_store(self):
        for answer in (
            UNREACHABLE,
            NOT_CURRENT,
            Ok(TablePart(None, True, age_s=0.0, counts_eras=True)),
        ):
            self.links.answer = answer
            self.store.snapshots = 0
            feed = self.starting(self.everyone[4], ["a0", "a1"])
            self.links.asked.clear()
            self.assertTrue(feed.snapshot(ROUTING).is_ok())
            self.assertEqual(self.store.snapshots, 1)
            self.assertEqual(len(self.links.asked), 1)

    def test_follower_takes_the_whole_table_from_a_hub(self):
        self.links.answer = Ok(
            TablePart(pack(SNAPSHOT), True, age_s=0.0, counts_eras=True)
        )
        self.assertEqual(self.follower_feed.snapshot(ROUTING), Ok(SNAPSHOT))
        self.assertEqual(self.store.snapshots, 0)
