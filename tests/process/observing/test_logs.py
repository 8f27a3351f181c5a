import unittest

import eliot

from boragedeck.process.membership.causal_clock import process_clock
from boragedeck.process.observing.logs import PartLog


class PartLogTest(unittest.TestCase):
    def test_messages_are_numbered_and_ordered(self):
        messages = []
        eliot.add_destinations(messages.append)
        self.addCleanup(eliot.remove_destination, messages.append)
        log = PartLog("part")
        log.write("First.", answer="org/x")
        seen = process_clock.value + 1_000_000
        process_clock.observe(seen)
        log.write("Second.")
        # Eliot also sends earlier messages to the first destination of a process.
        first, second = [m for m in messages if m["message_type"] == "part"]
        self.assertEqual((first["text"], first["answer"]), ("part: First.", "org/x"))
        self.assertEqual(second["seq"], first["seq"] + 1)
        self.assertGreater(second["clock"], seen)
