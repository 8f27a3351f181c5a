"""Requests and responses of the stand-in engine's completion API."""

from typing import Any, Literal

import msgspec

from standins import tokens

__all__ = ["CompletionRequest", "ChunkEncoder", "error_body", "completion_body"]

FinishReason = Literal["length", "stop"]


class ChatMessage(msgspec.Struct, frozen=True):
    """A message of a conversation; content other than text is used as JSON."""

    role: str = ""
    content: Any = ""

    def text(self) -> str:
        """Return the message as text."""
        if isinstance(self.content, str):
            return f"{self.role} {self.content}"
        return f"{self.role} {msgspec.json.encode(self.content).decode()}"


class CompletionRequest(msgspec.Struct, frozen=True):
    """Body of a completion request; unknown fields are ignored."""

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | list[int] | None = None
    max_tokens: int = 16
    stream: bool = False
    return_token_ids: bool = False
    priority: int = 0

    def prompt_ids(self) -> list[int]:
        """Return the prompt's tokens."""
        match self.prompt:
            case list():
                return list(self.prompt)
            case str():
                return tokens.prompt_ids(self.prompt)
        texts = (message.text() for message in self.messages or [])
        return tokens.prompt_ids(" ".join(texts))


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    content: str
    role: str = ""


class ChatChoice(msgspec.Struct, frozen=True):
    delta: Delta
    token_ids: list[int] | None
    finish_reason: FinishReason | None
    index: int = 0


class TextChoice(msgspec.Struct, frozen=True):
    text: str
    token_ids: list[int] | None
    finish_reason: FinishReason | None
    index: int = 0


class Chunk(msgspec.Struct, frozen=True, omit_defaults=True):
    id: str
    object: str
    created: int
    model: str
    choices: list[ChatChoice | TextChoice]
    prompt_token_ids: list[int] | None = None


class ErrorInfo(msgspec.Struct, frozen=True):
    message: str
    type: str
    code: int


class ErrorBody(msgspec.Struct, frozen=True):
    error: ErrorInfo


class ChunkEncoder:
    """Encodes the events of one stream.

    Parameters
    ----------
    request_id : str
        The id of the answer.
    created : int
        When the answer began, in Unix seconds.
    body : CompletionRequest
        The request.
    is_chat : bool
        Whether the request is a chat completion.
    """

    def __init__(
        self, request_id: str, created: int, body: CompletionRequest, *, is_chat: bool
    ):
        self._id = request_id
        self._created = created
        self._request = body
        self._is_chat = is_chat
        self._is_first = True

    def event(
        self, new: list[int], prompt: list[int], finish: FinishReason | None
    ) -> bytes:
        """Return the event that carries new tokens.

        Parameters
        ----------
        new : list of int
            The new tokens.
        prompt : list of int
            The prompt's tokens, included in the first event.
        finish : str or None
            Why the answer ended; None if it has not.
        """
        ids = self._request.return_token_ids
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        chunk = Chunk(
            self._id,
            kind,
            self._created,
            self._request.model,
            [self._choice(new, new if ids else None, finish)],
            prompt if ids and self._is_first else None,
        )
        self._is_first = False
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def _choice(
        self, new: list[int], ids: list[int] | None, finish: FinishReason | None
    ) -> ChatChoice | TextChoice:
        text = "".join(map(tokens.text, new))
        if self._is_chat:
            role = "assistant" if self._is_first else ""
            return ChatChoice(Delta(text, role), ids, finish)
        return TextChoice(text, ids, finish)


class Usage(msgspec.Struct, frozen=True):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class AnswerMessage(msgspec.Struct, frozen=True):
    content: str
    role: str = "assistant"


class CompletionChoice(msgspec.Struct, frozen=True, omit_defaults=True):
    finish_reason: FinishReason
    token_ids: list[int] | None = None
    message: AnswerMessage | None = None
    text: str | None = None
    index: int = -1


class Completion(msgspec.Struct, frozen=True, omit_defaults=True):
    id: str
    object: str
    created: int
    model: str
    choices: list[CompletionChoice]
    usage: Usage
    prompt_token_ids: list[int] | None = None


def completion_body(
    request_id: str,
    created: int,
    body: CompletionRequest,
    prompt: list[int],
    generated: list[int],
    *,
    is_chat: bool,
) -> Completion:
    """Return the body of an answer that is not streamed."""
    text = "".join(map(tokens.text, generated))
    ids = body.return_token_ids
    choice = CompletionChoice(
        "length",
        token_ids=generated if ids else None,
        message=AnswerMessage(text) if is_chat else None,
        text=None if is_chat else text,
        index=0,
    )
    size, done = len(prompt), len(generated)
    return Completion(
        request_id,
        "chat.completion" if is_chat else "text_completion",
        created,
        body.model,
        [choice],
        Usage(size, done, size + done),
        prompt if ids else None,
    )


def error_body(message: str, kind: str, code: int) -> ErrorBody:
    """Return the body of an error response, in the format of engines."""
    return ErrorBody(ErrorInfo(message, kind, code))
