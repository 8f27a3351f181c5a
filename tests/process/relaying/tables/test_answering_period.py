import math
import unittest

from boragedeck.process.relaying.tables.answering_period import (
    MAX_GAP_S,
    AnsweringPeriod,
)


class AnsweringPeriodTest(unittest.TestCase):
    def setUp(self):
        self.period = AnsweringPeriod()

    def test_nothing_is_known_at_first(self):
        self.assertEqual(self.period.until, -math.inf)

    def test_what_others_have_heard_is_joined(self):
        self.period.extend(10.0, 20.0)
        self.period.extend(20.0 + MAX_GAP_S, 23.0)
        self.assertEqual((self.period.since, self.period.until), (10.0, 23.0))

    def test_failure_longer_than_the_gap_begins_a_new_period(self):
        self.period.extend(10.0, 20.0)
        self.period.extend(20.1 + MAX_GAP_S, 23.0)
        self.assertEqual(self.period.since, 20.1 + MAX_GAP_S)

    def test_router_that_never_lost_the_store_tells_of_the_time_between(self):
        self.period.extend(10.0, 20.0)
        self.period.extend(25.0, 25.5)
        self.period.extend(5.0, 26.0)
        self.assertEqual(self.period.since, 5.0)

    def test_router_that_last_heard_the_store_long_ago_tells_nothing(self):
        self.period.extend(25.0, 26.0)
        self.period.extend(5.0, 20.0)
        self.assertEqual((self.period.since, self.period.until), (25.0, 26.0))

    def test_restored_store_begins_a_period_that_joins_none_before(self):
        self.period.extend(10.0, 20.0)
        self.period.restart(20.5)
        self.period.extend(5.0, 21.0)
        self.assertEqual((self.period.since, self.period.until), (20.5, 21.0))
