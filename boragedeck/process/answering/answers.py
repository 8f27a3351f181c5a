"""The answers that this router owns: running ones and recently finished ones."""

from collections import OrderedDict

from boragedeck.process.timers import TimerService
from boragedeck.request.answer import Answer, AnswerKey, AnswerState

__all__ = ["AnswerTable"]

FINISHED_RETENTION_S = 120.0
"""How long a finished answer can still be read."""
MAX_FINISHED = 5_000
SWEEP_INTERVAL_S = 5.0


class AnswerTable:
    """Owned answers by key; finished ones are kept for `FINISHED_RETENTION_S`.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._running: dict[AnswerKey, Answer] = {}
        self._finished: OrderedDict[AnswerKey, Answer] = OrderedDict()
        timers.subscribe(SWEEP_INTERVAL_S, self.sweep)

    def get(self, key: AnswerKey) -> Answer | None:
        """Return an answer if this router owns it, else None."""
        answer = self._running.get(key) or self._finished.get(key)
        if answer is None or answer.state is AnswerState.SUPERSEDED:
            return None
        return answer

    def running(self) -> list[Answer]:
        """Return the answers that are still running."""
        return list(self._running.values())

    def add(self, answer: Answer) -> None:
        """Add an answer that is about to run."""
        self._finished.pop(answer.key, None)
        self._running[answer.key] = answer

    def end(self, answer: Answer) -> None:
        """Move an answer to the finished ones, or remove it if it was superseded."""
        if self._running.get(answer.key) is answer:
            del self._running[answer.key]
        if answer.state is AnswerState.SUPERSEDED:
            return
        answer.ended_at = self._timers.now()
        self._finished[answer.key] = answer
        self._finished.move_to_end(answer.key)
        while len(self._finished) > MAX_FINISHED:
            self._finished.popitem(last=False)

    def sweep(self) -> None:
        """Remove finished answers that are past their retention time."""
        oldest = self._timers.now() - FINISHED_RETENTION_S
        while self._finished:
            key, answer = next(iter(self._finished.items()))
            if answer.ended_at > oldest:
                return
            del self._finished[key]
