from unittest import mock

import eventlet

from boragedeck.version.routing import CallKind
from tests.request.test_stops import LONG_S, StopCase, beside_probes
from tests.support.replicas import ScriptedReplica, answer, read_response

SOON_S = 0.3


def late(step):
    """Return a step that waits before it answers."""

    def serve(sock, req):
        eventlet.sleep(SOON_S)
        return step(sock, req)

    return serve


class UnreadAnswerTest(StopCase):
    """A hedge fails, and the call's first answer arrives while a repeat is asked."""

    def start_hedged(self, first, asking_s):
        self.start_calls(late(first), kind=CallKind.IDEMPOTENT, max_attempts=5)
        failing = ScriptedReplica("two", beside_probes(answer(b"bad", 500)))
        self.harness.add(failing, domain="b")
        hedge_early = mock.patch("boragedeck.request.relay_call.HEDGE_DELAY_SHARE", 0.1)
        hedge_early.start()
        self.addCleanup(hedge_early.stop)
        self.asked = 0
        self.asking_s = asking_s
        self.harness.parts.retries.take = self.take_repeat

    def take_repeat(self, pool):
        """Grant the hedge, and ask the hubs for the next repeat in vain."""
        self.asked += 1
        if self.asked == 1:
            return True
        eventlet.sleep(self.asking_s)
        return False

    def test_success_that_arrives_while_a_repeat_is_asked_for_is_lost(self):
        self.start_hedged(answer(b"whole"), asking_s=2 * SOON_S)
        response = read_response(self.send())
        self.assertEqual((response.status, response.body), (200, b"whole"))

    def test_success_that_nobody_has_read_is_lost_at_the_end_of_the_stop(self):
        self.start_hedged(answer(b"whole"), asking_s=LONG_S)
        sock = self.send()
        self.stop()
        response = read_response(sock)
        self.assertEqual((response.status, response.body), (200, b"whole"))

    def test_failure_that_nobody_has_read_is_replaced_at_the_end_of_the_stop(self):
        self.start_hedged(answer(b"worse", 504), asking_s=LONG_S)
        sock = self.send()
        self.stop()
        response = read_response(sock)
        self.assertEqual((response.status, response.body), (504, b"worse"))
