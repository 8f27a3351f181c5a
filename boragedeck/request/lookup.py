"""Finds an answer among the routers; takes it over if its owner is lost.

The owner of an answer is the router that runs it. If the owner is lost, a router that
seizes the copy from its holder becomes the new owner.
"""

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
from boragedeck.process.answering.answers import AnswerTable
from boragedeck.process.answering.copies import CopyStore
from boragedeck.process.membership.rendezvous import rank
from boragedeck.process.observing.logs import PartLog
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
from boragedeck.request.event_id import MAX_TAG, EventId, lineage_contains
from boragedeck.request.sources import LocalSource, RemoteSource, Source, StoredSource

__all__ = ["Lookup", "Takeover", "lost_error", "not_found_error"]

FIND_FANOUT = 8
"""Number of routers that are queried first, in the order of their rank."""
MAX_PARALLEL_QUERIES = 32
WIDE_SEARCH_INTERVAL_S = 0.2
"""Shortest interval between two searches that query all other routers."""
FIND_TIMEOUT_S = 0.5
SEIZE_TIMEOUT_S = 0.5
CLAIM_TIMEOUT_S = 0.3
RETRY_AFTER_S = 1.0

_log = PartLog("lookup")


class Takeover(msgspec.Struct, frozen=True):
    """An answer whose copy this router has seized and which it must run."""

    image: CopyImage


class _Reply(msgspec.Struct, frozen=True):
    address: Address
    found: Found


class _Replies(msgspec.Struct):
    """Replies to a search.

    `silent` is the number of routers that did not respond and may know the answer,
    plus one if the search of all routers was skipped.
    """

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
        The members of the cluster.
    links : PeerLinks
        Links to the other routers.
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
        self._last_wide_search_at = float("-inf")

    def find(
        self,
        key: AnswerKey,
        received: EventId | None,
        *,
        queries_all_routers: bool = True,
    ) -> Result[Source | Takeover, RefusedError]:
        """Find an answer; seize its copy if its owner is lost.

        Parameters
        ----------
        key : AnswerKey
            The key of the answer.
        received : EventId or None
            The last event that the caller has received.
        queries_all_routers : bool
            Whether to query all routers if the likely copy holders don't know the
            answer; for callers who claim that the answer exists.

        Returns
        -------
        Result
            The source to read from, or a `Takeover` that this router must run. An
            error has status 404 if no router knows the answer, 410 if the answer is
            lost, and 503 if routers that may know it don't respond.
        """
        answer = self._answers.get(key)
        if answer is not None:
            return Ok(LocalSource(answer))
        replies = self._query_routers(key, queries_all_routers)
        owner = _newest([r for r in replies.found if r.found.is_owner])
        copy_reply = _newest([r for r in replies.found if not r.found.is_owner])
        if owner is not None and (
            copy_reply is None or _precedence(owner) >= _precedence(copy_reply)
        ):
            return Ok(RemoteSource(owner.address))
        if copy_reply is None:
            return Err(self._nothing_found_error(replies, received))
        return self._resolve_copy(key, copy_reply, received)

    def claim(self, key: AnswerKey) -> Address:
        """Claim a caller's id for a new answer; return the owner of the claim."""
        own = self._membership.own.address
        message = ClaimAnswer(key, own)
        for address in self._ranked_addresses(key):
            if address == own:
                return self._copies.claim(message).owner
            result = self._links.link(address).call(
                message, Claimed, timeout_s=CLAIM_TIMEOUT_S
            )
            if result.is_ok():
                return result.ok().owner
        return own

    def _ranked_addresses(self, key: AnswerKey) -> list[Address]:
        members = [self._membership.own, *self._membership.members()]
        ranked = rank(str(key), members, lambda member: str(member.router))
        # Dead routers are suspects for a while and must not rank before healthy ones.
        ranked.sort(key=lambda member: member.health is not Health.HEALTHY)
        return [member.address for member in ranked]

    def _query_routers(self, key: AnswerKey, queries_all_routers: bool) -> _Replies:
        own = self._membership.own.address
        replies = _Replies([], 0)
        found = self._copies.find(key)
        if found is not None:
            replies.found.append(_Reply(own, found))
        others = [address for address in self._ranked_addresses(key) if address != own]
        self._query(others[:FIND_FANOUT], key, replies)
        remaining = others[FIND_FANOUT:]
        if queries_all_routers and remaining and not replies.found:
            self._query_all(remaining, key, replies)
        return replies

    def _query_all(
        self, addresses: list[Address], key: AnswerKey, replies: _Replies
    ) -> None:
        now = self._timers.now()
        if now - self._last_wide_search_at < WIDE_SEARCH_INTERVAL_S:
            # The error tells the caller to retry; the retry can search all routers.
            replies.silent += 1
            return
        self._last_wide_search_at = now
        self._query(addresses, key, replies)

    def _query(
        self, addresses: list[Address], key: AnswerKey, replies: _Replies
    ) -> None:
        pool = eventlet.GreenPool(MAX_PARALLEL_QUERIES)
        results = pool.imap(lambda address: self._query_one(address, key), addresses)
        for address, result in zip(addresses, results, strict=True):
            _add_reply(replies, address, result)

    def _query_one(self, address: Address, key: AnswerKey) -> Result:
        return self._links.link(address).call(
            FindAnswer(key), Found | NotFound, timeout_s=FIND_TIMEOUT_S
        )

    def _nothing_found_error(
        self, replies: _Replies, received: EventId | None
    ) -> RefusedError:
        if replies.silent > 0:
            return _unreachable_error()
        if received is not None and received.position > 0:
            return lost_error(
                f"the caller has {received.position} tokens, no copy is left"
            )
        return not_found_error()

    def _resolve_copy(
        self, key: AnswerKey, copy_reply: _Reply, received: EventId | None
    ) -> Result[Source | Takeover, RefusedError]:
        is_owner_unresponsive = False
        if (
            not copy_reply.found.is_finished
            and copy_reply.found.owner != copy_reply.address
        ):
            result = self._query_one(copy_reply.found.owner, key)
            if result.is_ok() and isinstance(result.ok(), Found):
                if result.ok().is_owner:
                    return Ok(RemoteSource(copy_reply.found.owner))
            is_owner_unresponsive = _is_unresponsive(result)
        if received is not None and received.position > copy_reply.found.end:
            if is_owner_unresponsive:
                return Err(_unreachable_error())
            return Err(_short_copy_error(copy_reply.found.end, received))
        seized = self._seize(key, copy_reply)
        if seized.is_err():
            return seized
        image = seized.ok()
        if received is not None and not lineage_contains(list(image.lineage), received):
            return Err(_diverged_error(received))
        if image.finish is not None:
            return Ok(StoredSource(image))
        _log.write(
            "Seized the copy.",
            answer=str(key),
            position=copy_reply.found.end,
            owner=str(copy_reply.found.owner),
        )
        return Ok(Takeover(image))

    def _seize(
        self, key: AnswerKey, copy_reply: _Reply
    ) -> Result[CopyImage, RefusedError]:
        own = self._membership.own.address
        tag = secrets.randbelow(MAX_TAG - 1) + 1
        message = SeizeCopy(key, copy_reply.found.epoch, tag, own)
        if copy_reply.address == own:
            try:
                return Ok(self._copies.seize(message))
            except PeerRefusedError:
                return Err(_unreachable_error())
        result = self._links.link(copy_reply.address).call(
            message, CopyImage, timeout_s=SEIZE_TIMEOUT_S
        )
        return result.map_err(lambda exc: _unreachable_error())


def not_found_error() -> RefusedError:
    """Return the error for an answer that no router knows."""
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
        Why it can't be continued.
    """
    return RefusedError(
        f"the answer can't be continued: {detail}",
        status=410,
        kind="answer_lost_error",
        code="answer_lost",
        ran=ExecutionStatus.YES,
        step="find answer",
    )


def _short_copy_error(end: int, received: EventId) -> RefusedError:
    return lost_error(
        f"the copy ends at position {end}, the caller is at {received.position}"
    )


def _diverged_error(received: EventId) -> RefusedError:
    return lost_error(
        f"the answer differs from the caller's up to position {received.position}"
    )


def _unreachable_error() -> RefusedError:
    return RefusedError(
        "routers that may have the answer are not responding",
        status=503,
        kind="server_error",
        code="answer_unreachable",
        ran=ExecutionStatus.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
        step="find answer",
    )


def _is_unresponsive(result: Result) -> bool:
    if result.is_ok():
        return False
    exc = result.err()
    return isinstance(exc, PeerUnreachableError) and not isinstance(exc, PeerGoneError)


def _precedence(reply: _Reply) -> tuple[int, int]:
    """Return the sort key of a reply: the latest owner first, then the longest copy."""
    return reply.found.epoch.number, reply.found.end


def _newest(replies: list[_Reply]) -> _Reply | None:
    return max(replies, key=_precedence, default=None)


def _add_reply(replies: _Replies, address: Address, result: Result) -> None:
    if result.is_ok():
        if isinstance(result.ok(), Found):
            replies.found.append(_Reply(address, result.ok()))
        return
    if _is_unresponsive(result):
        replies.silent += 1
