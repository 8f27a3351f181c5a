import unittest
import unittest.mock

from boragedeck.ids import ExecutionStatus
from boragedeck.request.intents import IntentState
from standins.memory import Faults
from tests.request.world import World


class CommandTest(unittest.TestCase):
    def setUp(self):
        self.world = World()

    def send_request(self, number, key, body=b"", advance_s=20.0):
        pending_answer = self.world.send_request(number, key, body)
        self.world.timers.advance(advance_s)
        return pending_answer.wait()

    def state(self):
        (row,) = self.world.rows().values()
        return row.state

    def test_the_same_key_gets_the_recorded_outcome_everywhere(self):
        for number in (0, 0, 1, 2):
            self.assertEqual(self.send_request(number, "k").ok().body, b"k/1")

    def test_another_body_under_the_same_key_is_refused(self):
        self.send_request(0, "k", b"one")
        for number in (0, 1):
            self.assertEqual(self.send_request(number, "k", b"two").err().status, 422)
        self.assertEqual(self.world.runs["k"], 1)

    def test_the_same_key_at_once_on_all_routers_runs_once(self):
        pending_answers = [
            self.world.send_request(number, "k") for number in (0, 1, 2, 0, 1, 2)
        ]
        self.world.timers.advance(20.0)
        self.assertEqual({one.wait().ok().body for one in pending_answers}, {b"k/1"})

    def test_a_refused_connection_goes_to_another_replica(self):
        self.world.service_faults["refuse"] = 2
        self.assertEqual(self.send_request(0, "k").ok().body, b"k/1")

    def test_a_command_that_reached_no_replica_can_be_sent_again(self):
        self.world.service_faults["refuse"] = 3
        refused = self.send_request(0, "k").err()
        self.assertEqual((refused.ran, refused.status), (ExecutionStatus.NO, 503))
        self.assertIs(self.state(), IntentState.ABANDONED)
        self.assertEqual(self.send_request(1, "k").ok().body, b"k/1")

    def test_a_broken_connection_is_an_unknown_outcome(self):
        self.world.service_faults["crash after run"] = 1
        for number in (0, 0, 1):
            error = self.send_request(number, "k").err()
            self.assertEqual(
                (error.ran, error.code), (ExecutionStatus.UNKNOWN, "outcome_unknown")
            )
        self.assertEqual(self.world.runs["k"], 1)

    def test_a_late_outcome_reaches_the_caller_who_retries(self):
        self.world.service_faults["late"] = 1
        first = self.send_request(0, "k", advance_s=9.0).err()
        self.assertEqual((first.status, first.ran), (504, ExecutionStatus.UNKNOWN))
        self.world.timers.advance(10.0)
        self.assertEqual(self.send_request(1, "k").ok().body, b"k/1")

    def test_a_large_response_goes_through_the_object_store(self):
        key = "k" * 250
        with unittest.mock.patch(
            "boragedeck.process.answering.intent_settler.MAX_INLINE_BODY_BYTES", 100
        ):
            self.send_request(0, key)
        self.assertIsNone(next(iter(self.world.rows().values())).response.body)
        self.assertEqual(self.send_request(1, key).ok().body, f"{key}/1".encode())

    def test_a_store_that_is_down_refuses_at_once(self):
        self.world.platform.faults = Faults(down=True)
        for _ in range(3):
            refused = self.send_request(0, None, advance_s=0.1).err()
            self.assertEqual((refused.status, refused.ran), (503, ExecutionStatus.NO))
            self.assertGreater(refused.retry_after_s, 0.0)
        self.assertEqual(
            self.send_request(0, "k", advance_s=0.1).err().ran, ExecutionStatus.UNKNOWN
        )
        self.world.platform.calls.clear()
        for _ in range(600):
            self.assertTrue(self.send_request(0, "k", advance_s=1.0).is_err())
        # Only probes reach the store: one per 5 s, with jitter.
        self.assertLess(self.world.platform.calls.total(), 600 / 4.0 + 10)
        self.world.heal()
        self.assertEqual(self.send_request(0, "k").ok().body, b"k/1")

    def test_an_outcome_survives_a_store_outage(self):
        self.world.fault_at = ("ran", lambda world, router: down(world))
        self.assertEqual(self.send_request(0, "k").ok().body, b"k/1")
        self.world.timers.advance(600.0)
        self.assertEqual(self.send_request(0, "k").ok().body, b"k/1")
        self.world.heal()
        self.assertEqual(self.send_request(1, "k").ok().body, b"k/1")

    def test_the_outcome_is_unknown_at_once_if_the_owning_router_is_gone(self):
        self.world.fault_at = ("connected", lambda world, router: router.kill())
        pending_answer = self.world.send_request(0, "k")
        self.world.timers.advance(1.0)
        error = self.send_request(1, "k", advance_s=0.5).err()
        self.assertEqual(
            (error.code, error.ran), ("outcome_unknown", ExecutionStatus.UNKNOWN)
        )
        pending_answer.kill()


def down(world):
    world.platform.faults = Faults(down=True)
