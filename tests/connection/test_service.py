import unittest

import eventlet

from boragedeck.connection.service import HttpServices, ServiceRequest
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamRefusedError,
    UpstreamSilentError,
)
from boragedeck.version.tables import Upstream

REQUEST = ServiceRequest("POST", "/x?y=1", (("Idempotency-Key", "k"),), b"body")
ANSWER = b"HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-A: 1\r\n\r\nok"


class HttpServicesTest(unittest.TestCase):
    def setUp(self):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.upstream = Upstream("s", f"http://127.0.0.1:{port}", "fd")
        self.received = b""

    def serve(self, answer, *, stay_open=False):
        def run():
            sock, _ = self.listener.accept()
            while b"body" not in self.received:
                part = sock.recv(4096)
                if not part:
                    return
                self.received += part
            sock.sendall(answer)
            if stay_open:
                self.open_socket = sock
            else:
                sock.close()

        eventlet.spawn_n(run)

    def exchange(self, timeout_s=5.0):
        conn = HttpServices().connect(self.upstream, 1.0).ok()
        return conn.exchange(REQUEST, timeout_s)

    def test_request_and_response_arrive_complete(self):
        self.serve(ANSWER)
        response = self.exchange().ok()
        self.assertEqual((response.status, response.body), (201, b"ok"))
        self.assertIn(("X-A", "1"), response.headers)
        self.assertTrue(self.received.startswith(b"POST /x?y=1 HTTP/1.1\r\n"))

    def test_connect_sends_no_bytes(self):
        conn = HttpServices().connect(self.upstream, 1.0).ok()
        sock, _ = self.listener.accept()
        conn.close()
        self.assertEqual(sock.recv(10), b"")

    def test_refused_connection_is_a_refused_error(self):
        self.listener.close()
        refused = HttpServices().connect(self.upstream, 1.0).err()
        self.assertIsInstance(refused, UpstreamRefusedError)

    def test_truncated_response_is_an_error(self):
        for answer in (b"", ANSWER[:-1], b"nonsense\r\n\r\n"):
            with self.subTest(answer=answer):
                self.received = b""
                self.serve(answer)
                error = self.exchange().err()
                self.assertIsInstance(error, UpstreamError)
                self.assertNotIsInstance(error, UpstreamRefusedError)

    def test_silent_service_times_out(self):
        self.serve(ANSWER[:30], stay_open=True)
        self.assertIsInstance(self.exchange(0.05).err(), UpstreamSilentError)

    def test_too_long_response_is_an_error(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n"
        self.serve(head + bytes(2_000_000))
        self.assertIsInstance(self.exchange().err(), UpstreamError)

    def test_response_with_an_invalid_status_is_passed_on(self):
        for status in (b"000", b"099", b"103", b"600", b"999", b"20", b"2000", b"-20"):
            with self.subTest(status=status):
                self.received = b""
                self.serve(ANSWER.replace(b"201", status))
                error = self.exchange().err()
                self.assertIsInstance(error, UpstreamError)
                self.assertNotIsInstance(error, UpstreamRefusedError)

    def test_last_valid_status_is_an_error(self):
        self.serve(ANSWER.replace(b"201", b"599"))
        self.assertEqual(self.exchange().ok().status, 599)
