import http.client
import json
import unittest
from unittest import mock

import eventlet
import openai
from eventlet.green import socket

from boragedeck.connection import edge
from scripts.caller import Caller, CallerError
from standins.tokens import find_break
from tests.support.http import KEY, OTHER_KEY, HttpCluster

MESSAGES = [{"role": "user", "content": "refill"}]


class ApiTestCase(unittest.TestCase):
    def setUp(self):
        self.http = HttpCluster()
        self.addCleanup(self.http.close)

    def client(self, key=KEY, i=0):
        url = self.http.url(i) + "/v1"
        client = openai.OpenAI(api_key=key, base_url=url, max_retries=0, timeout=20)
        self.addCleanup(client.close)
        return client

    def caller(self, key=KEY, i=0):
        return Caller(self.http.url(i), key, timeout_s=20)


class OpenAiClientTest(ApiTestCase):
    """The official OpenAI client works without changes."""

    def test_models(self):
        self.assertEqual([m.id for m in self.client().models.list()], ["orders"])

    def test_whole_chat_answer(self):
        answer = self.client().chat.completions.create(
            model="orders", messages=MESSAGES, max_tokens=12
        )
        self.assertEqual(answer.usage.completion_tokens, 12)
        self.assertEqual(answer.choices[0].finish_reason, "length")
        self.assertIsNone(find_break(answer.choices[0].message.content))

    def test_streamed_chat_answer(self):
        chunks = list(
            self.client().chat.completions.create(
                model="orders",
                messages=MESSAGES,
                max_tokens=12,
                stream=True,
                stream_options={"include_usage": True},
            )
        )
        text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
        self.assertIsNone(find_break(text))
        self.assertEqual(chunks[0].choices[0].delta.role, "assistant")
        self.assertEqual(chunks[-1].usage.completion_tokens, 12)
        reasons = [c.choices[0].finish_reason for c in chunks if c.choices]
        self.assertEqual(reasons[-1], "length")

    def test_completions(self):
        create = self.client().completions.create
        answer = create(model="orders", prompt="refill", max_tokens=5)
        self.assertEqual(len(answer.choices[0].text.split()), 5)
        stream = create(model="orders", prompt="refill", max_tokens=5, stream=True)
        text = "".join(c.choices[0].text for c in stream)
        self.assertEqual(len(text.split()), 5)

    def test_errors_raise_the_exceptions_of_the_client(self):
        cases = [
            (openai.AuthenticationError, "wrong", {"model": "orders"}),
            (openai.NotFoundError, KEY, {"model": "unknown"}),
            (openai.BadRequestError, KEY, {"model": "orders", "max_tokens": -1}),
            (openai.BadRequestError, KEY, {"model": "orders", "n": 3}),
        ]
        for expected, key, fields in cases:
            with self.subTest(expected=expected, fields=fields):
                with self.assertRaises(expected) as caught:
                    create = self.client(key).chat.completions.create
                    create(messages=MESSAGES, **fields)
                self.assertIn("message", caught.exception.body)
                self.assertEqual(caught.exception.body["ran"], "no")

    def test_no_upstream_is_a_typed_refusal(self):
        for engine in self.http.engines.all:
            engine.set_faults(is_dead=True)
        with self.assertRaises(openai.InternalServerError) as caught:
            create = self.client().chat.completions.create
            create(model="orders", messages=MESSAGES, max_tokens=5)
        self.assertEqual(caught.exception.body["ran"], "no")
        self.assertIn("retry-after", caught.exception.response.headers)


class AnswersTest(ApiTestCase):
    """Callers can reattach to answers and cancel them."""

    def test_reattach_continues_after_the_last_event(self):
        for i in (0, 1):
            with self.subTest(router=i):
                stream = self.caller().chat("orders", "refill", 200)
                texts = []
                for event in stream:
                    texts.append(event.text())
                    if len("".join(texts).split()) > 20:
                        break
                stream.close()
                again = self.caller(i=i).reattach(
                    stream.answer_id, stream.last_event_id
                )
                texts += [event.text() for event in again]
                text = "".join(texts)
                self.assertTrue(again.is_done)
                self.assertEqual(len(text.split()), 200)
                self.assertIsNone(find_break(text))

    def test_event_ids_count_positions(self):
        stream = self.caller().chat("orders", "refill", 30)
        ids = [int(event.event_id) for event in stream if event.event_id]
        self.assertEqual(ids, sorted(ids))
        self.assertEqual(ids[-1], 30)

    def test_same_key_gives_the_same_answer_and_another_body_gives_422(self):
        first = self.caller().chat("orders", "refill", 10, Idempotency_Key="k")
        texts = ["".join(event.text() for event in first)]
        again = self.caller(i=1).chat("orders", "refill", 10, Idempotency_Key="k")
        texts.append("".join(event.text() for event in again))
        self.assertEqual(texts[0], texts[1])
        self.assertEqual(first.answer_id, "k")
        with self.assertRaises(CallerError) as caught:
            self.caller().chat("orders", "other", 10, Idempotency_Key="k")
        self.assertEqual(caught.exception.status, 422)

    def test_answer_of_another_organisation_is_reported_as_unknown(self):
        stream = self.caller().chat("orders", "refill", 10, Idempotency_Key="k")
        list(stream)
        seen = set()
        for method in ("GET", "DELETE"):
            for answer_id in ("k", "unknown"):
                with self.assertRaises(CallerError) as caught:
                    self.caller(OTHER_KEY).request(method, f"/v1/answers/{answer_id}")
                seen.add((caught.exception.status, str(caught.exception.body)))
        self.assertEqual(len(seen), 1)
        self.assertEqual(seen.pop()[0], 404)

    def test_cancel_ends_the_stream_and_the_run(self):
        stream = self.caller().chat("orders", "refill", 20_000)
        events = iter(stream)
        next(events)
        self.caller(i=1).cancel(stream.answer_id)
        for _ in events:
            pass
        self.assertTrue(stream.is_done)
        # The stream may end before the generation has closed the engine connection.
        with eventlet.Timeout(10):
            while self.http.engines.running():
                eventlet.sleep(0.01)

    def test_finished_answer_can_be_read_as_one_object(self):
        body = {"model": "orders", "prompt": "refill", "max_tokens": 5}
        caller = self.caller()
        first = caller.request("POST", "/v1/completions", body, Idempotency_Key="w")
        again = self.caller(i=1).request("GET", "/v1/answers/w")
        self.assertEqual(first["choices"], again["choices"])


class BadInputTest(ApiTestCase):
    """Bad input leads to a typed error or a closed connection, never a traceback."""

    def post(self, body, headers=None, path="/v1/chat/completions"):
        conn = http.client.HTTPConnection(*self.http.address(), timeout=20)
        self.addCleanup(conn.close)
        head = {"Authorization": f"Bearer {KEY}", **(headers or {})}
        conn.request("POST", path, body, head)
        response = conn.getresponse()
        return response.status, json.loads(response.read())["error"]

    def test_bad_bodies_are_refused(self):
        good = {"model": "orders", "messages": MESSAGES}
        cases = [
            b"",
            b"not json",
            b"[]",
            b"null",
            b'{"model": 5}',
            b'{"model":"orders"',
            b"\xff\xfe",
            b"[" * 100_000,
            json.dumps({**good, "messages": "x"}).encode(),
            json.dumps({**good, "messages": []}).encode(),
            json.dumps({**good, "messages": [{"content": "x"}]}).encode(),
            json.dumps({**good, "max_tokens": 0}).encode(),
            json.dumps({**good, "max_tokens": 1.5}).encode(),
            json.dumps({**good, "max_tokens": 10**30}).encode(),
            json.dumps({**good, "max_tokens": 99_999}).encode(),
            json.dumps({**good, "stream": "yes"}).encode(),
            json.dumps({**good, "stop": {"a": 1}}).encode(),
        ]
        for body in cases:
            with self.subTest(body=body[:60]):
                status, error = self.post(body)
                self.assertEqual((status, error["ran"]), (400, "no"))
                self.assertEqual(error["type"], "invalid_request_error")

    def test_long_body_is_refused(self):
        status, error = self.post(b"x", {"Content-Length": str(10**9)})
        self.assertEqual((status, error["code"]), (413, "body_too_long"))

    def test_bad_ids_are_refused(self):
        body = json.dumps({"model": "orders", "messages": MESSAGES})
        for key in ("", "a b", "x" * 200, "a/b"):
            with self.subTest(key=key[:20]):
                status, error = self.post(body, {"Idempotency-Key": key})
                self.assertEqual((status, error["code"]), (400, "bad_idempotency_key"))
        for event_id in ("x", "-1", "1" * 30, "²"):
            with self.subTest(event_id=event_id):
                with self.assertRaises(CallerError) as caught:
                    self.caller().request(
                        "GET", "/v1/answers/k", Last_Event_ID=event_id
                    )
                self.assertEqual(caught.exception.status, 400)

    def test_unknown_paths_and_methods_are_not_found(self):
        for method, path in (("GET", "/nope"), ("PUT", "/v1/models"), ("GET", "//")):
            with self.subTest(path=path):
                with self.assertRaises(CallerError) as caught:
                    self.caller().request(method, path)
                self.assertEqual(caught.exception.status, 404)

    def raw(self, data, *, half_close=False):
        sock = socket.create_connection(self.http.address(), timeout=20)
        self.addCleanup(sock.close)
        sock.sendall(data)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        received = b""
        try:
            while part := sock.recv(65536):
                received += part
        except ConnectionResetError:
            pass
        return received

    def test_truncated_body_is_refused(self):
        request = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 500\r\n\r\n{{"
        )
        received = self.raw(request.encode(), half_close=True)
        self.assertIn(b"was cut off", received)

    def test_bad_heads_close_the_connection(self):
        cases = [
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
            b"GET " + b"/x" * 9000 + b" HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\n" + b"A: " + b"b" * 9000 + b"\r\n\r\n",
            b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 20_000 + b"\r\n",
            b"POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
            b"POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        ]
        for data in cases:
            with self.subTest(data=data[:30]):
                received = self.raw(data)
                self.assertNotIn(b"Traceback", received)
                self.assertNotIn(b" 200 ", received[:20])

    def test_slow_heads_and_bodies_time_out(self):
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 500\r\n"
        )
        cases = [("IDLE", "POST /v1"), ("HEADERS", head), ("BODY", head + "\r\n{")]
        for name, data in cases:
            with self.subTest(name=name):
                with mock.patch.object(edge, f"{name}_TIMEOUT_S", 0.05):
                    received = self.raw(data.encode())
                self.assertNotIn(b" 200 ", received)

    def test_bad_chunked_body_is_refused(self):
        request = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
        )
        self.assertIn(b" 400 ", self.raw(request.encode(), half_close=True))

    def test_half_closed_stream_is_ended(self):
        body = json.dumps(
            {
                "model": "orders",
                "messages": MESSAGES,
                "stream": True,
                "max_tokens": 20_000,
            }
        )
        request = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        )
        received = self.raw(request.encode(), half_close=True)
        self.assertIn(b"200 OK", received)
        self.assertNotIn(b"[DONE]", received)


class DrainingTest(ApiTestCase):
    def test_new_requests_are_refused_and_streams_end_with_a_reattach_event(self):
        stream = self.caller().chat("orders", "refill", 20_000)
        events = iter(stream)
        next(events)
        self.http.apis[0].is_draining = True
        with self.assertRaises(CallerError) as caught:
            self.caller().chat("orders", "refill", 5)
        self.assertEqual(caught.exception.body["ran"], "no")
        eventlet.spawn_n(self.http.cluster.routers[0].service.hand_over_all)
        self.http.apis[0].is_stopping = True
        for _ in events:
            pass
        self.assertFalse(stream.is_done)
        again = self.caller(i=1).reattach(stream.answer_id, stream.last_event_id)
        self.assertTrue(next(iter(again)).event_id)
        again.close()
