"""Seeded defects of the answer path, each with the check that must detect it."""

import contextlib
from unittest import mock

import msgspec
from hypothesis import Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from boragedeck.process.answering import journal
from boragedeck.process.answering.answer_service import AnswerService
from boragedeck.process.answering.copies import CopyStore
from boragedeck.process.answering.journal import Journal
from boragedeck.request import generation, lookup, reader
from boragedeck.request.answer import Answer
from boragedeck.request.copy_messages import CopyStatus
from boragedeck.request.generation import Generation
from boragedeck.request.lookup import Lookup
from tests.request.test_answers_fuzz import AnswerMachine


class Defect(msgspec.Struct, frozen=True):
    """A defect: patches that replace decisions of the code by wrong ones."""

    name: str
    check: str
    patches: tuple


class Detection(msgspec.Struct, frozen=True):
    """The check that detected a defect, with the seed and the number of steps."""

    check: str
    seed: int
    steps: int


def patch(owner, name, make_replacement):
    """Return a patch of a function by the result of `make_replacement`."""
    return (owner, name, make_replacement(getattr(owner, name)))


def _resume_without_prefix(original):
    def attempt(self, route, pool):
        new_attempt = original(self, route, pool)
        new_attempt.request = msgspec.structs.replace(
            new_attempt.request, prefix_ids=None
        )
        return new_attempt

    return attempt


def _resume_one_token_short(original):
    def attempt(self, route, pool):
        new_attempt = original(self, route, pool)
        ids = new_attempt.request.prefix_ids
        if ids is not None and self._answer.end > 1:
            new_attempt.request = msgspec.structs.replace(
                new_attempt.request, prefix_ids=ids[:-1]
            )
        return new_attempt

    return attempt


def _accept_every_run(original):
    def accept(self, attempt, chunk):
        if chunk.token_ids and self._answer.is_running:
            if self._answer.prompt_ids is None:
                self._answer.prompt_ids = chunk.prompt_ids
            self._answer.append(chunk.token_ids, chunk.text)
            self._note_progress(len(chunk.token_ids))
            self._parts.journal.mark_changed(self._answer)

    return accept


def _ignore_race(original):
    return lambda self, winner: None


def _store_over_gaps(original):
    def extend(self, item):
        copy = self._copies.get(item.key)
        if copy is None:
            return CopyStatus.MISSING
        copy.chunks.extend(item.chunks)
        copy.finish = copy.finish or item.finish
        copy.prompt_ids = copy.prompt_ids or item.prompt_ids
        return CopyStatus.STORED

    return extend


def _accept_any_epoch(original):
    def extend(self, item):
        copy = self._copies.get(item.key)
        if copy is not None:
            item = msgspec.structs.replace(item, epoch=copy.epoch)
        return original(self, item)

    return extend


def _deliver_before_copy(original):
    def mark_changed(self, answer):
        answer.commit(len(answer.chunks), answer.finish is not None)
        original(self, answer)

    return mark_changed


def _accept_any_lineage(original):
    return lambda lineage, event: True


def _accept_any_position(original):
    return lambda chunks, position: True


def _continue_short_copies(original):
    def from_copy(self, key, copy, has):
        return original(self, key, copy, None)

    return from_copy


def _always_same_tag(original):
    return lambda bound: 0


def _forget_organisation(original):
    def start(self, key, spec, *, is_keyed):
        shared = msgspec.structs.replace(key, answer_id="shared")
        return original(self, shared, spec, is_keyed=True)

    return start


def _end_at_first_loss(original):
    def take_end(self, attempt):
        if attempt.end is not None and self._answer.chunks:
            self._answer.end_with(generation.Finish("length"))
            return
        original(self, attempt)

    return take_end


def _report_not_run(original):
    def give(self, info):
        no = generation.ExecutionStatus.NO
        original(self, msgspec.structs.replace(info, ran=no))

    return give


def _repeat_last_chunk(original):
    def append(self, token_ids, text):
        original(self, token_ids, text)
        if self.end == 10:
            self.chunks.append(self.chunks[-1])

    return append


_UNCHECKED_READER = (
    patch(reader, "lineage_contains", _accept_any_lineage),
    patch(reader, "_is_contiguous", _accept_any_position),
)
_UNCHECKED_LOOKUP = (
    patch(lookup, "lineage_contains", _accept_any_lineage),
    patch(Lookup, "_resolve_copy", _continue_short_copies),
)

DEFECTS = (
    Defect(
        "resume without the prefix",
        "chain_holds",
        (patch(Generation, "_new_attempt", _resume_without_prefix),),
    ),
    Defect(
        "resume one token short",
        "chain_holds",
        (patch(Generation, "_new_attempt", _resume_one_token_short),),
    ),
    Defect(
        "accept the output of every run",
        "chain_holds",
        (patch(Generation, "_accept_chunk", _accept_every_run),),
    ),
    Defect(
        "copies store chunks that do not follow",
        "chain_holds",
        (patch(CopyStore, "_extend", _store_over_gaps), *_UNCHECKED_READER),
    ),
    Defect(
        "ignore the epoch in copies",
        "prefix_holds",
        (
            patch(CopyStore, "_extend", _accept_any_epoch),
            *_UNCHECKED_READER,
            *_UNCHECKED_LOOKUP,
        ),
    ),
    Defect(
        "continue a shorter copy",
        "prefix_holds",
        (*_UNCHECKED_READER, *_UNCHECKED_LOOKUP),
    ),
    Defect(
        "deliver tokens before they are copied, continue shorter copies",
        "prefix_holds",
        (
            patch(Journal, "mark_changed", _deliver_before_copy),
            *_UNCHECKED_READER,
            *_UNCHECKED_LOOKUP,
        ),
    ),
    Defect(
        "mix the answers of two requests",
        "answers_are_distinct",
        (patch(AnswerService, "start", _forget_organisation),),
    ),
    Defect(
        "report a broken run as complete",
        "finished_answers_are_complete",
        (patch(Generation, "_handle_end", _end_at_first_loss),),
    ),
    Defect(
        "report every failed request as not run",
        "did_not_run_is_true",
        (patch(Generation, "_fail", _report_not_run),),
    ),
    Defect(
        "repeat a chunk",
        "chain_holds",
        (patch(Answer, "append", _repeat_last_chunk), *_UNCHECKED_READER),
    ),
    Defect(
        "never replace a copy holder that failed",
        "hangs",
        (patch(journal.Journal, "_holder_failed", lambda o: lambda *a: None),),
    ),
)


def find_defect(defect, *, examples, seeds=(1, 2, 3)):
    """Run the fuzzer on a defect; return its detection, or None."""
    for number in seeds:
        with contextlib.ExitStack() as stack:
            for owner, name, replacement in defect.patches:
                stack.enter_context(mock.patch.object(owner, name, replacement))
            found = _run(number, examples)
        if found is not None:
            return found
    return None


def _run(number, examples):
    machine = seed(number)(AnswerMachine)
    options = settings(
        max_examples=examples,
        stateful_step_count=30,
        phases=[Phase.generate],
        derandomize=False,
        report_multiple_bugs=False,
    )
    try:
        run_state_machine_as_test(machine, settings=options)
    except AssertionError as exc:
        return Detection(_check_name(exc), number, AnswerMachine.steps)
    return None


def _check_name(exc):
    names = []
    tb = exc.__traceback__
    while tb is not None:
        names.append(tb.tb_frame.f_code.co_name)
        tb = tb.tb_next
    if "hangs" in str(exc) or "does not end" in str(exc):
        return "hangs"
    known = [name for name in names if name in CHECKS]
    return known[-1] if known else names[-1]


CHECKS = (
    "chain_holds",
    "prefix_holds",
    "finished_answers_are_complete",
    "answers_are_distinct",
    "errors_are_typed",
    "did_not_run_is_true",
)
