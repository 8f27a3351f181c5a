import unittest

from boragedeck.request.relay_attempt import probe
from boragedeck.version.routing import CallKind, RelayPool
from tests.request.test_silent_gateways import SilentGatewayCase
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    head_of,
    report_model,
    send_chunk,
    stream_rule,
)

INVALID = (b"000", b"001", b"099", b"600", b"601", b"999", b"20", b"2", b"2000", b"-20")
"""What stands in the place of a status, and isn't a number from 100 to 599."""
SMALLEST, LARGEST = 200, 599
TOKENS = b"Token-Counts: 1000,100"
POOL = RelayPool("engines", 100, ENGINE)


def with_status(status, *lines, body=b"whole"):
    """Return a step that answers with any text as its status."""

    def step(sock, req):
        length = b"Content-Length: %d" % len(body)
        head = head_of(req, 200, length, *lines)
        sock.sendall(head.replace(b" 200 ", b" %s " % status, 1) + b"\r\n" + body)
        return True

    return step


def after_interim(status):
    """Return a step that sends an interim answer, and then the final one."""

    def step(sock, req):
        sock.sendall(b"HTTP/1.1 %s X\r\n\r\n" % status)
        return answer()(sock, req)

    return step


def stream_with_status(status):
    """Return a step that streams two events below any text as its status."""

    def step(sock, req):
        head = head_of(req, 200, b"Transfer-Encoding: chunked")
        sock.sendall(head.replace(b" 200 ", b" %s " % status, 1) + b"\r\n")
        for number in (1, 2):
            send_chunk(sock, event(number))
        sock.sendall(b"0\r\n\r\n")
        return True

    return step


class StatusCase(unittest.TestCase):
    def harness(self, rule, *steps, pool=None):
        harness = RelayHarness(rule, pool=pool)
        self.addCleanup(harness.close)
        self.replicas = [
            ScriptedReplica(f"replica-{number}", step)
            for number, step in enumerate(steps)
        ]
        for replica, domain in zip(self.replicas, "abc", strict=False):
            harness.add(replica, domain=domain)
        return harness

    def asked(self):
        return [len(replica.relayed()) for replica in self.replicas]


class CallStatusTest(StatusCase):
    def once(self, step):
        return self.harness(call_rule(CallKind.ONCE, max_attempts=2), step, answer())

    def check_lost(self, harness):
        """Check that the call counts as one that may have run."""
        response = harness.fetch()
        self.assertEqual((response.status, response.is_complete), (502, True))
        self.assertNotIn(b"retry-after", response.headers)
        self.assertEqual(self.asked(), [1, 0])

    def test_invalid_status_is_passed_on(self):
        for status in INVALID:
            with self.subTest(status=status):
                self.check_lost(self.once(with_status(status)))

    def test_invalid_status_says_that_a_call_has_not_run(self):
        for status in INVALID:
            lines = b"Not-Executed: 1", b"Retry-After: 0"
            with self.subTest(status=status):
                self.check_lost(self.once(with_status(status, *lines)))

    def test_invalid_interim_status_is_skipped(self):
        for status in (b"000", b"099", b"10", b"1000"):
            with self.subTest(status=status):
                self.check_lost(self.once(after_interim(status)))

    def test_valid_status_is_not_passed_on(self):
        for status in (SMALLEST, 299, 404, 500, LARGEST):
            with self.subTest(status=status):
                harness = self.once(with_status(b"%d" % status))
                response = harness.fetch()
                self.assertEqual((response.status, response.body), (status, b"whole"))

    def test_valid_interim_status_ends_a_call(self):
        for status in (b"100", b"103", b"199"):
            with self.subTest(status=status):
                harness = self.once(after_interim(status))
                self.assertEqual(harness.fetch().body, b"whole")

    def test_repeatable_call_is_not_repeated_after_an_invalid_status(self):
        for status in INVALID:
            with self.subTest(status=status):
                harness = self.harness(call_rule(), with_status(status), answer())
                self.assertEqual(harness.fetch().body, b"whole")
                self.assertEqual(self.asked(), [1, 1])

    def test_late_answer_with_an_invalid_status_is_skipped(self):
        def late(sock, req):
            head = head_of(req, 200, b"Content-Length: 0", request_id=b"id-0")
            sock.sendall(head.replace(b" 200 ", b" 600 ", 1) + b"\r\n")
            return answer()(sock, req)

        self.check_lost(self.once(late))


class StreamStatusTest(StatusCase):
    def test_stream_with_an_invalid_status_is_passed_on(self):
        for status in INVALID:
            with self.subTest(status=status):
                steps = stream_with_status(status), events(1, 2, 3)
                harness = self.harness(stream_rule(), *steps, pool=POOL)
                response = harness.fetch(TOKENS)
                self.assertEqual((response.status, response.is_complete), (200, True))
                self.assertEqual(response.body, event(1) + event(2) + event(3))
                # The first replica may be asked again, since it may hold the prompt.
                self.assertEqual(self.asked()[1], 1)

    def test_stream_with_an_invalid_status_that_may_run_once_is_passed_on(self):
        rule = stream_rule(is_resumable=False)
        for status in INVALID:
            with self.subTest(status=status):
                steps = stream_with_status(status), events(1, 2, 3)
                response = self.harness(rule, *steps, pool=POOL).fetch(TOKENS)
                self.assertEqual((response.status, response.is_complete), (502, True))
                self.assertEqual(self.asked(), [1, 0])


class ProbeStatusTest(StatusCase):
    def probe(self, step):
        harness = self.harness(stream_rule(), step, pool=POOL)
        state = harness.registry.get("replica-0")
        place = type("Place", (), {"state": state})
        return probe(harness.parts, place, 1.0)

    def test_replica_that_answers_a_probe_with_an_invalid_status_counts_as_alive(self):
        for status in INVALID:
            with self.subTest(status=status):
                self.assertIsNone(self.probe(with_status(status)))

    def test_replica_that_answers_a_probe_counts_as_silent(self):
        self.assertIsNotNone(self.probe(report_model))
        self.assertIsNotNone(self.probe(answer(b"bad", 500)))


class ForwardedStatusTest(SilentGatewayCase):
    """The router is cut off from its replicas, and asks through a gateway."""

    def test_forwarded_call_passes_an_invalid_status_on(self):
        for status in INVALID:
            with self.subTest(status=status):
                self.start(call_rule(CallKind.ONCE), with_status(status))
                response = self.router.fetch()
                self.assertEqual((response.status, response.is_complete), (502, True))
                self.assertEqual(self.ran(), 1)

    def test_gateway_passes_no_valid_status_on(self):
        self.start(call_rule(CallKind.ONCE), with_status(b"%d" % LARGEST))
        self.assertEqual(self.router.fetch().status, LARGEST)
