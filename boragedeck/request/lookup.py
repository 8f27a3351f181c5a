"""Finds an answer among the routers, and takes it over where its owner is gone."""

import secrets

import eventlet
import msgspec
from result import Err, Ok, Result

from boragedeck.connection.peer import Address, PeerLinks
from boragedeck.exceptions import (
    PeerGoneError,
    PeerRefusedError,
    PeerUnreachableError,
    RefusedError,
)
from boragedeck.ids import ExecutionStatus, Health
from boragedeck.interfaces import Membership
from boragedeck.process.answers import AnswerTable
from boragedeck.process.copies import CopyStore
from boragedeck.process.logs import PartLog
from boragedeck.process.rendezvous import rank
from boragedeck.process.timers import TimerService
from boragedeck.request.answer import AnswerKey
from boragedeck.request.copy_messages import (
    ClaimAnswer,
    Claimed,
    CopyImage,
    FindAnswer,
    Found,
    NotFound,
    SeizeCopy,
)
from boragedeck.request.event_id import MAX_TAG, EventId, follows
from boragedeck.request.sources import Local, Remote, Source, Stored

__all__ = ["Lookup", "Takeover", "lost_error", "not_found_error"]

FIND_FANOUT = 8
"""Routers that are asked for an answer, in the order of their rank."""
MAX_ASKED_AT_ONCE = 32
WIDE_INTERVAL_S = 0.2
"""How often a router may ask all others for an answer."""
FIND_TIMEOUT_S = 0.5
SEIZE_TIMEOUT_S = 0.5
CLAIM_TIMEOUT_S = 0.3
RETRY_AFTER_S = 1.0

_log = PartLog("lookup")


class Takeover(msgspec.Struct, frozen=True):
    """An answer whose copy this router has seized, to be run here."""

    image: CopyImage


class _Reply(msgspec.Struct, frozen=True):
    address: Address
    found: Found


class _Replies(msgspec.Struct):
    found: list[_Reply]
    silent: int


class Lookup:
    """Finds answers by key.

    Parameters
    ----------
    answers : AnswerTable
        The answers of this router.
    copies : CopyStore
        The copies in this router.
    membership : Membership
        The other routers.
    links : PeerLinks
        Links to them.
    timers : TimerService
        The source of time.
    """

    def __init__(
        self,
        answers: AnswerTable,
        copies: CopyStore,
        membership: Membership,
        links: PeerLinks,
        timers: TimerService,
    ):
        self._answers = answers
        self._copies = copies
        self._membership = membership
        self._links = links
        self._timers = timers
        self._widely_asked_at = float("-inf")

    def find(
        self, key: AnswerKey, has: EventId | None, *, is_wide: bool = True
    ) -> Result[Source | Takeover, RefusedError]:
        """Find an answer, or seize its copy where its owner is gone.

        Parameters
        ----------
        key : AnswerKey
            Names the answer.
        has : EventId or None
            How far the caller has received it.
        is_wide : bool
            Whether to ask all routers where those that may hold a copy know
            nothing; for callers who say that the answer exists.

        Returns
        -------
        Result
            Where to read; a `Takeover` is to be run by this router. Errors have
            status 404 where nobody knows the answer, 410 where it is lost, and 503
            where routers that may know it don't answer.
        """
        answer = self._answers.get(key)
        if answer is not None:
            return Ok(Local(answer))
        replies = self._ask(key, is_wide)
        owner = _best([r for r in replies.found if r.found.is_owner])
        copy = _best([r for r in replies.found if not r.found.is_owner])
        if owner is not None and (copy is None or _order(owner) >= _order(copy)):
            return Ok(Remote(owner.address))
        if copy is None:
            return Err(self._nothing_found(replies, has))
        return self._from_copy(key, copy, has)

    def claim(self, key: AnswerKey) -> Address:
        """Claim a caller's id for a new answer; return who has the claim."""
        own = self._membership.own.address
        message = ClaimAnswer(key, own)
        for address in self._ranked(key):
            if address == own:
                return self._copies.claim(message).owner
            result = self._links.link(address).call(
                message, Claimed, timeout_s=CLAIM_TIMEOUT_S
            )
            if result.is_ok():
                return result.ok().owner
        return own

    def _ranked(self, key: AnswerKey) -> list[Address]:
        members = [self._membership.own, *self._membership.members()]
        ranked = rank(str(key), members, lambda member: str(member.router))
        # Dead routers stay suspects for a while and must not take the places.
        ranked.sort(key=lambda member: member.health is not Health.HEALTHY)
        return [member.address for member in ranked]

    def _ask(self, key: AnswerKey, is_wide: bool) -> _Replies:
        own = self._membership.own.address
        replies = _Replies([], 0)
        found = self._copies.find(key)
        if found is not None:
            replies.found.append(_Reply(own, found))
        others = [address for address in self._ranked(key) if address != own]
        self._ask_all(others[:FIND_FANOUT], key, replies)
        rest = others[FIND_FANOUT:]
        if is_wide and rest and not replies.found:
            self._ask_widely(rest, key, replies)
        return replies

    def _ask_widely(
        self, addresses: list[Address], key: AnswerKey, replies: _Replies
    ) -> None:
        now = self._timers.now()
        if now - self._widely_asked_at < WIDE_INTERVAL_S:
            # Whoever asks again soon gets a search of its own.
            replies.silent += 1
            return
        self._widely_asked_at = now
        self._ask_all(addresses, key, replies)

    def _ask_all(
        self, addresses: list[Address], key: AnswerKey, replies: _Replies
    ) -> None:
        pool = eventlet.GreenPool(MAX_ASKED_AT_ONCE)
        results = pool.imap(lambda address: self._ask_one(address, key), addresses)
        for address, result in zip(addresses, results, strict=True):
            _sort_reply(replies, address, result)

    def _ask_one(self, address: Address, key: AnswerKey) -> Result:
        return self._links.link(address).call(
            FindAnswer(key), Found | NotFound, timeout_s=FIND_TIMEOUT_S
        )

    def _nothing_found(self, replies: _Replies, has: EventId | None) -> RefusedError:
        if replies.silent > 0:
            return _unreachable_error()
        if has is not None and has.position > 0:
            return lost_error(f"the caller has {has.position} tokens, no copy is left")
        return not_found_error()

    def _from_copy(
        self, key: AnswerKey, copy: _Reply, has: EventId | None
    ) -> Result[Source | Takeover, RefusedError]:
        is_owner_silent = False
        if not copy.found.is_finished and copy.found.owner != copy.address:
            result = self._ask_one(copy.found.owner, key)
            if result.is_ok() and isinstance(result.ok(), Found):
                if result.ok().is_owner:
                    return Ok(Remote(copy.found.owner))
            is_owner_silent = _is_silent(result)
        if has is not None and has.position > copy.found.end:
            if is_owner_silent:
                return Err(_unreachable_error())
            return Err(_short_copy_error(copy.found.end, has))
        seized = self._seize(key, copy)
        if seized.is_err():
            return seized
        image = seized.ok()
        if has is not None and not follows(list(image.lineage), has):
            return Err(_diverged_error(has))
        if image.finish is not None:
            return Ok(Stored(image))
        _log.write(
            "Seized the copy.",
            answer=str(key),
            position=copy.found.end,
            owner=str(copy.found.owner),
        )
        return Ok(Takeover(image))

    def _seize(self, key: AnswerKey, copy: _Reply) -> Result[CopyImage, RefusedError]:
        own = self._membership.own.address
        tag = secrets.randbelow(MAX_TAG - 1) + 1
        message = SeizeCopy(key, copy.found.epoch, tag, own)
        if copy.address == own:
            try:
                return Ok(self._copies.seize(message))
            except PeerRefusedError:
                return Err(_unreachable_error())
        result = self._links.link(copy.address).call(
            message, CopyImage, timeout_s=SEIZE_TIMEOUT_S
        )
        return result.map_err(lambda exc: _unreachable_error())


def not_found_error() -> RefusedError:
    """Return the error for an answer that nobody knows."""
    return RefusedError(
        "no such answer",
        status=404,
        kind="invalid_request_error",
        code="answer_not_found",
        ran=ExecutionStatus.UNKNOWN,
        step="find answer",
    )


def lost_error(detail: str) -> RefusedError:
    """Return the error for an answer that can't be continued.

    Parameters
    ----------
    detail : str
        What was lost.
    """
    return RefusedError(
        f"the answer can't be continued: {detail}",
        status=410,
        kind="answer_lost_error",
        code="answer_lost",
        ran=ExecutionStatus.YES,
        step="find answer",
    )


def _short_copy_error(end: int, has: EventId) -> RefusedError:
    return lost_error(
        f"the copy ends at position {end}, the caller is at {has.position}"
    )


def _diverged_error(has: EventId) -> RefusedError:
    return lost_error(
        f"what the caller has up to position {has.position} is no longer its beginning"
    )


def _unreachable_error() -> RefusedError:
    return RefusedError(
        "routers that may have the answer don't reply now",
        status=503,
        kind="server_error",
        code="answer_unreachable",
        ran=ExecutionStatus.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
        step="find answer",
    )


def _is_silent(result: Result) -> bool:
    if result.is_ok():
        return False
    exc = result.err()
    return isinstance(exc, PeerUnreachableError) and not isinstance(exc, PeerGoneError)


def _order(reply: _Reply) -> tuple[int, int]:
    return reply.found.epoch.number, reply.found.end


def _best(replies: list[_Reply]) -> _Reply | None:
    return max(replies, key=_order, default=None)


def _sort_reply(replies: _Replies, address: Address, result: Result) -> None:
    if result.is_ok():
        if isinstance(result.ok(), Found):
            replies.found.append(_Reply(address, result.ok()))
        return
    if _is_silent(result):
        replies.silent += 1
