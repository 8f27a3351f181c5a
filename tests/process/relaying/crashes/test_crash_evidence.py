import unittest

from boragedeck.process.relaying.crashes.crash_evidence import (
    CRASH_TTL_S,
    GATHER_S,
    MAX_CRASHES,
    MAX_SUSPECTS,
    CrashEvidence,
)
from boragedeck.process.relaying.crashes.crash_messages import (
    CrashSuspect,
    ReportCrash,
    part_signature,
    request_signature,
)
from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.timers import ManualTimers

POOL = "engines"


def begun(number, *parts):
    return CrashSuspect(f"fp-{number}", parts, True)


def waiting(number, *parts):
    return CrashSuspect(f"fp-{number}", parts, False)


class CrashEvidenceTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.evidence = CrashEvidence(self.timers)
        self.runs = 0

    def crash(self, *suspects, domain=None, run=None, age_s=0.0, after_s=1.0, **fields):
        self.runs += 1
        values = {"version": "v1", "is_only_version": True} | fields
        report = ReportCrash(
            run=Run(run or f"engine-{self.runs}", 1),
            pool=POOL,
            domain=domain or f"d{self.runs}",
            age_s=age_s,
            suspects=suspects,
            **values,
        )
        self.evidence.note_crash(report)
        self.timers.advance(after_s)

    def sound(self, *parts, age_s=0.0):
        for part in parts:
            self.evidence.note_sound(part_signature(POOL, part), age_s)

    def blamed_parts(self):
        return {each.parts for each in self.evidence.blamed() if each.parts}

    def blamed_requests(self):
        return {each.fingerprint for each in self.evidence.blamed()} - {""}

    def test_part_is_blamed_at_the_second_crash_under_another_request(self):
        self.crash(begun(1, "x"))
        self.assertEqual(self.blamed_parts(), set())
        self.crash(begun(2, "x"))
        self.assertEqual(self.blamed_parts(), {("x",)})
        self.assertEqual(self.blamed_requests(), set())

    def test_request_that_crashes_two_replicas_is_blamed_and_its_parts_are_not(self):
        self.crash(begun(1, "x"))
        self.crash(begun(1, "x"))
        self.assertEqual(self.blamed_requests(), {"fp-1"})
        self.assertEqual(self.blamed_parts(), set())

    def test_requests_that_wait_beside_a_begun_one_are_not_blamed(self):
        for number in range(8):
            self.crash(begun(number, "x"), waiting(100, "y"), waiting(101, "y"))
        self.assertEqual(self.blamed_parts(), {("x",)})
        self.assertEqual(self.blamed_requests(), set())

    def test_part_is_blamed_if_no_answer_had_begun_though_later(self):
        for number in range(4):
            self.assertEqual(self.blamed_parts(), set())
            others = [waiting(100 + 10 * number + i, f"o{number}{i}") for i in range(4)]
            self.crash(waiting(number, "x"), *others)
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_parts_that_always_occur_together_are_blamed_together(self):
        self.crash(begun(1, "a", "x"))
        self.crash(begun(2, "a", "x"))
        self.assertEqual(self.blamed_parts(), {("a", "x")})

    def test_first_part_is_free_once_a_sound_request_with_it_had_output(self):
        self.crash(begun(1, "a", "x"))
        self.crash(begun(2, "a", "x"))
        self.sound("a")
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_part_with_output_shortly_before_is_not_suspect_beside_an_unknown_one(self):
        self.sound("a", age_s=10.0)
        self.crash(begun(1, "a", "x"))
        self.crash(begun(2, "a", "x"))
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_part_that_becomes_deadly_after_output_is_blamed(self):
        self.sound("x", age_s=1.0)
        self.crash(begun(1, "x"))
        self.crash(begun(2, "x"))
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_different_first_parts_leave_the_deadly_one(self):
        self.crash(begun(1, "a", "x"))
        self.crash(begun(2, "b", "x"))
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_two_deadly_parts_are_blamed_apart(self):
        for number in range(3):
            self.crash(begun(number, "a", "x"))
            self.crash(begun(100 + number, "a", "y"))
        self.sound("a")
        self.assertEqual(self.blamed_parts(), {("x",), ("y",)})

    def test_crash_beside_a_blamed_part_counts_against_no_other(self):
        self.crash(begun(1, "x"), begun(11, "z"))
        self.crash(begun(2, "x"), begun(12, "z"))
        self.crash(begun(3, "x"))
        self.crash(begun(4, "x"))
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_reports_of_several_routers_on_one_crash_are_joined(self):
        self.crash(waiting(1, "y"), run="one", domain="a", after_s=0.1)
        self.crash(begun(2, "x"), run="one", domain="a")
        self.crash(begun(3, "x"), run="two", domain="b")
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_crash_counts_once_all_routers_had_time_to_report_it(self):
        self.crash(begun(1, "x"))
        self.crash(begun(2, "x"), after_s=0.5 * GATHER_S)
        self.assertEqual(self.blamed_parts(), set())
        self.timers.advance(GATHER_S)
        self.assertEqual(self.blamed_parts(), {("x",)})

    def note_output(self, name, age_s=0.0):
        self.evidence.note_sound(request_signature(POOL, name), age_s)

    def test_deadly_request_is_blamed_beside_sound_ones_of_its_family(self):
        # review/9: a query that crashes replicas hid behind others of its path.
        deadly = CrashSuspect("deadly", (), False, "family")
        for number in range(3):
            self.crash(deadly, CrashSuspect(f"sound-{number}", (), False, "family"))
            self.note_output(f"sound-{number}")
            self.note_output("family")
        self.assertEqual(self.blamed_requests(), {"deadly"})

    def test_family_is_blamed_if_its_requests_differ_each_time(self):
        for number in range(3):
            self.assertEqual(self.blamed_requests(), set())
            self.crash(CrashSuspect(f"fp-{number}", (), False, "family"))
        self.assertEqual(self.blamed_requests(), {"family"})

    def test_family_with_output_shortly_before_is_not_blamed(self):
        self.note_output("family", age_s=10.0)
        for number in range(6):
            self.crash(CrashSuspect(f"fp-{number}", (), True, "family"))
        self.assertEqual(self.blamed_requests(), set())

    def test_two_deadly_requests_leave_their_family_free(self):
        for _ in range(3):
            for name in ("one", "two"):
                self.crash(CrashSuspect(name, (), False, "family"))
        self.assertEqual(self.blamed_requests(), {"one", "two"})

    def test_neighbours_of_a_deadly_request_do_not_blame_its_family(self):
        for number in range(4):
            sound = CrashSuspect(f"sound-{number}", (), False, "family")
            self.crash(CrashSuspect("deadly", (), False, "family"), sound)
        self.assertEqual(self.blamed_requests(), {"deadly"})

    def test_family_is_not_blamed_for_crashes_of_a_version(self):
        for number in range(6):
            suspect = CrashSuspect(f"fp-{number}", (), False, f"family-{number}")
            self.crash(suspect, version="v2", is_only_version=False)
        for number in range(3):
            suspect = CrashSuspect(f"other-{number}", (), False, "family")
            self.crash(suspect, version="v2", is_only_version=False)
        self.assertEqual(self.blamed_requests(), set())

    def test_suspect_of_an_older_build_is_blamed_by_its_fingerprint(self):
        for _ in range(3):
            self.crash(CrashSuspect("old", (), False))
        self.assertEqual(self.blamed_requests(), {"old"})

    def test_request_that_comes_once_a_minute_is_blamed(self):
        # Crashes were forgotten before the third one, and it was never found out.
        for _ in range(3):
            self.assertEqual(self.blamed_requests(), set())
            self.crash(waiting(1), after_s=60.0)
        self.assertEqual(self.blamed_requests(), {"fp-1"})

    def test_crashes_of_a_version_long_before_do_not_excuse_a_request(self):
        fields = {"version": "v2", "is_only_version": False}
        for number in range(6):
            self.crash(waiting(100 + number), **fields)
        self.timers.advance(200.0)
        for _ in range(3):
            self.crash(waiting(1), **fields)
        self.assertEqual(self.blamed_requests(), {"fp-1"})

    def test_same_replica_counts_once(self):
        for number in range(4):
            self.crash(begun(number, "x"), run="one", domain="a", after_s=0.1)
        self.timers.advance(1.0)
        self.assertEqual(self.evidence.blamed(), set())

    def test_replica_that_breaks_off_again_later_counts_once(self):
        for number in range(4):
            self.crash(begun(number, "x"), run="one", domain="a", after_s=5.0)
        self.assertEqual(self.evidence.blamed(), set())

    def test_lost_failure_domains_blame_nothing(self):
        for turn in range(4):
            for number in range(6):
                parts = ("y",) if number == turn else (f"p{turn}{number}",)
                self.crash(
                    begun(number, *parts), waiting(50, "y"), domain="a", after_s=0.02
                )
            self.crash(domain="a", after_s=10.0)
        self.assertEqual(self.blamed_parts(), set())

    def test_deadly_part_that_crashes_a_domain_at_once_is_blamed(self):
        for number in range(4):
            self.crash(begun(number, "x"), domain="a", after_s=0.05)
        self.timers.advance(1.0)
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_bad_version_is_at_fault_rather_than_a_request(self):
        fields = {"version": "v2", "is_only_version": False}
        for number in range(4):
            self.crash(begun(number, f"p{number}"), **fields)
        for _ in range(2):
            self.crash(begun(7, "y"), **fields)
        self.assertEqual(self.evidence.blamed(), set())

    def test_deadly_part_is_blamed_during_a_rollout(self):
        for number, version in enumerate(("v1", "v2", "v2")):
            self.crash(begun(number, "x"), version=version, is_only_version=False)
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_crashes_are_forgotten_in_time_and_bounded_in_number(self):
        self.crash(begun(1, "x"))
        self.crash(begun(2, "x"))
        self.timers.advance(CRASH_TTL_S)
        self.assertEqual(self.evidence.blamed(), set())
        for number in range(2 * MAX_CRASHES):
            self.crash(begun(number, f"p{number}"), after_s=0.01)
        self.assertLessEqual(len(self.evidence._crashes), MAX_CRASHES)

    def test_begun_suspects_are_kept_if_there_are_too_many(self):
        for turn in range(2):
            many = [waiting(1000 * turn + i, f"p{turn}{i}") for i in range(100)]
            self.crash(*many, begun(turn, "x"))
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_begun_suspect_of_a_later_report_is_kept_if_there_are_too_many(self):
        for turn in range(2):
            many = [waiting(1000 * turn + i, f"p{turn}{i}") for i in range(100)]
            name = f"engine-x{turn}"
            self.crash(*many, run=name, domain=name, after_s=0.05)
            self.crash(begun(turn, "x"), run=name, domain=name)
            self.assertLessEqual(
                max(len(each.suspects) for each in self.evidence._crashes.values()),
                MAX_SUSPECTS,
            )
        self.assertEqual(self.blamed_parts(), {("x",)})

    def test_lost_domain_with_many_requests_is_judged_in_time(self):
        for number in range(70):
            suspects = [waiting(100 * number + i, f"a{i % 5}") for i in range(20)]
            self.crash(*suspects, domain="a", after_s=0.001)
        self.timers.advance(1.0)
        cases = self.evidence._cases
        calls = []
        self.evidence._cases = lambda: calls.append(1) or cases()
        self.evidence.blamed()
        self.evidence.suspected()
        for number in range(50):
            self.evidence.last_crash_at(part_signature(POOL, f"a{number}"))
        self.assertEqual(len(calls), 1)

    def test_request_that_had_output_since_is_not_blamed(self):
        for _ in range(2):
            self.crash(begun(1))
        self.evidence.note_sound(request_signature(POOL, "fp-1"), 0.0)
        self.assertEqual(self.evidence.blamed(), set())
