from tests.support.crowd_case import STREAM_BYTES, CrowdCase, request_head

STEADY_READERS = 100
SLOW_READERS = 300
LONG_TIMEOUT_MS = 120_000
UNREAD_STREAMS = 40


class SteadyReadersTest(CrowdCase):
    """Callers that take long to read large answers, without counting as slow.

    They guard against answers that wait for memory and keep all places at the replicas.
    """

    call_timeout_ms = LONG_TIMEOUT_MS
    max_fds = 400

    def test_ordinary_call_finds_a_place(self):
        head = request_head(
            "/calls/large",
            "Content-Length: 0",
            "Connection: close",
            timeout_ms=LONG_TIMEOUT_MS,
        )
        self.crowd.hold_steady_readers([head], STEADY_READERS)
        self.assert_held()


class SlowReadersTest(CrowdCase):
    """Callers that hardly read their answers, of known and of unknown length."""

    memory_mb = 128
    max_fds = 1_000
    replicas = 4

    def hold_readers(self, path):
        head = request_head(path, "Content-Length: 0", "Connection: close")
        self.crowd.hold_slow_readers([head], SLOW_READERS)
        self.assert_held()

    def test_answers_with_a_length(self):
        self.hold_readers("/calls/large")

    def test_answers_without_a_length(self):
        self.hold_readers("/calls/endless")


class UnreadStreamsTest(CrowdCase):
    """Callers that hardly read their streams.

    They guard against streams that keep all places at the engines.
    """

    call_timeout_ms = LONG_TIMEOUT_MS
    stream_slots = 8
    max_fds = 400

    def test_ordinary_stream_finds_a_place(self):
        head = request_head(
            "/streams/x",
            "Content-Length: 0",
            "Connection: close",
            timeout_ms=LONG_TIMEOUT_MS,
        )
        self.crowd.hold_slow_readers([head], UNREAD_STREAMS)
        self.assert_held("/streams/x", STREAM_BYTES)
