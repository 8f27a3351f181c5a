"""Calls to a store that sends data without end."""

import time
import unittest

import eventlet

from boragedeck.connection.peer import Address
from boragedeck.connection.store import Table
from boragedeck.platform.store import CONNECT_TIMEOUT_S, FEED_SLACK_S, PlatformStore
from tests.support.flood import Flood
from tests.support.turns import MAX_BLOCK_S, BlockingMonitor

WAIT_S = 0.5
MARGIN_S = 0.3
"""How much later than a timer of the same length the call may end."""
MODES = ("status_line", "header", "headers", "interim", "body", "chunks", "no_http")


def end_of_sleep(seconds):
    """Return when a sleep ended that began now; a busy machine makes it late, too."""
    eventlet.sleep(seconds)
    return time.monotonic()


class EndlessStoreTest(unittest.TestCase):
    def test_call_times_out_without_blocking_green_threads(self):
        limit_s = CONNECT_TIMEOUT_S + WAIT_S + FEED_SLACK_S
        for pace in ("fast", "slow"):
            for mode in MODES:
                with self.subTest(mode=mode, pace=pace), Flood(mode, pace) as flood:
                    store = PlatformStore(Address("127.0.0.1", flood.port))
                    timer = eventlet.spawn(end_of_sleep, limit_s)
                    with BlockingMonitor() as turns:
                        result = store.changes(Table.ROUTING, 5, WAIT_S)
                    ended_at = time.monotonic()
                    self.assertTrue(result.is_err())
                    self.assertLess(ended_at, timer.wait() + MARGIN_S)
                    self.assertLess(turns.longest_block_s, MAX_BLOCK_S)
                    store.close()
                    eventlet.sleep(0)
