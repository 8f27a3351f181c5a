"""An answer: its tokens, its epochs and how it ended."""

import enum
from typing import Any

import msgspec

from boragedeck.ids import (
    AnswerId,
    ExecutionStatus,
    OrganisationName,
    RouteName,
    Version,
)
from boragedeck.process.signal import Signal

__all__ = [
    "Answer",
    "AnswerKey",
    "AnswerSpec",
    "AnswerState",
    "Chunk",
    "Endpoint",
    "Epoch",
    "ErrorInfo",
    "Finish",
    "Prompt",
]


class AnswerKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies an answer within its organisation.

    Parameters
    ----------
    organisation : OrganisationName
        The organisation that owns the answer; no other can address it.
    answer_id : AnswerId
        The caller's idempotency key, or a generated id.
    """

    organisation: OrganisationName
    answer_id: AnswerId

    def __str__(self) -> str:
        return f"{self.organisation}/{self.answer_id}"


class Endpoint(enum.Enum):
    """The API that the caller used."""

    CHAT = "chat.completion"
    TEXT = "text_completion"


class Prompt(msgspec.Struct, frozen=True, array_like=True):
    """The prompt of a request, as the JSON that the caller sent.

    Parameters
    ----------
    endpoint : Endpoint
        The API that the caller used.
    content : bytes
        The JSON value of `messages` or of `prompt`.
    sampling : bytes
        A JSON object of the other fields that are passed to the engine unchanged.
    """

    endpoint: Endpoint
    content: bytes
    sampling: bytes = b"{}"


class AnswerSpec(msgspec.Struct, frozen=True, array_like=True):
    """The specification of an answer: any router can run it on any engine.

    Parameters
    ----------
    route : RouteName
        The route that the caller named.
    prompt : Prompt
        The prompt.
    max_tokens : int
        Maximum number of tokens to generate.
    stream : bool
        Whether the caller asked for a stream.
    include_usage : bool
        Whether the stream ends with the token counts.
    body_hash : str
        Hash of the request body; distinguishes a repeated request from a different one.
    created : int
        When the request was received, in Unix seconds.
    deadline : float
        When the answer must have ended, in Unix seconds.
    fingerprint : str
        Hash of the prompt alone; the same under any request id.
    """

    route: RouteName
    prompt: Prompt
    max_tokens: int
    stream: bool
    include_usage: bool
    body_hash: str
    created: int
    deadline: float
    fingerprint: str


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that the engine sent together.

    Parameters
    ----------
    token_ids : tuple of int
        The ids of the tokens.
    text : str
        The text of the tokens.
    end : int
        The position after the last token.
    """

    token_ids: tuple[int, ...]
    text: str
    end: int


class Epoch(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The period in which one router owns an answer.

    Parameters
    ----------
    number : int
        Increases by one with each takeover.
    tag : int
        A random number that distinguishes two owners with the same epoch number.
    start : int
        The position from which the owner continued the answer.
    """

    number: int
    tag: int
    start: int


class ErrorInfo(msgspec.Struct, frozen=True, array_like=True):
    """Why an answer failed.

    Parameters
    ----------
    message : str
        A description for the caller.
    status : int
        The HTTP status, used if the caller has received nothing yet.
    kind : str
        The ``type`` of the error object.
    code : str
        The ``code`` of the error object.
    ran : ExecutionStatus
        Whether the request ran on an upstream.
    retry_after_s : float or None
        Time after which the caller may retry, in seconds.
    """

    message: str
    status: int
    kind: str
    code: str
    ran: ExecutionStatus
    retry_after_s: float | None = None


class Finish(msgspec.Struct, frozen=True, array_like=True):
    """How an answer ended.

    Parameters
    ----------
    reason : str
        ``"stop"``, ``"length"``, ``"cancelled"`` or ``"error"``.
    error : ErrorInfo or None
        The error, if the reason is ``"error"``.
    """

    reason: str
    error: ErrorInfo | None = None


class AnswerState(enum.Enum):
    """The state of an answer in this router."""

    RUNNING = "running"
    FINISHED = "finished"
    SUPERSEDED = "superseded"
    """Another router owns the answer."""


class Answer:
    """An answer in the router that owns it.

    Parameters
    ----------
    key : AnswerKey
        The key of the answer.
    spec : AnswerSpec
        The specification of the answer.
    version : Version or None
        The upstream version that all runs of the answer use; None until it is known.
    lineage : list of Epoch
        All epochs so far; the last one is that of this router.
    prompt_ids : tuple of int or None
        Token ids of the prompt; None until an engine has sent them.
    chunks : list of Chunk
        The tokens so far.

    Attributes
    ----------
    committed_count : int
        Number of chunks that readers may see: those that the copy holder has.
    finish : Finish or None
        How the answer ended; once it is set, no tokens are added.
    is_finish_committed : bool
        Whether readers may see `finish`.
    state : AnswerState
        The state of the answer in this router.
    readers : int
        Number of readers.
    read_end : int
        The farthest position that a reader has reached.
    ended_at : float or None
        When the answer ended here, in monotonic seconds; set by the answer table.
    changed : Signal
        Notified when readers can read more, or the answer was superseded.
    read : Signal
        Notified when a reader has advanced or the answer has ended.
    control : Signal
        Notified when the generation that runs the answer must check its state.
    copy : object
        The state of the copying; set by the journal.
    """

    def __init__(
        self,
        key: AnswerKey,
        spec: AnswerSpec,
        version: Version | None,
        lineage: list[Epoch],
        prompt_ids: tuple[int, ...] | None = None,
        chunks: list[Chunk] | None = None,
    ):
        self.key = key
        self.spec = spec
        self.version = version
        self.lineage = lineage
        self.prompt_ids = prompt_ids
        self.chunks = chunks or []
        self.committed_count = len(self.chunks)
        self.finish: Finish | None = None
        self.is_finish_committed = False
        self.state = AnswerState.RUNNING
        self.readers = 0
        self.read_end = 0
        self.ended_at: float | None = None
        self.changed = Signal()
        self.read = Signal()
        self.control = Signal()
        self.copy: Any = None

    @property
    def epoch(self) -> Epoch:
        """The current epoch, in which this router owns the answer."""
        return self.lineage[-1]

    @property
    def end(self) -> int:
        """The position after the last token, committed or not."""
        return self.chunks[-1].end if self.chunks else 0

    @property
    def committed_end(self) -> int:
        """The position after the last token that readers may see."""
        return self.chunks[self.committed_count - 1].end if self.committed_count else 0

    @property
    def is_running(self) -> bool:
        """Whether this router may still add tokens."""
        return self.state is AnswerState.RUNNING and self.finish is None

    def append(self, token_ids: tuple[int, ...], text: str) -> None:
        """Add tokens; readers see them once they are committed."""
        self.chunks.append(Chunk(token_ids, text, self.end + len(token_ids)))

    def end_with(self, finish: Finish) -> None:
        """End the answer; has no effect if it has already ended."""
        if self.finish is None:
            self.finish = finish
            self._notify_runner()

    def commit(self, chunk_count: int, has_finish: bool) -> None:
        """Make the part of the answer that has been copied visible to readers.

        Parameters
        ----------
        chunk_count : int
            Number of chunks that have been copied.
        has_finish : bool
            Whether `finish` has been copied.
        """
        if self.state is AnswerState.SUPERSEDED:
            return
        self.committed_count = max(self.committed_count, chunk_count)
        if has_finish and not self.is_finish_committed:
            self.is_finish_committed = True
            self.state = AnswerState.FINISHED
        self.changed.notify()

    def supersede(self) -> None:
        """Stop running the answer, because another router has taken it over."""
        if self.state is AnswerState.RUNNING:
            self.state = AnswerState.SUPERSEDED
            self.changed.notify()
            self._notify_runner()

    def note_read(self, end: int) -> None:
        """Record the position that a reader has reached."""
        if end > self.read_end:
            self.read_end = end
            self.read.notify()

    def _notify_runner(self) -> None:
        self.control.notify()
        self.read.notify()
