"""Delivers an answer to its caller, as server-sent events or as one object."""

from collections.abc import Callable, Iterable, Iterator

import msgspec
from result import Err, Ok, Result

from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.process.timers import TimerService
from boragedeck.request import openai
from boragedeck.request.answer import AnswerKey, Endpoint, ErrorInfo
from boragedeck.request.copy_messages import AnswerPart
from boragedeck.request.event_id import format_event_id
from boragedeck.request.reader import AnswerReader

__all__ = ["Delivery", "Response", "deliver"]

READ_WAIT_S = 1.0
"""Longest wait of one read; bounded so that a closed connection is noticed."""
MAX_HEADER_DELAY_S = 1.0
"""Time after which the headers of a stream are sent even without output."""
KEEP_ALIVE_INTERVAL_S = 5.0
"""Time without output after which a comment is sent."""
REATTACH_DELAY_MS = 200
"""Delay after which a caller is asked to reconnect when the router stops."""


class Response(msgspec.Struct):
    """An HTTP response.

    Parameters
    ----------
    status : int
        The HTTP status.
    headers : list of tuple
        Names and values of the headers.
    body : iterable of bytes
        The body in pieces.
    route : str
        The label of the route in the metrics.
    closes_connection : bool
        Whether the connection is closed after the response.
    """

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]
    route: str = ""
    closes_connection: bool = False


class Delivery(msgspec.Struct):
    """The delivery of an answer to one caller.

    Parameters
    ----------
    reader : AnswerReader
        Reads the answer.
    key : AnswerKey
        The key of the answer.
    stream : bool or None
        Whether to deliver events; None to deliver what the original request asked
        for.
    timers : TimerService
        The source of time.
    is_disconnected : callable
        Returns whether the caller has closed its connection.
    is_stopping : callable
        Returns whether this router is closing its connections.
    close : callable
        Called when the delivery ends.
    """

    reader: AnswerReader
    key: AnswerKey
    stream: bool | None
    timers: TimerService
    is_disconnected: Callable[[], bool]
    is_stopping: Callable[[], bool]
    close: Callable[[], None]

    def end(self) -> None:
        """Release the answer and the connection."""
        self.reader.close()
        self.close()


def deliver(delivery: Delivery) -> Result[Response, RefusedError]:
    """Wait for the first part of an answer and return the response.

    Parameters
    ----------
    delivery : Delivery
        The delivery.

    Returns
    -------
    Result
        The response, or an error; in that case nothing has been sent.
    """
    try:
        first = _first_part(delivery)
    except BaseException:
        delivery.end()
        raise
    if first.is_err():
        delivery.end()
        return first
    part = first.ok()
    error = part.finish.error if part.finish is not None else None
    if error is not None and not part.chunks and delivery.reader.position == 0:
        delivery.end()
        return Err(_run_error(error))
    stream = part.spec.stream if delivery.stream is None else delivery.stream
    if stream:
        return Ok(_stream_response(delivery, part))
    return _complete_response(delivery, part)


def _first_part(delivery: Delivery) -> Result[AnswerPart, RefusedError]:
    until = delivery.timers.now() + MAX_HEADER_DELAY_S
    while True:
        left_s = until - delivery.timers.now()
        result = delivery.reader.next_part(max(0.0, min(left_s, MAX_HEADER_DELAY_S)))
        if result.is_err() or result.ok().chunks or result.ok().finish:
            return result
        if delivery.timers.now() >= until:
            return result


def _stream_response(delivery: Delivery, first: AnswerPart) -> Response:
    headers = [
        ("Content-Type", "text/event-stream"),
        ("Cache-Control", "no-cache"),
        ("X-Request-Id", delivery.key.answer_id),
    ]
    body = _StreamBody(delivery, first)
    return Response(200, headers, body, route=first.spec.route)


class _StreamBody:
    """The body of a stream; closing it releases the answer."""

    def __init__(self, delivery: Delivery, first: AnswerPart):
        self._delivery = delivery
        self._events = _events(delivery, first)

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        self._events.close()
        self._delivery.end()


def _events(delivery: Delivery, part: AnswerPart) -> Iterator[bytes]:
    key, spec = delivery.key, part.spec
    starts_at_zero = _starts_at_zero(delivery, part)
    if spec.prompt.endpoint is Endpoint.CHAT and starts_at_zero:
        yield _event(part, 0, openai.role_data(key, spec))
    else:
        yield b": attached\n\n"
    sent_at = delivery.timers.now()
    while True:
        if part.chunks:
            text = "".join(chunk.text for chunk in part.chunks)
            end = part.chunks[-1].end
            yield _event(part, end, openai.text_data(key, spec, text))
            sent_at = delivery.timers.now()
        if part.finish is not None:
            yield from _last_events(delivery, part)
            return
        if delivery.is_disconnected():
            return
        if delivery.is_stopping():
            yield _reattach_event(part, delivery.reader.position)
            return
        if delivery.timers.now() - sent_at >= KEEP_ALIVE_INTERVAL_S:
            yield b": keep-alive\n\n"
            sent_at = delivery.timers.now()
        result = delivery.reader.next_part(READ_WAIT_S)
        if result.is_err():
            yield b"data: " + openai.error_body(result.err()) + b"\n\n"
            return
        part = result.ok()


def _starts_at_zero(delivery: Delivery, part: AnswerPart) -> bool:
    if not part.chunks:
        return delivery.reader.position == 0
    first = part.chunks[0]
    return first.end == len(first.token_ids)


def _last_events(delivery: Delivery, part: AnswerPart) -> Iterator[bytes]:
    key, spec, position = delivery.key, part.spec, delivery.reader.position
    if part.finish.error is not None:
        yield b"data: " + openai.error_body(part.finish.error) + b"\n\n"
        return
    reason = _finish_reason(part.finish.reason)
    yield _event(part, position, openai.finish_data(key, spec, reason))
    if spec.include_usage:
        data = openai.usage_data(key, spec, part.prompt_tokens, position)
        yield _event(part, position, data)
    yield b"data: [DONE]\n\n"


def _event(part: AnswerPart, position: int, data: bytes) -> bytes:
    event_id = format_event_id(list(part.lineage), position)
    return b"id: %s\ndata: %s\n\n" % (event_id.encode(), data)


def _reattach_event(part: AnswerPart, position: int) -> bytes:
    event_id = format_event_id(list(part.lineage), position)
    return f": reattach\nid: {event_id}\nretry: {REATTACH_DELAY_MS}\n\n".encode()


def _complete_response(
    delivery: Delivery, part: AnswerPart
) -> Result[Response, RefusedError]:
    texts = []
    try:
        while True:
            texts += [chunk.text for chunk in part.chunks]
            if part.finish is not None:
                break
            if delivery.is_disconnected():
                return Ok(
                    Response(499, [], [], part.spec.route, closes_connection=True)
                )
            if delivery.is_stopping():
                return Err(_stopping_error(delivery.key))
            result = delivery.reader.next_part(READ_WAIT_S)
            if result.is_err():
                return result
            part = result.ok()
        if part.finish.error is not None:
            return Err(_run_error(part.finish.error))
        body = openai.complete_response(
            delivery.key,
            part.spec,
            "".join(texts),
            _finish_reason(part.finish.reason),
            part.prompt_tokens,
            delivery.reader.position,
        )
    finally:
        delivery.end()
    headers = [
        ("Content-Type", "application/json"),
        ("X-Request-Id", delivery.key.answer_id),
    ]
    return Ok(Response(200, headers, [body], route=part.spec.route))


def _finish_reason(reason: str) -> str:
    # The API has no finish reason for a cancelled answer.
    return "stop" if reason == "cancelled" else reason


def _run_error(error: ErrorInfo) -> RefusedError:
    return RefusedError(
        error.message,
        status=error.status,
        kind=error.kind,
        code=error.code,
        ran=error.ran,
        retry_after_s=error.retry_after_s,
        step="run answer",
    )


def _stopping_error(key: AnswerKey) -> RefusedError:
    return RefusedError(
        f"this router is stopping; read /v1/answers/{key.answer_id} on another",
        status=503,
        kind="server_error",
        code="reattach",
        ran=ExecutionStatus.YES,
        retry_after_s=0.2,
        step="deliver",
    )
