from tests.support.crowd_case import BODY_BYTES, CrowdCase, request_head
from tests.support.uncontrolled_callers import CHUNK

CALLERS = 60
"""The callers of each sort."""


class MixedCrowdTest(CrowdCase):
    """All sorts of callers at once, who come again when they are refused or cut.

    It guards against a process that bounds each sort, and not their sum.
    """

    memory_mb = 128
    max_fds = 1_000
    replicas = 4
    settle_s = 8.0

    def test_all_sorts_at_once(self):
        body = request_head("/calls/x", f"Content-Length: {BODY_BYTES}")
        unfinished = [body, *[b"x" * CHUNK] * (BODY_BYTES // CHUNK - 1)]
        self.crowd.hold_unfinished(unfinished, CALLERS)
        self.crowd.hold_trickling([body], CALLERS)
        for path in ("/calls/large", "/calls/endless", "/streams/x"):
            head = request_head(path, "Content-Length: 0", "Connection: close")
            self.crowd.hold_slow_readers([head], CALLERS)
        self.assert_held()
