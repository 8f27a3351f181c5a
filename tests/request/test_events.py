import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from boragedeck.request.events import (
    MAX_EVENT_BYTES,
    EventError,
    EventOrderError,
    EventSplitter,
)


def stream(first, last):
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1))


class EventSplitterTest(unittest.TestCase):
    @given(st.lists(st.integers(0, 200)))
    def test_any_split_gives_the_same_events(self, places):
        data = stream(1, 9)
        cuts = sorted({0, len(data), *(place % len(data) for place in places)})
        splitter = EventSplitter(None)
        found = []
        for begin, end in itertools.pairwise(cuts):
            found += splitter.feed(data[begin:end])
        self.assertEqual([event.number for event in found], list(range(1, 10)))
        self.assertEqual(b"".join(event.data for event in found), data)
        self.assertFalse(splitter.has_partial_event)

    def test_event_that_is_cut_off_is_not_returned(self):
        splitter = EventSplitter(None)
        found = splitter.feed(stream(1, 2) + b"id: 3\nda")
        self.assertEqual([event.number for event in found], [1, 2])
        self.assertTrue(splitter.has_partial_event)

    def test_missing_event_is_an_error(self):
        splitter = EventSplitter(4)
        with self.assertRaises(EventError):
            splitter.feed(stream(6, 6))

    def test_repeated_event_is_an_error(self):
        splitter = EventSplitter(4)
        with self.assertRaises(EventOrderError):
            splitter.feed(stream(4, 4))

    def test_run_whose_first_events_are_missing_is_an_error(self):
        for first in (2, 3, 100):
            with self.subTest(first=first), self.assertRaises(EventOrderError):
                EventSplitter(None).feed(stream(first, first + 1))

    def test_run_may_begin_at_none_or_one(self):
        for first in (0, 1):
            with self.subTest(first=first):
                found = EventSplitter(None).feed(stream(first, first + 1))
                self.assertEqual(len(found), 2)

    def test_continues_after_the_last_event(self):
        splitter = EventSplitter(4)
        self.assertEqual(len(splitter.feed(stream(5, 6))), 2)
        self.assertEqual(splitter.last_number, 6)

    def test_id_that_is_not_a_number_is_an_error(self):
        with self.assertRaises(EventError):
            EventSplitter(None).feed(b"id: x\n\n")

    def test_endless_event_is_an_error(self):
        with self.assertRaises(EventError):
            EventSplitter(None).feed(b"x" * (MAX_EVENT_BYTES + 1))
