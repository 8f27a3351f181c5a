"""HTTP API of the stand-in engine."""

import itertools
import random
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from urllib.parse import parse_qs

import eventlet
import msgspec
from eventlet.green import socket

from boragedeck.process.timers import TimerService
from standins import tokens
from standins.batching import Batcher
from standins.behaviour import Behaviour
from standins.completions import (
    ChunkEncoder,
    CompletionRequest,
    completion_body,
    error_body,
)
from standins.orders import Order, OrderHandler
from standins.prefix_cache import BLOCK_TOKENS, CacheEvent, PrefixCache
from standins.run import Run, RunState
from standins.web import Answer, drop_connection, json_answer

__all__ = ["EngineApp", "IncompleteRunError"]

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
DONE_EVENT = b"data: [DONE]\n\n"
STREAM_HEADERS = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]


class AbortRequests(msgspec.Struct, frozen=True):
    """Body of ``POST /abort_requests``."""

    request_ids: list[str]


class ModelCard(msgspec.Struct, frozen=True):
    """A model version that is loaded."""

    id: str
    object: str = "model"


class ModelList(msgspec.Struct, frozen=True):
    """Response body of ``GET /v1/models``."""

    data: list[ModelCard]
    object: str = "list"


class CacheEvents(msgspec.Struct, frozen=True):
    """Response body of ``GET /kv_events``."""

    events: list[CacheEvent]


class IncompleteRunError(Exception):
    """Aborts the stream of an incomplete run, so that its end is not marked."""


class EngineApp:
    """WSGI application of an engine.

    Parameters
    ----------
    batcher : Batcher
        Runs the generations.
    cache : PrefixCache
        The prefix cache of the batcher.
    orders : OrderHandler
        Executes orders.
    timers : TimerService
        The source of time.
    rng : random.Random
        Chooses the requests that fail and the events that are dropped.
    """

    def __init__(
        self,
        batcher: Batcher,
        cache: PrefixCache,
        orders: OrderHandler,
        timers: TimerService,
        rng: random.Random,
    ):
        self._batcher = batcher
        self._cache = cache
        self._orders = orders
        self._timers = timers
        self._rng = rng
        self._request_numbers = itertools.count(1)
        self._runs: set[Run] = set()
        self._metrics = b""
        self._metrics_time = float("-inf")
        self._last_event_seq = 0
        self._dropped_event_seqs: set[int] = set()

    @property
    def behaviour(self) -> Behaviour:
        """The current faults."""
        return self._batcher.behaviour

    @behaviour.setter
    def behaviour(self, behaviour: Behaviour) -> None:
        self._batcher.behaviour = behaviour
        self._orders.behaviour = behaviour

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request."""
        try:
            if environ["PATH_INFO"] in (CHAT_PATH, COMPLETIONS_PATH):
                return self._complete(environ, start_response)
            return self._control(environ).send(start_response)
        except msgspec.MsgspecError as exc:
            return _error(HTTPStatus.BAD_REQUEST, str(exc)).send(start_response)

    def _control(self, environ: dict) -> Answer:
        content = environ["wsgi.input"].read()
        match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
            case "GET", "/health":
                return Answer()
            case "GET", "/v1/models":
                names = self._orders.view().versions
                return json_answer(ModelList([ModelCard(name) for name in names]))
            case "GET", "/metrics":
                return Answer(body=self._read_metrics())
            case "GET", "/kv_events":
                query = parse_qs(environ.get("QUERY_STRING", ""))
                return json_answer(self._events(int(query.get("after", ["0"])[0])))
            case "POST", "/abort_requests":
                abort = msgspec.json.decode(content, type=AbortRequests)
                return self._abort_requests(abort.request_ids)
            case "GET", "/orders":
                return json_answer(self._orders.view())
            case "POST", "/orders":
                return self._execute_order(msgspec.json.decode(content, type=Order))
            case "GET", "/_behaviour":
                return json_answer(self.behaviour)
            case "PUT", "/_behaviour":
                self.behaviour = msgspec.json.decode(content, type=Behaviour)
                return json_answer(self.behaviour)
        return _error(HTTPStatus.NOT_FOUND, "no such path")

    def _complete(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        content = environ["wsgi.input"].read()
        body = msgspec.json.decode(content, type=CompletionRequest)
        run = self._new_run(body, environ.get("HTTP_X_REQUEST_ID", ""))
        if isinstance(run, Answer):
            return run.send(start_response)
        self._runs.add(run)
        is_chat = environ["PATH_INFO"] == CHAT_PATH
        sock = environ["eventlet.input"].get_socket()
        watcher = eventlet.spawn(self._watch_connection, sock, run)
        self._batcher.submit(run)
        if body.stream:
            start_response("200 OK", list(STREAM_HEADERS))
            return self._stream(run, body, watcher, is_chat=is_chat)
        return self._send_completion(
            run, body, watcher, start_response, is_chat=is_chat
        )

    def _new_run(self, body: CompletionRequest, request_id: str) -> Run | Answer:
        if not self._orders.is_loaded(body.model):
            text = f"the model {body.model!r} does not exist"
            return _error(HTTPStatus.NOT_FOUND, text)
        prompt = body.prompt_ids()
        size = len(prompt) + body.max_tokens
        if body.max_tokens < 1 or size // BLOCK_TOKENS >= self._cache.capacity:
            return _error(HTTPStatus.BAD_REQUEST, "max_tokens does not fit the cache")
        if self._should_fail(prompt):
            return _error(HTTPStatus.INTERNAL_SERVER_ERROR, "the engine failed")
        return Run(
            body.model,
            prompt,
            body.max_tokens,
            priority=body.priority,
            request_id=request_id or f"cmpl-{next(self._request_numbers)}",
            is_poison=_contains_words(prompt, self.behaviour.crash_on),
        )

    def _should_fail(self, prompt: list[int]) -> bool:
        if self._rng.random() < self.behaviour.fail_rate:
            return True
        return _contains_words(prompt, self.behaviour.fail_on)

    def _stream(
        self,
        run: Run,
        body: CompletionRequest,
        watcher: eventlet.greenthread.GreenThread,
        *,
        is_chat,
    ) -> Iterator[bytes]:
        created = int(self._timers.wall())
        encoder = ChunkEncoder(run.request_id, created, body, is_chat=is_chat)
        try:
            while new := run.take_tokens():
                is_last = run.state is RunState.COMPLETED and run.is_drained()
                finish = "length" if is_last else None
                yield encoder.event(new, run.prompt, finish)
            if run.state is not RunState.COMPLETED:
                raise IncompleteRunError(run.state.value)
            yield DONE_EVENT
        finally:
            self._finish(run, watcher)

    def _send_completion(
        self,
        run: Run,
        body: CompletionRequest,
        watcher,
        start_response: Callable,
        *,
        is_chat: bool,
    ) -> list[bytes]:
        try:
            while run.take_tokens():
                pass
        finally:
            self._finish(run, watcher)
        if run.state is not RunState.COMPLETED:
            return drop_connection()
        completion = completion_body(
            run.request_id,
            int(self._timers.wall()),
            body,
            run.prompt,
            run.generated,
            is_chat=is_chat,
        )
        return json_answer(completion).send(start_response)

    def _watch_connection(self, sock: socket.socket, run: Run) -> None:
        """Abort a run when the client closes its connection."""
        try:
            is_closed = not sock.recv(1, socket.MSG_PEEK)
        except OSError:
            is_closed = True
        if is_closed:
            self._abort_unless_ignored(run)

    def _finish(self, run: Run, watcher: eventlet.greenthread.GreenThread) -> None:
        watcher.kill()
        self._runs.discard(run)
        self._abort_unless_ignored(run)

    def _abort_unless_ignored(self, run: Run) -> None:
        if not self.behaviour.ignore_aborts:
            self._batcher.abort(run)

    def _abort_requests(self, request_ids: list[str]) -> Answer:
        for run in [run for run in self._runs if run.request_id in request_ids]:
            self._abort_unless_ignored(run)
        return Answer()

    def _execute_order(self, order: Order) -> Answer:
        if not self._orders.execute(order):
            return _error(HTTPStatus.CONFLICT, "the fencing token is stale")
        if order.kind == "unload":
            for run in [run for run in self._runs if run.version == order.version]:
                self._batcher.abort(run, RunState.FAILED)
        return json_answer(self._orders.view())

    def _events(self, after: int) -> CacheEvents:
        until = self._timers.now() - self.behaviour.event_delay_s
        reported = []
        for event in self._cache.events(after, until=until):
            if event.seq > self._last_event_seq:
                self._last_event_seq = event.seq
                if self._rng.random() < self.behaviour.event_gap_rate:
                    self._dropped_event_seqs.add(event.seq)
            if event.seq not in self._dropped_event_seqs:
                reported.append(event)
        return CacheEvents(reported)

    def _read_metrics(self) -> bytes:
        now = self._timers.now()
        if now - self._metrics_time >= self.behaviour.metrics_lag_s:
            self._metrics_time = now
            self._metrics = _metrics(self._batcher, self._cache, self._orders)
        return self._metrics


def _metrics(batcher: Batcher, cache: PrefixCache, orders: OrderHandler) -> bytes:
    counts = batcher.counts
    values = {
        "vllm:num_requests_running": len(batcher.running),
        "vllm:num_requests_waiting": len(batcher.waiting),
        "vllm:kv_cache_usage_perc": cache.used_blocks / cache.capacity,
        "vllm:generation_tokens_total": counts["generated"],
        "vllm:prompt_tokens_total": counts["prompt"],
        "vllm:prefix_cache_queries_total": counts["prefix_queries"],
        "vllm:prefix_cache_hits_total": counts["prefix_hits"],
        "standin:loads_total": orders.loads,
    }
    return "".join(f"{name} {value}\n" for name, value in values.items()).encode()


def _contains_words(prompt: list[int], words: str | None) -> bool:
    return bool(words) and tokens.contains(prompt, tokens.prompt_ids(words))


def _error(status: HTTPStatus, message: str) -> Answer:
    return json_answer(error_body(message, status.phrase, int(status)), status)
