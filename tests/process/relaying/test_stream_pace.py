import heapq
import itertools
import random
import unittest

from boragedeck.process.relaying.recent_values import MIN_KEPT
from boragedeck.process.relaying.stream_pace import StreamPace

POOL = "engines"


def taught(read_s=1.0, events=100, took_s=3.0, count=20):
    """Return a pace that has seen equal streams of 8,000 tokens in, 1,000 out."""
    pace = StreamPace()
    for _ in range(count):
        pace.note_first(POOL, 8_000, read_s)
        pace.note_whole(POOL, events, 1_000, took_s)
    return pace


class StreamPaceTest(unittest.TestCase):
    def test_whole_stream_takes_reading_and_all_its_events(self):
        least_s = taught().least_s(POOL, 8_000, 1_000, 0)
        self.assertAlmostEqual(least_s, 1.0 + 3.0 * 100 / 99)

    def test_events_that_the_caller_has_take_no_time(self):
        self.assertAlmostEqual(taught().least_s(POOL, 8_000, 1_000, 100), 1.0)
        self.assertAlmostEqual(taught().least_s(POOL, 8_000, 1_000, 500), 1.0)

    def test_nothing_is_said_without_experience(self):
        pace = taught(count=MIN_KEPT - 1)
        self.assertEqual(pace.least_s(POOL, 8_000, 1_000, 0), 0.0)
        self.assertEqual(taught().least_s("other", 8_000, 1_000, 0), 0.0)

    def test_one_quick_stream_in_four_is_what_counts(self):
        pace = taught(read_s=4.0, count=20)
        for _ in range(20):
            pace.note_first(POOL, 8_000, 1.0)
        self.assertAlmostEqual(pace.least_s(POOL, 8_000, 1_000, 100), 1.0)

    def test_experience_is_bounded_and_follows_the_engines(self):
        pace = taught(read_s=1.0)
        for _ in range(200):
            pace.note_first(POOL, 8_000, 2.0)
        self.assertAlmostEqual(pace.least_s(POOL, 8_000, 1_000, 100), 2.0)


class ReturnTest(unittest.TestCase):
    """Plays callers that all come back 18 s after a loss of power.

    Each has what is left of 25 s, and the part of its answer that it got before. An
    engine reads one prompt after the other, and goes on with its streams in between:
    each prompt that is read there holds them up.
    """

    ENGINES = 6
    READ_S = 1.0
    EVENT_S = 0.03
    LOST_S = 18.0

    def play(self, seed, may_refuse):
        """Return how many callers get a whole answer, old ones and new ones."""
        rng = random.Random(seed)
        pace = taught(read_s=1.1, events=130, took_s=130 * self.EVENT_S)
        free_at = [0.0] * self.ENGINES
        heapq.heapify(free_at)
        served = {"back": 0, "new": 0}
        callers = [("back", 0.0, rng.uniform(0.0, 6.0)) for _ in range(20)]
        callers += [("new", at / 2.0, 0.0) for at in range(1, 9)]
        for kind, at, age_s in callers:
            left_s = 25.0 if kind == "new" else 25.0 - self.LOST_S - age_s
            had = int(max(0.0, age_s - 1.2) / 0.032)
            events = rng.gauss(130.0, 26.0)
            if may_refuse and pace.least_s(POOL, 8_000, 1_000, had) > left_s:
                continue
            begin = max(at, heapq.heappop(free_at))
            heapq.heappush(free_at, begin + self.READ_S)
            first = begin + self.READ_S
            last = first + max(0.0, events - had) * self.EVENT_S
            aim_s = 4.5 if kind == "new" else left_s
            is_in_time = first - at <= aim_s and last - at <= left_s
            served[kind] += is_in_time
        return served["back"], served["new"]

    def test_more_callers_get_whole_answers(self):
        refusing = [self.play(seed, True) for seed in range(30)]
        plain = [self.play(seed, False) for seed in range(30)]
        self.assertGreater(total(refusing, 0), total(plain, 0))
        self.assertGreaterEqual(total(refusing, 1), total(plain, 1))

    def test_nobody_is_refused_whose_answer_fits_by_far(self):
        pace = taught(read_s=1.1, events=130, took_s=130 * self.EVENT_S)
        for had, left_s in itertools.product(range(0, 130, 10), (8.0, 25.0)):
            self.assertLess(pace.least_s(POOL, 8_000, 1_000, had), left_s)


def total(played, index):
    return sum(each[index] for each in played)
