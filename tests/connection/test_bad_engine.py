import unittest

import eventlet
import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from boragedeck.connection.engine import (
    MAX_EVENT_BYTES,
    EngineChunk,
    EngineRun,
    RunRequest,
    open_run,
)
from boragedeck.connection.metrics_poll import EngineProbe
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamFailedError,
    UpstreamRefusedError,
)
from boragedeck.request.answer import Endpoint, Prompt
from tests.support.values import DEEPLY_NESTED, bad_json

EVENT = b'{"choices":[{"text":"a\xc3\xa9","token_ids":[1,2],"finish_reason":null}]}'
METRICS = b'vllm:num_requests_running{a="b"} 1\nvllm:num_requests_waiting 2.0\n'

METRICS_PARTS = st.sampled_from([METRICS[i : i + 9] for i in range(50)])


class Response:
    status = 200

    def __init__(self, parts):
        self._parts = iter(parts)

    def read1(self, size):
        return next(self._parts, b"")

    def read(self, size):
        return b"".join(self._parts)[:size]

    def release_conn(self):
        pass


class FakePool:
    def __init__(self, body):
        self._body = body

    def request(self, method, url, **options):
        return Response([self._body])


def split_at(data, places):
    places = sorted({place % (len(data) + 1) for place in places})
    pairs = zip([0, *places], [*places, len(data)], strict=True)
    return [data[a:b] for a, b in pairs if a < b]


def read(parts):
    return list(EngineRun(None, Response(parts), "engine"))


class EngineStreamTest(unittest.TestCase):
    @given(st.lists(st.integers(0, 1000)), st.sampled_from([b"\n", b"\r\n"]))
    def test_stream_reads_the_same_for_any_split_of_its_bytes(self, places, end):
        first, second = b": note" + end + b"data:" + EVENT, b"data: " + EVENT
        lines = [b": comment", first, second, b"data: [DONE]"]
        data = b"".join(line + end * 2 for line in lines)
        expected = EngineChunk((1, 2), "aé", None, None)
        self.assertEqual(read(split_at(data, places)), [expected] * 2)

    @given(bad_json(EVENT), st.lists(st.integers(0, 1000), max_size=5))
    @example(DEEPLY_NESTED[2], [])
    @example(b'{"choices":[{"token_ids":[100000000000000000000000]}]}', [])
    @example(b'{"choices":[{"token_ids":[-1]}]}', [])
    @example(b'{"error":' + DEEPLY_NESTED[2], [])
    @example(b'{"choices":[{"text":"\\ud800"}]}', [])
    def test_bad_events_are_typed_errors_or_valid_chunks(self, body, places):
        data = b"data: " + body + b"\n\ndata: [DONE]\n\n"
        try:
            chunks = read(split_at(data, places))
        except UpstreamError:
            return
        for chunk in chunks:
            msgspec.msgpack.encode(chunk)
            self.assertTrue(all(0 <= token < 2**32 for token in chunk.token_ids))

    @given(st.lists(st.binary(min_size=1, max_size=300), max_size=20))
    def test_random_bytes_are_an_error(self, parts):
        with self.assertRaises(UpstreamError):
            read([part.replace(b"[DONE]", b"") for part in parts])

    def test_endless_event_is_an_error(self):
        parts_read = []

        def parts():
            while True:
                parts_read.append(1)
                yield b"x" * 65_536

        with self.assertRaises(UpstreamError):
            read(parts())
        self.assertLessEqual(len(parts_read) * 65_536, MAX_EVENT_BYTES + 2 * 65_536)


class StartTest(unittest.TestCase):
    """The status with which an engine answers the request for a run."""

    def start(self, status):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        eventlet.spawn_n(self.serve, listener, status)
        request = RunRequest("run", "m", Prompt(Endpoint.TEXT, b'"a"', b"{}"), 5)
        return open_run(f"http://127.0.0.1:{listener.getsockname()[1]}", request)

    def serve(self, listener, status):
        sock, _ = listener.accept()
        sock.recv(4096)
        sock.sendall(b"HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n" % status)
        sock.close()

    def test_invalid_status_is_a_failure_of_the_engine_or_a_defect(self):
        for status in (b"000", b"099", b"103", b"600", b"999", b"20", b"2000"):
            with self.subTest(status=status):
                with self.assertRaises(UpstreamError) as raised:
                    self.start(status)
                self.assertNotIsInstance(raised.exception, UpstreamFailedError)
                self.assertNotIsInstance(raised.exception, UpstreamRefusedError)

    def test_valid_status_is_taken_for_a_broken_connection(self):
        for status in (b"400", b"599"):
            with self.subTest(status=status), self.assertRaises(UpstreamFailedError):
                self.start(status)


class EngineProbeTest(unittest.TestCase):
    def load(self, body):
        probe = EngineProbe()
        probe._http = FakePool(body)
        return probe.load("http://engine")

    @given(
        st.binary(max_size=200)
        | st.text(alphabet='a{}="\\,# \n+-.0eHELPTYPinfNa', max_size=80).map(str.encode)
        | st.lists(st.sampled_from([METRICS[i : i + 9] for i in range(50)])).map(
            b"".join
        )
    )
    @example(METRICS.replace(b"2.0", b"+Inf"))
    @example(METRICS.replace(b"2.0", b"NaN"))
    @example(METRICS.replace(b"2.0", b"-1"))
    @example(METRICS.replace(b"2.0", b"1e300"))
    @example(METRICS + b"vllm:kv_cache_usage_perc NaN\n")
    @example(METRICS + b"# TYPE a\n")
    @example(METRICS + b"# TYPE a b c d\n# HELP\n")
    @example(METRICS + b"{} 1\n")
    @example(METRICS + b"a{ 1\n")
    def test_bad_metrics_are_a_typed_error_or_a_valid_load(self, body):
        result = self.load(body)
        if result.is_err():
            self.assertIsInstance(result.err(), UpstreamError)
            return
        report = result.ok()
        self.assertTrue(0 <= report.running < 2**32 and 0 <= report.waiting < 2**32)
        self.assertTrue(0.0 <= report.cache_use < 1e10)

    @given(bad_json(b'{"data":[{"id":"a"}]}'))
    @example(DEEPLY_NESTED[2])
    def test_bad_list_of_models_is_a_typed_error(self, body):
        probe = EngineProbe()
        probe._http = FakePool(body)
        result = probe.versions("http://engine")
        self.assertTrue(result.is_ok() or isinstance(result.err(), UpstreamError))
