import time
import unittest

import eventlet
import msgspec
from eventlet import patcher

from standins.rows import RowStore

WAIT_MS = 50
WAIT_S = WAIT_MS / 1000.0


class FeedTest(unittest.TestCase):
    def setUp(self):
        self.store = RowStore()

    def feed(self, after):
        fields = {"table": "op", "after": str(after), "waitMs": str(WAIT_MS)}
        return msgspec.json.decode(self.store.serve("rows-feed", fields, b"").body)

    def test_change_at_the_end_of_a_wait_is_passed_over(self):
        sleep_still = patcher.original("time").sleep
        waiting = eventlet.spawn(self.feed, 0)
        eventlet.sleep(0.0)
        # The wait is over, but the process hasn't noticed yet.
        sleep_still(2.0 * WAIT_S)
        ver = self.store.put("op", "config", b"new")
        answer = waiting.wait()
        keys = [row["key"] for row in answer["rows"]]
        self.assertTrue(keys == ["config"] or answer["ver"] < ver, answer)

    def test_wait_without_a_change_ends_with_its_time(self):
        ver = self.store.put("op", "config", b"new")
        began = time.monotonic()
        self.assertEqual(self.feed(ver)["rows"], [])
        self.assertGreaterEqual(time.monotonic() - began, 0.9 * WAIT_S)
