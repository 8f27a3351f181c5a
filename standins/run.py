"""One run of a stand-in engine, between its HTTP request and the batch."""

import enum

from eventlet.event import Event

from standins.prefix_cache import Block

__all__ = ["Run", "RunState"]


class RunState(enum.Enum):
    """How a run stands."""

    RUNNING = "running"
    COMPLETED = "completed"
    ABORTED = "aborted"
    FAILED = "failed"


class Run:
    """One generation.

    Parameters
    ----------
    version : str
        The model version.
    prompt : list of int
        The prompt's tokens.
    max_tokens : int
        How many tokens it generates.
    priority : int
        Lower goes first.
    request_id : str
        The name by which it may be aborted.
    is_poison : bool
        Whether it crashes the engine.

    Attributes
    ----------
    generated : list of int
        The tokens so far.
    state : RunState
        How it stands.
    order : int
        Its place in the order of arrival.
    blocks : list of Block
        The full blocks that it holds.
    tokens_to_prefill : int
        Tokens of the prompt that are still to be prefilled.
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
        """End the run; no effect on an ended one."""
        if self.state is RunState.RUNNING:
            self.state = state
            self._wake()

    def take_tokens(self) -> list[int]:
        """Wait for tokens that were not taken yet; none where the run has ended."""
        while (
            self._taken_count == len(self.generated) and self.state is RunState.RUNNING
        ):
            self._changed = Event()
            self._changed.wait()
        new = self.generated[self._taken_count :]
        self._taken_count += len(new)
        return new

    def is_drained(self) -> bool:
        """Return whether all tokens so far were taken."""
        return self._taken_count == len(self.generated)

    def _wake(self) -> None:
        if self._changed is not None and not self._changed.ready():
            self._changed.send(None)
