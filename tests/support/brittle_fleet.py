"""Routers in memory that share replicas which fall over if they reject much."""

import itertools
from collections import deque

from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.version.replicas import RejectionLimit, ReplicaNotice
from tests.process.relaying.placing.test_admission import POOL, replica
from tests.support.limited_fleet import (
    LATENCY_S,
    MAX_WAIT_S,
    LimitedFleet,
    LimitedRouter,
)

SLOTS = 6
QUEUE = 4
"""Requests that a sound replica lets wait beyond its slots."""
SERVICE_S = 0.045
FALL_S = 3.0
"""How long a replica that fell over is away."""
CONTACT_S = 3.0


class BrittleReplica:
    """A replica that names how many rejections a second it bears.

    Parameters
    ----------
    name : str
        The replica's id.
    per_s : float
        More rejections than this in a second make it fall over.
    """

    def __init__(self, name, per_s):
        self.name, self.per_s = name, per_s
        self.is_brittle = False
        self.brittle_at = float("inf")
        self.down_until = float("-inf")
        self.falls = []
        self.served = []
        self._running = 0
        self._free_at = []
        self._rejected_at = deque()

    def become_brittle(self, now):
        """Begin to name the limit; fewer may wait some seconds later."""
        self.is_brittle, self.brittle_at = True, now

    def offer(self, now):
        """Take a request; return how long it will take, None if it is rejected."""
        self._free_at = [at for at in self._free_at if at > now]
        room = SLOTS
        if now < self.brittle_at + CONTACT_S:
            room += QUEUE
        if now < self.down_until or len(self._free_at) >= room:
            self._note_rejected(now)
            return None
        busy = sorted(self._free_at)
        begin = now if len(busy) < SLOTS else busy[len(busy) - SLOTS]
        self._free_at.append(begin + SERVICE_S)
        self.served.append(now)
        return begin + SERVICE_S - now

    def notice(self):
        """Return the notice in its answers."""
        if not self.is_brittle:
            return ReplicaNotice()
        limit = RejectionLimit(self.per_s, str(self.per_s))
        return ReplicaNotice(rejection_limit=limit)

    def _note_rejected(self, now):
        if now < self.down_until or not self.is_brittle:
            return
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - 1.0:
            self._rejected_at.popleft()
        if len(self._rejected_at) > self.per_s:
            self.falls.append(now)
            self.down_until = now + FALL_S
            self._rejected_at.clear()
            self._free_at.clear()


class BrittleRouter(LimitedRouter):
    """One router before brittle replicas."""

    def send(self):
        """Place one request, again where it is rejected, and handle its answers."""
        timers = self.timers
        arrived, tried = timers.now(), frozenset()
        for _ in range(3):
            acquired = self.acquire(
                AdmissionRequest(
                    pool=POOL,
                    priority=1,
                    prompt_tokens=0,
                    tokens=0,
                    until=arrived + MAX_WAIT_S,
                    tried=tried,
                )
            )
            if acquired.is_err():
                break
            place = acquired.ok()
            chosen = self._fleet.replicas[place.state.replica.replica]
            timers.sleep(LATENCY_S)
            took_s = chosen.offer(timers.now())
            is_down = timers.now() < chosen.down_until
            timers.sleep((took_s or 0.0) + LATENCY_S)
            if is_down:
                self.registry.note_miss(place.state)
            else:
                self.notices.handle(place.state, chosen.notice())
            if took_s is not None:
                place.state.note_answer(True, timers.now())
                place.release(True)
                self._fleet.waits_s.append(timers.now() - arrived)
                return
            place.is_rejected = not is_down
            place.release()
            tried |= {chosen.name}
        self._fleet.refused.append(timers.now() - arrived)


class BrittleFleet(LimitedFleet):
    """Routers that share replicas which become brittle.

    Attributes
    ----------
    waits_s : list of float
        How long each served request took.
    """

    def __init__(self, routers, replicas, seed=1):
        self.waits_s = []
        super().__init__(routers, replicas, seed)
        for router, each in itertools.product(self.routers, replicas):
            router.registry.put(replica(each.name, slots=SLOTS, born_ms=1))

    def start_router(self):
        """Start another router."""
        router = BrittleRouter(self, len(self.routers))
        self.routers.append(router)
        return router

    def become_brittle(self):
        """Make all replicas brittle."""
        for each in self.replicas.values():
            each.become_brittle(self.timers.now())

    def play_bursts(self, seconds, usual_per_s, burst_per_s):
        """Play bursts of one second, with two quiet seconds after each."""
        until = self.timers.now() + seconds
        while self.timers.now() < until:
            self.run(1.0, burst_per_s)
            self.run(2.0, usual_per_s)

    def falls(self):
        """Return the number of times that replicas fell over."""
        return sum(len(each.falls) for each in self.replicas.values())
