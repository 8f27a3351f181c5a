import unittest

from boragedeck.connection.messages import FactTopic
from boragedeck.ids import Health
from boragedeck.process.relaying.crashes.crash_messages import (
    CrashVerdict,
    VerdictState,
    part_signature,
)
from boragedeck.process.relaying.crashes.crash_trials import TRIAL_AFTER_S
from tests.support.crash_fleet import POOL, CrashFleet

CONTACT_S = 3.0
"""How long after the fifth crash all routers know of a deadly part."""
MAX_LATER_SENDS = 3
MIN_BEGUN_SHARE = 0.5
MAX_LOST = 6
"""Replicas that a deadly part may crash which comes once a second or less often."""


class DeadlyPartFleetTest(unittest.TestCase):
    def fleet(self, *deadly, **fields):
        fleet = CrashFleet(**fields)
        fleet.deadly = set(deadly)
        return fleet

    def later_sends(self, fleet, part):
        crashes = sorted(each.crashed_at for each in fleet.crashes_by(part))
        if len(crashes) < 5:
            return 0
        since = crashes[4] + CONTACT_S
        return sum(at > since and part in req.parts for at, _, req in fleet.sent)

    def assert_kept(self, fleet, *parts, most_lost=MAX_LOST):
        for part in parts:
            self.assertLessEqual(len(fleet.crashes_by(part)), most_lost)
            self.assertLessEqual(self.later_sends(fleet, part), MAX_LATER_SENDS)

    def begun_share(self, fleet, reqs):
        begun = {each.number for each in fleet.begun_first}
        return sum(each.number in begun for each in reqs) / len(reqs)

    def source(self, fleet, sent, *parts, **fields):
        return lambda: sent.append(fleet.send(*parts, **fields))

    def play(self, fleet, seconds, *sources):
        """Play sources of (requests per second, parts); return their requests."""
        sent = [[] for _ in sources]
        fleet.run(
            seconds,
            *(
                (rate, self.source(fleet, reqs, *parts))
                for (rate, *parts), reqs in zip(sources, sent, strict=True)
            ),
        )
        return sent

    def test_part_that_crashes_replicas_ends_few_of_them_at_nine_routers(self):
        for seed in range(4):
            fleet = self.fleet("x", seed=seed)
            self.play(fleet, 20.0, (1.0, "a", "x"), (4.0, "b"))
            self.assert_kept(fleet, "x")

    def test_part_that_crashes_replicas_ends_few_of_them_at_many_routers(self):
        for routers in (80, 300):
            fleet = self.fleet("x", routers=routers, engines=100)
            self.play(fleet, 10.0, (1.0, "a", "x"), (4.0, "b"))
            self.assert_kept(fleet, "x")
            self.assertEqual(len(fleet.knows_blame("a", "x")), routers)

    def test_sound_requests_with_the_first_part_begin_as_before(self):
        fleet = self.fleet("x", engines=60)
        (before,) = self.play(fleet, 10.0, (3.0, "a", "b"))
        _, during = self.play(fleet, 20.0, (0.5, "a", "x"), (3.0, "a", "b"))
        fleet.run(5.0)
        least = MIN_BEGUN_SHARE * self.begun_share(fleet, before)
        self.assertGreaterEqual(self.begun_share(fleet, during), 2 * 0.9 * least)
        self.assertEqual([req for req in fleet.refused if "x" not in req.parts], [])
        self.assert_kept(fleet, "x")

    def test_sound_requests_begin_while_nothing_is_decided(self):
        fleet = self.fleet("x", engines=60)
        fleet.send("a", "x")
        (during,) = self.play(fleet, 6.0, (5.0, "a", "b"))
        fleet.run(5.0)
        self.assertEqual(fleet.knows_blame("a", "x"), set())
        self.assertGreaterEqual(self.begun_share(fleet, during), 0.9)

    def test_two_deadly_parts_at_once_are_both_found(self):
        for seed in range(3):
            fleet = self.fleet("x", "y", seed=seed, engines=40)
            self.play(fleet, 20.0, (0.5, "a", "x"), (0.5, "a", "y"), (3.0, "a", "b"))
            self.assert_kept(fleet, "x", "y")
            self.assertEqual(fleet.knows_blame("a", "b"), set())

    def test_deadly_part_is_found_beside_other_crashes(self):
        for seed in range(3):
            fleet = self.fleet("x", seed=seed, engines=40)
            fleet.timers.subscribe(0.7, lambda fleet=fleet: self.lose_one(fleet))
            *_, sound = self.play(fleet, 20.0, (0.5, "a", "x"), (6.0, "a", "b"))
            self.assert_kept(fleet, "x")
            refused = [req for req in fleet.refused if "x" not in req.parts]
            self.assertEqual(refused, [])
            self.assertGreater(len(sound), 80)

    def lose_one(self, fleet):
        fleet.crash(fleet.choose_engine())

    def test_lost_failure_domain_blames_nothing(self):
        fleet = self.fleet(engines=40)
        for domain in ("d0", "d1", "d2"):
            self.play(fleet, 3.0, (20.0, "a", "b"), (5.0, "c"))
            for engine in [each for each in fleet.engines if each.domain == domain]:
                fleet.crash(engine)
        self.play(fleet, 3.0, (20.0, "a", "b"))
        facts = [each for each in fleet.routers if each.verdicts.blamed()]
        self.assertEqual((facts, fleet.refused), ([], []))

    def test_bad_version_blames_no_part(self):
        fleet = self.fleet(engines=40)
        fleet.versions = {"v1", "v2"}
        fleet.deadly_versions = {"v2"}
        for engine in fleet.engines[:6]:
            engine.version = "v2"
        names = iter(range(10_000))
        sent = []
        fleet.run(20.0, (4.0, lambda: sent.append(fleet.send("a", f"p{next(names)}"))))
        self.assertGreater(len(fleet.crashes), 6)
        self.assertEqual([req for req in fleet.refused], [])

    def test_request_that_crashes_replicas_by_itself_leaves_its_parts_free(self):
        fleet = self.fleet()
        fleet.deadly_requests = {7}
        for _ in range(6):
            fleet.send("a", "b", number=7)
            self.play(fleet, 2.0, (2.0, "a", "b"))
        self.assertLessEqual(len(fleet.crashes), 3)
        self.assertEqual([req for req in fleet.refused if req.number != 7], [])

    def test_stream_with_lasting_output_is_no_suspect_when_its_replica_crashes(self):
        fleet = self.fleet("x")
        resumed = fleet.send("a", "b")
        fleet.run(2.0)
        for engine in [each for each in fleet.engines if each.streams]:
            fleet.crash(engine)
        fleet.run(1.0)
        blame = fleet.routers[0].blame
        self.assertFalse(blame.is_suspected(resumed.traits()))

    def test_part_is_found_though_the_judge_freezes(self):
        fleet = self.fleet("x")
        judge = fleet.judge()
        self.play(fleet, 4.0, (0.5, "a", "x"))
        fleet.net.frozen.add(judge.name)
        others = [each for each in fleet.routers if each is not judge]
        fleet.timers.call_later(2.0, lambda: self.suspect(fleet, judge, others))
        for _ in range(10):
            fleet.send("a", "x", router=fleet.rng.choice(others))
            fleet.run(1.0)
        self.assert_kept(fleet, "x", most_lost=8)
        self.assertGreaterEqual(len(fleet.knows_blame("a", "x")), len(others))

    def suspect(self, fleet, lost, others):
        for router in others:
            router.members.health[lost.name] = Health.DEAD

    def test_evidence_is_reported_again_to_the_next_judge(self):
        fleet = self.fleet("x")
        fleet.send("a", "x", router=fleet.routers[1])
        fleet.run(4.0)
        self.assertEqual(fleet.knows_blame("a", "x"), set())
        judge = fleet.judge()
        fleet.net.frozen.add(judge.name)
        others = [each for each in fleet.routers if each is not judge]
        self.suspect(fleet, judge, others)
        fleet.run(2.0)
        fleet.send("a", "x", router=others[-1])
        fleet.run(4.0)
        self.assertEqual(len(fleet.crashes), 3)
        self.assertGreaterEqual(fleet.knows_blame("a", "x"), {r.name for r in others})

    def test_router_that_is_cut_off_judges_by_its_own_crashes(self):
        fleet = self.fleet("x")
        judge = fleet.judge()
        alone = next(each for each in fleet.routers if each is not judge)
        fleet.net.cut.add(alone.name)
        for _ in range(6):
            fleet.send("a", "x", router=alone)
            fleet.run(2.0)
        self.assertLessEqual(len(fleet.crashes), 4)
        self.assertEqual(fleet.knows_blame("a", "x"), {alone.name})

    def test_split_network_keeps_a_judge_on_each_side(self):
        fleet = self.fleet("x")
        sides = fleet.routers[:4], fleet.routers[4:]
        fleet.net.split = {each.name for each in sides[0]}
        for side, other in (sides, sides[::-1]):
            for router in side:
                for lost in other:
                    router.members.health[lost.name] = Health.DEAD
        for side in sides:
            for number in range(6):
                fleet.send("a", "x", router=side[number % len(side)])
                fleet.run(2.0)
        self.assertLessEqual(len(fleet.crashes), 2 * 4)
        self.assertEqual(len(fleet.knows_blame("a", "x")), 9)

    def test_router_that_starts_later_learns_of_the_verdict(self):
        fleet = self.fleet("x")
        self.play(fleet, 8.0, (1.0, "a", "x"))
        late = fleet.start_router()
        for fact in fleet.judge().board.facts(FactTopic.CRASH):
            late.board.receive(fact)
        self.assertIn(late.name, fleet.knows_blame("a", "x"))

    def test_verdict_ends_by_a_trial_after_a_mend(self):
        fleet = self.fleet("x")
        self.play(fleet, 8.0, (1.0, "a", "x"))
        fleet.deadly = set()
        self.play(fleet, TRIAL_AFTER_S[0], (1.0, "a", "x"))
        fleet.run(5.0)
        self.assertEqual(fleet.knows_blame("a", "x"), set())
        fleet.refused.clear()
        self.play(fleet, 5.0, (2.0, "a", "x"))
        self.assertEqual(fleet.refused, [])

    def test_wrong_verdict_ends_by_output_of_an_answer_that_had_begun(self):
        fleet = self.fleet(engines=40)
        fleet.send("a", "x")
        fleet.run(1.02)
        signature = part_signature(POOL, "a", "x")
        verdict = CrashVerdict(signature, VerdictState.BLAMED, 0, TRIAL_AFTER_S[0])
        fleet.judge().verdicts.publish(verdict)
        fleet.run(0.31)
        self.assertEqual(len(fleet.knows_blame("a", "x")), 9)
        fleet.run(1.0)
        self.assertEqual(fleet.knows_blame("a", "x"), set())

    def test_trials_of_a_deadly_part_are_few(self):
        fleet = self.fleet("x")
        self.play(fleet, 8.0, (1.0, "a", "x"))
        before = len(fleet.crashes)
        self.play(fleet, 1200.0, (0.3, "a", "x"))
        self.assertLessEqual(len(fleet.crashes) - before, len(TRIAL_AFTER_S))
        self.assertLessEqual(self.later_sends(fleet, "x"), MAX_LATER_SENDS)
        self.assertEqual(len(fleet.knows_blame("a", "x")), 9)

    def test_verdicts_and_reports_are_few_in_a_large_fleet(self):
        fleet = self.fleet("x", routers=80, engines=100)
        self.play(fleet, 20.0, (1.0, "a", "x"), (10.0, "a", "b"))
        facts = fleet.judge().board.facts(FactTopic.CRASH)
        self.assertLessEqual(len(facts), 20)
        self.assertLessEqual(fleet.net.calls, 40 * len(fleet.crashes))
