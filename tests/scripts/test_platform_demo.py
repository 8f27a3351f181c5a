import http.client
import signal
import tempfile
import unittest
from pathlib import Path

import eventlet
import msgspec
import urllib3
from eventlet.green import socket

from scripts.platform_demo import EVENTS, ROUTE_HEADERS, PlatformTrial

TIMEOUT_S = 20.0
FREEZE_S = 1.5
RECOVERY_S = 12.0


class PlatformDemoTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.trial = PlatformTrial(self.folder)
        self.codes = None
        self.addCleanup(self.stop)
        self.trial.add_engine("engine-1", "a")
        self.trial.add_engine("engine-2", "b")
        self.pool = urllib3.PoolManager(retries=False)
        self.addCleanup(self.pool.clear)

    def stop(self):
        if self.codes is None:
            self.codes = self.trial.stop()

    def ask(self, url, name="id-1", path="/answers/x"):
        return self.pool.request(
            "POST",
            url + path,
            headers=ROUTE_HEADERS | {"Request-Id": name, "Token-Counts": "100,40"},
            preload_content=False,
        )

    def read(self, response, at_event=None, do=None):
        body = b""
        with eventlet.Timeout(TIMEOUT_S):
            while part := response.read1(65_536):
                body += part
                if do is not None and b"id: %d\n" % at_event in body:
                    do, now = None, do
                    now()
        return body

    def log(self):
        text = Path(self.folder, "router-0.log").read_text()
        return [msgspec.json.decode(line) for line in text.splitlines()]

    def assert_whole(self, body):
        pieces = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1)]
        self.assertEqual(body, b"".join(pieces))

    def lose_serving_engine(self):
        engines = self.trial.engines
        name = next(name for name, e in engines.items() if e[0].served_ids)
        self.trial.lose_engine(name)

    def test_stream_survives_the_loss_of_its_engine(self):
        url = self.trial.add_router("a")
        response = self.ask(url)
        self.assert_whole(self.read(response, 10, self.lose_serving_engine))
        served = sum(len(e[0].served_ids) for e in self.trial.engines.values())
        self.assertEqual(served, 1)

    def connect(self, address):
        """Connect as soon as somebody listens."""
        host, port = address.split(":")
        with eventlet.Timeout(TIMEOUT_S):
            while True:
                try:
                    return socket.create_connection((host, int(port)))
                except ConnectionRefusedError:
                    eventlet.sleep(0.005)

    def test_caller_that_connects_while_a_router_starts_is_served(self):
        self.trial.add_router("a")
        self.trial.restart_router(0)
        listen = self.trial.settings[0]["listen"]
        sock = self.connect(listen["front"])
        self.addCleanup(sock.close)
        host, port = listen["ready"].split(":")
        with self.assertRaises(ConnectionRefusedError):
            # The rest of the process isn't there yet.
            socket.create_connection((host, int(port)))
        headers = ROUTE_HEADERS | {"Request-Id": "id-1", "Token-Counts": "100,40"}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["POST /answers/x HTTP/1.1", *lines, "Content-Length: 0"])
        sock.sendall(head.encode() + b"\r\n\r\n")
        response = http.client.HTTPResponse(sock, method="POST")
        with eventlet.Timeout(TIMEOUT_S):
            response.begin()
            self.assertEqual(response.status, 200)
            self.assert_whole(response.read())
        response.close()

    def test_changed_settings_cut_no_stream_off(self):
        url = self.trial.add_router("a")
        response = self.ask(url)

        def change():
            self.trial.write_settings(0, {"retryBudgetRatio": 0.1})
            self.trial.routers[0].send_signal(signal.SIGHUP)

        self.assert_whole(self.read(response, 3, change))
        reloads = [line for line in self.log() if line["text"] == "settings: Reloaded."]
        self.assertEqual([line["taken"] for line in reloads], [["bounds"]])

    def test_frozen_router_goes_on_with_its_stream(self):
        url = self.trial.add_router("a")
        response = self.ask(url)

        def freeze():
            self.trial.routers[0].send_signal(signal.SIGSTOP)
            eventlet.sleep(FREEZE_S)
            self.trial.routers[0].send_signal(signal.SIGCONT)

        self.assert_whole(self.read(response, 3, freeze))

    def test_routers_that_are_all_killed_serve_again(self):
        urls = [self.trial.add_router(zone) for zone in "ab"]
        for number in range(len(urls)):
            self.trial.restart_router(number)
        with eventlet.Timeout(RECOVERY_S):
            for number in range(len(urls)):
                self.trial.wait_ready(number)
        for url in urls:
            self.assert_whole(self.read(self.ask(url)))

    def test_planned_stop_cuts_no_stream_off(self):
        url = self.trial.add_router("a")
        response = self.ask(url)
        stop = self.trial.routers[0].terminate
        self.assert_whole(self.read(response, 3, stop))
        self.stop()
        self.assertEqual(self.codes, [0])
        texts = [line["text"] for line in self.log()]
        self.assertIn("daemon: Serving.", texts)
        self.assertIn("relay: Answered.", texts)
        self.assertEqual(texts[-1], "daemon: Stopped.")
