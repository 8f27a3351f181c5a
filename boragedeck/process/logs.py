"""Structured logs through eliot: short sentences with a prefix per part."""

import sys
from typing import IO, Any

import eliot

__all__ = ["PartLog", "open_log"]


class PartLog:
    """Logs of one part of the process.

    Parameters
    ----------
    prefix : str
        Stands before each sentence, such as ``"answer"``.
    """

    def __init__(self, prefix: str):
        self._prefix = prefix

    def write(self, text: str, **fields: Any) -> None:
        """Write one message.

        Parameters
        ----------
        text : str
            A short sentence.
        **fields
            Values for programs; ids as strings, never secrets.
        """
        eliot.log_message(
            message_type=self._prefix, text=f"{self._prefix}: {text}", **fields
        )


def open_log(path: str | None, **common: Any) -> None:
    """Send all messages of this process to a file.

    Parameters
    ----------
    path : str or None
        The file to append to; None for standard error.
    **common
        Fields that every message carries, such as the router's id.

    Raises
    ------
    OSError
        Where the file can't be opened.
    """
    file: IO[str] = sys.stderr if path is None else open(path, "a", buffering=1)
    eliot.add_global_fields(**common)
    eliot.to_file(file)
