"""A place at a replica, and the request for one."""

import math
from collections.abc import Callable

import msgspec

from boragedeck.ids import FailureDomain, OrganisationName, PoolName
from boragedeck.process.relaying.replicas.replica_state import Load, ReplicaState
from boragedeck.version.replicas import Replica, ReplicaId
from boragedeck.version.routing import RelayPool

__all__ = ["AdmissionRequest", "Place"]

MAX_LEASE_S = 60.0


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for a place at a replica.

    Parameters
    ----------
    pool : RelayPool
        The replicas that may serve it.
    priority : int
        Requests with a lower number go first; 0 is the most urgent.
    prompt_tokens, tokens : int
        Tokens of the prompt, and memory when the output is complete, in tokens.
    until : float
        When waiting becomes pointless, on the timer service's clock.
    tried : frozenset of ReplicaId
        Replicas to which the request was sent before.
    lost_domains : frozenset of FailureDomain
        Failure domains in which the request was lost before.
    allows : callable
        Returns whether a replica's version may serve the request.
    request_id : str
        The id of the request, for the log.
    deadline : float
        When the request ends at the latest, on the timer service's clock.
    has_begun : bool
        Whether its caller has a part of the answer. It can't be refused any more, so it
        waits even if no place is expected in time.
    has_priorities : bool
        Whether requests of different urgency use the pool, so that `PoolScheduler`
        orders and refuses them. Then `priority` is the rank of the
        request by urgency. The fields below are used only then.
    organisation : OrganisationName or None
        The caller's organisation.
    goal_at : float
        When its objective is missed, on the timer service's clock.
    needed_s : float
        How long after it got a place its objective is met, as expected, in seconds.
    is_resumed : bool
        Whether it is the rest of a stream of which its caller has a part.
    """

    pool: RelayPool
    priority: int
    prompt_tokens: int
    tokens: int
    until: float
    tried: frozenset[ReplicaId] = frozenset()
    lost_domains: frozenset[FailureDomain] = frozenset()
    allows: Callable[[Replica], bool] = lambda replica: True
    request_id: str = ""
    deadline: float = math.inf
    has_begun: bool = False
    has_priorities: bool = False
    organisation: OrganisationName | None = None
    goal_at: float = math.inf
    needed_s: float = 0.0
    is_resumed: bool = False

    def lease_s(self, now: float) -> float:
        """Return how long a replica may work on the request, in seconds."""
        return min(MAX_LEASE_S, max(0.0, self.deadline - now))


class Place:
    """Capacity at a replica that is reserved for one attempt.

    Parameters
    ----------
    note_released : callable
        Called when the place is released, with the pool, when the place was reserved,
        and whether its time counts as a service time.
    state : ReplicaState
        The replica.
    req : AdmissionRequest
        The request for which the place is reserved.
    now : float
        The current time, on the timer service's clock.

    Attributes
    ----------
    since : float
        When the place was reserved, on the timer service's clock.
    has_output : bool
        Whether the request has output, so that its prompt has been read.
    is_forwarded : bool
        Whether the request was sent through another router.
    is_rejected : bool
        Whether the replica had no room for the request.
    on_released : list of callable
        Called when the place is released.
    """

    def __init__(
        self,
        note_released: Callable[[PoolName, float, bool], None],
        state: ReplicaState,
        req: AdmissionRequest,
        now: float,
    ):
        self._note_released = note_released
        self.is_forwarded = False
        self.is_rejected = False
        self.on_released: list[Callable[[], None]] = []
        self.state = state
        self._req = req
        self._load = Load(1, req.prompt_tokens, req.tokens)
        self.since = now
        self.has_output = False
        self._is_released = False
        self._copy_holder: ReplicaState | None = None
        state.own.add(self._load)
        state.note_sent(now)

    def note_first_output(self) -> None:
        """Record that the prompt has been read."""
        if not self.has_output:
            self.has_output = True
            self.state.own.unread_tokens -= self._load.unread_tokens
            self._load.unread_tokens = 0

    def reserve_copy(self, holder: ReplicaState) -> None:
        """Reserve memory for a copy of the run at another replica."""
        self._copy_holder = holder
        holder.own.tokens += self._req.tokens

    def release(self, is_served: bool = False) -> None:
        """Release the place; further calls have no effect.

        Parameters
        ----------
        is_served : bool, optional
            Whether the time since the reservation counts as a service time.
        """
        if self._is_released:
            return
        self._is_released = True
        self.note_first_output()
        self.state.own.add(self._load, -1)
        if self._copy_holder is not None:
            self._copy_holder.own.tokens -= self._req.tokens
        for callback in self.on_released:
            callback()
        self._note_released(self._req.pool.name, self.since, is_served)
