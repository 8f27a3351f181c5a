"""Finds places at replicas for the attempts of one request."""

import msgspec
from result import Err, Result

from boragedeck.exceptions import RefusedError
from boragedeck.ids import FailureDomain
from boragedeck.process.relaying.placing.place import AdmissionRequest, Place
from boragedeck.request.attempt_counts import AttemptCounts
from boragedeck.request.relay_components import RelayComponents
from boragedeck.version.replicas import Replica, ReplicaId

__all__ = ["PlaceFinder"]

FIRST_BACKOFF_S = 0.02
"""First pause before tried replicas are tried again; it doubles each time."""
MAX_BACKOFF_S = 0.25
"""Longest pause between attempts once every replica has been tried."""
UNREACHED_RETRY_S = 0.5
"""Minimum Retry-After while no router reaches a replica."""


class PlaceFinder:
    """Finds places for the attempts of one request.

    Parameters
    ----------
    parts : RelayComponents
        The components of the process that relaying uses.
    req : AdmissionRequest
        The request for a place, as for the first attempt: its `until` holds as long as
        the request hasn't run.
    attempts : AttemptCounts
        The attempts of the request that were sent.

    Attributes
    ----------
    tried : set of ReplicaId
        Replicas to which the request was sent, since all had been tried.
    lost_domains : set of FailureDomain
        Failure domains in which the request was lost.
    """

    def __init__(
        self,
        parts: RelayComponents,
        req: AdmissionRequest,
        attempts: AttemptCounts,
    ):
        self._parts = parts
        self._req = req
        self._attempts = attempts
        self._backoff_s = FIRST_BACKOFF_S
        self.tried: set[ReplicaId] = set()
        self.lost_domains: set[FailureDomain] = set()

    def acquire(
        self, until: float, *, has_begun: bool = False
    ) -> Result[Place, RefusedError]:
        """Wait for a place at a replica that has not been tried yet.

        Parameters
        ----------
        until : float
            When to stop waiting, in monotonic seconds. A request that has not run
            waits no longer than the request for a place says.
        has_begun : bool, optional
            Whether the caller has a part of the answer; see `AdmissionRequest`.

        Returns
        -------
        Result
            The place, or the refusal for the caller.

        Notes
        -----
        When all replicas have been tried, they are tried again after a pause, or at
        once if there is no time to wait. If no router reaches any of them, a request
        that hasn't run is refused: at once if they refuse connections, and when it may
        wait no longer if they may only be silent.
        """
        unreached = self.unreached_refusal()
        if unreached is not None:
            return Err(unreached)
        if self.tried and not self._has_untried_replica():
            self.tried.clear()
            if until > self._parts.timers.now():
                self._back_off()
        req = msgspec.structs.replace(self.request(until), has_begun=has_begun)
        return self._parts.limited_admission.acquire(req)

    def acquire_beside(self, others: list[Place]) -> Place | None:
        """Return a place for an attempt beside others, if one is free now.

        Notes
        -----
        Replicas that are silent, too, get none. The replica of another attempt may get
        one if only this router's path to it is lost.
        """
        tried = self.tried
        if not self._has_untried_replica():
            tried = {
                other.state.replica.replica
                for other in others
                if not self._parts.paths.is_own_loss(other.state.replica.address)
            }
        now = self._parts.timers.now()

        def allows(replica: Replica) -> bool:
            state = self._parts.registry.get(replica.replica)
            is_silent = state is None or state.is_silent(now)
            return not is_silent and self._req.allows(replica)

        req = msgspec.structs.replace(
            self.request(now), tried=frozenset(tried), allows=allows
        )
        acquired = self._parts.limited_admission.acquire(req)
        return acquired.ok() if acquired.is_ok() else None

    def hold_remaining_s(self) -> float:
        """Return the time until a replica accepts requests again, if all asked to wait.

        See `Admission.hold_remaining_s`.
        """
        return self._parts.admission.hold_remaining_s(self.request(self._req.deadline))

    def request(self, until: float) -> AdmissionRequest:
        """Return the request for a place that is passed to admission.

        Parameters
        ----------
        until : float
            When to stop waiting, in monotonic seconds.
        """
        req = self._req
        latest = req.deadline if self._attempts.may_have_run else req.until
        return msgspec.structs.replace(
            req,
            until=min(until, latest),
            tried=frozenset(self.tried),
            lost_domains=frozenset(self.lost_domains),
        )

    def unreached_refusal(self) -> RefusedError | None:
        """Return the refusal of a request that hasn't run, if no replica is reached."""
        if self._attempts.may_have_run or not self._is_pool_unreached():
            return None
        return RefusedError(
            f"no router reaches a replica of {self._req.pool.name!r}",
            status=503,
            kind="server_error",
            code="not_reached",
            retry_after_s=UNREACHED_RETRY_S * (1.0 + self._parts.rng.random()),
            step="admit",
        )

    def _is_pool_unreached(self) -> bool:
        """Return whether it is no use to wait for a replica of the pool."""
        paths = self._parts.paths
        states = self._parts.registry.of_pool(self._req.pool.name)
        addresses = [state.replica.address for state in states]
        if not paths.are_lost(addresses):
            return False
        is_time_left = self._parts.timers.now() < self._req.until
        return not (is_time_left and any(map(paths.is_hanging, addresses)))

    def _back_off(self) -> None:
        """Pause before replicas that have failed are tried again."""
        wait_s = self._backoff_s * self._parts.rng.uniform(0.5, 1.0)
        self._backoff_s = min(MAX_BACKOFF_S, 2.0 * self._backoff_s)
        left_s = self._req.deadline - self._parts.timers.now()
        self._parts.timers.sleep(max(0.0, min(wait_s, left_s)))

    def _has_untried_replica(self) -> bool:
        now = self._parts.timers.now()
        return any(
            state.replica.replica not in self.tried
            and self._req.allows(state.replica)
            and state.restraints.may_send(now)
            for state in self._parts.registry.of_pool(self._req.pool.name)
        )
