"""Runs an answer to its end, on as many engines as it takes."""

import enum
import random
import secrets
from collections.abc import Callable

import msgspec
import xxhash

from boragedeck.connection.engine import EngineChunk, RunRequest
from boragedeck.ids import Ran, UpstreamName
from boragedeck.interfaces import (
    Chooser,
    ConfigSource,
    Outcome,
    SlotRequest,
    VersionPolicy,
)
from boragedeck.process.journal import Journal
from boragedeck.process.logs import PartLog
from boragedeck.process.metrics import Metrics
from boragedeck.process.pulse import UpstreamActivityTable
from boragedeck.process.timers import TimerService
from boragedeck.request.answer import Answer, ErrorInfo, Finish
from boragedeck.request.attempt import Attempt, EndKind, OpenRun, broken_outcome
from boragedeck.request.generation_errors import (
    deadline_error,
    internal_error,
    refusal_error,
    route_gone_error,
    upstreams_failed_error,
)
from boragedeck.request.run_samples import RunSamples
from boragedeck.request.silence import GapHistory
from boragedeck.version.tables import Pool, Priority, Route

__all__ = ["Generation", "GenerationParts"]

MAX_ATTEMPTS = 8
"""Attempts without any output in between, after which the answer fails."""
BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
WINDOW_TOKENS = 512
"""Tokens that may stand unread before the run is paused."""
STANDBY_LIMIT = 1
PREFIX_BYTES = 512
"""How much of a prompt decides where it is cached."""
LONG_WAIT_S = 60.0
LOOK_SLACK_S = 0.1
"""How late a silence may be looked at."""
PRIORITIES = {Priority.INTERACTIVE: 0, Priority.BATCH: 10}

_log = PartLog("generation")


class Cause(enum.Enum):
    """Why a run goes on elsewhere."""

    BROKEN = "broken"
    SILENT = "silent"
    PAUSED = "paused"
    TAKEOVER = "takeover"


class GenerationParts(msgspec.Struct, frozen=True):
    """What a generation needs of the process.

    Parameters
    ----------
    chooser : Chooser
        Chooses upstreams.
    journal : Journal
        Copies the output.
    config : ConfigSource
        The routes and pools in force.
    versions : VersionPolicy
        Learns how the version did.
    timers : TimerService
        The source of time.
    metrics : Metrics
        Where figures go.
    open_run : callable
        See `boragedeck.connection.engine.open_run`.
    rng : random.Random
        The source of jitter.
    pulses : UpstreamActivityTable
        Output of each upstream's streams.
    is_quarantined : callable
        Returns whether a fingerprint's crashes are the request's own fault.
    """

    chooser: Chooser
    journal: Journal
    config: ConfigSource
    versions: VersionPolicy
    timers: TimerService
    metrics: Metrics
    open_run: OpenRun
    rng: random.Random
    pulses: UpstreamActivityTable = msgspec.field(default_factory=UpstreamActivityTable)
    is_quarantined: Callable[[str], bool] = lambda fingerprint: False


class Generation:
    """Produces an answer's tokens.

    Parameters
    ----------
    answer : Answer
        The answer, which this router owns.
    parts : GenerationParts
        What it needs of the process.

    Notes
    -----
    At most one attempt adds to the answer at a time. A second one, the standby,
    starts when the first is silent; the first of both to send output goes on, and
    the other's output is discarded.
    """

    def __init__(self, answer: Answer, parts: GenerationParts):
        self._answer = answer
        self._parts = parts
        self._timers = parts.timers
        self._attempts: list[Attempt] = []
        self._failed: set[UpstreamName] = set()
        self._failures = 0
        self._has_run = bool(answer.chunks)
        self._ran = Ran.YES if answer.chunks else Ran.NO
        self._changed = answer.control
        self._gaps = GapHistory()
        self._started = parts.timers.now()
        self._progress_at = self._started
        self._look_at = float("inf")
        self._lost_at: float | None = None
        self._cause = Cause.TAKEOVER if answer.chunks else None
        self._samples = RunSamples(
            answer, parts.versions, parts.is_quarantined, parts.metrics, self._started
        )

    def run(self) -> None:
        """Run the answer until it has ended or another router owns it."""
        try:
            while self._answer.is_running:
                self._step()
        except Exception as exc:
            _log.write("Run failed.", answer=str(self._answer.key), error=repr(exc))
            self._fail(internal_error(self._ran))
            raise
        finally:
            self._stop_attempts(Outcome.CANCELLED)
            self._parts.journal.mark_changed(self._answer)

    def _step(self) -> None:
        if self._is_expired():
            self._fail(deadline_error(self._ran))
        elif self._is_window_full():
            self._pause()
        elif not self._attempts:
            self._begin_attempt()
        else:
            self._follow()

    def _is_expired(self) -> bool:
        return self._timers.wall() >= self._answer.spec.deadline

    def _is_window_full(self) -> bool:
        answer = self._answer
        if not answer.spec.stream:
            return False
        return answer.end - answer.read_end >= WINDOW_TOKENS

    def _pause(self) -> None:
        is_running = bool(self._attempts)
        self._stop_attempts(Outcome.CANCELLED)
        self._cause = Cause.PAUSED
        if is_running:
            _log.write(
                "Paused.", answer=str(self._answer.key), position=self._answer.end
            )
        unread = self._answer.end - self._answer.read_end
        if unread >= WINDOW_TOKENS // 2 and self._answer.is_running:
            left_s = self._answer.spec.deadline - self._timers.wall()
            self._answer.read.wait(self._timers, min(LONG_WAIT_S, left_s))

    def _begin_attempt(self) -> None:
        answer = self._answer
        cfg = self._parts.config.current()
        route = cfg.route(answer.spec.route)
        pool = cfg.pool(route.pool) if route is not None else None
        if route is None or pool is None:
            self._fail(route_gone_error(answer, self._ran))
            return
        if answer.end >= answer.spec.max_tokens:
            answer.end_with(Finish("length"))
            return
        if not answer.chunks and not self._attempts:
            answer.version = self._parts.versions.choose(route, str(answer.key))
        attempt = self._attempt(route, pool)
        self._attempts.append(attempt)
        attempt.begin()

    def _attempt(self, route: Route, pool: Pool) -> Attempt:
        answer = self._answer
        prefix = None
        if answer.chunks:
            prefix = answer.prompt_ids + tuple(
                token for chunk in answer.chunks for token in chunk.token_ids
            )
        request = RunRequest(
            run_id=f"{answer.key.answer_id[:64]}-{secrets.token_hex(6)}",
            model=answer.version or "",
            prompt=answer.spec.prompt,
            max_tokens=answer.spec.max_tokens - answer.end,
            priority=PRIORITIES[route.priority],
            prefix_ids=prefix,
        )
        return Attempt(
            self._parts.chooser,
            self._parts.open_run,
            self._wanted(route, pool, prefix),
            request,
            answer.end,
            accept=self._accept,
            ended=lambda attempt: self._changed.notify(),
            placed=self._placed,
        )

    def _wanted(
        self, route: Route, pool: Pool, prefix: tuple[int, ...] | None
    ) -> SlotRequest:
        answer = self._answer
        content = answer.spec.prompt.content
        left_s = answer.spec.deadline - self._timers.wall()
        # What a caller has begun to read is worth waiting for.
        queue_s = left_s if answer.chunks else min(route.limits.queue_s, left_s)
        busy = {a.upstream for a in self._attempts if a.upstream is not None}
        return SlotRequest(
            route=route,
            pool=pool,
            organisation=answer.key.organisation,
            version=answer.version,
            prompt_tokens=len(prefix) if prefix else len(content) // 4,
            prefix_hash=_prefix_hash(answer),
            fingerprint=answer.spec.fingerprint,
            excluded=frozenset(self._failed | busy),
            is_resume=bool(answer.chunks),
            deadline=self._timers.now() + queue_s,
        )

    def _placed(self, attempt: Attempt) -> None:
        upstream = attempt.slot.upstream
        self._ran = Ran.YES
        if self._answer.version is None:
            self._answer.version = upstream.version
        _log.write(
            "Run begins.",
            answer=str(self._answer.key),
            run=attempt.request.run_id,
            upstream=upstream.name,
            version=upstream.version,
            position=attempt.start,
        )
        self._parts.journal.set_upstream(self._answer, upstream.url)
        self._gaps.follow(self._parts.pulses.of(upstream.url))
        # From now on a silence counts.
        self._changed.notify()

    def _accept(self, attempt: Attempt, chunk: EngineChunk) -> None:
        is_next = attempt.position == self._answer.end
        if not (attempt in self._attempts and is_next and self._answer.is_running):
            self._discard(chunk)
            return
        if not chunk.token_ids:
            return
        if len(self._attempts) > 1:
            self._settle_race(attempt)
        if self._answer.prompt_ids is None:
            self._answer.prompt_ids = chunk.prompt_ids
        self._answer.append(chunk.token_ids, chunk.text)
        self._note_progress(len(chunk.token_ids))
        self._parts.journal.mark_changed(self._answer)
        if self._is_window_full():
            self._changed.notify()

    def _settle_race(self, winner: Attempt) -> None:
        _log.write(
            "Race settled.",
            answer=str(self._answer.key),
            run=winner.request.run_id,
            upstream=winner.upstream,
        )
        for loser in [a for a in self._attempts if a is not winner]:
            self._attempts.remove(loser)
            loser.stop(Outcome.SILENT)
        self._changed.notify()

    def _discard(self, chunk: EngineChunk) -> None:
        route = self._answer.spec.route
        self._parts.metrics.discarded_tokens.labels(route).inc(len(chunk.token_ids))

    def _note_progress(self, count: int) -> None:
        now = self._timers.now()
        self._samples.note_tokens(count, now)
        if self._lost_at is not None:
            self._note_resumed(now, self._answer.end - count)
        self._gaps.note(now)
        self._failures = 0
        self._progress_at = now
        if now + self._gaps.suspect_after_s() < self._look_at - LOOK_SLACK_S:
            # The first tokens shorten the silence that is suspicious.
            self._changed.notify()

    def _note_resumed(self, now: float, position: int) -> None:
        after_s = now - self._lost_at
        self._lost_at = None
        self._parts.metrics.resume_s.labels(self._cause.value).observe(after_s)
        _log.write(
            "Goes on.",
            answer=str(self._answer.key),
            cause=self._cause.value,
            after_s=round(after_s, 3),
            position=position,
        )

    def _follow(self) -> None:
        ended = next((a for a in self._attempts if a.end is not None), None)
        if ended is not None:
            self._attempts.remove(ended)
            self._take_end(ended)
            return
        now = self._timers.now()
        suspect_at = self._progress_at + self._gaps.suspect_after_s()
        may_double = self._is_placed() and len(self._attempts) <= STANDBY_LIMIT
        if may_double and now >= suspect_at:
            self._begin_standby()
            return
        wait_s = suspect_at - now if may_double else LONG_WAIT_S
        left_s = self._answer.spec.deadline - self._timers.wall()
        wait_s = max(0.0, min(wait_s, left_s, LONG_WAIT_S))
        self._look_at = now + wait_s
        self._changed.wait(self._timers, wait_s)
        self._sample_long_run()

    def _is_placed(self) -> bool:
        return all(attempt.slot is not None for attempt in self._attempts)

    def _begin_standby(self) -> None:
        self._has_run = True
        silent = self._attempts[0]
        _log.write(
            "Stream is silent, starting a standby.",
            answer=str(self._answer.key),
            run=silent.request.run_id,
            upstream=silent.upstream,
            position=self._answer.end,
        )
        self._note_loss(Cause.SILENT)
        self._begin_attempt()
        self._progress_at = self._timers.now()

    def _take_end(self, attempt: Attempt) -> None:
        end = attempt.end
        match end.kind:
            case EndKind.COMPLETED if self._attempts and not attempt.has_output:
                return
            case EndKind.COMPLETED:
                self._observe(attempt, Outcome.COMPLETED)
                self._answer.end_with(Finish(end.finish_reason))
            case EndKind.REFUSED:
                if not self._attempts:
                    self._fail(refusal_error(end.error, self._ran))
            case EndKind.NOT_TAKEN:
                if not self._has_run:
                    self._ran = Ran.NO
                self._retry(attempt, Outcome.REFUSED)
            case EndKind.BROKEN:
                self._has_run = True
                self._note_loss(Cause.BROKEN)
                self._retry(attempt, broken_outcome(end))

    def _retry(self, attempt: Attempt, outcome: Outcome) -> None:
        _log.write(
            "Attempt failed.",
            answer=str(self._answer.key),
            run=attempt.request.run_id,
            upstream=attempt.upstream,
            error=str(attempt.end.error),
            position=self._answer.end,
        )
        self._observe(attempt, outcome)
        self._failed.add(attempt.upstream)
        self._failures += 1
        if self._failures >= MAX_ATTEMPTS:
            self._fail(upstreams_failed_error(MAX_ATTEMPTS, self._ran))
            return
        if self._failures > 2 and not self._attempts:
            # The upstreams that failed may be back, and may be all there are.
            self._failed.clear()
            backoff_s = BACKOFF_S * 2.0 ** (self._failures - 2)
            spread = self._parts.rng.uniform(0.5, 1.0)
            self._timers.sleep(min(MAX_BACKOFF_S, backoff_s) * spread)

    def _note_loss(self, cause: Cause) -> None:
        self._cause = cause
        if self._lost_at is None:
            self._lost_at = self._timers.now()
        if self._answer.chunks:
            route = self._answer.spec.route
            self._parts.metrics.resumes.labels(route, cause.value).inc()

    def _fail(self, info: ErrorInfo) -> None:
        _log.write(
            "Given up.",
            answer=str(self._answer.key),
            code=info.code,
            ran=info.ran.value,
        )
        self._answer.end_with(Finish("error", info))

    def _stop_attempts(self, outcome: Outcome) -> None:
        attempts, self._attempts = self._attempts, []
        for attempt in attempts:
            attempt.stop(outcome)
            self._observe(attempt, outcome)

    def _sample_long_run(self) -> None:
        now = self._timers.now()
        if len(self._attempts) == 1 and self._samples.is_due(now):
            self._observe(self._attempts[0], None)

    def _observe(self, attempt: Attempt, outcome: Outcome | None) -> None:
        if attempt.slot is not None:
            now = self._timers.now()
            self._samples.tell(attempt.slot.upstream, outcome, now)


def _prefix_hash(answer: Answer) -> int:
    head = answer.spec.prompt.content[:PREFIX_BYTES]
    seed = answer.key.organisation.encode()
    return xxhash.xxh64_intdigest(seed + b"\0" + head)
