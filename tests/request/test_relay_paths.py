import unittest

import eventlet

from boragedeck.version.routing import CallKind, RelayPool
from tests.support.cut_fleet import Cut, CutFleet
from tests.support.replicas import (
    ENGINE,
    ScriptedReplica,
    answer,
    call_rule,
    events,
    report_model,
    stream_rule,
)

ROUTERS = 9
FEW = (1, 4)
HALF = (0, 2, 4, 6, 8)
DETECTION_S = 3.0
SERVED_SHARE = 0.9
"""First attempts at cut-off routers are served at least this often, against others."""
POOL = RelayPool("engines", 100, ENGINE)
ONCE_RULE = call_rule(CallKind.ONCE, goal_s=0.2, timeout_s=1.5)


def engine(step):
    """Return a step that also answers probes."""

    def serve(sock, req):
        is_probe = b"request-id" not in req.headers
        return (report_model if is_probe else step)(sock, req)

    return serve


class CutOffCase(unittest.TestCase):
    rule = ONCE_RULE
    pool = None
    step = staticmethod(engine(answer()))
    lines = ()

    def fleet(self, routers=ROUTERS, replicas=4):
        scripted = [
            ScriptedReplica(f"replica-{number}", self.step)
            for number in range(replicas)
        ]
        fleet = CutFleet(routers, scripted, rule=self.rule, pool=self.pool)
        self.addCleanup(fleet.close)
        return fleet

    def fetch(self, router, number, ms=1500):
        name = b"id-%d-%d" % (id(router), number)
        response = router.fetch(*self.lines, name=name, ms=ms)
        return response.status == 200 and response.is_complete

    def served(self, fleet, numbers, each=10, pause_s=0.03):
        """Return the share of first attempts at some routers that is served."""
        fetched = []
        for number in range(each):
            for router in numbers:
                args = self.fetch, fleet.routers[router], number
                fetched.append(eventlet.spawn(*args))
            eventlet.sleep(pause_s)
        return sum(thread.wait() for thread in fetched) / len(fetched)

    def assert_served_alike(self, cut, numbers):
        fleet = self.fleet()
        others = [each for each in range(ROUTERS) if each not in numbers]
        self.assertEqual(self.served(fleet, range(ROUTERS), each=2), 1.0)
        fleet.cut(cut, *numbers)
        self.served(fleet, numbers, each=10, pause_s=DETECTION_S / 10)
        reference = self.served(fleet, others)
        self.assertGreaterEqual(self.served(fleet, numbers), SERVED_SHARE * reference)
        self.assertGreaterEqual(reference, SERVED_SHARE)


class CutOffRouterCallsTest(CutOffCase):
    def test_calls_at_a_few_routers_whose_links_hang_are_served(self):
        self.assert_served_alike(Cut.HANG, FEW)

    def test_calls_at_half_of_the_routers_whose_links_hang_are_served(self):
        self.assert_served_alike(Cut.HANG, HALF)

    def test_calls_at_half_of_the_routers_whose_links_are_reset_are_served(self):
        self.assert_served_alike(Cut.RESET, HALF)

    def test_calls_at_half_of_the_routers_that_open_no_new_link_are_served(self):
        self.assert_served_alike(Cut.REFUSE, HALF)


class CutOffRouterStreamsTest(CutOffCase):
    rule = stream_rule()
    pool = POOL
    step = staticmethod(engine(events(*range(1, 9))))
    lines = (b"Token-Counts: 1000,100",)

    def test_streams_at_half_of_the_routers_whose_links_hang_are_served(self):
        self.assert_served_alike(Cut.HANG, HALF)

    def test_streams_at_half_of_the_routers_whose_links_are_reset_are_served(self):
        self.assert_served_alike(Cut.RESET, HALF)

    def test_streams_at_a_few_routers_that_open_no_new_link_are_served(self):
        self.assert_served_alike(Cut.REFUSE, FEW)
