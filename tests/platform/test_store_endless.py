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
BUSY_MACHINE_MARGIN_S = 0.3
"""Allows for a machine that is busy with other programs."""
MODES = ("status_line", "header", "headers", "interim", "body", "chunks", "no_http")


class EndlessStoreTest(unittest.TestCase):
    def test_call_times_out_without_blocking_green_threads(self):
        limit_s = CONNECT_TIMEOUT_S + WAIT_S + FEED_SLACK_S
        for pace in ("fast", "slow"):
            for mode in MODES:
                with self.subTest(mode=mode, pace=pace), Flood(mode, pace) as flood:
                    store = PlatformStore(Address("127.0.0.1", flood.port))
                    start_s = time.monotonic()
                    with BlockingMonitor() as turns:
                        result = store.changes(Table.ROUTING, 5, WAIT_S)
                    self.assertTrue(result.is_err())
                    self.assertLess(
                        time.monotonic() - start_s, limit_s + BUSY_MACHINE_MARGIN_S
                    )
                    self.assertLess(turns.longest_block_s, MAX_BLOCK_S)
                    store.close()
                    eventlet.sleep(0)
