"""The published verdicts on requests that crash replicas, as this router knows them."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.interfaces import FactBoard
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.crashes.crash_identity import RequestTraits
from boragedeck.process.relaying.crashes.crash_messages import (
    CrashVerdict,
    Signature,
    VerdictState,
)
from boragedeck.process.timers import TimerService

__all__ = ["BLAME_TTL_S", "CrashVerdicts", "KnownVerdict"]

BLAME_TTL_S = 3600.0
"""How long a verdict holds if no trial ends it."""
SUSPICION_TTL_S = 120.0
"""How long routers report output with a signature after a suspicion was published."""
MAX_VERDICTS = 1_024

_log = PartLog("blame")


class KnownVerdict(msgspec.Struct, frozen=True):
    """A verdict, with its times on the timer service's monotonic clock."""

    verdict: CrashVerdict
    decided_at: float
    trial_at: float
    """When the next trial may be sent."""
    until: float


class CrashVerdicts:
    """Holds the newest verdict on each signature.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    board : FactBoard
        Receives the verdicts.

    Attributes
    ----------
    on_active : callable
        Called with a signature when it becomes suspected or blamed.
    on_blamed : set of callable
        Called when a signature is blamed.

    Notes
    -----
    Verdicts of several judges on one signature are ordered by their ages, which each
    router measures on its own clock.
    """

    def __init__(self, timers: TimerService, board: FactBoard):
        self._timers = timers
        self._board = board
        self._known: OrderedDict[Signature, KnownVerdict] = OrderedDict()
        self.on_active: Callable[[Signature], None] = _ignore_active
        self.on_blamed: set[Callable[[], None]] = set()
        board.subscribe(FactTopic.CRASH, self._on_fact)
        for fact in board.facts(FactTopic.CRASH):
            self._on_fact(fact)

    def publish(self, verdict: CrashVerdict) -> None:
        """Publish a verdict, unless it has expired."""
        body = msgspec.msgpack.encode(verdict)
        ttl_s = _ttl_s(verdict.state) - verdict.age_s
        if ttl_s <= 0.0:
            return
        key = _fact_key(verdict.signature)
        self._board.publish(FactTopic.CRASH, key, body, ttl_s=ttl_s)

    def get(self, signature: Signature) -> KnownVerdict | None:
        """Return the verdict on a signature that is in force, or None."""
        known = self._known.get(signature)
        if known is None or known.until <= self._timers.now():
            return None
        return known

    def active(self) -> list[KnownVerdict]:
        """Return the verdicts in force that suspect or blame, not those that clear."""
        now = self._timers.now()
        return [
            known
            for known in self._known.values()
            if known.verdict.state is not VerdictState.CLEARED and known.until > now
        ]

    def blamed(self) -> list[KnownVerdict]:
        """Return the verdicts in force by which requests are refused."""
        return [
            known
            for known in self.active()
            if known.verdict.state is VerdictState.BLAMED
        ]

    def blamed_for(self, traits: RequestTraits) -> list[KnownVerdict]:
        """Return the verdicts in force by which a request is refused."""
        return [known for known in self.blamed() if traits.has(known.verdict.signature)]

    def is_suspected(self, signature: Signature) -> bool:
        """Return whether output of a request with a signature should be reported."""
        known = self.get(signature)
        return known is not None and known.verdict.state is VerdictState.SUSPECTED

    def _on_fact(self, fact: Fact) -> None:
        try:
            verdict = msgspec.msgpack.decode(fact.body, type=CrashVerdict)
        except DECODE_ERRORS as exc:
            _log.write(
                "Verdict can't be decoded.",
                key=fact.key,
                peer=fact.origin,
                error=str(exc),
            )
            return
        age_s = self._board.age_s(fact) + verdict.age_s
        decided_at = self._timers.now() - age_s
        before = self._known.get(verdict.signature)
        if age_s > BLAME_TTL_S or (before and before.decided_at > decided_at):
            return
        self._known[verdict.signature] = KnownVerdict(
            verdict,
            decided_at,
            decided_at + verdict.trial_after_s,
            decided_at + _ttl_s(verdict.state),
        )
        self._known.move_to_end(verdict.signature)
        if len(self._known) > MAX_VERDICTS:
            self._known.popitem(last=False)
        _log.write(
            "Verdict known.",
            state=verdict.state.value,
            pool=verdict.signature.pool,
            fingerprint=verdict.signature.fingerprint,
            shared_parts=list(verdict.signature.parts),
            trials=verdict.trials,
            trial_after_s=verdict.trial_after_s,
            age_s=round(age_s, 3),
            told_by=fact.origin,
        )
        if verdict.state is not VerdictState.CLEARED:
            self.on_active(verdict.signature)
        if verdict.state is VerdictState.BLAMED:
            for callback in list(self.on_blamed):
                callback()


def _ttl_s(state: VerdictState) -> float:
    return SUSPICION_TTL_S if state is VerdictState.SUSPECTED else BLAME_TTL_S


def _fact_key(signature: Signature) -> str:
    names = signature.fingerprint or ",".join(signature.parts)
    return f"{signature.pool} {names}"


def _ignore_active(signature: Signature) -> None:
    """Ignore a signature that becomes suspected or blamed."""
