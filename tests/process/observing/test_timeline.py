import os
import pathlib
import tempfile
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from boragedeck.process.membership.causal_clock import CausalClock
from boragedeck.process.observing.timeline import EventFilter, merge, read_events
from boragedeck.process.observing.timeline_views import html_page, text_lines

PROCESSES = 4
SKEW_S = 3600.0
LIMIT = 1000
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
FIELD_NAMES = ("clock", "seq", "timestamp", "text", "router", "answer", "run", "pid")


class LoggingProcesses:
    """Simulates processes with wrong clocks that log and send messages."""

    def __init__(self, skews):
        self.now = 1_000_000.0
        self.clocks = [CausalClock(lambda skew=skew: self.now + skew) for skew in skews]
        self.skews = skews
        self.causal_pasts = [set() for _ in skews]
        self.in_flight = []
        self.logs = [[] for _ in skews]
        self.causes = {}

    def log(self, process):
        number = len(self.causes)
        self.causes[number] = set(self.causal_pasts[process])
        self.causal_pasts[process].add(number)
        message = {
            "text": f"event {number}",
            "number": number,
            "router": f"r{process}",
            "clock": self.clocks[process].tick(),
            "seq": len(self.logs[process]) + 1,
            "timestamp": self.now + self.skews[process],
        }
        self.logs[process].append(msgspec.json.encode(message) + b"\n")

    def send(self, process):
        past = set(self.causal_pasts[process])
        self.in_flight.append((self.clocks[process].value, past))

    def receive(self, process, message_index):
        if self.in_flight:
            value, past = self.in_flight.pop(message_index % len(self.in_flight))
            self.clocks[process].observe(value)
            self.causal_pasts[process] |= past


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["log", "send", "receive"]),
        st.integers(0, PROCESSES - 1),
        st.integers(0, 5),
        st.floats(-2.0, 2.0),
    ),
    max_size=60,
)
SKEWS = st.lists(
    st.floats(-SKEW_S, SKEW_S), min_size=PROCESSES, max_size=PROCESSES
)  # fmt: skip


def read_bytes(*contents):
    with tempfile.TemporaryDirectory() as folder:
        paths = [pathlib.Path(folder, f"{i}.log") for i in range(len(contents))]
        for path, content in zip(paths, contents, strict=True):
            path.write_bytes(content)
        return merge(map(read_events, paths), EventFilter(), limit=LIMIT)


def lines(*messages):
    return b"".join(msgspec.json.encode(message) + b"\n" for message in messages)


def texts(timeline):
    return [event.text for event in timeline.events]


class CausalOrderTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(STEPS, SKEWS)
    def test_causes_precede_effects_despite_clock_skew(self, steps, skews):
        processes = LoggingProcesses(skews)
        for name, process, message_index, pause_s in steps:
            processes.now += pause_s
            match name:
                case "log":
                    processes.log(process)
                case "send":
                    processes.send(process)
                case "receive":
                    processes.receive(process, message_index)
        merged = read_bytes(*(b"".join(log) for log in processes.logs))
        order = [event.fields["number"] for event in merged.events]
        self.assertEqual(sorted(order), sorted(processes.causes))
        for i, number in enumerate(order):
            self.assertLessEqual(processes.causes[number], set(order[:i]))

    def test_restart_with_a_clock_behind_in_the_same_file(self):
        merged = read_bytes(
            lines({"text": "old", "clock": 900}, {"text": "new", "clock": 100}),
            lines({"text": "peer", "clock": 500}),
        )
        self.assertEqual(texts(merged), ["new", "peer", "old"])

    def test_message_without_a_clock_is_ordered_by_its_wall_time(self):
        merged = read_bytes(
            lines({"text": "router", "clock": 2_000_000}),
            lines({"text": "engine", "timestamp": 1.5}),
        )
        self.assertEqual(texts(merged), ["engine", "router"])


class ArbitraryInputTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.binary(max_size=400))
    def test_any_bytes_can_be_read_and_rendered(self, content):
        self.show(read_bytes(content))

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(st.dictionaries(st.sampled_from(FIELD_NAMES), JSON_VALUES), max_size=4)
    )
    def test_any_field_values_can_be_read_and_rendered(self, messages):
        merged = read_bytes(lines(*messages))
        self.assertEqual(len(merged.events) + merged.skipped, len(messages))
        self.show(merged)

    def test_incomplete_last_line_is_skipped(self):
        merged = read_bytes(lines({"text": "whole", "clock": 1}) + b'{"text": "to')
        self.assertEqual((texts(merged), merged.skipped), (["whole"], 1))

    def test_deeply_nested_and_too_long_lines_are_skipped(self):
        deep = b"[" * 500_000 + b"\n"
        endless = b"x" * (3 * 1024 * 1024) + b"\n"
        merged = read_bytes(deep + endless + lines({"text": "after"}))
        self.assertEqual((texts(merged), merged.skipped), (["after"], 2))

    def show(self, merged):
        for line in text_lines(merged):
            self.assertTrue(line.isprintable())
        page = html_page(merged, "any")
        page.encode()
        msgspec.json.encode(merged)
        self.assertNotIn("<script", page)


class EventFilterTest(unittest.TestCase):
    MESSAGES = (
        {"text": "answer", "answer": "org/a-1", "clock": 1, "timestamp": 1.0},
        {"text": "other", "answer": "org/a-10", "clock": 2, "timestamp": 2.0},
        {"text": "call", "request": "org/a-1", "clock": 3, "timestamp": 3.0},
        {"text": "engine", "run": "a-1-0f3c", "clock": 4, "timestamp": 4.0},
        {"text": "other run", "run": "a-1-2-0f3c", "clock": 5, "timestamp": 5.0},
        {"text": "rollout", "rollout": "orders/3", "clock": 6, "timestamp": 6.0},
    )

    def filtered_texts(self, **criteria):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "log")
            pathlib.Path(path).write_bytes(lines(*self.MESSAGES))
            return texts(
                merge([read_events(path)], EventFilter(**criteria), limit=LIMIT)
            )

    def test_filter_by_request_includes_its_engine_runs(self):
        expected = ["answer", "call", "engine"]
        self.assertEqual(self.filtered_texts(request="a-1"), expected)
        self.assertEqual(self.filtered_texts(request="org/a-1"), expected)
        self.assertEqual(self.filtered_texts(request="other/a-1"), ["engine"])

    def test_filter_by_rollout_takes_route_or_number(self):
        self.assertEqual(self.filtered_texts(rollout="orders"), ["rollout"])
        self.assertEqual(self.filtered_texts(rollout="orders/3"), ["rollout"])
        self.assertEqual(self.filtered_texts(rollout="orders/4"), [])

    def test_events_before_since_are_excluded(self):
        self.assertEqual(self.filtered_texts(since=6.0), ["rollout"])

    def test_latest_events_are_kept_within_the_limit(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "log")
            path.write_bytes(lines(*self.MESSAGES))
            merged = merge([read_events(path)], EventFilter(), limit=2)
        self.assertEqual(texts(merged), ["other run", "rollout"])
        self.assertEqual(merged.omitted, 4)


class PageTest(unittest.TestCase):
    def test_values_are_escaped_and_nothing_is_loaded(self):
        merged = read_bytes(
            lines({"text": "<script>x</script>", "router": "<b>", "q": '"><img src=x>'})
        )
        page = html_page(merged, "<title>")
        for text in ("<script", "<img", "<b>", "http://", "https://"):
            self.assertNotIn(text, page)
