"""Tests of every fault at every step of a command, and of seeded defects."""

import itertools
import unittest
from unittest import mock

import msgspec
from result import Err, Ok

from boragedeck.exceptions import StoreUnavailableError, StoreUnknownOutcomeError
from boragedeck.ids import ExecutionStatus
from boragedeck.process.answering import intent_log
from boragedeck.process.answering.intent_log import IntentLog
from boragedeck.process.answering.intent_settler import IntentSettler
from boragedeck.process.answering.intent_writer import IntentWriter
from boragedeck.request import call_errors
from boragedeck.request.command import LATE_ANSWER_S, CommandRunner
from standins.memory import Faults
from tests.request.world import World

STEPS = (
    "before intent",
    "intent written",
    "before connect",
    "connected",
    "sent",
    "ran",
    "before outcome",
    "outcome written",
)
FAULTS = {
    "none": lambda world, router: None,
    "kill": lambda world, router: router.kill(),
    "pause": lambda world, router: router.pause(),
    "partition": lambda world, router: setattr(router, "partitioned", True),
    "store down": lambda world, router: store(world, down=True),
    "store slow": lambda world, router: store(world, delay_s=1.0),
    "store very slow": lambda world, router: store(world, delay_s=12.0),
    "lose answer": lambda world, router: "lose answer",
    "lose answers": lambda world, router: store(world, lose_answers=3),
    "lose requests": lambda world, router: store(world, lose_requests=3),
    "lose both": lambda world, router: store(world, lose_answers=1, lose_requests=2),
    "refuse": lambda world, router: world.service_faults.update(["refuse"] * 3),
    "break early": lambda world, router: world.service_faults.update(
        ["crash before run"]
    ),
    "break late": lambda world, router: world.service_faults.update(
        ["crash after run"]
    ),
    "late": lambda world, router: world.service_faults.update(["late"]),
    "silent": lambda world, router: world.service_faults.update(["silent"]),
}


def store(world, **faults):
    world.platform.faults = Faults(**faults)


def run_case(step, fault, *, is_sent_twice):
    """Run a command with a fault; return the world after all faults are removed."""
    world = World()
    world.fault_at = (step, FAULTS[fault])
    world.send_request(0, "k")
    if is_sent_twice:
        world.send_request(1, "k")
    world.timers.advance(0.5)
    for _ in range(2):
        world.send_request(1, "k")
        world.send_request(0, "k")
        world.timers.advance(6.0)
    world.heal()
    if fault == "silent":
        world.timers.advance(LATE_ANSWER_S)
    for number in (2, 1):
        world.final_answer(number, "k")
    return world


class FaultMatrixTest(unittest.TestCase):
    def test_every_fault_at_every_step(self):
        for step, fault, is_sent_twice in itertools.product(
            STEPS, FAULTS, (False, True)
        ):
            with self.subTest(step=step, fault=fault, is_sent_twice=is_sent_twice):
                world = run_case(step, fault, is_sent_twice=is_sent_twice)
                self.assertTrue(world.was_fault_injected)
                self.assertEqual(world.violations, set())

    def test_a_command_that_did_not_run_runs_when_repeated(self):
        faults = ("store down", "store slow", "lose answers", "lose both", "refuse")
        for step, fault in itertools.product(STEPS[:3], faults):
            with self.subTest(step=step, fault=fault):
                world = run_case(step, fault, is_sent_twice=False)
                self.assertEqual(world.runs["k"], 1)
                self.assertEqual(world.final_answer(2, "k").ok().body, b"k/1")


def send_again(original):
    def exchange(self, call, attempt, slot, conn):
        answer = original(self, call, attempt, slot, conn)
        if answer.is_err():
            answer = original(self, call, attempt, slot, conn)
        return answer

    return exchange


def treat_unknown_as_written(original):
    def write(self, put, deadline, **options):
        result = original(self, put, deadline, **options)
        return Ok(1) if isinstance(result.err(), StoreUnknownOutcomeError) else result

    return write


def treat_unknown_as_failed(original):
    def write(self, put, deadline, **options):
        result = original(self, put, deadline, **options)
        if isinstance(result.err(), StoreUnknownOutcomeError):
            return Err(StoreUnavailableError("unknown outcome treated as failed"))
        return result

    return write


def write_unconditionally(original):
    def write(self, put, deadline, **options):
        put = msgspec.structs.replace(put, expect=None)
        return original(self, put, deadline, **options)

    return write


def always_report_not_run(original):
    return lambda self, call, refusal: Err(
        call_errors.with_ran(refusal, ExecutionStatus.NO)
    )


def take_over_open_intent(original):
    def begin(self, key, deadline):
        begun = original(self, key, deadline)
        if begun.is_ok() and isinstance(begun.ok(), intent_log.Found):
            row = begun.ok().row
            if row.response is None:
                attempt = intent_log.Attempt(key.row_key, row, 1)
                return Ok(intent_log.Started(attempt))
        return begun

    return begin


def do_nothing(original):
    return lambda self, *args: None


DEFECTS = (
    ("send again", CommandRunner, "_exchange", send_again, "break late", "ran twice"),
    (
        "unknown as written",
        IntentWriter,
        "write",
        treat_unknown_as_written,
        "store very slow",
        "ran twice",
    ),
    (
        "unknown as failed",
        IntentWriter,
        "write",
        treat_unknown_as_failed,
        "store very slow",
        "stuck",
    ),
    ("no condition", IntentWriter, "write", write_unconditionally, "none", "ran twice"),
    (
        "take over an open intent",
        IntentLog,
        "begin",
        take_over_open_intent,
        "kill",
        "ran twice",
    ),
    (
        "say 'did not run' without looking",
        CommandRunner,
        "_refuse_unsent",
        always_report_not_run,
        "store down",
        "false did-not-run",
    ),
    ("forget outcomes", IntentSettler, "settle", do_nothing, "none", "lost outcome"),
    (
        "never retry outcomes",
        IntentSettler,
        "_retry",
        do_nothing,
        "store down",
        "lost outcome",
    ),
)


class SeededDefectTest(unittest.TestCase):
    def test_each_defect_is_caught_by_its_check(self):
        for name, owner, method, defect, fault, expected in DEFECTS:
            with self.subTest(defect=name):
                original = getattr(owner, method)
                with mock.patch.object(owner, method, defect(original)):
                    found = [
                        run_case(step, fault, is_sent_twice=is_sent_twice).violations
                        for step in STEPS
                        for is_sent_twice in (False, True)
                    ]
                self.assertIn(expected, set().union(*found))
