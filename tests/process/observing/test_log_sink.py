import os
import unittest

import eventlet
import msgspec
from eventlet.patcher import original

from boragedeck.process.observing.log_sink import (
    MAX_LINES_PER_S,
    MAX_QUEUED_LINES,
    RETRY_INTERVAL_S,
    LogSink,
)

# Eventlet's patched `os.read` would wait for the writer.
read_now = original("os").read


class LogSinkTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.reader, False)
        self.sink = LogSink(self.writer)
        self.addCleanup(self.stop)

    def stop(self):
        self.sink._lines.clear()
        eventlet.sleep(2 * RETRY_INTERVAL_S)

    def read(self):
        data = b""
        while True:
            try:
                part = read_now(self.reader, 65_536)
            except BlockingIOError:
                return data
            if not part:
                return data
            data += part

    def test_lines_are_written_in_order(self):
        for number in range(3):
            self.sink({"timestamp": 1000.0 + number, "n": number})
        eventlet.sleep(0)
        lines = [msgspec.json.decode(line)["n"] for line in self.read().splitlines()]
        self.assertEqual(lines, [0, 1, 2])

    def test_values_that_json_does_not_support_are_written_as_text(self):
        self.sink({"timestamp": 1000.0, "error": ValueError("x")})
        self.sink.flush()
        self.assertIn(b"ValueError", self.read())

    def test_lines_beyond_the_rate_limit_are_dropped_and_counted(self):
        for number in range(5 * MAX_LINES_PER_S):
            self.sink({"timestamp": 1000.0, "n": number})
        self.assertEqual(self.sink.dropped, 4 * MAX_LINES_PER_S)

    def test_stalled_reader_does_not_block_the_sink(self):
        line = {"text": "x" * 1000}
        with eventlet.Timeout(5.0):
            for second in range(40):
                for _ in range(MAX_LINES_PER_S):
                    self.sink({"timestamp": 1000.0 + second, **line})
                eventlet.sleep(0)
        self.assertGreater(self.sink.dropped, 0)
        self.assertLessEqual(len(self.sink._lines), MAX_QUEUED_LINES)
        size = len(self.read())
        eventlet.sleep(0.1)
        self.assertGreater(len(self.read()), 0)
        self.assertGreater(size, 0)
