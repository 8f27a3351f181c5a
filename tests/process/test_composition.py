import http.client
import json
import unittest
from types import SimpleNamespace

import eventlet
from eventlet import wsgi
from result import Ok

from boragedeck.connection.platform import HttpPlatform
from boragedeck.process.composition import Router
from boragedeck.process.settings import parse_settings
from boragedeck.process.timers import RealTimers
from boragedeck.request.calls import CallRequest, CallResponse
from boragedeck.version.config_store import ConfigStore
from boragedeck.version.tables import Config
from standins.memory import MemoryPlatform
from standins.platform import PlatformApp


def serve_platform(case):
    """Serve a platform in memory during a test case, and return its URL."""
    listener = eventlet.listen(("127.0.0.1", 0))
    app = PlatformApp(MemoryPlatform())
    eventlet.spawn_n(wsgi.server, listener, app, log_output=False)
    case.addCleanup(listener.close)
    return "http://{}:{}".format(*listener.getsockname())


class CompositionTest(unittest.TestCase):
    """A router of all its parts becomes ready, reports its status and stops."""

    def setUp(self):
        url = serve_platform(self)
        store = ConfigStore(HttpPlatform(url), RealTimers())
        store.apply(store.read().ok(), Config(), author="test", apply_id="one")
        flags = ["--listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0", "--vm=vm-1"]
        flags += ["--failure-domain=fd-1", f"--platform-url={url}", "--drain-s=0"]
        self.router = Router(parse_settings(flags, {}).ok())
        self.router.start()

    def get(self, path):
        address = self.router.http_address
        conn = http.client.HTTPConnection(address.host, address.port, timeout=10)
        self.addCleanup(conn.close)
        conn.request("GET", path)
        response = conn.getresponse()
        return response.status, response.read()

    def test_router_becomes_ready_and_reports_its_status(self):
        with eventlet.Timeout(20):
            while self.get("/-/ready")[0] != 200:
                eventlet.sleep(0.05)
        status = json.loads(self.get("/-/status")[1])
        self.assertEqual(status["router"], self.router.own.router)
        self.assertEqual(status["config"]["revision"], 1)
        self.assertIn(b"boragedeck_tokens", self.get("/metrics")[1])

    def test_drained_router_accepts_no_connections(self):
        self.router.drain()
        with self.assertRaises(OSError):
            self.get("/-/ready")


class StopTest(unittest.TestCase):
    def test_router_that_stops_waits_for_a_call_that_may_be_repeated(self):
        url = serve_platform(self)
        flags = ["--listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0", "--vm=vm-1"]
        flags += ["--failure-domain=fd-1", f"--platform-url={url}", "--drain-s=5"]
        router = Router(parse_settings(flags, {}).ok())
        router.start()
        calls, answered = router._calls.calls, []
        call = SimpleNamespace(route=SimpleNamespace(repeatable=True), name="call")

        def run(call):
            eventlet.sleep(1.5)
            answered.append(call)
            return Ok(CallResponse(200))

        calls._validate = lambda req: Ok(call)
        calls._repeatables = SimpleNamespace(run=run)
        request = CallRequest("o", "pay", "GET", "/x", (), b"", "k")
        self.addCleanup(eventlet.spawn(calls.handle, request).kill)
        eventlet.sleep(0)
        router.drain()
        self.assertEqual(answered, [call])
