import heapq
import itertools
import random
import unittest

from boragedeck.process.relaying.placing.stream_pace import (
    DEFAULT_OUTPUT_TOKEN_COST,
    StreamTimeEstimator,
)
from boragedeck.process.relaying.recent_values import MIN_VALUES

POOL = "engines"


def estimator_with_history(read_s=1.0, events=100, took_s=3.0, count=20):
    """Return an estimator after equal streams, 8,000 tokens in and 1,000 out."""
    estimator = StreamTimeEstimator()
    for _ in range(count):
        estimator.note_prompt_read(POOL, 8_000, read_s)
        estimator.note_complete_stream(POOL, events, 1_000, took_s)
    return estimator


class StreamTimeEstimatorTest(unittest.TestCase):
    def test_whole_stream_takes_prompt_reading_and_all_its_events(self):
        min_duration_s = estimator_with_history().min_duration_s(POOL, 8_000, 1_000, 0)
        self.assertAlmostEqual(min_duration_s, 1.0 + 3.0 * 100 / 99)

    def test_events_already_received_take_no_time(self):
        self.assertAlmostEqual(
            estimator_with_history().min_duration_s(POOL, 8_000, 1_000, 100), 1.0
        )
        self.assertAlmostEqual(
            estimator_with_history().min_duration_s(POOL, 8_000, 1_000, 500), 1.0
        )

    def test_estimate_is_zero_without_enough_streams(self):
        estimator = estimator_with_history(count=MIN_VALUES - 1)
        self.assertEqual(estimator.min_duration_s(POOL, 8_000, 1_000, 0), 0.0)
        self.assertEqual(
            estimator_with_history().min_duration_s("other", 8_000, 1_000, 0), 0.0
        )

    def test_estimate_is_the_fastest_quarter(self):
        estimator = estimator_with_history(read_s=4.0, count=20)
        for _ in range(20):
            estimator.note_prompt_read(POOL, 8_000, 1.0)
        self.assertAlmostEqual(estimator.min_duration_s(POOL, 8_000, 1_000, 100), 1.0)

    def test_estimate_follows_recent_streams(self):
        estimator = estimator_with_history(read_s=1.0)
        for _ in range(200):
            estimator.note_prompt_read(POOL, 8_000, 2.0)
        self.assertAlmostEqual(estimator.min_duration_s(POOL, 8_000, 1_000, 100), 2.0)

    def test_output_token_costs_the_prompt_tokens_that_are_read_meanwhile(self):
        cost = estimator_with_history().output_token_cost(POOL)
        # 100 events of 3 s / 99 for 1,000 tokens, and 8 prompt tokens a millisecond.
        self.assertAlmostEqual(cost, 3.0 / 99 * 100 / 1_000 * 8_000)

    def test_output_token_cost_without_enough_streams_is_the_default(self):
        cost = StreamTimeEstimator().output_token_cost(POOL)
        self.assertEqual(cost, DEFAULT_OUTPUT_TOKEN_COST)


class ReturningCallersTest(unittest.TestCase):
    """Simulates callers that all return 18 s after a power loss.

    Each has the rest of its 25 s left, and the part of its answer that it received
    before. An engine reads one prompt after the other and continues its streams in
    between, so each prompt delays them.
    """

    ENGINES = 6
    READ_S = 1.0
    EVENT_S = 0.03
    LOST_S = 18.0

    def simulate(self, seed, may_refuse):
        """Return how many returning and how many new callers get a whole answer."""
        rng = random.Random(seed)
        estimator = estimator_with_history(
            read_s=1.1, events=130, took_s=130 * self.EVENT_S
        )
        free_at = [0.0] * self.ENGINES
        heapq.heapify(free_at)
        served = {"back": 0, "new": 0}
        callers = [("back", 0.0, rng.uniform(0.0, 6.0)) for _ in range(20)]
        callers += [("new", at / 2.0, 0.0) for at in range(1, 9)]
        for kind, at, age_s in callers:
            left_s = 25.0 if kind == "new" else 25.0 - self.LOST_S - age_s
            received = int(max(0.0, age_s - 1.2) / 0.032)
            events = rng.gauss(130.0, 26.0)
            if (
                may_refuse
                and estimator.min_duration_s(POOL, 8_000, 1_000, received) > left_s
            ):
                continue
            begin = max(at, heapq.heappop(free_at))
            heapq.heappush(free_at, begin + self.READ_S)
            first = begin + self.READ_S
            last = first + max(0.0, events - received) * self.EVENT_S
            first_output_limit_s = 4.5 if kind == "new" else left_s
            is_in_time = first - at <= first_output_limit_s and last - at <= left_s
            served[kind] += is_in_time
        return served["back"], served["new"]

    def test_more_callers_get_whole_answers(self):
        refusing = [self.simulate(seed, True) for seed in range(30)]
        baseline = [self.simulate(seed, False) for seed in range(30)]
        self.assertGreater(total(refusing, 0), total(baseline, 0))
        self.assertGreaterEqual(total(refusing, 1), total(baseline, 1))

    def test_answer_with_ample_time_is_not_refused(self):
        estimator = estimator_with_history(
            read_s=1.1, events=130, took_s=130 * self.EVENT_S
        )
        for received, left_s in itertools.product(range(0, 130, 10), (8.0, 25.0)):
            self.assertLess(
                estimator.min_duration_s(POOL, 8_000, 1_000, received), left_s
            )


def total(results, index):
    return sum(each[index] for each in results)
