import json
import unittest
from unittest import mock

import msgspec
from typer.testing import CliRunner

from boragedeck.cli import rollouts
from boragedeck.cli.commands import app
from boragedeck.version.rollout_row import Cause, RolloutRow, State
from standins.memory import MemoryPlatform


def row(state, **changes):
    first = RolloutRow(
        route="chat",
        number=1,
        pool="pool",
        old="A",
        new="B",
        deadline=2e9,
        asked_deadline=2e9,
        revision=2,
        started=1e9,
        share=0.02,
        reason="started: 2% of the requests",
    ).with_note(1e9)
    return first.with_note(1e9 + 60, state=state, reason="the reason", **changes)


class TestRollouts(unittest.TestCase):
    def setUp(self):
        self.platform = MemoryPlatform()
        patch = mock.patch.object(
            rollouts, "open_platform", lambda console, url: self.platform
        )
        patch.start()
        self.addCleanup(patch.stop)

    def put(self, item):
        self.platform.commit(item.writes(expect=None)).unwrap()

    def run_command(self, *args):
        return CliRunner().invoke(app, ["rollouts", *args])

    def test_list_and_show(self):
        self.put(row(State.ROLLED_BACK, cause=Cause.FAULT, action="mend it"))
        listed = self.run_command("list")
        self.assertIn("taken back", listed.output)
        shown = self.run_command("show", "chat")
        for text in ("A to B", "the reason", "mend it", "2% of the requests"):
            self.assertIn(text, shown.output)
        as_json = json.loads(self.run_command("show", "chat", "-o", "json").output)
        self.assertEqual(msgspec.convert(as_json, RolloutRow).state, State.ROLLED_BACK)

    def test_unknown_route_fails(self):
        self.assertEqual(self.run_command("show", "none").exit_code, 1)

    def test_platform_down(self):
        self.platform.faults.down = True
        self.assertEqual(self.run_command("list").exit_code, 4)

    def test_exit_code_of_watch_gives_the_outcome(self):
        for state, until, code in (
            (State.DONE, "done", 0),
            (State.ROLLED_BACK, "done", 1),
            (State.ROLLED_BACK, "ended", 0),
            (State.RUNNING, "done", 5),
        ):
            with self.subTest(state=state, until=until):
                self.put(row(state))
                args = ("watch", "chat", "--until", until, "--timeout", "0")
                self.assertEqual(self.run_command(*args).exit_code, code)
