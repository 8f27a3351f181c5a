"""Starts, finds, reads, cancels and hands over answers."""

import secrets

import eventlet
from result import Err, Ok, Result

from boragedeck.connection.messages import Accepted, Message
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.exceptions import PeerRefusedError, RefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.interfaces import Membership
from boragedeck.process.answering.answers import AnswerTable
from boragedeck.process.answering.copies import CopyStore
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.request.abandonment import AbandonmentMonitor
from boragedeck.request.answer import Answer, AnswerKey, AnswerSpec, Epoch, Finish
from boragedeck.request.copy_messages import (
    AnswerPart,
    CancelAnswer,
    ClaimAnswer,
    CopyAppend,
    CopyImage,
    FindAnswer,
    Found,
    HandOver,
    NotFound,
    ReadAnswer,
    SeizeCopy,
)
from boragedeck.request.event_id import MAX_TAG, EventId, lineage_contains
from boragedeck.request.generation import Generation, GenerationComponents
from boragedeck.request.lookup import Lookup, Takeover, lost_error
from boragedeck.request.sources import (
    LocalSource,
    RemoteSource,
    Source,
    StoredSource,
    local_part,
)

__all__ = ["AnswerService"]

PEER_TIMEOUT_S = 0.5
FIND_ATTEMPTS = 6
FIND_PAUSE_S = 0.3
CLAIM_WAIT_S = 1.0

_log = PartLog("answers")


class AnswerService:
    """Serves the requests of callers and peers about answers.

    Parameters
    ----------
    parts : GenerationComponents
        The parts that generate an answer.
    answers : AnswerTable
        The answers that this router owns.
    copies : CopyStore
        The copies of other routers' answers.
    membership : Membership
        The other routers.
    links : PeerLinks
        Links to the other routers.
    abandonment : AbandonmentMonitor
        Counts the readers of each answer and cancels answers without one.
    """

    def __init__(
        self,
        parts: GenerationComponents,
        answers: AnswerTable,
        copies: CopyStore,
        membership: Membership,
        links: PeerLinks,
        abandonment: AbandonmentMonitor,
    ):
        self._parts = parts
        self._answers = answers
        self._copies = copies
        self._membership = membership
        self._links = links
        self._abandonment = abandonment
        self._lookup = Lookup(answers, copies, membership, links, parts.timers)
        self._start_locks: dict[AnswerKey, eventlet.Semaphore] = {}

    @property
    def timers(self) -> TimerService:
        """The source of time."""
        return self._parts.timers

    @property
    def links(self) -> PeerLinks:
        """Links to the other routers."""
        return self._links

    def register(self, server: PeerServer) -> None:
        """Register the handlers of the messages that other routers send."""
        server.register(CopyAppend, self._copies.append)
        server.register(SeizeCopy, self._copies.seize)
        server.register(ClaimAnswer, self._copies.claim)
        server.register(FindAnswer, self._on_find)
        server.register(ReadAnswer, self._on_read)
        server.register(CancelAnswer, self._on_cancel)
        server.register(HandOver, self._on_hand_over)

    def start(
        self, key: AnswerKey, spec: AnswerSpec, *, is_keyed: bool
    ) -> Result[Source, RefusedError]:
        """Start an answer, or find the one that the same request already started.

        Parameters
        ----------
        key : AnswerKey
            Names the answer.
        spec : AnswerSpec
            What to run.
        is_keyed : bool
            Whether the caller chose the id, so that the request may be repeated.
        """
        if not is_keyed:
            return Ok(LocalSource(self._start(key, spec, Epoch(1, 0, 0))))
        start_lock = self._start_locks.setdefault(key, eventlet.Semaphore(1))
        try:
            with start_lock:
                return self._start_keyed(key, spec)
        finally:
            if start_lock.balance > 0:
                self._start_locks.pop(key, None)

    def find(
        self, key: AnswerKey, received: EventId | None
    ) -> Result[Source, RefusedError]:
        """Find an answer on any router; take it over if its owner is gone.

        Parameters
        ----------
        key : AnswerKey
            Names the answer.
        received : EventId or None
            The last event that the caller received; None if it has none.
        """
        for i in range(FIND_ATTEMPTS):
            result = self._lookup.find(key, received)
            if result.is_ok():
                return self._open_source(result.ok(), received)
            if result.err().status != 503:
                return result
            if i + 1 < FIND_ATTEMPTS:
                self.timers.sleep(FIND_PAUSE_S)
        return result

    def cancel(self, key: AnswerKey) -> Result[None, RefusedError]:
        """Cancel an answer on the router that runs it."""
        found = self.find(key, None)
        if found.is_err():
            return found
        match found.ok():
            case LocalSource(answer):
                _cancel(answer)
            case RemoteSource(address):
                result = self._links.link(address).call(
                    CancelAnswer(key), Accepted, timeout_s=PEER_TIMEOUT_S
                )
                if result.is_err():
                    return Err(_owner_unreachable_error())
            case StoredSource():
                pass
        return Ok(None)

    def attach(self, source: Source) -> None:
        """Record that a caller of this router has started to read a source."""
        if isinstance(source, LocalSource):
            self._abandonment.attach(source.answer)

    def detach(self, source: Source) -> None:
        """Record that a caller of this router has stopped reading a source."""
        if isinstance(source, LocalSource):
            self._abandonment.detach(source.answer)

    def hand_over_all(self) -> int:
        """Hand every running answer over to its copy holder; return how many remain."""
        pool = eventlet.GreenPool(64)
        results = pool.imap(self._hand_over, self._answers.running())
        return sum(1 for is_gone in results if not is_gone)

    def running(self) -> int:
        """Return the number of answers that run here."""
        return len(self._answers.running())

    def copies(self) -> int:
        """Return the number of copies of other routers' answers."""
        return len(self._copies)

    def _start_keyed(
        self, key: AnswerKey, spec: AnswerSpec
    ) -> Result[Source, RefusedError]:
        number = 1
        found = self._lookup.find(key, None, queries_all_routers=False)
        if found.is_ok():
            found = self._open_source(found.ok(), None)
        else:
            found = self._wait_for_claim(key)
        if found.is_ok():
            failed = _retryable_epoch(found.ok())
            if failed is None:
                return self._check_same_body(found.ok(), key, spec)
            number = failed.number + 1
        tag = secrets.randbelow(MAX_TAG - 1) + 1
        return Ok(LocalSource(self._start(key, spec, Epoch(number, tag, 0))))

    def _wait_for_claim(self, key: AnswerKey) -> Result[Source, RefusedError]:
        until = self.timers.now() + CLAIM_WAIT_S
        owner = self._lookup.claim(key)
        while owner != self._membership.own.address:
            found = self._lookup.find(key, None, queries_all_routers=False)
            if found.is_ok():
                return self._open_source(found.ok(), None)
            if self.timers.now() >= until:
                return found
            self.timers.sleep(FIND_PAUSE_S / 3)
        return Err(lost_error("not started yet"))

    def _check_same_body(
        self, source: Source, key: AnswerKey, spec: AnswerSpec
    ) -> Result[Source, RefusedError]:
        body_hash = self._body_hash(source, key)
        if body_hash is not None and body_hash != spec.body_hash:
            return Err(_body_mismatch_error())
        return Ok(source)

    def _body_hash(self, source: Source, key: AnswerKey) -> str | None:
        match source:
            case LocalSource(answer):
                return answer.spec.body_hash
            case StoredSource(image):
                return image.spec.body_hash
            case RemoteSource(address):
                result = self._links.link(address).call(
                    FindAnswer(key), Found | NotFound, timeout_s=PEER_TIMEOUT_S
                )
                if result.is_ok() and isinstance(result.ok(), Found):
                    return result.ok().body_hash
        return None

    def _open_source(
        self, found: Source | Takeover, received: EventId | None
    ) -> Result[Source, RefusedError]:
        if isinstance(found, Takeover):
            return Ok(LocalSource(self._take_over(found.image)))
        if isinstance(found, LocalSource) and received is not None:
            if not lineage_contains(found.answer.lineage, received):
                return Err(lost_error("another continuation has replaced it"))
            if received.position > found.answer.end:
                return Err(lost_error("the caller's position is beyond its end"))
        return Ok(found)

    def _start(self, key: AnswerKey, spec: AnswerSpec, epoch: Epoch) -> Answer:
        answer = Answer(key, spec, None, [epoch])
        _log.write("Started.", answer=str(key), route=spec.route, epoch=epoch.number)
        self._run(answer)
        return answer

    def _take_over(self, image: CopyImage) -> Answer:
        answer = Answer(
            image.key,
            image.spec,
            image.version,
            list(image.lineage),
            image.prompt_ids,
            list(image.chunks),
        )
        self._parts.metrics.takeovers.labels("owner_lost").inc()
        _log.write(
            "Took over.",
            answer=str(image.key),
            epoch=answer.epoch.number,
            position=answer.end,
        )
        self._run(answer)
        return answer

    def _run(self, answer: Answer) -> None:
        self._answers.add(answer)
        self._parts.journal.mark_changed(answer)
        # If no caller attaches to the answer, it is cancelled after its grace time.
        self._abandonment.attach(answer)
        eventlet.spawn_n(self._run_to_end, answer)
        eventlet.spawn_n(self._abandonment.detach, answer)

    def _run_to_end(self, answer: Answer) -> None:
        try:
            Generation(answer, self._parts).run()
        finally:
            self._answers.end(answer)
            self._parts.journal.forget(answer)
            _log_end(answer)

    def _on_find(self, message: FindAnswer) -> Message:
        answer = self._answers.get(message.key)
        if answer is not None:
            return Found(
                is_owner=True,
                epoch=answer.epoch,
                end=answer.end,
                body_hash=answer.spec.body_hash,
                owner=self._membership.own.address,
                is_finished=answer.finish is not None,
            )
        return self._copies.find(message.key) or NotFound()

    def _on_read(self, message: ReadAnswer) -> AnswerPart:
        answer = self._answers.get(message.key)
        if answer is None:
            raise PeerRefusedError("not the owner", step="read answer")
        self._abandonment.attach(answer)
        try:
            part = local_part(answer, message.after, message.wait_s, self.timers)
        finally:
            self._abandonment.detach(answer)
        if part.is_err():
            raise PeerRefusedError("no longer the owner", step="read answer")
        return part.ok()

    def _on_cancel(self, message: CancelAnswer) -> Accepted:
        answer = self._answers.get(message.key)
        if answer is None:
            raise PeerRefusedError("not the owner", step="cancel answer")
        _cancel(answer)
        return Accepted()

    def _on_hand_over(self, message: HandOver) -> Accepted:
        own = self._membership.own.address
        tag = secrets.randbelow(MAX_TAG - 1) + 1
        seize = SeizeCopy(message.key, message.epoch, tag, own)
        image = self._copies.seize(seize)
        if image.finish is None:
            self._take_over(image)
        return Accepted()

    def _hand_over(self, answer: Answer) -> bool:
        holder: Address | None = self._parts.journal.holder_of(answer)
        if holder is None or not answer.is_running:
            return not answer.is_running
        result = self._links.link(holder).call(
            HandOver(answer.key, answer.epoch), Accepted, timeout_s=PEER_TIMEOUT_S
        )
        if result.is_ok():
            _log.write("Handed over.", answer=str(answer.key), peer=str(holder))
            answer.supersede()
        return result.is_ok()


def _cancel(answer: Answer) -> None:
    _log.write("Cancellation requested.", answer=str(answer.key), position=answer.end)
    answer.end_with(Finish("cancelled"))


def _log_end(answer: Answer) -> None:
    finish = answer.finish
    error = finish.error if finish is not None else None
    _log.write(
        "Ended.",
        answer=str(answer.key),
        reason=finish.reason if finish is not None else "superseded",
        code=error.code if error is not None else None,
        tokens=answer.end,
    )


def _retryable_epoch(source: Source) -> Epoch | None:
    match source:
        case LocalSource(answer):
            finish, chunks, epoch = answer.finish, answer.chunks, answer.epoch
        case StoredSource(image):
            finish, chunks, epoch = image.finish, image.chunks, image.lineage[-1]
        case RemoteSource():
            return None
    has_failed = finish is not None and finish.error is not None and not chunks
    return epoch if has_failed and finish.error.ran is not ExecutionStatus.YES else None


def _body_mismatch_error() -> RefusedError:
    return RefusedError(
        "this Idempotency-Key was already used with a different request body",
        status=422,
        kind="invalid_request_error",
        code="idempotency_key_reused",
        ran=ExecutionStatus.NO,
        step="start answer",
    )


def _owner_unreachable_error() -> RefusedError:
    return RefusedError(
        "the router that runs the answer did not confirm the cancellation",
        status=503,
        kind="server_error",
        code="answer_unreachable",
        ran=ExecutionStatus.UNKNOWN,
        retry_after_s=1.0,
        step="cancel answer",
    )
