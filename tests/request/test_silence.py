import unittest

from boragedeck.process.membership.pulse import UpstreamActivity
from boragedeck.request.silence import GapEstimator


class GapHistoryTest(unittest.TestCase):
    def setUp(self):
        self.activity = UpstreamActivity()
        self.streams = [GapEstimator() for _ in range(4)]
        for stream in self.streams:
            stream.compare_with(self.activity)

    def send_output(self, streams, start, seconds, gap_s):
        now = start
        while now < start + seconds:
            for stream in streams:
                stream.note(now)
            now += gap_s
        return now

    def test_stream_silent_alone_has_the_limit_of_its_own_gaps(self):
        now = self.send_output(self.streams, 0.0, 5.0, 0.03)
        self.send_output(self.streams[1:], now, 0.5, 0.03)
        self.assertLess(self.streams[0].suspect_after_s(), 0.5)

    def test_streams_silent_together_have_a_higher_limit(self):
        self.send_output(self.streams, 0.0, 5.0, 0.03)
        for stream in self.streams:
            self.assertGreaterEqual(stream.suspect_after_s(), 1.4)
            self.assertLess(stream.suspect_after_s(), 2.0)

    def test_slow_engine_raises_the_limit_of_all_its_streams(self):
        now = self.send_output(self.streams, 0.0, 5.0, 0.03)
        now = self.send_output(self.streams, now, 4.0, 0.4)
        self.send_output(self.streams[1:], now, 0.3, 0.3)
        self.assertGreater(self.streams[0].suspect_after_s(), 1.0)

    def test_single_stream_has_the_limit_of_its_own_gaps(self):
        stream = GapEstimator()
        stream.compare_with(UpstreamActivity())
        self.send_output([stream], 0.0, 5.0, 0.03)
        self.assertLess(stream.suspect_after_s(), 0.5)
