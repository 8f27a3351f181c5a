from scripts.platform_cluster import ROUTE_HEADERS
from tests.support.crowd_case import BODY_BYTES, MB, CrowdCase, request_head
from tests.support.uncontrolled_callers import SLOW_RECEIVE_BYTES

KEPT = 8
REQUESTS = 10
SINGLE_REQUESTS = 20
AHEAD = 8
BODIES_AHEAD = 40


class WholeBodiesCase(CrowdCase):
    """Callers that send whole bodies one after the other, as they may."""

    def send_whole(self, size, connections, times):
        headers = ROUTE_HEADERS | {"Request-Id": "whole"}
        body = b"x" * size
        self.crowd.repeat("/calls/small", headers, body, count=connections, times=times)
        self.assert_held()
        self.assertGreater(self.crowd.statuses[200], 0)


class WholeBodiesTest(WholeBodiesCase):
    """They guard against a process that holds bodies whose requests have ended."""

    def test_bodies_on_kept_connections(self):
        self.send_whole(MB, KEPT, REQUESTS)

    def test_large_bodies_on_one_connection_are_all_served(self):
        self.send_whole(BODY_BYTES, 1, SINGLE_REQUESTS)
        self.assertEqual(self.crowd.statuses, {200: SINGLE_REQUESTS})

    def test_bodies_that_are_sent_ahead(self):
        head = request_head("/calls/small", f"Content-Length: {MB}")
        parts = [head + b"x" * MB] * BODIES_AHEAD
        self.crowd.send_all(parts, AHEAD, SLOW_RECEIVE_BYTES)
        self.assert_held()


class LargeBodiesTest(WholeBodiesCase):
    """The same with larger bodies, and room for several of them."""

    memory_mb = 128

    def test_large_bodies_on_kept_connections(self):
        self.send_whole(BODY_BYTES, KEPT, REQUESTS)
