import random
import unittest

import eventlet
import msgspec
import urllib3

from standins import tokens
from standins.batching import Speed
from standins.behaviour import Behaviour
from standins.engine import EngineSettings, build
from standins.web import base_url, listen, serve
from tests.support.steady_clock import SteadyTimers

WAIT_S = 5.0


class EngineTest(unittest.TestCase):
    def start(self, behaviour=None, **speed):
        speed = Speed(
            **({"token_interval_s": 0.001, "prefill_s_per_token": 0.0} | speed)
        )
        settings = EngineSettings(speed=speed, cache_blocks=64, load_s=0.0, seed=1)
        app, self.batcher = build(
            settings, behaviour or Behaviour(), SteadyTimers(random.Random(1))
        )
        listener = listen()
        for thread in (
            eventlet.spawn(self.batcher.serve),
            eventlet.spawn(serve, app, listener),
        ):
            self.addCleanup(thread.kill)
        self.url = base_url(listener)
        self.http = urllib3.PoolManager(retries=False, timeout=WAIT_S)

    def post(self, path, *, request_id="", **body):
        headers = {"X-Request-Id": request_id} if request_id else {}
        return self.http.request(
            "POST",
            self.url + path,
            body=msgspec.json.encode(body),
            headers=headers,
            preload_content=not body.get("stream"),
        )

    def complete(self, prompt, max_tokens=4, **body):
        response = self.post(
            "/v1/completions",
            model="v1",
            prompt=prompt,
            max_tokens=max_tokens,
            return_token_ids=True,
            **body,
        )
        return response.json()

    def until(self, condition):
        with eventlet.Timeout(WAIT_S):
            while not condition():
                eventlet.sleep(0.001)

    def metric(self, name):
        text = self.http.request("GET", f"{self.url}/metrics").data.decode()
        values = dict(line.split() for line in text.splitlines())
        return float(values[f"vllm:{name}"])

    def test_token_sequence_continues_after_a_resume(self):
        self.start()
        first = self.complete("refill two litres")
        start = first["choices"][0]
        rest = self.complete(first["prompt_token_ids"] + start["token_ids"], 3)
        answer = start["text"] + rest["choices"][0]["text"]
        self.assertEqual(len(answer.split()), 7)
        self.assertIsNone(tokens.find_break(answer))
        self.assertEqual(rest["choices"][0]["finish_reason"], "length")
        words = answer.split()
        self.assertEqual(tokens.find_break(" ".join(words[:2] + words[3:])), 2)

    def test_mixed_tokens_of_two_runs_are_detected(self):
        self.start()
        one, two = (self.complete("same")["choices"][0]["text"] for _ in range(2))
        mixed = one.split()[:2] + two.split()[2:]
        self.assertEqual(tokens.find_break(" ".join(mixed)), 2)

    def test_stream_carries_ids_once_and_ends_with_done(self):
        self.start()
        response = self.post(
            "/v1/chat/completions",
            model="v1",
            messages=[{"role": "user", "content": "hello"}],
            max_tokens=5,
            stream=True,
            return_token_ids=True,
        )
        lines = response.read().split(b"\n\n")
        self.assertEqual(lines[-2:], [b"data: [DONE]", b""])
        chunks = [msgspec.json.decode(line[6:]) for line in lines[:-2]]
        self.assertEqual(["prompt_token_ids" in c for c in chunks][:2], [True, False])
        choices = [chunk["choices"][0] for chunk in chunks]
        text = "".join(choice["delta"]["content"] for choice in choices)
        ids = [token for choice in choices for token in choice["token_ids"]]
        self.assertEqual(text, "".join(map(tokens.text, ids)))
        self.assertIsNone(tokens.find_break(text))
        self.assertEqual(choices[-1]["finish_reason"], "length")

    def test_abort_and_closed_connection_free_the_slot(self):
        self.start(max_batch=1)
        body = {"model": "v1", "prompt": "long", "max_tokens": 900, "stream": True}
        running = self.post("/v1/completions", request_id="a", **body)
        eventlet.spawn_n(self.post, "/v1/completions", request_id="b", **body)
        self.until(lambda: len(self.batcher.waiting) == 1)
        self.post("/abort_requests", request_ids=["b"])
        self.until(lambda: not self.batcher.waiting)
        running.close()
        self.until(lambda: not self.batcher.running)
        self.assertEqual(self.metric("kv_cache_usage_perc"), 0.0)

    def test_run_continues_if_aborts_are_ignored(self):
        self.start(Behaviour(ignore_aborts=True))
        body = {"model": "v1", "prompt": "p", "max_tokens": 50, "stream": True}
        self.post("/v1/completions", **body).close()
        self.until(lambda: self.batcher.counts["generated"] == 50)

    def test_lower_priority_value_is_served_first(self):
        self.start(max_batch=1)
        ended = []

        def request_completion(name, priority):
            self.complete(name, 2, priority=priority)
            ended.append(name)

        body = {"model": "v1", "prompt": "p", "max_tokens": 900, "stream": True}
        first = self.post("/v1/completions", **body)
        for number, (name, priority) in enumerate([("late", 5), ("urgent", 1)]):
            eventlet.spawn_n(request_completion, name, priority)
            queued = number + 1
            self.until(lambda n=queued: len(self.batcher.waiting) == n)
        first.close()
        self.until(lambda: len(ended) == 2)
        self.assertEqual(ended, ["urgent", "late"])

    def test_cache_counts_hits_and_publishes_its_blocks(self):
        self.start()
        prompt = " ".join(f"w{number}" for number in range(40))
        self.complete(prompt, 1)
        self.assertEqual(self.metric("prefix_cache_hits_total"), 0)
        self.complete(prompt, 1)
        self.assertEqual(self.metric("prefix_cache_hits_total"), 32)
        self.assertEqual(self.metric("prefix_cache_queries_total"), 80)
        events = self.http.request("GET", f"{self.url}/kv_events?after=0").json()
        first, second = events["events"]
        self.assertEqual(second["parent_block_hash"], first["block_hashes"][0])
        self.assertEqual(first["token_ids"], tokens.prompt_ids(prompt)[:16])

    def test_runs_that_exceed_the_cache_all_complete(self):
        self.start(max_batch=8)
        texts = []

        def request_completion(number):
            answer = self.complete(f"prompt {number}", 400)
            texts.append(answer["choices"][0]["text"])

        for number in range(4):
            eventlet.spawn_n(request_completion, number)
        self.until(lambda: len(texts) == 4)
        for text in texts:
            self.assertEqual(len(text.split()), 400)
            self.assertIsNone(tokens.find_break(text))
        removed = self.http.request("GET", f"{self.url}/kv_events").json()["events"]
        self.assertTrue(any(event["type"] == "removed" for event in removed))

    def test_orders_are_fenced_and_idempotent(self):
        self.start()
        load = {"kind": "load", "version": "v2", "order_id": "1"}
        self.assertEqual(self.post("/orders", fencing_token=7, **load).status, 200)
        self.assertEqual(self.post("/orders", fencing_token=6, **load).status, 409)
        self.assertEqual(self.post("/orders", fencing_token=7, **load).status, 200)
        view = f"{self.url}/orders"
        self.until(lambda: not self.http.request("GET", view).json()["loading"])
        loaded = self.http.request("GET", view).json()
        self.assertEqual(loaded["versions"], ["v1", "v2"])
        self.assertEqual(loaded["fencing_token"], 7)

    def test_engine_that_ignores_fencing_executes_stale_orders(self):
        self.start(Behaviour(checks_fencing=False))
        order = {"kind": "unload", "version": "v1"}
        self.post("/orders", kind="role", role="decode", fencing_token=7)
        self.assertEqual(self.post("/orders", fencing_token=6, **order).status, 200)
        response = self.post("/v1/completions", model="v1", prompt="p")
        self.assertEqual(response.status, 404)

    def test_faults_can_change_at_run_time(self):
        self.start()
        body = msgspec.json.encode(Behaviour(fail_on="refill now"))
        self.http.request("PUT", f"{self.url}/_behaviour", body=body)
        bad = self.post("/v1/completions", model="v1", prompt="please refill now")
        good = self.post("/v1/completions", model="v1", prompt="now refill please")
        self.assertEqual((bad.status, good.status), (500, 200))

    def test_failed_run_does_not_mark_the_end_of_its_stream(self):
        self.start(Behaviour(fail_after_tokens=3))
        body = {"model": "v1", "prompt": "p", "max_tokens": 9, "stream": True}
        response = self.post("/v1/completions", **body)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            response.read()
