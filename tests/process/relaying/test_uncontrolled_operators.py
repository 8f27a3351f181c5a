import urllib3

from tests.support.crowd_case import CrowdCase
from tests.support.uncontrolled_callers import CallerCrowd

CONNECTIONS = 200
HALF_HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n"
HALF_QUESTION = (
    b"POST /-/explain HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + b"x" * 100
)
TIMEOUT_S = 30.0


class OperatorPortsTest(CrowdCase):
    """Connections to the addresses for readiness, metrics and explanations.

    They guard against connections that use up the descriptors of the process.
    """

    def hold(self, url, data):
        """Open connections to an address, and send the beginning of a request."""
        found = urllib3.util.parse_url(url)
        crowd = CallerCrowd((found.host, found.port), self.pid)
        self.addCleanup(crowd.close)
        crowd.send_all([data] if data else [], CONNECTIONS)

    def assert_answered(self, url):
        status = urllib3.request("GET", url, timeout=TIMEOUT_S, retries=False).status
        self.assertEqual(status, 200)

    def ready_url(self):
        return f"http://{self.cluster.settings[0]['listen']['ready']}/"

    def metrics_url(self):
        return f"{self.cluster.operators_url(0)}/metrics"

    def check(self, url, data):
        self.hold(url, data)
        self.assert_answered(url)
        self.assert_held()

    def test_idle_connections_to_the_ready_address(self):
        self.check(self.ready_url(), b"")

    def test_half_heads_at_the_ready_address(self):
        self.check(self.ready_url(), HALF_HEAD)

    def test_idle_connections_to_the_metrics_address(self):
        self.check(self.metrics_url(), b"")

    def test_questions_that_stop_short(self):
        self.check(self.metrics_url(), HALF_QUESTION)
