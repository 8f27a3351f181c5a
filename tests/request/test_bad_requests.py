import io
import unittest

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st

from boragedeck.connection.edge import read_body
from boragedeck.connection.engine import RunRequest, _path_and_body
from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.request import openai
from boragedeck.request.answer import Endpoint
from boragedeck.request.api import _answer_id
from boragedeck.request.event_id import parse_event_id
from boragedeck.version.tables import Route, RouteKind
from tests.support.values import DEEPLY_NESTED, JSON_VALUES, bad_json

CHAT = b'{"model":"m","messages":[{"role":"user","content":"a"}],"seed":1,"stop":["a"]}'
TEXT = b'{"model":"m","prompt":[1,2],"temperature":0.5,"logit_bias":{"1":2}}'
FIELD_NAMES = st.sampled_from(
    [*openai.SAMPLING_FIELDS, "messages", "prompt", "n", "stream"]
)
MIXED_BODIES = st.dictionaries(FIELD_NAMES, JSON_VALUES).map(
    lambda fields: msgspec.json.encode({"prompt": "a", "model": "m", **fields})
)


class BadRequestsTest(unittest.TestCase):
    @given(st.sampled_from(Endpoint), bad_json(CHAT, TEXT) | MIXED_BODIES)
    @example(Endpoint.CHAT, DEEPLY_NESTED[3])
    @example(Endpoint.TEXT, b'{"model":"m","prompt":"a","seed":1' + b"0" * 400 + b"}")
    @example(
        Endpoint.TEXT, b'{"model":"m","prompt":"a","extra":' + DEEPLY_NESTED[2] + b"}"
    )
    @example(Endpoint.TEXT, b'{"model":"m","prompt":"\xff"}')
    @example(Endpoint.TEXT, b'{"model":"m","prompt":"\\ud800"}')
    @example(Endpoint.TEXT, b'{"model":"m","prompt":"a","max_tokens":1e400}')
    @example(Endpoint.CHAT, b'{"model":"m","messages":[{"role":"","\x80":""}],"n":1}')
    def test_bad_body_is_refused_or_gives_a_valid_engine_request(self, endpoint, body):
        parsed = openai.parse_request(endpoint, body)
        if parsed.is_err():
            self.assertEqual(parsed.err().status, 400)
            self.assertIs(parsed.err().ran, ExecutionStatus.NO)
            openai.error_body(parsed.err())
            return
        route = Route("m", RouteKind.GENERATION, "pool")
        spec = openai.to_spec(parsed.ok(), route, 0.0)
        if spec.is_ok():
            prompt = spec.ok().prompt
            request = RunRequest("r", "m", prompt, spec.ok().max_tokens)
            msgspec.json.decode(_path_and_body(request)[1])
            msgspec.msgpack.encode(spec.ok())

    @given(st.text() | st.integers().map(str) | st.none())
    @example("9" * 18)
    @example("9" * 5000)
    @example("\u0663")
    def test_any_last_event_id_is_parsed_or_refused(self, text):
        result = parse_event_id(text)
        if result.is_err():
            self.assertEqual(result.err().status, 400)
            self.assertLess(len(result.err().message), 500)
        elif result.ok() is not None:
            self.assertGreaterEqual(result.ok().position, 0)

    @given(st.text(max_size=200))
    def test_any_idempotency_key_is_accepted_unchanged_or_refused(self, text):
        try:
            self.assertEqual(_answer_id(text), text)
        except RefusedError as exc:
            self.assertEqual(exc.status, 400)
        else:
            self.assertTrue(text.isascii() and 0 < len(text) <= 128)

    @given(st.text(max_size=30) | st.integers().map(str))
    @example("-1")
    @example("9" * 30)
    @example("\u0663")
    @example("1_0")
    def test_any_content_length_is_accepted_or_refused(self, length):
        environ = {"CONTENT_LENGTH": length, "wsgi.input": io.BytesIO(b"x" * 100)}
        try:
            body = read_body(environ)
        except RefusedError as exc:
            self.assertIn(exc.status, (400, 413))
        else:
            self.assertEqual(len(body), min(100, int(length or 0)) if length else 0)
