import itertools
import random
import unittest
from unittest import mock

from soak import pieces
from soak.pieces import HOLD_S, PieceHabits, PieceWriter

PIECES = [b"%d of the pieces;" % number for number in range(30)]
PIECE_S = 0.08
SEEDS = range(20)


class FakeSocket:
    def __init__(self):
        self.writes = []

    def sendall(self, data):
        self.writes.append(data)


class PieceWriterTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        clock = mock.patch.object(pieces.time, "monotonic", lambda: self.now)
        sleep = mock.patch.object(pieces.eventlet, "sleep", self.sleep)
        for each in (clock, sleep):
            each.start()
            self.addCleanup(each.stop)

    def sleep(self, seconds):
        self.now += seconds

    def write(self, habits, seed):
        sock = FakeSocket()
        writer = PieceWriter(sock, habits, random.Random(seed))
        times = []
        for piece in PIECES:
            before = len(sock.writes)
            writer.write(piece)
            times += [self.now] * (len(sock.writes) > before)
            self.sleep(PIECE_S)
        writer.end()
        self.assertEqual(b"".join(sock.writes), b"".join(PIECES))
        return sock.writes, times

    def test_bytes_are_lost_or_change_their_order(self):
        for habits in itertools.product((False, True), repeat=3):
            for seed in SEEDS:
                self.write(PieceHabits(*habits), seed)

    def test_pieces_are_written_as_they_are_without_a_habit(self):
        writes, _ = self.write(PieceHabits(), 1)
        self.assertEqual([each for each in writes if each], PIECES)

    def test_bytes_that_were_held_back_come_one_by_one(self):
        for seed in SEEDS:
            writes, times = self.write(PieceHabits(holds=True), seed)
            gaps = [after - before for before, after in itertools.pairwise(times)]
            if any(gap > HOLD_S[0] for gap in gaps):
                self.assertGreater(max(write.count(b";") for write in writes), 2)
            self.assertLess(max(gaps, default=0.0), HOLD_S[1] + 2 * PIECE_S)

    def test_no_write_holds_several_pieces(self):
        for seed in SEEDS:
            writes, _ = self.write(PieceHabits(joins=True), seed)
            self.assertGreater(max(write.count(b";") for write in writes), 1)

    def test_no_write_ends_inside_a_piece(self):
        for seed in SEEDS:
            writes, _ = self.write(PieceHabits(splits=True), seed)
            self.assertTrue(any(not write.endswith(b";") for write in writes))
