import unittest

from hypothesis import given
from hypothesis import strategies as st

from boragedeck.process.placing.load import LoadEstimate, LoadReport


class LoadEstimateTest(unittest.TestCase):
    def test_only_changes_after_the_measurement_correct_a_report(self):
        load = LoadEstimate()
        load.record_start(1.0)
        load.record_start(3.0)
        load.record_start(4.0)
        load.record_end(4.5)
        load.apply_report(LoadReport(10, 2), measured_at=2.0)
        self.assertEqual(load.total(5.0), 13)

    def test_older_report_is_ignored(self):
        load = LoadEstimate()
        self.assertTrue(load.apply_report(LoadReport(5, 0), measured_at=2.0))
        self.assertFalse(load.apply_report(LoadReport(9, 0), measured_at=1.0))
        self.assertEqual(load.total(2.0), 5)

    def test_peer_changes_since_the_report_count_once(self):
        load = LoadEstimate()
        load.set_peer_counts({"r1": 4}, 1.0)
        load.apply_report(LoadReport(4, 0), measured_at=2.0)
        load.set_peer_counts({"r1": 7}, 3.0)
        load.set_peer_counts({"r1": 7}, 4.0)
        self.assertEqual(load.total(4.0), 7)

    def test_stale_report_is_replaced_by_the_requests_in_flight(self):
        load = LoadEstimate()
        load.apply_report(LoadReport(40, 0), measured_at=0.0)
        load.record_start(1.0)
        load.set_peer_counts({"r1": 2}, 1.0)
        self.assertEqual(load.total(60.0), 3)

    @given(st.lists(st.tuples(st.booleans(), st.floats(0, 10)), max_size=40))
    def test_estimate_is_exact_for_one_router_with_a_true_report(self, steps):
        load, own, at_report = LoadEstimate(), 0, 0
        for starts, at in sorted(steps, key=lambda step: step[1]):
            if starts or own == 0:
                load.record_start(at)
                own += 1
            else:
                load.record_end(at)
                own -= 1
            if at <= 5.0:
                at_report = own
        load.apply_report(LoadReport(at_report, 0), measured_at=5.0)
        self.assertEqual(load.total(10.0), own)
