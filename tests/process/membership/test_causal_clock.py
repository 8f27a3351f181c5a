import unittest

import msgspec

from boragedeck.connection.messages import Frame
from boragedeck.process.membership.causal_clock import MAX_CLOCK_US, CausalClock


class OldFrame(msgspec.Struct, frozen=True, array_like=True):
    number: int
    is_answer: bool
    body: msgspec.Raw


class CausalClockTest(unittest.TestCase):
    def test_values_grow_while_the_wall_clock_steps_back(self):
        times = iter([5.0, 3.0, 3.0, 6.0])
        clock = CausalClock(lambda: next(times))
        values = [clock.tick() for _ in range(4)]
        self.assertEqual(values, [5_000_000, 5_000_001, 5_000_002, 6_000_000])

    def test_next_value_exceeds_an_observed_one(self):
        clock = CausalClock(lambda: 1.0)
        clock.observe(9_000_000)
        self.assertEqual(clock.tick(), 9_000_001)

    def test_values_out_of_range_are_ignored(self):
        clock = CausalClock(lambda: 1.0)
        for seen in (-1, 0, MAX_CLOCK_US + 1, 2**64 - 1):
            clock.observe(seen)
        self.assertEqual(clock.tick(), 1_000_000)

    def test_value_does_not_exceed_the_maximum(self):
        clock = CausalClock(lambda: 1.0)
        clock.observe(MAX_CLOCK_US)
        self.assertEqual(clock.tick(), MAX_CLOCK_US)


class FrameTest(unittest.TestCase):
    def test_old_and_new_frames_decode_as_each_other(self):
        body = msgspec.Raw(msgspec.msgpack.encode("x"))
        old = msgspec.msgpack.encode(OldFrame(7, True, body))
        new = msgspec.msgpack.encode(Frame(7, True, body, 123))
        self.assertEqual(msgspec.msgpack.decode(old, type=Frame).clock, 0)
        self.assertEqual(msgspec.msgpack.decode(new, type=Frame).clock, 123)
        self.assertEqual(msgspec.msgpack.decode(new, type=OldFrame).number, 7)
