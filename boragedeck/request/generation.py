"""Produces an answer to its end; if an engine fails, continues it on another."""

import enum
import random
import secrets
from collections.abc import Callable

import msgspec
import xxhash

from boragedeck.connection.engine import EngineChunk, RunRequest
from boragedeck.ids import ExecutionStatus, UpstreamName
from boragedeck.interfaces import (
    Chooser,
    ConfigSource,
    Outcome,
    SlotRequest,
    VersionPolicy,
)
from boragedeck.process.answering.journal import Journal
from boragedeck.process.membership.pulse import UpstreamActivityTable
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.observing.metrics import Metrics
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
from boragedeck.request.run_samples import RunSampler
from boragedeck.request.silence import GapEstimator
from boragedeck.version.tables import Pool, Priority, Route

__all__ = ["Generation", "GenerationComponents"]

MAX_ATTEMPTS = 8
"""Number of failed attempts since the last output after which the answer fails."""
BACKOFF_S = 0.05
"""Base of the pause after failed attempts. There is none after the first two; after the
third it is twice the base, before jitter, and it doubles with each further one."""
MAX_BACKOFF_S = 1.0
MAX_UNREAD_TOKENS = 512
"""Number of tokens that no reader has reached at which the run of a streamed answer is
stopped. A new run continues the answer after a reader has advanced."""
MAX_STANDBYS = 1
HASHED_PREFIX_BYTES = 512
"""Length of the start of a prompt that is hashed to find engines that cached it."""
MAX_WAIT_S = 60.0
"""Longest wait for an event before the state is checked again."""
CHECK_SLACK_S = 0.1
"""A check for silence may be this late, so that most chunks need not reschedule it."""
ENGINE_PRIORITIES = {Priority.INTERACTIVE: 0, Priority.BATCH: 10}
"""Priorities sent to the engine, which schedules lower values first."""

_log = PartLog("generation")


class ResumeCause(enum.Enum):
    """Why an answer is resumed by a new run."""

    BROKEN = "broken"
    """The upstream failed during the run."""
    SILENT = "silent"
    """The run sent no output for too long, so a standby was started."""
    PAUSED = "paused"
    """The run was stopped at `MAX_UNREAD_TOKENS`."""
    TAKEOVER = "takeover"
    """This router took the answer over from another one."""


class GenerationComponents(msgspec.Struct, frozen=True):
    """The components of the process that a generation uses.

    Parameters
    ----------
    chooser : Chooser
        Selects upstreams.
    journal : Journal
        Copies the output to another router, which can continue the answer.
    config : ConfigSource
        The routes and pools in force.
    versions : VersionPolicy
        Selects the version of an answer and receives samples of its runs.
    timers : TimerService
        The source of time.
    metrics : Metrics
        The metrics of the process.
    open_run : callable
        See `boragedeck.connection.engine.open_run`.
    rng : random.Random
        The random source of the backoff jitter.
    activities : UpstreamActivityTable
        The recent output of the streams of each upstream, with which a silent stream
        is compared.
    is_quarantined : callable
        Returns whether the requests with a fingerprint (a hash of the prompt) are
        quarantined, that is, known to crash the upstreams on which they run.
    """

    chooser: Chooser
    journal: Journal
    config: ConfigSource
    versions: VersionPolicy
    timers: TimerService
    metrics: Metrics
    open_run: OpenRun
    rng: random.Random
    activities: UpstreamActivityTable = msgspec.field(
        default_factory=UpstreamActivityTable
    )
    is_quarantined: Callable[[str], bool] = lambda fingerprint: False


class Generation:
    """Produces the tokens of an answer.

    Parameters
    ----------
    answer : Answer
        The answer, which this router owns.
    parts : GenerationComponents
        The components of the process.

    Notes
    -----
    At most one attempt adds tokens to the answer at a time. If it is silent, a second
    attempt, the standby, is started in parallel. The first of the two that sends
    output is continued; the other is stopped and its output is discarded.
    """

    def __init__(self, answer: Answer, parts: GenerationComponents):
        self._answer = answer
        self._parts = parts
        self._timers = parts.timers
        self._attempts: list[Attempt] = []
        self._failed_upstreams: set[UpstreamName] = set()
        self._failure_count = 0
        # Whether an attempt that broke or fell silent may have run the request.
        self._may_have_run = bool(answer.chunks)
        # The status that is reported to the caller if the answer fails.
        self._execution_status = (
            ExecutionStatus.YES if answer.chunks else ExecutionStatus.NO
        )
        # Notified when the state has to be checked again.
        self._control = answer.control
        self._gaps = GapEstimator()
        self._started_at = parts.timers.now()
        # Time of the latest output or of the start of a standby.
        self._progress_at = self._started_at
        self._next_check_at = float("inf")
        self._interrupted_at: float | None = None
        self._resume_cause = ResumeCause.TAKEOVER if answer.chunks else None
        self._sampler = RunSampler(
            answer,
            parts.versions,
            parts.is_quarantined,
            parts.metrics,
            self._started_at,
        )

    def run(self) -> None:
        """Produce the answer until it has ended or another router owns it."""
        try:
            while self._answer.is_running:
                self._step()
        except Exception as exc:
            _log.write(
                "Generation failed with an internal error.",
                answer=str(self._answer.key),
                error=repr(exc),
            )
            self._fail(internal_error(self._execution_status))
            raise
        finally:
            self._stop_attempts(Outcome.CANCELLED)
            self._parts.journal.mark_changed(self._answer)

    def _step(self) -> None:
        if self._is_expired():
            self._fail(deadline_error(self._execution_status))
        elif self._is_unread_limit_reached():
            self._pause()
        elif not self._attempts:
            self._begin_attempt()
        else:
            self._watch_attempts()

    def _is_expired(self) -> bool:
        return self._timers.wall() >= self._answer.spec.deadline

    def _is_unread_limit_reached(self) -> bool:
        answer = self._answer
        if not answer.spec.stream:
            return False
        return answer.end - answer.read_end >= MAX_UNREAD_TOKENS

    def _pause(self) -> None:
        """Stop the run, and wait until a reader has advanced."""
        is_running = bool(self._attempts)
        self._stop_attempts(Outcome.CANCELLED)
        self._resume_cause = ResumeCause.PAUSED
        if is_running:
            _log.write(
                "Paused.", answer=str(self._answer.key), position=self._answer.end
            )
        unread = self._answer.end - self._answer.read_end
        if unread >= MAX_UNREAD_TOKENS // 2 and self._answer.is_running:
            left_s = self._answer.spec.deadline - self._timers.wall()
            self._answer.read.wait(self._timers, min(MAX_WAIT_S, left_s))

    def _begin_attempt(self) -> None:
        answer = self._answer
        cfg = self._parts.config.current()
        route = cfg.route(answer.spec.route)
        pool = cfg.pool(route.pool) if route is not None else None
        if route is None or pool is None:
            self._fail(route_gone_error(answer, self._execution_status))
            return
        if answer.end >= answer.spec.max_tokens:
            answer.end_with(Finish("length"))
            return
        if not answer.chunks and not self._attempts:
            answer.version = self._parts.versions.choose(route, str(answer.key))
        attempt = self._new_attempt(route, pool)
        self._attempts.append(attempt)
        attempt.begin()

    def _new_attempt(self, route: Route, pool: Pool) -> Attempt:
        answer = self._answer
        prefix = None
        if answer.chunks:
            prefix = answer.prompt_ids + tuple(
                token for chunk in answer.chunks for token in chunk.token_ids
            )
        request = RunRequest(
            # The id is sent in a header, so its length is limited.
            run_id=f"{answer.key.answer_id[:64]}-{secrets.token_hex(6)}",
            model=answer.version or "",
            prompt=answer.spec.prompt,
            max_tokens=answer.spec.max_tokens - answer.end,
            priority=ENGINE_PRIORITIES[route.priority],
            prefix_ids=prefix,
        )
        return Attempt(
            self._parts.chooser,
            self._parts.open_run,
            self._slot_request(route, pool, prefix),
            request,
            answer.end,
            accept=self._accept_chunk,
            ended=lambda attempt: self._control.notify(),
            acquired=self._on_slot_acquired,
        )

    def _slot_request(
        self, route: Route, pool: Pool, prefix: tuple[int, ...] | None
    ) -> SlotRequest:
        answer = self._answer
        content = answer.spec.prompt.content
        left_s = answer.spec.deadline - self._timers.wall()
        # A caller may be reading an answer that has output, so its request waits for a
        # slot until the answer's deadline.
        queue_s = left_s if answer.chunks else min(route.limits.queue_s, left_s)
        upstreams_in_use = {
            a.upstream for a in self._attempts if a.upstream is not None
        }
        return SlotRequest(
            # Without the token ids, the prompt is estimated at 4 bytes a token.
            route=route,
            pool=pool,
            organisation=answer.key.organisation,
            version=answer.version,
            prompt_tokens=len(prefix) if prefix else len(content) // 4,
            prefix_hash=_prefix_hash(answer),
            fingerprint=answer.spec.fingerprint,
            excluded=frozenset(self._failed_upstreams | upstreams_in_use),
            is_resume=bool(answer.chunks),
            deadline=self._timers.now() + queue_s,
        )

    def _on_slot_acquired(self, attempt: Attempt) -> None:
        upstream = attempt.slot.upstream
        # Reset in `_handle_end` if the upstream does not accept the request.
        self._execution_status = ExecutionStatus.YES
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
        self._gaps.compare_with(self._parts.activities.of(upstream.url))
        # From now on, silence can start a standby.
        self._control.notify()

    def _accept_chunk(self, attempt: Attempt, chunk: EngineChunk) -> None:
        is_next = attempt.position == self._answer.end
        if not (attempt in self._attempts and is_next and self._answer.is_running):
            self._count_discarded(chunk)
            return
        if not chunk.token_ids:
            return
        if self._answer.prompt_ids is None:
            self._answer.prompt_ids = chunk.prompt_ids
        self._answer.append(chunk.token_ids, chunk.text)
        self._note_progress(len(chunk.token_ids))
        self._parts.journal.mark_changed(self._answer)
        if self._is_unread_limit_reached():
            self._control.notify()
        # This switches, so the tokens are in the answer before.
        if len(self._attempts) > 1:
            self._settle_race(attempt)

    def _settle_race(self, winner: Attempt) -> None:
        _log.write(
            "Race settled.",
            answer=str(self._answer.key),
            run=winner.request.run_id,
            upstream=winner.upstream,
        )
        # The loser may also be the standby, even if it has only just started.
        for loser in [a for a in self._attempts if a is not winner]:
            self._attempts.remove(loser)
            loser.stop(Outcome.SILENT)
        self._control.notify()

    def _count_discarded(self, chunk: EngineChunk) -> None:
        route = self._answer.spec.route
        self._parts.metrics.discarded_tokens.labels(route).inc(len(chunk.token_ids))

    def _note_progress(self, count: int) -> None:
        now = self._timers.now()
        self._sampler.note_tokens(count, now)
        if self._interrupted_at is not None:
            self._note_resumed(now, self._answer.end - count)
        self._gaps.note(now)
        self._failure_count = 0
        self._progress_at = now
        if now + self._gaps.suspect_after_s() < self._next_check_at - CHECK_SLACK_S:
            # The first tokens shorten the time after which a silent run is suspected to
            # have failed, so the next check has to come earlier.
            self._control.notify()

    def _note_resumed(self, now: float, position: int) -> None:
        after_s = now - self._interrupted_at
        self._interrupted_at = None
        self._parts.metrics.resume_s.labels(self._resume_cause.value).observe(after_s)
        _log.write(
            "Goes on.",
            answer=str(self._answer.key),
            cause=self._resume_cause.value,
            after_s=round(after_s, 3),
            position=position,
        )

    def _watch_attempts(self) -> None:
        ended = next((a for a in self._attempts if a.end is not None), None)
        if ended is not None:
            self._attempts.remove(ended)
            self._handle_end(ended)
            return
        now = self._timers.now()
        suspect_at = self._progress_at + self._gaps.suspect_after_s()
        # The attempts include the first one, which is not a standby.
        may_start_standby = (
            self._all_have_slots() and len(self._attempts) <= MAX_STANDBYS
        )
        if may_start_standby and now >= suspect_at:
            self._begin_standby()
            return
        wait_s = suspect_at - now if may_start_standby else MAX_WAIT_S
        left_s = self._answer.spec.deadline - self._timers.wall()
        wait_s = max(0.0, min(wait_s, left_s, MAX_WAIT_S))
        self._next_check_at = now + wait_s
        self._control.wait(self._timers, wait_s)
        self._sample_long_run()

    def _all_have_slots(self) -> bool:
        return all(attempt.slot is not None for attempt in self._attempts)

    def _begin_standby(self) -> None:
        self._may_have_run = True
        silent = self._attempts[0]
        _log.write(
            "Stream is silent, starting a standby.",
            answer=str(self._answer.key),
            run=silent.request.run_id,
            upstream=silent.upstream,
            position=self._answer.end,
        )
        self._note_interruption(ResumeCause.SILENT)
        self._begin_attempt()
        self._progress_at = self._timers.now()

    def _handle_end(self, attempt: Attempt) -> None:
        end = attempt.end
        match end.kind:
            case EndKind.COMPLETED if self._attempts and not attempt.has_output:
                return
            case EndKind.COMPLETED:
                self._report_sample(attempt, Outcome.COMPLETED)
                self._answer.end_with(Finish(end.finish_reason))
            case EndKind.REFUSED:
                if not self._attempts:
                    self._fail(refusal_error(end.error, self._execution_status))
            case EndKind.NOT_TAKEN:
                if not self._may_have_run:
                    self._execution_status = ExecutionStatus.NO
                self._handle_failed_attempt(attempt, Outcome.REFUSED)
            case EndKind.BROKEN:
                self._may_have_run = True
                self._note_interruption(ResumeCause.BROKEN)
                self._handle_failed_attempt(attempt, broken_outcome(end))

    def _handle_failed_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record a failure, and pause if needed before `_step` starts a new attempt."""
        _log.write(
            "Attempt failed.",
            answer=str(self._answer.key),
            run=attempt.request.run_id,
            upstream=attempt.upstream,
            error=str(attempt.end.error),
            position=self._answer.end,
        )
        self._report_sample(attempt, outcome)
        self._failed_upstreams.add(attempt.upstream)
        self._failure_count += 1
        if self._failure_count >= MAX_ATTEMPTS:
            self._fail(upstreams_failed_error(MAX_ATTEMPTS, self._execution_status))
            return
        if self._failure_count > 2 and not self._attempts:
            # The failed upstreams may have recovered, and there may be no others.
            self._failed_upstreams.clear()
            backoff_s = BACKOFF_S * 2.0 ** (self._failure_count - 2)
            jitter = self._parts.rng.uniform(0.5, 1.0)
            self._timers.sleep(min(MAX_BACKOFF_S, backoff_s) * jitter)

    def _note_interruption(self, cause: ResumeCause) -> None:
        """Record that a run broke or is silent; count it if the answer has output."""
        self._resume_cause = cause
        if self._interrupted_at is None:
            self._interrupted_at = self._timers.now()
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
            self._report_sample(attempt, outcome)

    def _sample_long_run(self) -> None:
        now = self._timers.now()
        if len(self._attempts) == 1 and self._sampler.is_due(now):
            self._report_sample(self._attempts[0], None)

    def _report_sample(self, attempt: Attempt, outcome: Outcome | None) -> None:
        if attempt.slot is not None:
            now = self._timers.now()
            self._sampler.report_sample(attempt.slot.upstream, outcome, now)


def _prefix_hash(answer: Answer) -> int:
    head = answer.spec.prompt.content[:HASHED_PREFIX_BYTES]
    seed = answer.key.organisation.encode()
    return xxhash.xxh64_intdigest(seed + b"\0" + head)
