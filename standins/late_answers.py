"""Repeats answers late, where the next answer on their connection is expected."""

import random
from collections import deque
from collections.abc import Callable

import eventlet.wsgi

__all__ = ["AnswerRepeater", "never", "repeating_protocol", "with_share"]

MAX_REPEATED_BYTES = 64 * 1024
"""Longest answer that is repeated."""


def never() -> bool:
    """Return False, so that no answer is repeated."""
    return False


def with_share(share: float, rng: random.Random) -> Callable[[], bool]:
    """Return a draw that is true for a share of its calls."""
    return lambda: rng.random() < share


class AnswerRepeater:
    """Keeps the last answers on one connection, to send them again.

    Parameters
    ----------
    may_repeat : callable
        Returns whether an answer is repeated; called for each answer that is kept,
        the oldest first, when the next request has arrived.
    kept : int, optional
        Number of answers that are kept.
    """

    def __init__(self, may_repeat: Callable[[], bool], kept: int = 1):
        self._may_repeat = may_repeat
        self._answers: deque[bytes] = deque(maxlen=kept)
        self._parts: list[bytes] = []

    def begin_answer(self) -> bytes:
        """Return the late answers that are sent before the next one, mostly none."""
        last_answer = b"".join(self._parts)
        self._parts = []
        if 0 < len(last_answer) <= MAX_REPEATED_BYTES:
            self._answers.append(last_answer)
        return b"".join(each for each in self._answers if self._may_repeat())

    def note_sent(self, data: bytes) -> None:
        """Record a part of the answer."""
        if sum(map(len, self._parts)) <= MAX_REPEATED_BYTES:
            self._parts.append(data)


class _RecordingFile:
    """The file to which a WSGI server writes its answers."""

    def __init__(self, file, repeater: AnswerRepeater):
        self._file = file
        self._repeater = repeater

    def __getattr__(self, name):
        return getattr(self._file, name)

    def write(self, data: bytes) -> int:
        self._repeater.note_sent(bytes(data))
        return self._file.write(data)

    def write_late(self, data: bytes) -> None:
        self._file.write(data)

    def writelines(self, lines) -> None:
        for line in lines:
            self.write(line)


def repeating_protocol(
    may_repeat: Callable[[], bool],
) -> type[eventlet.wsgi.HttpProtocol]:
    """Return the protocol class of a WSGI server that repeats answers late.

    Parameters
    ----------
    may_repeat : callable
        See `AnswerRepeater`.
    """

    class RepeatingProtocol(eventlet.wsgi.HttpProtocol):
        _repeater = None

        def handle_one_response(self):
            if self._repeater is None:
                self._repeater = AnswerRepeater(may_repeat)
                self.wfile = _RecordingFile(self.wfile, self._repeater)
            late_answer = self._repeater.begin_answer()
            if late_answer:
                self.wfile.write_late(late_answer)
            super().handle_one_response()

    return RepeatingProtocol
