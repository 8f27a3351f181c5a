import json
import pathlib
import tempfile
import unittest

from typer.testing import CliRunner

from boragedeck.cli.commands import app


class TimelineTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.put("a.log", clock=20, text="effect", router="a", timestamp=5.0)
        self.put("b.log", clock=10, text="cause", router="b", timestamp=9.0)

    def put(self, name, **fields):
        fields["answer"] = "org/x"
        (self.folder / name).write_text(json.dumps(fields) + "\n")

    def run_command(self, *arguments):
        files = [str(self.folder / name) for name in ("a.log", "b.log")]
        return CliRunner().invoke(app, ["timeline", *files, *arguments])

    def test_text_in_causal_order(self):
        result = self.run_command("--request", "x")
        self.assertEqual(result.exit_code, 0)
        self.assertLess(result.stdout.index("cause"), result.stdout.index("effect"))

    def test_json(self):
        result = self.run_command("-o", "json")
        events = json.loads(result.stdout)["events"]
        self.assertEqual([event["text"] for event in events], ["cause", "effect"])

    def test_html(self):
        page = self.folder / "page.html"
        result = self.run_command("--html", str(page))
        self.assertEqual(result.exit_code, 0)
        self.assertIn("<th>b</th><th>a</th>", page.read_text())

    def test_since(self):
        result = self.run_command("--since", "1970-01-01T00:00:08")
        self.assertNotIn("effect", result.stdout)

    def test_no_match_fails(self):
        self.assertEqual(self.run_command("--request", "y").exit_code, 1)

    def test_bad_usage(self):
        self.assertEqual(self.run_command("--since", "noon").exit_code, 2)
        self.assertEqual(self.run_command("missing.log").exit_code, 2)
