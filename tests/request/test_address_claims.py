import unittest

import eventlet
import msgspec

from boragedeck.process.relaying.replicas.restraint import Reason
from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    event,
    events,
    moved,
    read_response,
    report_model,
    send_chunk,
    send_request,
    stay_silent,
    stream_rule,
)

TOKENS = b"Token-Counts: 1000,100"
POOL = RelayPool("engines", 100, ENGINE)
ANSWER_DELAY_S = 0.4


def finish_later(sock, req):
    """Send the second event, and the end, after the claim has been made."""
    eventlet.sleep(ANSWER_DELAY_S)
    send_chunk(sock, event(2))
    sock.sendall(b"0\r\n\r\n")
    return True


class AddressClaimTest(unittest.TestCase):
    def start(self, *steps, **fields):
        """Return a harness, the only replica, and a caller whose stream runs there."""
        harness = RelayHarness(stream_rule(**fields), pool=POOL)
        self.addCleanup(harness.close)
        one = ScriptedReplica("one", *steps)
        harness.registry.put(one.entry(born_ms=5))
        harness._replicas.append(one)
        sock = harness.connect()
        send_request(sock, TOKENS)
        eventlet.sleep(0.05)
        return harness, one, sock

    def claim(self, harness, one, **fields):
        values = {"replica": "other", "born_ms": 6} | fields
        harness.registry.put(msgspec.structs.replace(one.entry(), **values))

    def check_stream_goes_on(self, **fields):
        steps = events(1, ends=False, then=finish_later), report_model
        harness, one, sock = self.start(*steps, goal_s=60.0, gap_goal_s=60.0)
        self.claim(harness, one, **fields)
        response = read_response(sock)
        self.assertEqual(response.body, event(1) + event(2))
        self.assertTrue(response.is_complete)
        self.assertEqual(len(one.relayed()), 1)
        return harness

    def test_stream_is_cut_by_an_entry_of_an_unknown_service(self):
        harness = self.check_stream_goes_on(pool="no-such-service")
        self.assertTrue(harness.registry.get("one").takes_work)

    def test_stream_is_cut_by_an_entry_of_its_service(self):
        self.check_stream_goes_on()

    def test_stream_is_cut_by_an_entry_without_a_start_time(self):
        self.check_stream_goes_on(born_ms=0)

    def test_stream_stays_at_a_replica_whose_address_has_a_successor(self):
        steps = events(1, ends=False, then=stay_silent), moved, events(2)
        harness, one, sock = self.start(*steps, goal_s=60.0, gap_goal_s=60.0)
        self.claim(harness, one)
        with eventlet.Timeout(1.0):
            response = read_response(sock)
        self.assertEqual(response.body, event(1) + event(2))
        self.assertIsNone(harness.registry.get("one"))
        self.assertEqual(one.relayed()[1].headers[b"expect-instance"], b"other")

    def test_replica_that_asked_to_wait_is_asked_for_its_id(self):
        steps = events(1, ends=False, then=finish_later), report_model
        harness, one, sock = self.start(*steps, goal_s=60.0, gap_goal_s=60.0)
        until = harness.timers.now() + 60.0
        harness.registry.get("one").restraints.extend(Reason.HELD_OFF, until)
        self.claim(harness, one, pool="no-such-service")
        self.assertTrue(read_response(sock).is_complete)
        self.assertEqual(len(one.received), 1)

    def test_stream_stays_at_a_replica_whose_successor_answers_requests(self):
        steps = events(1, ends=False, then=stay_silent), report_model, events(2)
        harness, one, sock = self.start(*steps, goal_s=60.0, gap_goal_s=60.0)
        self.claim(harness, one)
        eventlet.sleep(0.05)
        harness.fetch(TOKENS, name=b"id-2")
        with eventlet.Timeout(1.0):
            self.assertEqual(read_response(sock).body, event(1) + event(2))


if __name__ == "__main__":
    unittest.main()
