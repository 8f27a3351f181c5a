"""Copies the tokens of each answer to another router before callers see them."""

import eventlet
import msgspec

from boragedeck.connection.peer import Address, PeerLinks
from boragedeck.ids import Health
from boragedeck.interfaces import Member, Membership
from boragedeck.process.membership.rendezvous import rank
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.observing.metrics import Metrics
from boragedeck.process.signal import Signal
from boragedeck.process.timers import TimerService
from boragedeck.request.answer import Answer, AnswerKey, AnswerState
from boragedeck.request.copy_messages import (
    CopyAppend,
    CopyAppended,
    CopyImage,
    CopyItem,
    CopyStatus,
)

__all__ = ["Journal"]

APPEND_TIMEOUT_S = 0.4
MAX_BATCH_ANSWERS = 256
MAX_ITEM_CHUNKS = 512
HOLDER_AVOID_S = 3.0
"""How long a holder is not chosen after it failed or had no room."""
HOLDER_IDLE_S = 30.0
"""A holder's sender ends when it has had nothing to send for this time."""
REFRESH_INTERVAL_S = 60.0
"""How often an answer without new tokens is sent to its holder, to keep the copy."""

_log = PartLog("journal")


class _CopyProgress(msgspec.Struct):
    """The holder of an answer's copy, and the part of the answer that it has."""

    holder: Address | None = None
    is_stored: bool = False
    chunks: int = 0
    has_prompt: bool = False
    upstream_url: str = ""
    copied_upstream_url: str = ""
    sent_at: float = 0.0


class Journal:
    """Copies each answer that this router owns to one other router, its holder.

    Parameters
    ----------
    membership : Membership
        The routers from which holders are chosen.
    links : PeerLinks
        Links to the other routers.
    timers : TimerService
        The source of time.
    metrics : Metrics
        Counts tokens that were delivered without a copy.

    Notes
    -----
    One green thread per holder sends the new tokens of all its answers in one batch,
    with at most one batch in flight, so that batches grow with the load. Readers see
    the tokens that the holder has acknowledged. If no holder is reachable, they see
    tokens at once, and the answer is lost if its router fails.
    """

    def __init__(
        self,
        membership: Membership,
        links: PeerLinks,
        timers: TimerService,
        metrics: Metrics,
    ):
        self._membership = membership
        self._links = links
        self._timers = timers
        self._metrics = metrics
        self._holders: dict[Address, _HolderSender] = {}
        self._avoided_until: dict[Address, float] = {}
        self._answers: dict[AnswerKey, Answer] = {}
        timers.subscribe(REFRESH_INTERVAL_S, self._refresh)

    def mark_changed(self, answer: Answer) -> None:
        """Queue an answer that has grown, ended or changed its upstream for copying."""
        if answer.copy is None:
            answer.copy = _CopyProgress()
            self._answers[answer.key] = answer
        progress = answer.copy
        if progress.holder is None:
            progress.holder = self._choose_holder(answer)
            progress.is_stored = False
        if progress.holder is None:
            self._commit_without_copy(answer)
            return
        self._sender(progress.holder).add(answer)

    def set_upstream(self, answer: Answer, url: str) -> None:
        """Record which engine runs an answer; the next update of the copy says so."""
        if answer.copy is None:
            answer.copy = _CopyProgress()
            self._answers[answer.key] = answer
        answer.copy.upstream_url = url

    def holder_of(self, answer: Answer) -> Address | None:
        """Return the address of the router that has a copy of an answer, or None."""
        progress = answer.copy
        return progress.holder if progress is not None and progress.is_stored else None

    def forget(self, answer: Answer) -> None:
        """Stop refreshing the copy of an answer that has ended."""
        self._answers.pop(answer.key, None)

    def _choose_holder(self, answer: Answer) -> Address | None:
        now = self._timers.now()
        own = self._membership.own
        candidates = [
            member
            for member in self._membership.members()
            if member.health is Health.HEALTHY
            and self._avoided_until.get(member.address, 0.0) <= now
        ]
        in_other_domains = [
            member
            for member in candidates
            if member.failure_domain != own.failure_domain
        ]
        ranked = rank(str(answer.key), in_other_domains or candidates, _member_name)
        return ranked[0].address if ranked else None

    def _commit_without_copy(self, answer: Answer) -> None:
        uncommitted = answer.end - answer.committed_end
        self._metrics.uncopied_tokens.inc(uncommitted)
        answer.commit(len(answer.chunks), answer.finish is not None)

    def _sender(self, address: Address) -> "_HolderSender":
        if address not in self._holders:
            sender = _HolderSender(address, self)
            self._holders[address] = sender
            eventlet.spawn_n(sender.run)
        return self._holders[address]

    def _holder_failed(self, address: Address, answers: list[Answer]) -> None:
        self._avoided_until[address] = self._timers.now() + HOLDER_AVOID_S
        member = next(
            (m for m in self._membership.members() if m.address == address), None
        )
        if member is not None:
            self._membership.suspect(member.router)
        _log.write("Copy holder failed.", peer=str(address), answers=len(answers))
        for answer in answers:
            self._reassign(answer)

    def _reassign(self, answer: Answer) -> None:
        _log.write(
            "Copy needs another holder.",
            answer=str(answer.key),
            peer=str(answer.copy.holder),
        )
        answer.copy.holder = None
        answer.copy.is_stored = False
        if answer.state is not AnswerState.SUPERSEDED:
            self.mark_changed(answer)

    def _refresh(self) -> None:
        now = self._timers.now()
        self._avoided_until = {
            a: until for a, until in self._avoided_until.items() if until > now
        }
        for answer in list(self._answers.values()):
            if answer.is_running and now - answer.copy.sent_at > REFRESH_INTERVAL_S:
                self.mark_changed(answer)


class _HolderSender:
    """Sends batches to one holder, with at most one batch in flight."""

    def __init__(self, address: Address, journal: Journal):
        self._address = address
        self._journal = journal
        self._timers = journal._timers
        self._dirty: dict[AnswerKey, Answer] = {}
        self._added = Signal()

    def add(self, answer: Answer) -> None:
        self._dirty[answer.key] = answer
        self._added.notify()

    def run(self) -> None:
        while True:
            if not self._dirty and not self._added.wait(self._timers, HOLDER_IDLE_S):
                if not self._dirty:
                    self._journal._holders.pop(self._address, None)
                    return
            self._send_batch()

    def _send_batch(self) -> None:
        batch = [
            self._dirty.pop(key)
            for key in list(self._dirty)[:MAX_BATCH_ANSWERS]
        ]  # fmt: skip
        new = [a for a in batch if not a.copy.is_stored and self._is_assigned(a)]
        old = [a for a in batch if a.copy.is_stored and self._is_assigned(a)]
        if not new and not old:
            return
        images = tuple(self._image(answer) for answer in new)
        items = tuple(self._item(answer) for answer in old)
        link = self._journal._links.link(self._address)
        result = link.call(
            CopyAppend(images, items), CopyAppended, timeout_s=APPEND_TIMEOUT_S
        )
        if result.is_err():
            # A link that timed out must not be used again.
            link.close()
            queued = [a for a in self._dirty.values() if self._is_assigned(a)]
            self._dirty.clear()
            failed = {a.key: a for a in [*new, *old, *queued]}
            self._journal._holder_failed(self._address, list(failed.values()))
            return
        for answer, status, sent in zip(
            [*new, *old], result.ok().statuses, [*images, *items], strict=False
        ):
            self._apply_status(answer, status, sent)

    def _is_assigned(self, answer: Answer) -> bool:
        return (
            answer.copy.holder == self._address
            and answer.state is not AnswerState.SUPERSEDED
        )

    def _apply_status(
        self, answer: Answer, status: CopyStatus, sent: CopyImage | CopyItem
    ) -> None:
        progress = answer.copy
        progress.sent_at = self._timers.now()
        match status:
            case CopyStatus.STORED:
                self._on_stored(answer, sent)
            case CopyStatus.MISSING:
                progress.is_stored = False
                self.add(answer)
            case CopyStatus.STALE:
                self._journal._metrics.stale_appends.inc()
                _log.write("Another router owns the answer.", answer=str(answer.key))
                answer.supersede()
            case CopyStatus.FULL:
                self._journal._avoided_until[self._address] = (
                    self._timers.now() + HOLDER_AVOID_S
                )
                self._journal._reassign(answer)

    def _on_stored(self, answer: Answer, sent: CopyImage | CopyItem) -> None:
        progress = answer.copy
        start = sent.start if isinstance(sent, CopyItem) else 0
        progress.chunks = start + len(sent.chunks)
        if not progress.is_stored:
            _log.write(
                "Copied.",
                answer=str(answer.key),
                peer=str(self._address),
                position=answer.chunks[progress.chunks - 1].end if sent.chunks else 0,
            )
        progress.is_stored = True
        progress.has_prompt = progress.has_prompt or sent.prompt_ids is not None
        if sent.upstream_url is not None:
            progress.copied_upstream_url = sent.upstream_url
        answer.commit(progress.chunks, sent.finish is not None)
        has_ended_since = answer.finish is not None and sent.finish is None
        if progress.chunks < len(answer.chunks) or has_ended_since:
            self.add(answer)

    def _image(self, answer: Answer) -> CopyImage:
        answer.copy.has_prompt = False
        return CopyImage(
            key=answer.key,
            spec=answer.spec,
            version=answer.version,
            lineage=tuple(answer.lineage),
            prompt_ids=answer.prompt_ids,
            chunks=tuple(answer.chunks),
            finish=answer.finish,
            owner=self._journal._membership.own.address,
            upstream_url=answer.copy.upstream_url,
        )

    def _item(self, answer: Answer) -> CopyItem:
        start = answer.copy.chunks
        chunks = answer.chunks[start : start + MAX_ITEM_CHUNKS]
        is_last = start + len(chunks) == len(answer.chunks)
        url = answer.copy.upstream_url
        return CopyItem(
            key=answer.key,
            epoch=answer.epoch,
            start=start,
            chunks=tuple(chunks),
            finish=answer.finish if is_last else None,
            prompt_ids=None if answer.copy.has_prompt else answer.prompt_ids,
            version=answer.version,
            upstream_url=None if url == answer.copy.copied_upstream_url else url,
        )


def _member_name(member: Member) -> str:
    return str(member.router)
