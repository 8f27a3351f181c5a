import unittest

from boragedeck.process.relaying.speeds.stream_sampler import (
    MAX_BLOCKED_S,
    MIN_PROMPT_TOKENS,
    WINDOW_EVENTS,
    WINDOWS,
    StreamSampler,
)

GAP_S = 0.03
EVENTS = WINDOW_EVENTS * WINDOWS


def sampler(prompt_tokens=8_000, work_tokens=8_000, since=100.0):
    return StreamSampler(prompt_tokens, work_tokens, since)


class StreamSamplerTest(unittest.TestCase):
    def events(self, sampler, times):
        """Note an event at each time, and return the samples that were taken."""
        noted = [sampler.note_events(1, now) for now in times]
        return [times for times in noted if times is not None]

    def even(self, count=2 * EVENTS, first_at=101.0):
        return [first_at + GAP_S * number for number in range(count)]

    def test_one_sample_is_taken_of_a_long_stream(self):
        (times,) = self.events(sampler(), self.even())
        self.assertAlmostEqual(times.read_s, 1.0 / 8_000)
        self.assertAlmostEqual(times.event_s, GAP_S)

    def test_short_stream_gives_no_sample(self):
        self.assertEqual(self.events(sampler(), self.even(EVENTS)), [])

    def test_short_prompt_gives_no_sample(self):
        short = sampler(MIN_PROMPT_TOKENS - 1, MIN_PROMPT_TOKENS - 1)
        self.assertEqual(self.events(short, self.even()), [])

    def test_prompts_ahead_do_not_make_the_replica_look_slow(self):
        (times,) = self.events(sampler(work_tokens=24_000), self.even(first_at=103.0))
        self.assertAlmostEqual(times.read_s, 1.0 / 8_000)

    def test_pause_does_not_lengthen_the_event_rate(self):
        at = self.even()
        paused = at[:5] + [time + 0.6 for time in at[5:]]
        (times,) = self.events(sampler(), paused)
        self.assertAlmostEqual(times.event_s, GAP_S)

    def test_prompts_read_between_events_do_not_lengthen_the_event_rate(self):
        at, delay = [], 0.0
        for number, time in enumerate(self.even()):
            delay += 0.1 * (number < 2 * WINDOW_EVENTS)
            at.append(time + delay)
        (times,) = self.events(sampler(), at)
        self.assertAlmostEqual(times.event_s, GAP_S)

    def test_events_that_arrive_together_do_not_make_the_replica_look_fast(self):
        # A router without processor time reads what has arrived in one go.
        at = self.even()
        held_up = at[:3] + 13 * [at[15]] + at[16:]
        (times,) = self.events(sampler(), held_up)
        self.assertGreater(times.event_s, 0.8 * GAP_S)

    def test_stream_that_waited_for_its_caller_gives_no_sample(self):
        slow = sampler()
        at = self.even()
        self.assertEqual(self.events(slow, at[:EVENTS]), [])
        slow.note_blocked(2.0 * MAX_BLOCKED_S)
        self.assertEqual(self.events(slow, at[EVENTS:]), [])
