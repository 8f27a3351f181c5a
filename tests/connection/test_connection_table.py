import unittest

from boragedeck.connection.connection_table import (
    PEER_SHARE,
    ConnectionBounds,
    IdleConnection,
    choose_idle,
    connection_bounds,
)


class BoundsTest(unittest.TestCase):
    """They guard against more connections than the process has descriptors for."""

    def test_callers_may_use_half_of_the_descriptors(self):
        self.assertEqual(connection_bounds(1_638, 3_000), ConnectionBounds(819, 81))
        self.assertEqual(connection_bounds(128, 3_000, PEER_SHARE).served, 16)

    def test_many_descriptors_change_nothing(self):
        self.assertEqual(connection_bounds(None, 3_000), ConnectionBounds(3_000, 300))
        self.assertEqual(connection_bounds(8_192, 3_000), ConnectionBounds(3_000, 300))


class ChooseIdleTest(unittest.TestCase):
    def test_longest_idle_of_the_address_with_most_connections_is_closed(self):
        idle = [
            IdleConnection("x", "10.0.0.1", 1.0),
            IdleConnection("y", "10.0.0.2", 3.0),
            IdleConnection("z", "10.0.0.2", 2.0),
        ]
        addresses = ["10.0.0.1", "10.0.0.2", "10.0.0.2"]
        self.assertEqual(choose_idle(addresses, idle).key, "z")

    def test_none_is_closed_if_none_is_idle(self):
        self.assertIsNone(choose_idle(["10.0.0.1"], []))
