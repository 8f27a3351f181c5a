"""Admits requests within the limits that replicas name on all routers together.

Handles replicas in need. Requests go to other replicas first. If none has room, a
request waits for its turn at a limited replica if that comes in time; otherwise it is
refused at once, with the time of the next turn.
"""

import random

import msgspec
from result import Err, Ok, Result

from boragedeck.exceptions import RefusedError
from boragedeck.process.relaying.limits.brittle_replicas import BrittleReplicas
from boragedeck.process.relaying.limits.replica_limits import ReplicaLimits
from boragedeck.process.relaying.placing.admission import (
    MIN_RETRY_AFTER_S,
    RETRY_SPREAD,
    Admission,
)
from boragedeck.process.relaying.placing.place import AdmissionRequest, Place
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import ReplicaId

__all__ = ["LimitedAdmission"]

MAX_RESERVED_WAIT_S = 0.3
"""How long a request waits for its turn at a replica that kept room for it."""
MIN_TURN_WAIT_S = 0.1
"""How long an answer that has begun waits at least before it asks for a turn again."""


class LimitedAdmission:
    """Reserves places at replicas, and takes the sends to limited ones.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    admission : Admission
        Reserves the places.
    limits : ReplicaLimits
        Takes the sends.
    brittle : BrittleReplicas
        Takes the room at brittle replicas.
    rng : random.Random
        Spreads retry times.
    """

    def __init__(
        self,
        timers: TimerService,
        admission: Admission,
        limits: ReplicaLimits,
        brittle: BrittleReplicas,
        rng: random.Random,
    ):
        self._brittle = brittle
        self._timers = timers
        self._admission = admission
        self._limits = limits
        self._rng = rng

    def acquire(self, req: AdmissionRequest) -> Result[Place, RefusedError]:
        """Reserve a place whose replica may be sent the request now.

        Returns
        -------
        Result
            The place, or ``Err(RefusedError)`` with a `retry_after_s`.
        """
        # The next turns of the limited replicas for which the request can't wait.
        denied_until: dict[ReplicaId, float] = {}
        asked: set[ReplicaId] = set()
        while True:
            tried = req.tried | denied_until.keys()
            allowed = msgspec.structs.replace(req, tried=tried)
            if denied_until and not self._admission.has_candidates(allowed):
                next_turn_at = min(denied_until.values())
                if not self._wait_for_turn(req, next_turn_at):
                    return Err(self._refusal(req, next_turn_at))
                denied_until.clear()
                asked.clear()
                continue
            acquired = self._admission.acquire(allowed)
            if acquired.is_err() or not _needs_grant(acquired.ok().state):
                return acquired
            state = acquired.ok().state
            name = state.replica.replica
            # It is passed over once, for another replica may have room.
            is_last_resort = name in asked or state.limited_until > self._timers.now()
            max_wait_s = self._max_wait_s(allowed) if is_last_resort else 0.0
            place = self._take(acquired.ok(), allowed, max_wait_s)
            if place is not None:
                return Ok(place)
            asked.add(name)
            if is_last_resort:
                denied_until[name] = state.next_turn_at

    def reserve(self, req: AdmissionRequest, state: ReplicaState) -> Place | None:
        """Reserve a place at a replica that kept room for the request.

        Returns
        -------
        Place or None
            None if the limit of the replica allows no request in time.
        """
        place = self._admission.reserve(req, state)
        if not _needs_grant(state):
            return place
        return self._take(place, req, MAX_RESERVED_WAIT_S)

    def _take(
        self, place: Place, req: AdmissionRequest, max_wait_s: float
    ) -> Place | None:
        """Return the place once its replica may be sent the request, or None."""
        if place.state.is_limited:
            place = self._take_send(place, req, max_wait_s)
        if place is None or not place.state.is_brittle:
            return place
        has_room = False
        try:
            has_room = self._brittle.take(
                place, max_wait_s, req.lease_s(self._timers.now()), req.request_id
            )
        finally:
            if not has_room:
                place.release()
        return place if has_room else None

    def _take_send(
        self, place: Place, req: AdmissionRequest, max_wait_s: float
    ) -> Place | None:
        """Return a place at a limited replica when its turn has come, or None."""
        state, now = place.state, self._timers.now()
        if state.limited_until - now > max_wait_s:
            place.release()
            return None
        is_kept = False
        try:
            decision = self._limits.take(state, max_wait_s, req.request_id)
            is_kept = decision.is_granted and decision.wait_s <= 0.0
        finally:
            if not is_kept:
                place.release()
        if is_kept or not decision.is_granted:
            return place if is_kept else None
        self._wait_for_granted(state, decision.wait_s)
        # The place counts from now on, so that the wait isn't taken for service time.
        return self._admission.reserve(req, state)

    def _wait_for_granted(self, state: ReplicaState, wait_s: float) -> None:
        """Wait for a turn that is granted; return it if the request ends meanwhile."""
        turn_at = self._timers.now() + wait_s
        try:
            self._timers.sleep(wait_s)
        except BaseException:
            self._limits.give_back(state, turn_at)
            raise

    def _wait_for_turn(self, req: AdmissionRequest, turn_at: float) -> bool:
        """Wait for a turn that is denied now; return whether to ask once more."""
        now = self._timers.now()
        if not req.has_begun or req.until <= now:
            return False
        self._timers.sleep(min(max(MIN_TURN_WAIT_S, turn_at - now), req.until - now))
        return True

    def _max_wait_s(self, req: AdmissionRequest) -> float:
        """Return how long a request can wait for its turn, in seconds.

        Notes
        -----
        If a replica without a limit is full, its next free place may come sooner.
        """
        left_s = req.until - self._timers.now()
        if not req.has_begun:
            left_s -= self._admission.mean_service_s(req.pool.name)
        if self._admission.has_candidates(req, unlimited_only=True):
            left_s = min(left_s, self._admission.expected_wait_s(req))
        return max(0.0, left_s)

    def _refusal(self, req: AdmissionRequest, until: float) -> RefusedError:
        wait_s = max(MIN_RETRY_AFTER_S, until - self._timers.now())
        return RefusedError(
            f"all replicas of {req.pool.name!r} that could serve it limit their load",
            status=503,
            kind="server_error",
            code="limited",
            retry_after_s=wait_s * (1.0 + RETRY_SPREAD * self._rng.random()),
            step="admit",
        )


def _needs_grant(state: ReplicaState) -> bool:
    """Return whether the requests of all routers to a replica are granted by one."""
    return state.is_limited or state.is_brittle
