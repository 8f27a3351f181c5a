import random
import unittest

from boragedeck.ids import FailureDomain, RouteName, UpstreamName, Version
from boragedeck.interfaces import Outcome, RunSample
from boragedeck.version.evidence import Evidence, Loss
from boragedeck.version.judgement import (
    Score,
    UpstreamCounts,
    group_score,
    is_rejected,
    log_likelihood_ratios,
    make_rejection,
)
from boragedeck.version.losses import judge_losses

DOMAINS = [FailureDomain(name) for name in ("d0", "d1", "d2")]


def sample(domain, *, failed=False, first_token_s=0.2, gap_s=0.03):
    return RunSample(
        RouteName("chat"),
        Version("B"),
        UpstreamName("b"),
        domain,
        Outcome.FAILED if failed else None,
        first_token_s,
        gap_s,
        50,
        age_s=1.0,
    )


def group(rng, new, old, *, new_rate=0.01, old_rate=0.01, new_slow=1.0, domain=None):
    evidence = Evidence()
    for is_new, count, rate, slow in (
        (True, new, new_rate, new_slow),
        (False, old, old_rate, 1.0),
    ):
        for _ in range(count):
            one = sample(
                domain or rng.choice(DOMAINS),
                failed=rng.random() < rate,
                first_token_s=slow * rng.lognormvariate(-1.6, 0.5),
                gap_s=slow * rng.lognormvariate(-3.5, 0.3),
            )
            evidence.add(one, is_new=is_new, is_late=False)
    return evidence


def score_of(groups, upstream_counts=None):
    score = Score()
    for evidence in groups:
        score = score.after(
            group_score(evidence, upstream_counts or UpstreamCounts(6, 6))
        )
    return score


class TestScores(unittest.TestCase):
    def test_no_events_are_no_evidence(self):
        self.assertEqual(log_likelihood_ratios((0, 50, 0, 900), [25.0]), [0.0])
        self.assertEqual(log_likelihood_ratios((50, 50, 900, 900), [25.0]), [0.0])

    def test_likelihood_ratio_of_a_single_event(self):
        # One event in one new and one old trial belongs to the new version with
        # probability 1/2 by chance, and r/(r + 1) under odds ratio r.
        self.assertAlmostEqual(
            log_likelihood_ratios((1, 1, 0, 1), [5.0])[0], 0.5108256, places=6
        )

    def test_few_failures_suffice_for_a_rejection(self):
        evidence = Evidence()
        for _ in range(6):
            evidence.add(sample(DOMAINS[0], failed=True), is_new=True, is_late=False)
        for _ in range(150):
            evidence.add(sample(DOMAINS[0]), is_new=False, is_late=False)
        score = score_of([evidence])
        self.assertTrue(is_rejected(score))
        self.assertIn("6 of 6", make_rejection(score, evidence).reason)

    def test_slow_version_is_rejected(self):
        rng = random.Random(1)
        groups = [group(rng, 12, 12, new_slow=3.0) for _ in range(4)]
        self.assertTrue(is_rejected(score_of(groups)))

    def test_slowness_due_to_load_is_not_counted(self):
        # Two of six upstreams serve nine tenths: 18 times as many requests each.
        rng = random.Random(5)
        groups = [group(rng, 54, 6, new_slow=2.0) for _ in range(40)]
        self.assertFalse(is_rejected(score_of(groups, UpstreamCounts(2, 4))))

    def test_slowness_beyond_the_effect_of_load_is_rejected(self):
        rng = random.Random(6)
        groups = [group(rng, 40, 40, new_slow=6.0) for _ in range(8)]
        self.assertTrue(is_rejected(score_of(groups, UpstreamCounts(3, 6))))

    def test_slow_version_with_less_load_is_rejected(self):
        rng = random.Random(7)
        groups = [group(rng, 6, 54, new_slow=3.0) for _ in range(20)]
        self.assertTrue(is_rejected(score_of(groups, UpstreamCounts(2, 4))))

    def test_good_versions_are_not_rejected(self):
        rng = random.Random(2)
        for new, old in ((2, 60), (20, 20), (54, 6)):
            groups = [group(rng, new, old) for _ in range(400)]
            self.assertFalse(is_rejected(score_of(groups)), (new, old))

    def waiting_score(self, rng, slow):
        """Return the score of runs that were sent in the last 3 s."""
        evidence = Evidence()
        for is_new, count in ((True, 30), (False, 60)):
            for _ in range(count):
                age_s = rng.uniform(0.0, 3.0)
                took_s = rng.lognormvariate(0.1, 0.4) * (slow if is_new else 1.0)
                domain = rng.choice(DOMAINS)
                if took_s <= age_s:
                    added = sample(domain, first_token_s=took_s)
                    evidence.add(added, is_new=is_new, is_late=False)
                else:
                    evidence.add_waiting(domain, age_s, is_new=is_new)
        return group_score(evidence, UpstreamCounts(1, 2))

    def test_runs_that_still_wait_reject_a_good_version(self):
        rng = random.Random(4)
        for _ in range(300):
            self.assertFalse(is_rejected(self.waiting_score(rng, 1.0)))

    def test_runs_that_still_wait_are_no_evidence(self):
        rng = random.Random(5)
        rejected = sum(is_rejected(self.waiting_score(rng, 8.0)) for _ in range(50))
        self.assertGreaterEqual(rejected, 25)

    def test_common_cause_is_not_counted(self):
        rng = random.Random(3)
        groups = [
            group(rng, 20, 20, new_rate=rate, old_rate=rate)
            for rate in (0.01, 0.5, 0.9, 0.2) * 50
        ]
        self.assertFalse(is_rejected(score_of(groups)))

    def test_failing_domain_is_compared_with_itself(self):
        rng = random.Random(4)
        for _ in range(20):
            # Most runs of the new version are in the failing domain.
            evidence = group(rng, 30, 4, new_rate=0.9, old_rate=0.9, domain=DOMAINS[0])
            evidence.merge(group(rng, 2, 60, domain=DOMAINS[1]))
            self.assertFalse(is_rejected(score_of([evidence])))


class TestLosses(unittest.TestCase):
    def judge(self, losses, cleared=frozenset(), quarantined=frozenset(), old=DOMAINS):
        return judge_losses(
            losses, cleared, set(quarantined), 6, 6, 200.0, frozenset(old)
        )

    def loss(self, upstream, at, fingerprint=0, *, is_new=True, domain=0):
        name = UpstreamName(upstream)
        return Loss(name, DOMAINS[domain], is_new, at, fingerprint)

    def test_loss_of_three_upstreams_is_rejected(self):
        losses = [self.loss(f"b{i}", 20.0 * i, i + 1) for i in range(3)]
        self.assertIn("b0, b1, b2", self.judge(losses).reason)

    def test_loss_of_one_upstream_with_many_runs_is_not_rejected(self):
        losses = [self.loss("b0", 10.0 + i / 50, i + 1) for i in range(40)]
        self.assertIsNone(self.judge(losses))

    def test_one_request_that_crashes_upstreams_is_not_counted(self):
        losses = [self.loss(f"b{i}", 20.0 + i, 7) for i in range(3)]
        losses += [self.loss(f"b{i}", 20.0 + i, 100 + i) for i in range(3)]
        self.assertIsNone(self.judge(losses))
        self.assertIsNotNone(self.judge(losses, cleared=frozenset({7})))

    def test_requests_explain_a_bounded_number_of_losses(self):
        losses = [self.loss(f"b{i % 6}", 20.0 * i, 7) for i in range(18)]
        self.assertIsNotNone(self.judge(losses, quarantined={7}))

    def test_lost_domain_is_not_counted(self):
        losses = [self.loss(f"b{i}", 20.0, i + 1) for i in range(4)]
        losses.append(self.loss("a0", 21.0, 90, is_new=False))
        self.assertIsNone(self.judge(losses))
        self.assertIsNotNone(self.judge(losses[:4]))

    def test_lost_domain_without_the_old_version_counts_once(self):
        losses = [self.loss(f"b{i}", 20.0, i + 1, domain=2) for i in range(4)]
        self.assertIsNone(self.judge(losses, old=DOMAINS[:2]))
