from tests.support.crowd_case import CrowdCase, request_head

CALLERS = 600


class ManyConnectionsTest(CrowdCase):
    """Callers that connect, get one answer each and stay idle.

    They guard against a process that is busy with connections, and serves nobody.
    """

    memory_mb = 128
    max_fds = 1_638
    replicas = 4

    def test_callers_that_stay_idle(self):
        head = request_head("/calls/small", "Content-Length: 0")
        self.crowd.hold_unfinished([head], CALLERS)
        self.assert_held()
