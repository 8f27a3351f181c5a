import unittest

import eventlet
import msgspec
import urllib3

from boragedeck.process.composition import Router
from boragedeck.process.settings import parse_settings
from boragedeck.process.status import Status
from standins.platform import PlatformApp
from standins.web import listen, serve, url_of


class RouterTest(unittest.TestCase):
    def test_parts_are_joined_and_report(self):
        listener = listen()
        platform = eventlet.spawn(serve, PlatformApp(), listener)
        self.addCleanup(platform.kill)
        arguments = [
            "--listen=127.0.0.1:0",
            "--peer-listen=127.0.0.1:0",
            "--vm=vm-1",
            "--failure-domain=d1",
            f"--platform-url={url_of(listener)}",
            "--drain-s=0",
        ]
        router = Router(parse_settings(arguments, {}).unwrap())
        router.start()
        self.addCleanup(router.drain)
        http = urllib3.PoolManager(retries=False)
        url = f"http://{router.http_address}"
        status = msgspec.json.decode(
            http.request("GET", f"{url}/-/status").data, type=Status
        )
        self.assertEqual((status.vm, status.quarantined), ("vm-1", []))
        metrics = http.request("GET", f"{url}/metrics").data
        self.assertIn(b"boragedeck_config_revision 0.0", metrics)
