"""Client for model engines: one streamed run over their OpenAI-compatible API."""

import http.client
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
import urllib3
from eventlet.green import socket
from urllib3.connection import HTTPConnection

from boragedeck.connection.http_message import FINAL_STATUSES
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import (
    UpstreamError,
    UpstreamFailedError,
    UpstreamRefusedError,
)
from boragedeck.ids import Version
from boragedeck.request.answer import Endpoint, Prompt

__all__ = ["EngineChunk", "EngineRun", "RunRequest", "open_run"]

CONNECT_TIMEOUT_S = 0.5
HEADERS_TIMEOUT_S = 600.0
READ_BYTES = 65_536
MAX_EVENT_BYTES = 1024 * 1024
_ANSWER_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    EOFError,
)
"""How the client reports a broken connection or an answer that isn't valid HTTP."""
REFUSAL_STATUSES = (404, 429, 503)
"""Status codes with which an engine reports that it did not run the request."""


class RunRequest(msgspec.Struct, frozen=True):
    """What to run on an engine.

    Parameters
    ----------
    run_id : str
        Sent as `X-Request-Id`; unique for each run.
    model : Version or str
        The model that the engine serves.
    prompt : Prompt
        The caller's prompt and sampling parameters.
    max_tokens : int
        Maximum number of further tokens to generate.
    priority : int
        Requests with a lower value are scheduled first.
    prefix_ids : tuple of int or None
        Token ids of the prompt and of the output so far, to continue a run; None to
        start with the prompt.
    """

    run_id: str
    model: Version | str
    prompt: Prompt
    max_tokens: int
    priority: int = 0
    prefix_ids: tuple[int, ...] | None = None


class EngineChunk(msgspec.Struct, frozen=True):
    """Tokens from one event of an engine's stream.

    Parameters
    ----------
    token_ids : tuple of int
        Ids of the tokens.
    text : str
        Text of the tokens.
    prompt_ids : tuple of int or None
        Token ids of the prompt; None in all but the first chunk.
    finish_reason : str or None
        Reason for the end of the run; None in all but the last chunk.
    """

    token_ids: tuple[int, ...]
    text: str
    prompt_ids: tuple[int, ...] | None
    finish_reason: str | None


TokenId = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    token_ids: tuple[TokenId, ...] | None = None
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    prompt_token_ids: tuple[TokenId, ...] | None = None
    error: Any = None


_EVENT_DECODER = msgspec.json.Decoder(_Event)


class EngineRun:
    """Open response stream of one run.

    Parameters
    ----------
    conn : HTTPConnection
        The connection, used for this run only.
    response : urllib3.BaseHTTPResponse
        The response, whose body has not been read.
    peer : str
        The engine's URL, for error messages.
    """

    def __init__(self, conn: HTTPConnection, response: Any, peer: str):
        self._conn = conn
        self._response = response
        self._peer = peer

    def __iter__(self) -> Iterator[EngineChunk]:
        """Iterate over the chunks until the engine ends the stream.

        Raises
        ------
        UpstreamError
            If the connection breaks or the stream is invalid.
        """
        for data in self._read_event_data():
            if data == b"[DONE]":
                return
            chunk = self._decode_chunk(data)
            if chunk is not None:
                yield chunk
        raise self._error("the stream ended without [DONE]")

    def close(self) -> None:
        """Close the connection, which aborts the run."""
        sock = self._conn.sock
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self._conn.close()

    def _read_event_data(self) -> Iterator[bytes]:
        rest = b""
        while True:
            try:
                read = self._response.read1(READ_BYTES)
            except (urllib3.exceptions.HTTPError, OSError, EOFError, ValueError) as exc:
                raise self._error(f"the connection broke: {exc}") from exc
            if not read:
                return
            # Lines may end in CR LF. A CR at the end of one read is replaced together
            # with the LF of the next read.
            text = (rest + read).replace(b"\r\n", b"\n")
            *events, rest = text.split(b"\n\n")
            if len(rest) > MAX_EVENT_BYTES:
                raise self._error(f"an event is longer than {MAX_EVENT_BYTES} bytes")
            for event in events:
                data = _event_data(event)
                if data is not None:
                    yield data

    def _decode_chunk(self, data: bytes) -> EngineChunk | None:
        try:
            event = _EVENT_DECODER.decode(data)
        except DECODE_ERRORS as exc:
            raise self._error(f"invalid event: {exc}") from exc
        if event.error is not None:
            raise self._error(f"the engine reported an error: {str(event.error)[:200]}")
        if not event.choices:
            return None
        choice = event.choices[0]
        text = choice.text
        if choice.delta is not None:
            text = choice.delta.content
        return EngineChunk(
            token_ids=choice.token_ids or (),
            text=text or "",
            prompt_ids=event.prompt_token_ids,
            finish_reason=choice.finish_reason,
        )

    def _error(self, text: str) -> UpstreamError:
        return UpstreamError(text, step="read tokens", peer=self._peer)


def _event_data(event: bytes) -> bytes | None:
    """Return the data of an event; None for comments and other events without data."""
    if event.startswith(b"data: ") and b"\n" not in event:
        return event[6:]
    lines = [line[5:] for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(line.removeprefix(b" ") for line in lines) if lines else None


def open_run(url: str, request: RunRequest) -> EngineRun:
    """Start a run and wait for the response's headers.

    Parameters
    ----------
    url : str
        The engine's base URL.
    request : RunRequest
        What to run.

    Raises
    ------
    UpstreamRefusedError
        If the engine could not be reached or reported that it did not run the request.
    UpstreamFailedError
        If the engine answered with another error status.
    UpstreamError
        If no valid answer arrived; the request may run.
    """
    parsed = urllib3.util.parse_url(url)
    conn = HTTPConnection(parsed.host, parsed.port, timeout=CONNECT_TIMEOUT_S)
    try:
        conn.connect()
        conn.timeout = HEADERS_TIMEOUT_S
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        conn.close()
        raise UpstreamRefusedError(str(exc), step="connect", peer=url) from exc
    try:
        path, body = _path_and_body(request)
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request.run_id,
        }
        conn.request("POST", path, body, headers, preload_content=False)
        response = conn.getresponse()
        _check_status(response, url)
        conn.sock.settimeout(None)
        return EngineRun(conn, response, url)
    except _ANSWER_ERRORS as exc:
        conn.close()
        raise UpstreamError(str(exc), step="start run", peer=url) from exc
    except BaseException:
        # The run must also be aborted if this green thread is killed.
        conn.close()
        raise


def _check_status(response: Any, url: str) -> None:
    if response.status == 200:
        return
    if response.status not in FINAL_STATUSES:
        text = f"invalid status {response.status}"
        raise UpstreamError(text, step="start run", peer=url)
    text = response.read(2_000).decode(errors="replace")
    message = f"status {response.status}: {text[:200]}"
    if response.status in REFUSAL_STATUSES:
        raise UpstreamRefusedError(message, step="start run", peer=url)
    raise UpstreamFailedError(message, step="start run", peer=url)


def _path_and_body(request: RunRequest) -> tuple[str, bytes]:
    fields = msgspec.json.decode(request.prompt.sampling)
    fields.update(
        model=request.model,
        max_tokens=request.max_tokens,
        stream=True,
        return_token_ids=True,
        priority=request.priority,
    )
    if request.prefix_ids is not None:
        fields["prompt"] = request.prefix_ids
        return "/v1/completions", msgspec.json.encode(fields)
    content = msgspec.Raw(request.prompt.content)
    match request.prompt.endpoint:
        case Endpoint.CHAT:
            fields["messages"] = content
            return "/v1/chat/completions", msgspec.json.encode(fields)
        case Endpoint.TEXT:
            fields["prompt"] = content
            return "/v1/completions", msgspec.json.encode(fields)
