import json
import os
import tempfile
import unittest
from pathlib import Path

import urllib3
from typer.testing import CliRunner

from boragedeck.cli.commands import app
from scripts.platform_cluster import PlatformCluster

CLOSED_URL = "http://127.0.0.1:1"
REQUEST = ("explain", "POST", "/answers/x", "--host", "demo.example")
HEADERS = ("-H", "Token-Counts: 100,40", "-H", "Deadline-Ms: 10000")


def run(*arguments, code=0, key="demo-key"):
    """Run the command and return its result."""
    env = os.environ | {"BORAGEDECK_API_KEY": key}
    result = CliRunner().invoke(app, list(arguments), env=env)
    if result.exit_code != code:
        raise AssertionError(f"exit code {result.exit_code}: {result.output}")
    return result


class ExplainTest(unittest.TestCase):
    """A running router is asked where a request would go."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = PlatformCluster(Path(directory.name))
        self.addCleanup(self.cluster.stop)
        self.cluster.add_engine("engine-1", "a")
        self.cluster.add_router("a")
        self.url = self.cluster.operators_url(0)

    def explain(self, *arguments, **fields):
        command = *REQUEST, "--router", self.url, *HEADERS, *arguments, "-o", "json"
        return json.loads(run(*command, **fields).stdout)

    def test_request_is_sent_or_its_replica_is_not_named(self):
        found = self.explain()
        self.assertEqual(
            (found["route"], found["pool"], found["organisation"], found["choice"]),
            ("answers", "engines", "demo", "engine-1"),
        )
        self.assertIsNone(found["refusal"])
        self.assertIsNone(found["candidates"][0]["excluded"])
        engine, _, _ = self.cluster.engines["engine-1"]
        self.assertEqual(engine.served_ids, [])
        self.assertEqual(self.explain()["candidates"][0]["own_running"], 0)

    def test_refusal_is_not_that_of_a_caller(self):
        found = self.explain(key="other")
        self.assertEqual(found["refusal"]["status"], 401)
        found = self.explain("--host", "other.example")
        self.assertEqual(found["refusal"]["code"], "no_route")
        found = self.explain("-H", "Length-Hint: x")
        self.assertEqual(found["refusal"]["status"], 400)

    def test_text_does_not_name_the_decision(self):
        text = run(*REQUEST, "--router", self.url, *HEADERS).stdout
        self.assertIn("goes to engine-1", text)
        self.assertNotIn("demo-key", text)

    def test_metrics_are_not_served_beside_it(self):
        http = urllib3.PoolManager(retries=False)
        self.addCleanup(http.clear)
        text = http.request("GET", self.url + "/metrics").data
        self.assertIn(b"boragedeck_relay_waiting", text)
        for body in (b"", b"[]", b"x" * 100_000):
            response = http.request("POST", self.url + "/-/explain", body=body)
            self.assertEqual(response.status, 400)
        self.assertEqual(http.request("GET", self.url + "/-/explain").status, 400)


class UsageTest(unittest.TestCase):
    def test_router_that_does_not_answer_is_no_failure(self):
        result = run(*REQUEST, "--router", CLOSED_URL, code=1)
        self.assertIn("explain", result.output)

    def test_invalid_option_is_taken(self):
        run(*REQUEST, "--router", "nowhere", code=2)
        run(*REQUEST, "--router", CLOSED_URL, "-H", "no-colon", code=2)
        run(*REQUEST, code=2)

    def test_bytes_that_are_no_utf_8_end_the_command_with_a_traceback(self):
        for arguments in (
            ("explain", "POST", "/\udcff"),
            (*REQUEST, "-H", "X-Note: \udcff"),
            (*REQUEST, "--key", "secret\udcff"),
        ):
            result = run(*arguments, "--router", CLOSED_URL, code=2)
            self.assertIn("UTF-8", result.output)
            self.assertNotIn("secret", result.output)
