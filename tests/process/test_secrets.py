import hashlib
import http.client
import tempfile
import unittest
from pathlib import Path

import eliot
import eventlet
from eventlet import wsgi

from boragedeck.connection.platform import HttpPlatform
from boragedeck.exceptions import SettingsError
from boragedeck.process.composition import Router
from boragedeck.process.membership.peer_guard import make_guard
from boragedeck.process.settings import parse_settings
from boragedeck.process.timers import RealTimers
from boragedeck.version.config_store import ConfigStore
from boragedeck.version.tables import Config, Organisation
from standins.memory import MemoryPlatform
from standins.platform import PlatformApp
from tests.support.certificates import make_authority, make_certificate

CURRENT_SECRET, PREVIOUS_SECRET = (
    "current-secret-of-routers",
    "previous-secret-of-routers",
)
API_KEY, WRONG_KEY = "sk-right-key-of-a-caller", "sk-wrong-key-of-a-caller"


class SecretsTest(unittest.TestCase):
    """Logs, status and metrics of two routers with both guards contain no secret."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        make_authority(self.folder, "ca")
        make_certificate(self.folder, "router", "ca")
        make_certificate(self.folder, "other", "ca")
        (self.folder / "secret").write_text(f"{CURRENT_SECRET}\n{PREVIOUS_SECRET}\n")
        self.logs = []
        eliot.add_destinations(self.logs.append)
        self.addCleanup(eliot.remove_destination, self.logs.append)

    def settings(self, url="http://127.0.0.1:1", vm="vm-1", key="router.key"):
        files = ("tls-cert", "router.pem"), ("tls-key", key), ("tls-ca", "ca.pem")
        files += (("peer-secret-file", "secret"),)
        flags = ["--listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0", f"--vm={vm}"]
        flags += ["--failure-domain=fd-1", f"--platform-url={url}", "--drain-s=0"]
        flags += [f"--{flag}={self.folder / name}" for flag, name in files]
        return parse_settings(flags, {}).unwrap()

    def platform(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        app = PlatformApp(MemoryPlatform())
        eventlet.spawn_n(wsgi.server, listener, app, log_output=False)
        self.addCleanup(listener.close)
        url = "http://{}:{}".format(*listener.getsockname())
        store = ConfigStore(HttpPlatform(url), RealTimers())
        digest = hashlib.sha256(API_KEY.encode()).hexdigest()
        cfg = Config(organisations=(Organisation("acme", (digest,)),))
        store.apply(store.read().unwrap(), cfg, author="test", apply_id="one")
        return url

    def get(self, router, path, key):
        address = router.http_address
        conn = http.client.HTTPConnection(address.host, address.port, timeout=10)
        self.addCleanup(conn.close)
        conn.request("GET", path, headers={"Authorization": f"Bearer {key}"})
        response = conn.getresponse()
        return response.status, response.read()

    def test_logs_status_and_metrics_contain_no_secret(self):
        url = self.platform()
        routers = [Router(self.settings(url, vm)) for vm in ("vm-1", "vm-2")]
        for router in routers:
            router.start()
            self.addCleanup(router.drain)
        first, second = routers
        with eventlet.Timeout(30):
            while not all(router._membership.members() for router in routers):
                eventlet.sleep(0.05)
            while self.get(first, "/v1/models", API_KEY)[0] != 200:
                eventlet.sleep(0.05)
        self.assertEqual(self.get(second, "/v1/models", WRONG_KEY)[0], 401)
        non_peer_sock = eventlet.connect(
            (first.own.address.host, first.own.address.port)
        )
        non_peer_sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
        non_peer_sock.recv(100)
        non_peer_sock.close()
        pages = [
            self.get(first, path, API_KEY)[1] for path in ("/-/status", "/metrics")
        ]
        exposed = repr(self.logs) + repr(pages)
        self.assertIn("peer: connection ended", exposed)
        key = (self.folder / "router.key").read_text().splitlines()[1]
        for secret in (CURRENT_SECRET, PREVIOUS_SECRET, API_KEY, WRONG_KEY, key):
            self.assertNotIn(secret, exposed)

    def test_key_of_another_certificate_is_a_settings_error(self):
        with self.assertRaises(SettingsError) as caught:
            make_guard(self.settings(key="other.key"))
        self.assertNotIn(CURRENT_SECRET, str(caught.exception))
