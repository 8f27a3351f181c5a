"""Decodes callers' requests and writes the headers of the router's own answers."""

from result import Err, Ok, Result

from boragedeck.connection.caller_channel import RawRequest
from boragedeck.connection.http_message import Headers
from boragedeck.connection.request_body import RequestBody
from boragedeck.exceptions import RefusedError
from boragedeck.ids import PromptPartId
from boragedeck.platform.header_text import decode_header_text
from boragedeck.platform.names import (
    API_KEY,
    DEADLINE_MS,
    HOP_BY_HOP,
    LAST_EVENT_ID,
    LENGTH_HINT,
    PROMPT_PARTS,
    REQUEST_ID,
    RETRY_AFTER,
    SET_BY_ROUTER,
    TOKEN_COUNTS,
)
from boragedeck.request.explanation import ExplainQuery
from boragedeck.request.relay_request import RelayRequest

__all__ = ["decode_request", "described_request", "refusal_headers"]


def decode_request(raw: RawRequest) -> Result[RelayRequest, RefusedError]:
    """Decode a request; an invalid one is refused with status 400."""
    values_by_name: dict[bytes, bytes] = {}
    connection_options = _connection_options(raw.headers)
    headers: Headers = []
    for name, value in raw.headers:
        lower_name = name.lower()
        if lower_name in values_by_name and lower_name in _SINGLE_VALUED_HEADERS:
            return Err(_bad_request_error(f"{name.decode()} is given more than once"))
        values_by_name[lower_name] = value
        if (
            lower_name not in HOP_BY_HOP | SET_BY_ROUTER
            and lower_name not in connection_options
        ):
            headers.append((name, value))
    try:
        return Ok(_build_request(raw, values_by_name, headers))
    except ValueError as exc:
        return Err(_bad_request_error(str(exc)))


def described_request(query: ExplainQuery, now: float) -> RawRequest:
    """Return a request that an operator describes, as its caller would send it.

    Parameters
    ----------
    query : ExplainQuery
        The description.
    now : float
        When it arrives, on the timer service's monotonic clock.
    """
    headers = [(_encoded(name), _encoded(value)) for name, value in query.headers]
    headers.append((b"Host", _encoded(query.host)))
    if query.key is not None:
        headers.append((API_KEY, _encoded(query.key)))
    method, target = _encoded(query.method), _encoded(query.path)
    return RawRequest(method, target, headers, RequestBody(), arrived=now, received=now)


def refusal_headers(request_id: str | None, retry_after_s: float | None) -> Headers:
    """Return the headers of an answer that the router itself creates."""
    headers: Headers = [(b"Content-Type", b"text/plain")]
    if request_id:
        headers.append((REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
    return headers


def _encoded(text: str) -> bytes:
    return text.encode("utf-8", "replace")


def _build_request(
    raw: RawRequest, values_by_name: dict[bytes, bytes], headers: Headers
) -> RelayRequest:
    target = raw.target.decode("ascii")
    if not target.startswith("/"):
        raise ValueError("the request target is not a path")
    host = values_by_name.get(b"host", b"").decode("ascii").lower()
    prompt, limit = _parse_token_counts(values_by_name.get(TOKEN_COUNTS.lower()))
    length_hint = _parse_number(values_by_name.get(LENGTH_HINT.lower()), LENGTH_HINT)
    key = values_by_name.get(API_KEY.lower())
    timeout_ms = _parse_number(values_by_name.get(DEADLINE_MS.lower()), DEADLINE_MS)
    return RelayRequest(
        request_id=values_by_name.get(REQUEST_ID.lower(), b"").decode("latin-1"),
        method=raw.method,
        target=raw.target,
        host=host.partition(":")[0],
        path=target.partition("?")[0],
        headers=headers,
        body=raw.body,
        key=None if key is None else decode_header_text(key),
        caller_timeout_s=None if timeout_ms is None else timeout_ms / 1000.0,
        arrived=raw.arrived,
        received=raw.received,
        resume_after=_parse_number(
            values_by_name.get(LAST_EVENT_ID.lower()), LAST_EVENT_ID
        ),
        prompt_tokens=prompt,
        expected_tokens=min(limit, length_hint) if length_hint and limit else limit,
        shared_parts=_parse_shared_parts(values_by_name.get(PROMPT_PARTS.lower())),
    )


def _connection_options(headers: Headers) -> set[bytes]:
    """Return the names of headers that apply only to the caller's connection."""
    values = [value for name, value in headers if name.lower() == b"connection"]
    return {part.strip().lower() for value in values for part in value.split(b",")}


def _parse_token_counts(value: bytes | None) -> tuple[int, int]:
    if value is None:
        return 0, 0
    prompt, _, output = value.partition(b",")
    if not (prompt.strip().isdigit() and output.strip().isdigit()):
        raise ValueError(f"{TOKEN_COUNTS.decode()} got {value!r}; expected two numbers")
    return int(prompt), int(output)


def _parse_shared_parts(value: bytes | None) -> tuple[PromptPartId, ...]:
    """Return the ids of all parts of a prompt but the last, at most the first few."""
    if not value:
        return ()
    parts = []
    for entry in value.split(b","):
        name, _, tokens = entry.strip().partition(b":")
        if not name or len(name) > _MAX_PART_ID_BYTES or not tokens.isdigit():
            raise ValueError(
                f"{PROMPT_PARTS.decode()} got {entry!r}; expected ID:TOKENS"
            )
        parts.append(PromptPartId(name.decode("ascii")))
    return tuple(parts[:-1][:_MAX_SHARED_PARTS])


def _parse_number(value: bytes | None, name: bytes) -> int | None:
    if value is None:
        return None
    if not (value.isdigit() and len(value) <= _MAX_DIGITS):
        raise ValueError(f"{name.decode()} got {value!r}; expected a whole number")
    return int(value)


def _bad_request_error(text: str) -> RefusedError:
    return RefusedError(
        text,
        status=400,
        kind="invalid_request_error",
        code="bad_request",
        step="decode request",
    )


_MAX_DIGITS = 15
_MAX_PART_ID_BYTES = 64
_MAX_SHARED_PARTS = 64
_SINGLE_VALUED_HEADERS = frozenset(
    name.lower()
    for name in (
        API_KEY,
        DEADLINE_MS,
        LAST_EVENT_ID,
        LENGTH_HINT,
        PROMPT_PARTS,
        REQUEST_ID,
        TOKEN_COUNTS,
        b"Host",
    )
)
