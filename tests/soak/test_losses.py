import unittest

import msgspec

from soak.history import Impairment
from soak.losses import Ending, crosses_close, is_excused

STOP = 100.0
LAST_SIXTH = STOP + 8.0 * 5 / 6
CUT = STOP + 7.6


class Run(msgspec.Struct):
    began: float
    ended: float = float("inf")
    broke_off: bool = False


class ExcuseTest(unittest.TestCase):
    def ending(self, **fields):
        """Return a request sent before the SIGTERM and cut in the last sixth."""
        times = {"sent": STOP - 1.0, "sent_whole": STOP - 0.9}
        return Ending(**(times | {"over": STOP + 20.0, "ended": CUT} | fields))

    def expect(self, is_expected, runs=(), stops=(STOP,), impairments=(), **fields):
        found = is_excused(self.ending(**fields), runs, stops, impairments)
        self.assertIs(found, is_expected)


class StopTest(ExcuseTest):
    def test_run_at_work_may_be_cut(self):
        self.expect(True, [Run(STOP)])

    def test_request_that_ran_nowhere_may_not_be_cut(self):
        self.expect(False)

    def test_run_that_ended_in_the_last_sixth_was_at_work(self):
        self.expect(True, [Run(STOP, LAST_SIXTH + 0.01)])

    def test_run_that_ended_before_the_last_sixth_was_not(self):
        self.expect(False, [Run(STOP, LAST_SIXTH - 0.01)])

    def test_run_that_began_in_the_last_sixth_was_at_work(self):
        self.expect(True, [Run(LAST_SIXTH + 0.1)])

    def test_run_that_began_after_the_end_was_not(self):
        self.expect(False, [Run(CUT + 0.1)])

    def test_end_before_the_last_sixth_is_not_excused(self):
        self.expect(False, [Run(STOP)], ended=LAST_SIXTH - 0.01)

    def test_end_up_to_a_second_after_the_time_is_excused(self):
        self.expect(True, [Run(STOP)], ended=STOP + 9.0)
        self.expect(False, [Run(STOP)], ended=STOP + 9.01)

    def test_request_may_be_sent_up_to_three_seconds_after_the_signal(self):
        self.expect(True, [Run(STOP + 3.1)], sent=STOP + 3.0)
        self.expect(False, [Run(STOP + 3.1)], sent=STOP + 3.1)

    def test_router_that_was_not_told_to_stop(self):
        self.expect(False, [Run(STOP)], stops=())


class LimitTest(ExcuseTest):
    def test_end_at_the_time_limit(self):
        self.expect(True, stops=(), over=CUT)

    def test_end_just_before_the_time_limit(self):
        self.expect(False, stops=(), over=CUT + 0.001)


class BrokenRunTest(ExcuseTest):
    def test_replica_broke_off(self):
        self.expect(True, [Run(STOP, STOP + 1.0, True)], ended=STOP + 1.1)

    def test_replica_broke_off_after_the_end(self):
        self.expect(False, [Run(STOP, STOP + 1.2, True)], ended=STOP + 1.1)

    def test_another_run_was_at_work_after_it(self):
        runs = [Run(STOP, STOP + 1.0, True), Run(STOP, STOP + 1.05)]
        self.expect(False, runs, ended=STOP + 1.1)

    def test_replica_that_did_not_break_off(self):
        self.expect(False, [Run(STOP, STOP + 1.0)], ended=STOP + 1.1)


class ImpairmentTest(ExcuseTest):
    def impaired(self, begin, end):
        return {"stops": (), "impairments": [Impairment(begin, end)]}

    def test_impairment_up_to_three_seconds_before_the_request(self):
        self.expect(True, **self.impaired(STOP - 9.0, STOP - 4.0))
        self.expect(False, **self.impaired(STOP - 9.0, STOP - 4.01))

    def test_impairment_until_the_end(self):
        self.expect(True, **self.impaired(CUT, CUT + 1.0))
        self.expect(False, **self.impaired(CUT + 0.01, CUT + 1.0))


class CrossingTest(ExcuseTest):
    def test_end_up_to_the_slack_after_the_last_byte(self):
        self.expect_crossing(True, ended=STOP - 0.701)
        self.expect_crossing(False, ended=STOP - 0.69)

    def test_request_that_was_passed_on(self):
        self.expect_crossing(False, is_passed_on=True, ended=STOP - 0.8)

    def test_request_that_was_not_sent_whole(self):
        self.expect_crossing(True, sent_whole=float("inf"))

    def expect_crossing(self, is_expected, *, is_passed_on=False, **fields):
        ending = self.ending(**fields)
        self.assertIs(crosses_close(ending, is_passed_on=is_passed_on), is_expected)
