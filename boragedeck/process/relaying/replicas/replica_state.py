"""State of one run of a replica, as this router knows it.

A miss is an attempt at which the replica was unreachable, broke the connection or timed
out.
"""

from collections.abc import Callable

import msgspec

from boragedeck.process.relaying.replicas.restraint import Reason, Restraints
from boragedeck.version.replicas import Replica, ReplicaId, ReplicaStage

__all__ = ["KnownLimit", "Load", "ReplicaState", "Run"]

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in the moving average of a replica's failures."""
FIRST_AVOID_S = 0.4
"""How long a replica is avoided after a miss; doubled by each further miss without an
answer in between."""
MAX_AVOID_S = 4.0
SILENT_S = 2.0
"""How long a replica counts as silent after a silence was noted, unless it is heard."""
RESUME_PERIOD_S = 1.0
"""How long after the end of a hold requests are sent one at a time."""
RESUME_INTERVAL_S = 0.05
"""Minimum time between two requests in that period."""


class Load(msgspec.Struct, array_like=True):
    """Work at a replica.

    Parameters
    ----------
    running : int
        Number of requests that were sent and have not ended.
    unread_tokens : int
        Prompt tokens of the requests that have no output yet.
    tokens : int
        Memory that the requests take when their outputs are complete, in tokens.
    """

    running: int = 0
    unread_tokens: int = 0
    tokens: int = 0

    def copy(self) -> "Load":
        """Return an independent copy of the load."""
        return Load(self.running, self.unread_tokens, self.tokens)

    def add(self, other: "Load", sign: int = 1) -> None:
        """Add another load, or subtract it with a `sign` of -1."""
        self.running += sign * other.running
        self.unread_tokens += sign * other.unread_tokens
        self.tokens += sign * other.tokens


class KnownLimit(msgspec.Struct, frozen=True):
    """What is known of the limit that a replica names on the requests of all routers.

    Parameters
    ----------
    per_s : float or None
        Requests per second; None if the replica names no limit.
    observed_at : float
        When the replica's answer was read, on the timer service's monotonic clock;
        minus infinity if none was.
    """

    per_s: float | None = None
    observed_at: float = float("-inf")


class Run(msgspec.Struct, frozen=True):
    """Identifies one run of a replica; after a restart it may have the same id.

    Parameters
    ----------
    replica : ReplicaId
        The replica's id.
    born_ms : int
        When the run started, in Unix milliseconds; 0 if unknown.
    """

    replica: ReplicaId
    born_ms: int


class ReplicaState:
    """A replica's entry, loads, failures and restraints, as this router knows them.

    Parameters
    ----------
    replica : Replica
        The replica's newest entry.

    Attributes
    ----------
    own, peers : Load
        Load that this router and the other routers put on the replica.
    missed_at, answered_at, silent_at : float
        When it was last missed, when it last answered or sent part of an answer, and
        when it was last found to be silent, on the timer service's monotonic clock;
        minus infinity before that.
    consecutive_misses : int
        Number of misses since the last answer.
    failure_share : float
        Moving average of its failures: 0.0 if all attempts succeed, 1.0 if all fail.
    restraints : Restraints
        Reasons to send it no requests.
    limit : KnownLimit
        The limit that it names.
    next_turn_at : float
        When its limit allows the next request, as its limit owner last said, on the
        timer service's monotonic clock; 0.0 if no owner was asked.
    speed : float
        How fast it reads prompts and produces events, relative to the median of its
        pool; 1.0 if unknown.
    rejections_per_s : float or None
        How many rejections in a second it bears, if it is brittle; None if not.
    brittle_known_at : float
        When that was observed, on the timer service's monotonic clock.
    is_removed : bool
        Whether it is no longer in the registry.
    is_provisional : bool
        Whether the entry is copied from the predecessor at the replica's address.
    listed : ReplicaId
        The replica that the list names in its place; itself, if it has an entry.
    found_at : float
        When a provisional replica was found at its address, on the timer service's
        monotonic clock; minus infinity for one that has an entry.
    is_told : bool
        Whether another router found it there.
    on_lost : set of callable
        Called when the replica is removed because it no longer runs.
    """

    def __init__(self, replica: Replica):
        self.replica = replica
        self.is_provisional = False
        self.listed = replica.replica
        self.found_at = float("-inf")
        self.is_told = False
        self.missed_at = float("-inf")
        self.answered_at = float("-inf")
        self.silent_at = float("-inf")
        self.own = Load()
        self.peers = Load()
        self.failure_share = 0.0
        self.speed = 1.0
        self.restraints = Restraints()
        self.limit = KnownLimit()
        self.next_turn_at = 0.0
        self.rejections_per_s: float | None = None
        self.brittle_known_at = float("-inf")
        self._next_send_at = float("-inf")
        self.is_removed = False
        self.consecutive_misses = 0
        self.on_lost: set[Callable[[], None]] = set()

    @property
    def running(self) -> int:
        """Number of requests that are known to run at the replica."""
        return self.own.running + self.peers.running

    @property
    def tokens(self) -> int:
        """Memory that the replica's requests take, in tokens."""
        return self.own.tokens + self.peers.tokens

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens that the replica has still to read."""
        return self.own.unread_tokens + self.peers.unread_tokens

    @property
    def run(self) -> Run:
        """The id of this run of the replica."""
        return Run(self.replica.replica, self.replica.born_ms)

    @property
    def is_leaving(self) -> bool:
        """Whether the replica is leaving, by a notice or by its entry in the list."""
        is_marked = self.restraints.until(Reason.LEAVING) > 0.0
        return is_marked or self.replica.stage is ReplicaStage.DRAINING

    @property
    def takes_work(self) -> bool:
        """Whether new requests may be sent, now or when its restraints end."""
        return not self.is_removed and not self.is_leaving

    @property
    def avoid_until(self) -> float:
        """When the avoidance of the replica ends or ended; 0.0 if there is none."""
        return self.restraints.until(Reason.AVOIDED)

    @property
    def held_until(self) -> float:
        """When the hold that the replica asked for ends or ended; 0.0 if none."""
        return self.restraints.until(Reason.HELD_OFF)

    @property
    def limited_until(self) -> float:
        """When it stops being passed over because of its limit; 0.0 if it never was."""
        return self.restraints.until(Reason.LIMITED)

    @property
    def is_limited(self) -> bool:
        """Whether it names a limit on the requests of all routers together."""
        return self.limit.per_s is not None

    @property
    def is_brittle(self) -> bool:
        """Whether it falls over if it has to reject many requests."""
        return self.rejections_per_s is not None

    def can_accept(self, now: float) -> bool:
        """Return whether a request may be sent to the replica now.

        Notes
        -----
        An avoided replica may be sent requests. After a hold, the waiting requests are
        sent one at a time.
        """
        may_send = self.takes_work and self.restraints.may_send(now)
        return may_send and now >= self._next_send_at

    def note_sent(self, now: float) -> None:
        """Record that a request is sent to the replica."""
        if now < self.held_until + RESUME_PERIOD_S:
            self._next_send_at = now + RESUME_INTERVAL_S

    def note_answer(self, is_success: bool, now: float) -> None:
        """Record that the replica answered; only a success lowers `failure_share`."""
        self.consecutive_misses = 0
        self.answered_at = now
        self.restraints.lift(Reason.AVOIDED)
        failed = 0.0 if is_success else 1.0
        self.failure_share += FAILURE_WEIGHT * (failed - self.failure_share)

    def forget_misses(self) -> None:
        """Drop misses and silences, which turned out to say nothing about it."""
        self.consecutive_misses = 0
        self.silent_at = float("-inf")
        self.restraints.lift(Reason.AVOIDED)

    def note_output(self, now: float) -> None:
        """Record that part of an answer arrived, which shows that the replica runs."""
        self.answered_at = now

    def note_silent(self, now: float) -> None:
        """Record that the replica sends nothing, and answers no probe."""
        self.silent_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether the replica was found to be silent, and not heard since."""
        return self.silent_at > max(self.answered_at, now - SILENT_S)

    def note_miss(self, now: float) -> None:
        """Record that the replica was unreachable, disconnected or timed out."""
        avoid_s = min(MAX_AVOID_S, FIRST_AVOID_S * 2.0**self.consecutive_misses)
        self.consecutive_misses += 1
        self.missed_at = now
        self.restraints.lift(Reason.AVOIDED)
        self.restraints.extend(Reason.AVOIDED, now + avoid_s)
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)
