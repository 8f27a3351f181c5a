import http.client
import signal
import tempfile
import unittest
from pathlib import Path

import eventlet
import msgspec
import urllib3
from eventlet.green import socket

from scripts.platform_cluster import EVENTS, ROUTE_HEADERS, PlatformCluster

TIMEOUT_S = 20.0
PAUSE_S = 1.5
RECOVERY_TIMEOUT_S = 12.0
STREAMS_PER_S = 8


class PlatformDemoTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.cluster = PlatformCluster(self.directory)
        self.exit_codes = None
        self.addCleanup(self.stop)
        self.cluster.add_engine("engine-1", "a")
        self.cluster.add_engine("engine-2", "b")
        self.pool = urllib3.PoolManager(retries=False)
        self.addCleanup(self.pool.clear)

    def stop(self):
        if self.exit_codes is None:
            self.exit_codes = self.cluster.stop()

    def send_request(self, url, name="id-1", path="/answers/x", key="demo-key"):
        return self.pool.request(
            "POST",
            url + path,
            headers=ROUTE_HEADERS
            | {"Request-Id": name, "Token-Counts": "100,40", "Api-Key": key},
            preload_content=False,
        )

    def read(self, response, at_event=None, callback=None):
        body = b""
        with eventlet.Timeout(TIMEOUT_S):
            while part := response.read1(65_536):
                body += part
                if callback is not None and b"id: %d\n" % at_event in body:
                    callback, pending = None, callback
                    pending()
        return body

    def read_log(self):
        text = Path(self.directory, "router-0.log").read_text()
        return [msgspec.json.decode(line) for line in text.splitlines()]

    def assert_complete(self, body):
        pieces = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1)]
        self.assertEqual(body, b"".join(pieces))

    def crash_serving_engine(self):
        engines = self.cluster.engines
        name = next(name for name, e in engines.items() if e[0].served_ids)
        self.cluster.crash_engine(name)

    def test_stream_is_complete_if_its_engine_crashes(self):
        url = self.cluster.add_router("a")
        response = self.send_request(url)
        self.assert_complete(self.read(response, 10, self.crash_serving_engine))
        served = sum(len(e[0].served_ids) for e in self.cluster.engines.values())
        self.assertEqual(served, 1)

    def connect(self, address):
        """Connect as soon as the address accepts connections."""
        host, port = address.split(":")
        with eventlet.Timeout(TIMEOUT_S):
            while True:
                try:
                    return socket.create_connection((host, int(port)))
                except ConnectionRefusedError:
                    eventlet.sleep(0.005)

    def test_caller_that_connects_while_router_starts_is_served(self):
        self.cluster.add_router("a")
        self.cluster.restart_router(0)
        listen = self.cluster.settings[0]["listen"]
        sock = self.connect(listen["front"])
        self.addCleanup(sock.close)
        host, port = listen["ready"].split(":")
        with self.assertRaises(ConnectionRefusedError):
            # The readiness port doesn't listen yet: the router is still starting.
            socket.create_connection((host, int(port)))
        headers = ROUTE_HEADERS | {"Request-Id": "id-1", "Token-Counts": "100,40"}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["POST /answers/x HTTP/1.1", *lines, "Content-Length: 0"])
        sock.sendall(head.encode() + b"\r\n\r\n")
        response = http.client.HTTPResponse(sock, method="POST")
        with eventlet.Timeout(TIMEOUT_S):
            response.begin()
            self.assertEqual(response.status, 200)
            self.assert_complete(response.read())
        response.close()

    def test_stream_is_complete_if_settings_are_reloaded(self):
        url = self.cluster.add_router("a")
        response = self.send_request(url)

        def reload_settings():
            self.cluster.write_settings(0, {"retryBudgetRatio": 0.1})
            self.cluster.routers[0].send_signal(signal.SIGHUP)

        self.assert_complete(self.read(response, 3, reload_settings))
        reloads = [
            line for line in self.read_log() if line["text"] == "settings: Reloaded."
        ]
        self.assertEqual([line["taken"] for line in reloads], [["bounds"]])

    def test_stream_is_complete_if_its_router_is_paused(self):
        url = self.cluster.add_router("a")
        response = self.send_request(url)

        def pause_router():
            self.cluster.routers[0].send_signal(signal.SIGSTOP)
            eventlet.sleep(PAUSE_S)
            self.cluster.routers[0].send_signal(signal.SIGCONT)

        self.assert_complete(self.read(response, 3, pause_router))

    def test_routers_serve_again_after_all_were_killed(self):
        urls = [self.cluster.add_router(zone) for zone in "ab"]
        for number in range(len(urls)):
            self.cluster.restart_router(number)
        with eventlet.Timeout(RECOVERY_TIMEOUT_S):
            for number in range(len(urls)):
                self.cluster.wait_ready(number)
        for url in urls:
            self.assert_complete(self.read(self.send_request(url)))

    def test_all_serve_by_a_change_that_power_was_lost_right_after(self):
        urls = [self.cluster.add_router(zone) for zone in "aab"]
        self.cluster.put_config(2, "new-key")
        self.cluster.kill_all()
        self.cluster.start_all()
        for number, zone in enumerate("ab"):
            self.cluster.add_engine(f"engine-{number + 3}", zone)
        with eventlet.Timeout(RECOVERY_TIMEOUT_S):
            for number in range(len(urls)):
                self.cluster.wait_ready(number)
        for url in urls:
            self.assertEqual(self.send_request(url).status, 401)
            response = self.send_request(url, key="new-key")
            self.assert_complete(self.read(response))

    def play_streams(self, urls, seconds):
        """Send streams to routers in turn, and wait until they have ended."""
        threads = []
        for number in range(int(seconds * STREAMS_PER_S)):
            name = f"id-{len(self.sent)}"
            self.sent.append(name)
            url = urls[number % len(urls)]
            threads.append(eventlet.spawn(self.serve_stream, url, name))
            eventlet.sleep(1.0 / STREAMS_PER_S)
        return [thread.wait() for thread in threads]

    def serve_stream(self, url, name):
        response = self.send_request(url, name)
        self.read(response)
        return response.status

    def test_routers_together_exceed_the_limit_that_an_engine_names(self):
        urls = [self.cluster.add_router(zone) for zone in "aba"]
        self.sent = []
        limited = self.cluster.engines["engine-1"][0]
        limited.limit_per_s = 1.0
        self.play_streams(urls, 1.5)
        before = len(limited.served_ids)
        statuses = self.play_streams(urls, 4.0)
        self.assertEqual(set(statuses), {200})
        allowed = 1.5 * limited.limit_per_s * 4.0 + 5
        self.assertLessEqual(len(limited.served_ids) - before, allowed)
        limited.limit_per_s = None
        self.play_streams(urls, 2.0)
        before = len(limited.served_ids)
        statuses = self.play_streams(urls, 2.0)
        self.assertGreaterEqual(len(limited.served_ids) - before, 0.3 * len(statuses))

    def test_stream_is_complete_if_its_router_is_terminated(self):
        url = self.cluster.add_router("a")
        response = self.send_request(url)
        stop = self.cluster.routers[0].terminate
        self.assert_complete(self.read(response, 3, stop))
        self.stop()
        self.assertEqual(self.exit_codes, [0])
        texts = [line["text"] for line in self.read_log()]
        self.assertIn("daemon: Serving.", texts)
        self.assertIn("relay: Answered.", texts)
        self.assertEqual(texts[-1], "daemon: Stopped.")
