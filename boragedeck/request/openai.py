"""Requests and responses of the OpenAI-compatible API."""

import hashlib
from typing import Any

import msgspec
import xxhash
from result import Err, Ok, Result

from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.request.answer import (
    AnswerKey,
    AnswerSpec,
    Endpoint,
    ErrorInfo,
    Prompt,
)
from boragedeck.version.tables import Route

__all__ = [
    "ParsedRequest",
    "complete_response",
    "error_body",
    "text_data",
    "finish_data",
    "parse_request",
    "role_data",
    "to_spec",
    "usage_data",
]

DEFAULT_MAX_TOKENS = 1_024
SAMPLING_FIELDS = (
    "frequency_penalty",
    "logit_bias",
    "presence_penalty",
    "seed",
    "stop",
    "temperature",
    "top_p",
)
MAX_MESSAGES = 2_000


class _Message(msgspec.Struct):
    role: str
    content: str | list[dict[str, Any]] | None = None


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class _RequestFields(msgspec.Struct):
    model: str
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = False
    stream_options: _StreamOptions | None = None
    n: int | None = 1
    temperature: float | None = None
    top_p: float | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    seed: int | None = None
    stop: str | list[str] | None = None
    logit_bias: dict[str, float] | None = None


class _ChatFields(_RequestFields):
    messages: list[_Message] = msgspec.field(default_factory=list)


class _TextFields(_RequestFields):
    prompt: str | list[int] = ""


class ParsedRequest(msgspec.Struct, frozen=True):
    """A valid request.

    Parameters
    ----------
    model : str
        The name of a route.
    prompt : Prompt
        The prompt.
    max_tokens : int or None
        Maximum number of tokens to generate; None if the request sets none.
    stream : bool
        Whether the caller asks for a stream.
    include_usage : bool
        Whether the stream ends with the token counts.
    body_hash : str
        SHA-256 of the body.
    """

    model: str
    prompt: Prompt
    max_tokens: int | None
    stream: bool
    include_usage: bool
    body_hash: str


def parse_request(
    endpoint: Endpoint, body: bytes
) -> Result[ParsedRequest, RefusedError]:
    """Parse and check the body of a request.

    Parameters
    ----------
    endpoint : Endpoint
        The API that the caller used.
    body : bytes
        The body, in JSON.
    """
    fields_type = _ChatFields if endpoint is Endpoint.CHAT else _TextFields
    try:
        # Parts that are passed on undecoded must be valid UTF-8 too.
        body.decode()
        fields = msgspec.json.decode(body, type=fields_type)
        raw_fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS as exc:
        return Err(_bad_request_error(str(exc)))
    error_text = _validation_error(fields, raw_fields)
    if error_text is not None:
        return Err(_bad_request_error(error_text))
    content = raw_fields["messages" if endpoint is Endpoint.CHAT else "prompt"]
    sampling = {
        name: raw_fields[name] for name in SAMPLING_FIELDS if name in raw_fields
    }
    options = fields.stream_options or _StreamOptions()
    return Ok(
        ParsedRequest(
            model=fields.model,
            prompt=Prompt(endpoint, bytes(content), msgspec.json.encode(sampling)),
            max_tokens=fields.max_completion_tokens or fields.max_tokens,
            stream=bool(fields.stream),
            include_usage=options.include_usage,
            body_hash=hashlib.sha256(body).hexdigest(),
        )
    )


def to_spec(
    parsed: ParsedRequest, route: Route, now: float
) -> Result[AnswerSpec, RefusedError]:
    """Return the specification of the answer to a request.

    Parameters
    ----------
    parsed : ParsedRequest
        The request.
    route : Route
        The route of the request.
    now : float
        The time in Unix seconds.
    """
    limit = route.limits.max_tokens
    max_tokens = parsed.max_tokens or min(DEFAULT_MAX_TOKENS, limit)
    if max_tokens > limit:
        return Err(
            _bad_request_error(f"max_tokens must be at most {limit}, not {max_tokens}")
        )
    return Ok(
        AnswerSpec(
            route=route.name,
            prompt=parsed.prompt,
            max_tokens=max_tokens,
            stream=parsed.stream,
            include_usage=parsed.include_usage,
            body_hash=parsed.body_hash,
            created=int(now),
            deadline=now + route.limits.deadline_s,
            fingerprint=xxhash.xxh3_128_hexdigest(parsed.prompt.content),
        )
    )


def role_data(key: AnswerKey, spec: AnswerSpec) -> bytes:
    """Return the first chunk of a chat stream, which contains the role, in JSON."""
    choice = {
        "index": 0,
        "delta": {"role": "assistant", "content": ""},
        "finish_reason": None,
    }
    return _chunk(key, spec, [choice])


def text_data(key: AnswerKey, spec: AnswerSpec, text: str) -> bytes:
    """Return a chunk that contains text, in JSON."""
    return _chunk(key, spec, [_choice(spec, text, None)])


def finish_data(key: AnswerKey, spec: AnswerSpec, reason: str) -> bytes:
    """Return the chunk that contains the finish reason, in JSON."""
    return _chunk(key, spec, [_choice(spec, "", reason)])


def usage_data(
    key: AnswerKey, spec: AnswerSpec, prompt_tokens: int, tokens: int
) -> bytes:
    """Return the chunk that contains the token counts, in JSON."""
    return _chunk(key, spec, [], _usage(prompt_tokens, tokens))


def complete_response(
    key: AnswerKey,
    spec: AnswerSpec,
    text: str,
    reason: str,
    prompt_tokens: int,
    tokens: int,
) -> bytes:
    """Return the complete answer as one object, in JSON."""
    if spec.prompt.endpoint is Endpoint.CHAT:
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": reason}
    else:
        choice = {"index": 0, "text": text, "finish_reason": reason}
    choice["logprobs"] = None
    return msgspec.json.encode(
        {
            "id": key.answer_id,
            "object": spec.prompt.endpoint.value,
            "created": spec.created,
            "model": spec.route,
            "choices": [choice],
            "usage": _usage(prompt_tokens, tokens),
        }
    )


def error_body(error: RefusedError | ErrorInfo) -> bytes:
    """Return the error object of the API, in JSON.

    Parameters
    ----------
    error : RefusedError or ErrorInfo
        The error; its `ran` says whether the request ran.
    """
    return msgspec.json.encode(
        {
            "error": {
                "message": error.message,
                "type": error.kind,
                "param": None,
                "code": error.code,
                "ran": error.ran.value,
            }
        }
    )


def _choice(spec: AnswerSpec, text: str, reason: str | None) -> dict[str, Any]:
    if spec.prompt.endpoint is Endpoint.CHAT:
        delta = {"content": text} if text else {}
        return {"index": 0, "delta": delta, "finish_reason": reason}
    return {"index": 0, "text": text, "finish_reason": reason, "logprobs": None}


def _chunk(
    key: AnswerKey,
    spec: AnswerSpec,
    choices: list[dict[str, Any]],
    usage: dict[str, int] | None = None,
) -> bytes:
    is_chat = spec.prompt.endpoint is Endpoint.CHAT
    fields = {
        "id": key.answer_id,
        "object": "chat.completion.chunk" if is_chat else "text_completion",
        "created": spec.created,
        "model": spec.route,
        "choices": choices,
    }
    if usage is not None:
        fields["usage"] = usage
    return msgspec.json.encode(fields)


def _usage(prompt_tokens: int, tokens: int) -> dict[str, int]:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


def _validation_error(
    fields: _RequestFields, raw_fields: dict[str, msgspec.Raw]
) -> str | None:
    token_limit = fields.max_completion_tokens or fields.max_tokens
    for name in ("max_tokens", "max_completion_tokens"):
        value = getattr(fields, name)
        if value is not None and value < 1:
            return f"{name} must be at least 1, not {value}"
    if token_limit is not None and token_limit >= 10_000_000:
        return f"max_tokens must be under 10000000, not {token_limit}"
    if fields.n not in (None, 1):
        return f"n must be 1, not {fields.n}: a request has one answer"
    if isinstance(fields, _ChatFields):
        if not 1 <= len(fields.messages) <= MAX_MESSAGES:
            return f"messages must contain 1 to {MAX_MESSAGES} messages"
    elif "prompt" not in raw_fields:
        return "prompt is missing"
    return None


def _bad_request_error(text: str) -> RefusedError:
    return RefusedError(
        text,
        status=400,
        kind="invalid_request_error",
        code="bad_request",
        ran=ExecutionStatus.NO,
        step="parse request",
    )
