import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

from scripts.table_changes import Change
from scripts.whole_answers import Play, Request, WholeAnswers, time_over
from standins.relay_replica import RelayReplica, RelayRun

SEED = 7
STOP = 100.0
LAST_SIXTH = STOP + 8.0 * 5 / 6
CALLERS = 6, 3
ONCE_ROUTES = "stream", "once"


class WholeAnswersTest(unittest.TestCase):
    def test_stop_and_moved_routes_end_no_answer_during_a_silence(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        check = WholeAnswers(Path(directory.name), SEED, CALLERS)
        self.addCleanup(check.stop)
        counts = check.run(Play(Change.MOVED, 1.0, has_stop=True, has_hup=True))
        self.assertEqual(check.faults, [])
        for route in ONCE_ROUTES:
            self.assertGreater(counts[route, "whole"], 0)


class TimeOverTest(unittest.TestCase):
    def request(self, status):
        return Request(
            "id-1", 0, "stream", True, False, 10.0, 3.0, last_sent=11.2, status=status
        )

    def test_begun_stream_may_be_cut_before_the_time_that_counts_from_its_last_byte(
        self,
    ):
        for status in (0, 200):
            self.assertAlmostEqual(time_over(self.request(status)), 14.2)

    def test_final_answer_of_a_router_counts_as_a_fault_though_it_is_due(self):
        self.assertAlmostEqual(time_over(self.request(504)), 12.9)

    def test_lowered_timeout_of_a_route_counts_from_the_first_byte(self):
        self.assertAlmostEqual(time_over(self.request(200), 2.5), 13.7)
        self.assertAlmostEqual(time_over(self.request(502), 2.5), 12.4)


class Stopped(WholeAnswers):
    """Verdicts on requests at a router that was told to stop, without a cluster."""

    def __init__(self, runs):
        replica = RelayReplica("engine-1")
        replica.runs += runs
        self._cluster = SimpleNamespace(engines={"engine-1": (replica, None, None)})
        self._stops = {0: STOP}
        self._changed_at = STOP - 3.0


class VerdictTest(unittest.TestCase):
    def expect(self, verdict, *runs, change=Change.NONE, **fields):
        """Judge a request that is cut in the last sixth of the stop."""
        times = {"sent": STOP, "last_sent": STOP, "ended": STOP + 7.6}
        names = {"name": "id-1", "router": 0, "route": "stream"}
        kinds = {"is_chunked": False, "is_kept": True}
        req = Request(**(names | kinds | times | fields))
        check = Stopped([RelayRun("id-1", *run) for run in runs])
        found = check._verdict(Play(change, 0.0, has_stop=True), req)
        self.assertEqual(found, verdict)

    def test_request_at_work_in_the_last_sixth_is_excused(self):
        self.expect("excused", (STOP + 0.1,), status=200)

    def test_request_that_ran_nowhere_is_not(self):
        self.expect("CUT UNANSWERED")

    def test_request_that_its_replica_had_ended_is_not(self):
        self.expect("CUT", (STOP + 0.1, LAST_SIXTH - 0.1), status=200)

    def test_request_that_was_sent_late_is_not(self):
        self.expect("CUT", (STOP + 3.2,), status=200, sent=STOP + 3.1)

    def test_request_crosses_the_close(self):
        self.expect("crossed", ended=STOP + 0.2)
        self.expect("CUT UNANSWERED", ended=STOP + 0.21)

    def test_stream_that_no_table_in_force_lets_resume_ran_twice(self):
        runs = (STOP - 3.0,), (STOP,)
        fields = {"route": "resume", "change": Change.ATTEMPTS, "status": 200}
        fields |= {"is_whole": True}
        self.expect("whole", *runs, sent=STOP - 1.1, **fields)
        self.expect("TWICE", *runs, sent=STOP - 0.9, **fields)
        fields["route"] = "stream"
        self.expect("whole", *runs, **fields)
        self.expect("TWICE", *runs, ended=STOP - 3.1, **fields)
