import unittest

from boragedeck.process.relaying.crashes.crash_messages import (
    CrashSuspect,
    part_signature,
    request_signature,
)
from boragedeck.process.relaying.crashes.crash_row import (
    EMPTY_ROW,
    MAX_CRASHES,
    MAX_ROW_BYTES,
    MAX_VERDICTS,
    CrashRow,
    StoredCrash,
    StoredVerdict,
    decode_row,
    encode_row,
)
from boragedeck.process.relaying.replicas.replica_state import Run


def verdict(name="deadly", trials=0, decided_at=1.0):
    return StoredVerdict(request_signature("p", name), trials, 30.0, decided_at)


def crash(run="one", *fingerprints, at=1.0):
    suspects = tuple(CrashSuspect(each) for each in fingerprints or ("deadly",))
    return StoredCrash(Run(run, 1), "p", "d", "v1", True, at, suspects)


class CrashRowTest(unittest.TestCase):
    def test_row_is_decoded_as_it_was_encoded(self):
        parts = StoredVerdict(part_signature("p", "x", "y"), 2, 480.0, 5.5)
        row = CrashRow((verdict(), parts), (crash("one", "a", "b"),))
        self.assertEqual(decode_row(encode_row(row)).ok(), row)

    def test_row_of_another_writer_is_an_error(self):
        for body in (b"", b"{", b"[1]", b'{"verdicts": 3}', b"\xff"):
            self.assertTrue(decode_row(body).is_err())

    def test_row_of_a_newer_build_is_decoded(self):
        body = b'{"verdicts": [], "crashes": [], "more": 1}'
        self.assertEqual(decode_row(body).ok(), EMPTY_ROW)

    def test_row_is_bounded_and_keeps_what_is_newest(self):
        verdicts = tuple(verdict(f"{n:0100}", 0, n) for n in range(2 * MAX_VERDICTS))
        names = [f"{n:0200}" for n in range(8)]
        crashes = tuple(crash(f"r{n}", *names) for n in range(4 * MAX_CRASHES))
        body = encode_row(CrashRow(verdicts, crashes))
        self.assertLessEqual(len(body), MAX_ROW_BYTES)
        row = decode_row(body).ok()
        self.assertEqual(row.verdicts, verdicts[-MAX_VERDICTS:])
        self.assertEqual(row.crashes, crashes[-len(row.crashes) :])

    def test_time_alone_is_no_news(self):
        stored = CrashRow((verdict(),), (crash(),))
        later = CrashRow((verdict(decided_at=2.0),), (crash(at=2.0),))
        self.assertFalse(later.has_news_for(stored))

    def test_cleared_or_expired_suspects_are_no_news(self):
        stored = CrashRow((), (crash("one", "a", "b"), crash("two", "c")))
        self.assertFalse(CrashRow((), (crash("one", "b"),)).has_news_for(stored))
        self.assertFalse(EMPTY_ROW.has_news_for(stored))

    def test_verdicts_trials_and_suspects_are_news(self):
        stored = CrashRow((verdict(),), (crash(),))
        for row in (
            CrashRow((), (crash(),)),
            CrashRow((verdict("other"),), (crash(),)),
            CrashRow((verdict(trials=1),), (crash(),)),
            CrashRow((verdict(),), (crash(), crash("two"))),
            CrashRow((verdict(),), (crash("one", "deadly", "more"),)),
        ):
            self.assertTrue(row.has_news_for(stored))
