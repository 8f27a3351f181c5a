"""A run of a stand-in engine, shared by the HTTP request and the batcher."""

import enum

from eventlet.event import Event

from standins.prefix_cache import Block

__all__ = ["Run", "RunState"]


class RunState(enum.Enum):
    """State of a run."""

    RUNNING = "running"
    COMPLETED = "completed"
    ABORTED = "aborted"
    FAILED = "failed"


class Run:
    """One generation of tokens for a request.

    Parameters
    ----------
    version : str
        The model version.
    prompt : list of int
        The prompt's tokens.
    max_tokens : int
        Number of tokens to generate.
    priority : int
        Priority; lower values are served first.
    request_id : str
        The id by which the run can be aborted.
    is_poison : bool
        Whether the run crashes the engine.

    Attributes
    ----------
    generated : list of int
        The tokens generated so far.
    state : RunState
        The current state.
    order : int
        The position in the order of arrival.
    blocks : list of Block
        The full cache blocks that the run holds.
    tokens_to_prefill : int
        Number of tokens that are still to be prefilled.
    """

    def __init__(
        self,
        version: str,
        prompt: list[int],
        max_tokens: int,
        *,
        priority: int = 0,
        request_id: str = "",
        is_poison: bool = False,
    ):
        self.version = version
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.priority = priority
        self.request_id = request_id
        self.is_poison = is_poison
        self.generated: list[int] = []
        self.state = RunState.RUNNING
        self.order = 0
        self.blocks: list[Block] = []
        self.tokens_to_prefill = 0
        self._taken_count = 0
        self._changed: Event | None = None

    def add(self, token: int) -> None:
        """Add a generated token."""
        self.generated.append(token)
        self._wake()

    def end(self, state: RunState) -> None:
        """End the run; no effect if it has ended."""
        if self.state is RunState.RUNNING:
            self.state = state
            self._wake()

    def take_tokens(self) -> list[int]:
        """Wait for new tokens and return them; empty if the run ended without more."""
        while (
            self._taken_count == len(self.generated) and self.state is RunState.RUNNING
        ):
            self._changed = Event()
            self._changed.wait()
        new = self.generated[self._taken_count :]
        self._taken_count += len(new)
        return new

    def is_drained(self) -> bool:
        """Return whether all tokens generated so far were taken."""
        return self._taken_count == len(self.generated)

    def _wake(self) -> None:
        if self._changed is not None and not self._changed.ready():
            self._changed.send(None)
