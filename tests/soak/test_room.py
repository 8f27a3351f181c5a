import unittest

import eventlet

from soak.room import MAX_WAITING, Places, Room


class PlacesTest(unittest.TestCase):
    def setUp(self):
        self.places = Places(Room({}, slots=2, tokens=100))
        self.may_wait = True
        self.granted = []

    def ask(self, name, tokens):
        def wait():
            if self.places.wait(tokens, lambda: self.may_wait):
                self.granted.append(name)

        eventlet.spawn(wait)
        eventlet.sleep(0)

    def free(self, tokens):
        self.places.free(tokens)
        eventlet.sleep(0.1)

    def test_requests_wait_for_a_slot_in_turn(self):
        for name in "abcd":
            self.ask(name, 1)
        self.assertEqual(self.granted, ["a", "b"])
        self.free(1)
        self.assertEqual(self.granted, ["a", "b", "c"])

    def test_request_waits_for_memory_and_so_do_those_behind_it(self):
        self.ask("a", 80)
        self.ask("large", 30)
        self.ask("small", 1)
        self.assertEqual(self.granted, ["a"])
        self.free(80)
        self.assertEqual(self.granted, ["a", "large", "small"])

    def test_request_that_may_not_wait_on_leaves_the_queue(self):
        self.ask("a", 100)
        self.ask("b", 100)
        self.may_wait = False
        eventlet.sleep(0.1)
        self.ask("c", 0)
        self.assertEqual(self.granted, ["a", "c"])

    def test_queue_is_short(self):
        for number in range(2 + MAX_WAITING):
            self.ask(number, 0)
        self.assertFalse(self.places.wait(0, lambda: self.fail("it waits")))
