"""Structured logs through eliot: short sentences with a prefix for each part."""

import itertools
import sys
from typing import IO, Any

import eliot

from boragedeck.process.membership.causal_clock import process_clock

__all__ = ["PartLog", "open_log", "set_router_id"]

_sequence = itertools.count(1)


class PartLog:
    """Log of one part of the process.

    Parameters
    ----------
    prefix : str
        Precedes each sentence, such as ``"answer"``.

    Notes
    -----
    Each message has the fields `seq`, its number in this process, and `clock`, its
    value on the process's `CausalClock`. The time line merges processes by both.
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
            Values for programs; ids as strings, never tokens or secrets. A message
            about a request has the request's id in `answer` or `request`, one about a
            rollout names it in `rollout`, and one about a run on an engine has the
            run's `X-Request-Id` in `run`.
        """
        eliot.log_message(
            message_type=self._prefix,
            text=f"{self._prefix}: {text}",
            seq=next(_sequence),
            clock=process_clock.tick(),
            **fields,
        )


def open_log(path: str | None, **common: Any) -> None:
    """Write all messages of this process to a file.

    Parameters
    ----------
    path : str or None
        The file to append to; None for standard error.
    **common
        Fields that are added to every message, such as the process id.

    Raises
    ------
    OSError
        If the file can't be opened.
    """
    file: IO[str] = sys.stderr if path is None else open(path, "a", buffering=1)
    eliot.add_global_fields(**common)
    eliot.to_file(file)


def set_router_id(router: str) -> None:
    """Add the router's id to every message from now on.

    Parameters
    ----------
    router : str
        The id of the router, which changes with each start.
    """
    eliot.add_global_fields(router=router)
