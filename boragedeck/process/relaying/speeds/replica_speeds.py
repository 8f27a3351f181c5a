"""The speeds of replicas, as this router uses them and tells them to others.

In a small fleet each router has the samples of all and judges by itself. In a large one
the hubs have them, and tell the speeds to the others. A router that hears of no hub
uses what it heard last, and its own samples.
"""

from collections import defaultdict
from collections.abc import Iterable

from boragedeck.ids import PoolName, RouterId
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_state import ReplicaState, Run
from boragedeck.process.relaying.speeds.address_history import AddressHistory
from boragedeck.process.relaying.speeds.recent_speeds import RecentSpeeds
from boragedeck.process.relaying.speeds.sample_outbox import SampleOutbox
from boragedeck.process.relaying.speeds.speed_estimator import SpeedEstimator
from boragedeck.process.relaying.speeds.speed_messages import (
    RunSpeed,
    SpeedSample,
    StreamTimes,
)
from boragedeck.process.timers import TimerService

__all__ = ["ReplicaSpeeds"]

UPDATE_INTERVAL_S = 1.0

_log = PartLog("speeds")


class ReplicaSpeeds:
    """Sets the speeds of the replicas in the registry.

    Parameters
    ----------
    own : RouterId
        This router.
    timers : TimerService
        The source of time.
    registry : ReplicaRegistry
        The replicas.
    """

    def __init__(self, own: RouterId, timers: TimerService, registry: ReplicaRegistry):
        self._own = own
        self._timers = timers
        self._registry = registry
        self._number = 0
        self._estimator = SpeedEstimator(own)
        self._history = AddressHistory()
        # What hubs told this router, and what it tells as a hub.
        self._received = RecentSpeeds()
        self._answered = RecentSpeeds()
        # The router's own samples, and those that it passes on as a hub.
        self._own_samples = SampleOutbox()
        self._hub_samples = SampleOutbox()
        self._updated_at = float("-inf")

    def note_stream(self, state: ReplicaState, times: StreamTimes) -> None:
        """Record what a stream of this router has shown of its replica."""
        self._number += 1
        run = state.run
        sample = SpeedSample(
            self._own,
            self._number,
            run.replica,
            run.born_ms,
            0.0,
            times.read_s,
            times.event_s,
        )
        if self._add(sample):
            now = self._timers.now()
            self._own_samples.add(sample, now)
            self._hub_samples.add(sample, now)

    def take_own_samples(self) -> tuple[SpeedSample, ...]:
        """Return this router's samples that are to be sent now."""
        return self._own_samples.take(self._timers.now())

    def take_hub_samples(self) -> tuple[SpeedSample, ...]:
        """Return the samples that this router, a hub, is to send to other hubs now."""
        return self._hub_samples.take(self._timers.now())

    def merge_samples(self, sender: RouterId, samples: Iterable[SpeedSample]) -> None:
        """Add the samples that a router sent of its own streams."""
        now = self._timers.now()
        for sample in samples:
            if sample.router == sender and self._add(sample):
                self._hub_samples.add(sample, now)

    def merge_hub_samples(self, samples: Iterable[SpeedSample]) -> None:
        """Add the samples that another hub passed on."""
        for sample in samples:
            self._add(sample)

    def answer(self, pool: PoolName) -> tuple[RunSpeed, ...]:
        """Return the speeds to tell a router that asks this one, a hub.

        Notes
        -----
        A router that has just become a hub passes on what the last hub told it.
        """
        told = {*self._answered.runs(), *self._received.runs()}
        if not told:
            return ()
        runs = [state.run for state in self._registry.of_pool(pool)]
        return tuple(self._speed_of(run) for run in runs if run in told)

    def note_received(self, speeds: Iterable[RunSpeed]) -> None:
        """Record the speeds that a hub told this router, and use them."""
        now = self._timers.now()
        for speed in speeds:
            if speed.is_valid:
                self._received.note(speed, now)
                state = self._registry.get(speed.replica)
                if state is not None and state.run == speed.run:
                    _apply(state, speed)

    def update(self) -> None:
        """Estimate the speeds anew, and drop what is old, at most once a second."""
        now = self._timers.now()
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        self._received.expire(now)
        by_pool: dict[PoolName, list[Run]] = defaultdict(list)
        for state in self._registry.all():
            by_pool[state.replica.pool].append(state.run)
        for run, before in self._history.update(self._registry.all(), now).items():
            self._estimator.inherit(before, run)
        runs = {run for pool_runs in by_pool.values() for run in pool_runs}
        self._estimator.keep_only(runs | self._history.runs(), by_pool)
        for pool, pool_runs in by_pool.items():
            self._estimator.update(pool, pool_runs, now)
        for speed in self._estimator.speeds.values():
            self._answered.note(speed, now)
        self._answered.expire(now)
        for state in self._registry.all():
            _apply(state, self._speed_of(state.run))

    def slow_replicas(self) -> int:
        """Return the number of replicas that count as slow."""
        return sum(state.speed < 1.0 for state in self._registry.all())

    def _speed_of(self, run: Run) -> RunSpeed:
        speed = self._received.get(run) or self._estimator.speeds.get(run)
        return speed or RunSpeed(run.replica, run.born_ms)

    def _add(self, sample: SpeedSample) -> bool:
        """Add a sample; return False if it is known, invalid or of an unknown run."""
        state = self._registry.get(sample.replica)
        if state is None or state.run != sample.run or not sample.is_valid:
            return False
        pool = state.replica.pool
        return self._estimator.add(pool, sample, self._timers.now())


def _apply(state: ReplicaState, speed: RunSpeed) -> None:
    """Set the speed of a replica, and log if it begins or stops to count as slow."""
    was_slow, is_slow = state.speed < 1.0, speed.speed < 1.0
    state.speed = speed.speed
    if is_slow != was_slow:
        _log.write(
            "Replica is slow." if is_slow else "Replica is no longer slow.",
            replica=state.replica.replica,
            speed=round(speed.speed, 2),
            samples=speed.samples,
            age_s=round(speed.age_s, 1),
        )
