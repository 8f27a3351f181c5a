"""Problems found in operators' files, with their places."""

import difflib
from collections.abc import Iterable
from typing import Any

import msgspec

__all__ = ["Place", "Problem", "spelling_hint", "format_value"]

MAX_VALUE_LENGTH = 80


class Place(msgspec.Struct, frozen=True, order=True):
    """A place in a file.

    Parameters
    ----------
    file : str
        The file's path.
    line : int
        The line number, from 1; 0 if unknown.
    path : str
        The path within the file, such as ``"pool[0].upstream[2].url"``.
    """

    file: str
    line: int = 0
    path: str = ""

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        return f"{location}: {self.path}" if self.path else location


class Problem(msgspec.Struct, frozen=True, order=True):
    """An error or a warning about one value in a file.

    Parameters
    ----------
    place : Place
        The place of the value.
    got : str
        The value that was found.
    right : str
        What is allowed instead.
    is_warning : bool
        Whether the file is accepted despite the problem.
    """

    place: Place
    got: str
    right: str
    is_warning: bool = False

    def __str__(self) -> str:
        prefix = "warning: " if self.is_warning else ""
        return f"{self.place}: {prefix}got {self.got}; expected {self.right}"


def format_value(value: Any) -> str:
    """Return a value as one line of printable text, shortened if necessary."""
    text = repr(value) if not isinstance(value, str) else f'"{value}"'
    text = "".join(char if char.isprintable() else "?" for char in text)
    if len(text) > MAX_VALUE_LENGTH:
        text = text[: MAX_VALUE_LENGTH - 3] + "..."
    return text


def spelling_hint(word: str, known_words: Iterable[str]) -> str:
    """Return a phrase that suggests the closest known word; empty if none is close."""
    close_matches = difflib.get_close_matches(word, list(known_words), n=1)
    return f'; did you mean "{close_matches[0]}"?' if close_matches else ""
