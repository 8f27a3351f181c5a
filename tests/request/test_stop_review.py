from tests.request.test_stops import StopCase
from tests.support.replicas import (
    stay_silent,
)


class PlaceFreedByTheStopTest(StopCase):
    def test_request_that_waits_is_not_sent_to_a_place_that_the_stop_has_freed(self):
        self.start_calls(stay_silent)
        for _ in range(30):
            self.harness.parts.durations.note("engines", 0.01)
        for number in range(40):
            self.send(name=b"running-%d" % number)
            if self.harness.admission.waiting():
                break
        waiting = [self.send(name=b"waiting-%d" % number) for number in range(4)]
        sent = len(self.replica.relayed())
        self.assertGreaterEqual(sent, 3)
        self.stop()
        self.assertEqual(len(self.replica.relayed()), sent)
        for sock in waiting:
            self.assert_not_run(sock)
