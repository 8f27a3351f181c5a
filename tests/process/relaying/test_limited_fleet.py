import unittest

from tests.support.limited_fleet import WINDOW_S, LimitedFleet, LimitedReplica

CONTACT_S = 3.0


def allowed(per_s):
    """Return the requests that a limit allows in a window."""
    return 1.5 * per_s * WINDOW_S + 5


class LimitedFleetTest(unittest.TestCase):
    def test_routers_together_exceed_a_limit_that_they_were_told(self):
        for per_s in (1.5, 2.0, 8.0):
            limited = LimitedReplica("one", per_s)
            fleet = LimitedFleet(9, [limited, LimitedReplica("two")])
            fleet.run(20.0, 40.0)
            since = fleet.timers.now() - 20.0 + CONTACT_S
            most = limited.most_in_window(since, told_only=True)
            self.assertLessEqual(most, allowed(per_s), per_s)
