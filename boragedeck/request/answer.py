"""An answer: the log of its tokens, its epochs and how it ended."""

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
    """Names an answer; no organisation can name another's.

    Parameters
    ----------
    organisation : OrganisationName
        Whose answer it is.
    answer_id : AnswerId
        The caller's idempotency key, or a minted id.
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
    """What the caller asked, in JSON as it was sent.

    Parameters
    ----------
    endpoint : Endpoint
        The API that the caller used.
    content : bytes
        JSON of `messages` or of `prompt`.
    sampling : bytes
        JSON object of the other fields that go to the engine unchanged.
    """

    endpoint: Endpoint
    content: bytes
    sampling: bytes = b"{}"


class AnswerSpec(msgspec.Struct, frozen=True, array_like=True):
    """All that is needed to run an answer on any engine, from any router.

    Parameters
    ----------
    route : RouteName
        The route that the caller named.
    prompt : Prompt
        What the caller asked.
    max_tokens : int
        Tokens to generate at most.
    stream : bool
        Whether the caller asked for a stream.
    include_usage : bool
        Whether the stream ends with a count of tokens.
    body_hash : str
        Hash of the request's body, to tell a repeated request from another.
    created : int
        When the request came, in Unix seconds.
    deadline : float
        When the answer must have ended, in Unix seconds.
    fingerprint : str
        Hash of the prompt alone, the same under any request id.
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
        The tokens' ids.
    text : str
        Their text.
    end : int
        The position behind the last of them.
    """

    token_ids: tuple[int, ...]
    text: str
    end: int


class Epoch(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One owner's time with an answer.

    Parameters
    ----------
    number : int
        Grows by one with each takeover.
    tag : int
        Random, so that two owners with the same number can be told apart.
    start : int
        The position at which the owner went on.
    """

    number: int
    tag: int
    start: int


class ErrorInfo(msgspec.Struct, frozen=True, array_like=True):
    """Why an answer failed.

    Parameters
    ----------
    message : str
        A sentence for people.
    status : int
        The HTTP status, for a caller who has received nothing yet.
    kind : str
        The ``type`` of the error object.
    code : str
        The ``code`` of the error object.
    ran : ExecutionStatus
        Whether the request ran on an upstream.
    retry_after_s : float or None
        When the caller may come back, in seconds.
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
        Set for ``"error"``.
    """

    reason: str
    error: ErrorInfo | None = None


class AnswerState(enum.Enum):
    """What an answer is doing in this router."""

    RUNNING = "running"
    FINISHED = "finished"
    SUPERSEDED = "superseded"
    """Another router owns the answer."""


class Answer:
    """An answer in the router that owns it.

    Parameters
    ----------
    key : AnswerKey
        Names the answer.
    spec : AnswerSpec
        What to run.
    version : Version or None
        The upstream version that every run of it uses; None until it's known.
    lineage : list of Epoch
        All epochs so far; the last is this router's.
    prompt_ids : tuple of int or None
        Token ids of the prompt, once an engine has told them.
    chunks : list of Chunk
        The tokens so far.

    Attributes
    ----------
    committed : int
        How many chunks readers may see: those that the copy holder has.
    finish : Finish or None
        Set when nothing will be added.
    is_finish_committed : bool
        Whether readers may see `finish`.
    read_end : int
        The farthest position that a reader has taken.
    changed : Signal
        Notified when readers have something new to look at.
    read : Signal
        Notified when a reader has advanced or the answer has ended.
    control : Signal
        Notified when whoever runs the answer has something to look at.
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
        self.committed = len(self.chunks)
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
        """The epoch of this router."""
        return self.lineage[-1]

    @property
    def end(self) -> int:
        """The position behind the last token, committed or not."""
        return self.chunks[-1].end if self.chunks else 0

    @property
    def committed_end(self) -> int:
        """The position behind the last token that readers may see."""
        return self.chunks[self.committed - 1].end if self.committed else 0

    @property
    def is_running(self) -> bool:
        """Whether tokens may still be added here."""
        return self.state is AnswerState.RUNNING and self.finish is None

    def append(self, token_ids: tuple[int, ...], text: str) -> None:
        """Add tokens, which readers see once they are committed."""
        self.chunks.append(Chunk(token_ids, text, self.end + len(token_ids)))

    def end_with(self, finish: Finish) -> None:
        """Add nothing more; the first end counts."""
        if self.finish is None:
            self.finish = finish
            self._tell_runner()

    def commit(self, chunks: int, finish: bool) -> None:
        """Let readers see what the copy holder has.

        Parameters
        ----------
        chunks : int
            How many chunks are copied.
        finish : bool
            Whether the end is copied.
        """
        if self.state is AnswerState.SUPERSEDED:
            return
        self.committed = max(self.committed, chunks)
        if finish and not self.is_finish_committed:
            self.is_finish_committed = True
            self.state = AnswerState.FINISHED
        self.changed.notify()

    def supersede(self) -> None:
        """Give the answer up to the router that has taken it over."""
        if self.state is AnswerState.RUNNING:
            self.state = AnswerState.SUPERSEDED
            self.changed.notify()
            self._tell_runner()

    def note_read(self, end: int) -> None:
        """Note how far a reader has got."""
        if end > self.read_end:
            self.read_end = end
            self.read.notify()

    def _tell_runner(self) -> None:
        self.control.notify()
        self.read.notify()
