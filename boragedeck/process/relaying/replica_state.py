"""What this router has learnt of one run of a replica."""

from collections.abc import Callable

import msgspec

from boragedeck.process.relaying.restraint import Reason, Restraints
from boragedeck.version.replicas import Replica, ReplicaId, ReplicaStage

__all__ = ["Load", "ReplicaState", "Run"]

FAILURE_WEIGHT = 0.2
"""How much the newest outcome counts in a replica's share of failures."""
FIRST_AVOID_S = 0.4
MAX_AVOID_S = 4.0
RESUME_PERIOD_S = 1.0
"""For so long after a hold has ended, requests are sent one after the other."""
RESUME_INTERVAL_S = 0.05
"""The time between two of them."""


class Load(msgspec.Struct, array_like=True):
    """Work at a replica.

    Parameters
    ----------
    running : int
        Requests that were sent and have not ended.
    unread_tokens : int
        Prompt tokens of those that have not sent their first output.
    tokens : int
        Memory that they take at their ends, in tokens.
    """

    running: int = 0
    unread_tokens: int = 0
    tokens: int = 0

    def copy(self) -> "Load":
        """Return the same load as an object of its own."""
        return Load(self.running, self.unread_tokens, self.tokens)

    def add(self, other: "Load", sign: int = 1) -> None:
        """Add other work, or take it off with a `sign` of -1."""
        self.running += sign * other.running
        self.unread_tokens += sign * other.unread_tokens
        self.tokens += sign * other.tokens


class Run(msgspec.Struct, frozen=True):
    """Names one run of a replica; one that starts again may have the same id.

    Parameters
    ----------
    replica : ReplicaId
        Its id.
    born_ms : int
        When it started, in Unix milliseconds; 0 where not known.
    """

    replica: ReplicaId
    born_ms: int


class ReplicaState:
    """One replica as this router sees it.

    Parameters
    ----------
    replica : Replica
        What it states of itself.
    """

    def __init__(self, replica: Replica):
        self.replica = replica
        self.is_provisional = False
        self.missed_at = float("-inf")
        self.answered_at = float("-inf")
        self.own = Load()
        self.peers = Load()
        self.failure_share = 0.0
        self.restraints = Restraints()
        self._next_send_at = float("-inf")
        self.is_removed = False
        self.consecutive_misses = 0
        self.on_lost: set[Callable[[], None]] = set()

    @property
    def running(self) -> int:
        """Requests at the replica, as far as is known."""
        return self.own.running + self.peers.running

    @property
    def tokens(self) -> int:
        """Memory that its requests take, in tokens."""
        return self.own.tokens + self.peers.tokens

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens that it has still to read."""
        return self.own.unread_tokens + self.peers.unread_tokens

    @property
    def run(self) -> Run:
        """Which run of the replica it is."""
        return Run(self.replica.replica, self.replica.born_ms)

    @property
    def is_leaving(self) -> bool:
        """Whether it said that it leaves, in an answer or in the list."""
        is_marked = self.restraints.until(Reason.LEAVING) > 0.0
        return is_marked or self.replica.stage is ReplicaStage.DRAINING

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent, now or after a while."""
        return not self.is_removed and not self.is_leaving

    @property
    def avoid_until(self) -> float:
        """When it is no longer avoided for being missed."""
        return self.restraints.until(Reason.AVOIDED)

    @property
    def held_until(self) -> float:
        """When it takes requests of this router again."""
        return self.restraints.until(Reason.HELD_OFF)

    def can_accept(self, now: float) -> bool:
        """Return whether a request may be sent to it now.

        Notes
        -----
        After a hold, what waited goes there one after the other.
        """
        may_send = self.takes_work and self.restraints.may_send(now)
        return may_send and now >= self._next_send_at

    def note_sent(self, now: float) -> None:
        """Note that a request is sent to it."""
        if now < self.held_until + RESUME_PERIOD_S:
            self._next_send_at = now + RESUME_INTERVAL_S

    def note_answer(self, is_success: bool, now: float) -> None:
        """Note that the replica answered."""
        self.consecutive_misses = 0
        self.answered_at = now
        self.restraints.lift(Reason.AVOIDED)
        failed = 0.0 if is_success else 1.0
        self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)

    def note_output(self, now: float) -> None:
        """Note that a part of an answer came, which shows that the replica runs."""
        self.answered_at = now

    def note_miss(self, now: float) -> None:
        """Note that the replica was not reached, broke off or stayed silent."""
        avoid_s = min(MAX_AVOID_S, FIRST_AVOID_S * 2.0**self.consecutive_misses)
        self.consecutive_misses += 1
        self.missed_at = now
        self.restraints.lift(Reason.AVOIDED)
        self.restraints.extend(Reason.AVOIDED, now + avoid_s)
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)
