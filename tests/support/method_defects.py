"""Defects that are seeded by replacing one method, each with its test."""

import contextlib
import unittest
from unittest import mock

import msgspec

__all__ = ["MethodDefect", "fails"]


class MethodDefect(msgspec.Struct, frozen=True):
    """A method that is replaced by a wrong one, and the test that must fail."""

    name: str
    test: str
    owner: type
    attribute: str
    wrong: object


def fails(defect: MethodDefect) -> bool:
    """Return whether the test of a defect fails while the defect is in place."""
    suite = unittest.defaultTestLoader.loadTestsFromName(defect.test)
    result = unittest.TestResult()
    with contextlib.ExitStack() as stack:
        stack.enter_context(
            mock.patch.object(defect.owner, defect.attribute, defect.wrong)
        )
        suite.run(result)
    return result.testsRun > 0 and not result.wasSuccessful()
