import unittest

from boragedeck.request.gap_sampler import SAMPLE_AFTER_S, GapSampler


class GapSamplerTest(unittest.TestCase):
    def samples(self, gap_s, seconds, events=1):
        """Return the gaps taken of a stream, and when."""
        sampler, taken = GapSampler(), []
        for number in range(int(seconds / gap_s)):
            gap = sampler.note(events, 50.0 + number * gap_s)
            if gap is not None:
                taken.append((number * gap_s, gap))
        return taken

    def test_running_stream_tells_its_gap_only_at_its_end(self):
        [(at, gap_s)] = self.samples(0.125, 20.0)
        self.assertLessEqual(at, SAMPLE_AFTER_S + 0.125)
        self.assertAlmostEqual(gap_s, 0.125)

    def test_events_that_arrive_together_count_as_one(self):
        [(_, gap_s)] = self.samples(0.25, 20.0, events=5)
        self.assertAlmostEqual(gap_s, 0.05)

    def test_stream_that_has_just_begun_tells_a_gap(self):
        self.assertEqual(self.samples(0.125, 0.9), [])
