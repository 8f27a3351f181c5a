"""Estimates the speeds of runs from the samples of several routers."""

from collections.abc import Collection

import msgspec

from boragedeck.ids import PoolName, RouterId
from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.relaying.speeds.pool_times import PoolTimes
from boragedeck.process.relaying.speeds.run_samples import RunSamples, Summary
from boragedeck.process.relaying.speeds.speed_judge import judge_speeds
from boragedeck.process.relaying.speeds.speed_messages import (
    RunSpeed,
    SpeedSample,
    StreamTimes,
)

__all__ = ["SpeedEstimator"]

MAX_KNOWN_ROUTERS = 1_024
"""Number of routers whose last sample number is kept."""


class SpeedEstimator:
    """Keeps the samples of all runs, and the speeds that follow from them.

    Parameters
    ----------
    own : RouterId
        This router.

    Attributes
    ----------
    speeds : dict of Run to RunSpeed
        The speeds that differ from 1.0.
    """

    def __init__(self, own: RouterId):
        self._own = own
        self._last_numbers: dict[RouterId, int] = {}
        self._pool_times: dict[PoolName, PoolTimes] = {}
        self._samples: dict[Run, RunSamples] = {}
        self.speeds: dict[Run, RunSpeed] = {}

    def add(self, pool: PoolName, sample: SpeedSample, now: float) -> bool:
        """Add a sample of a run in a pool; return False if it is known already."""
        if not self._note_number(sample):
            return False
        times = StreamTimes(sample.read_s, sample.event_s)
        pool_times = self._pool_times.setdefault(pool, PoolTimes())
        pool_times.add(sample.router, times, now)
        ratios = pool_times.relative(times)
        if ratios is not None:
            samples = self._samples.setdefault(sample.run, RunSamples(sample.run))
            samples.add(sample.router, now - sample.age_s, ratios)
        return True

    def update(self, pool: PoolName, runs: Collection[Run], now: float) -> None:
        """Estimate the speeds of a pool's runs anew."""
        summaries: dict[Run, Summary] = {}
        for run in runs:
            samples = self._samples.get(run)
            summary = None if samples is None else self._summary(samples, now)
            if summary is not None:
                summaries[run] = summary
        before = {run: self.speeds.pop(run) for run in runs if run in self.speeds}
        self.speeds.update(judge_speeds(summaries, before))

    def inherit(self, before: Run, run: Run) -> None:
        """Take what is known of a run for another one, which follows it.

        Parameters
        ----------
        before : Run
            The run that has ended.
        run : Run
            The run that is at its address now. Its own samples count as the newest.
        """
        samples = self._samples.pop(before, None)
        if samples is not None:
            own_samples = self._samples.get(run)
            if own_samples is not None:
                samples.add_all(own_samples)
            self._samples[run] = samples
        speed = self.speeds.pop(before, None)
        if speed is not None:
            named = msgspec.structs.replace(
                speed, replica=run.replica, born_ms=run.born_ms
            )
            self.speeds.setdefault(run, named)

    def keep_only(self, runs: Collection[Run], pools: Collection[PoolName]) -> None:
        """Drop what is known of other runs and pools."""
        for run in self._samples.keys() - set(runs):
            del self._samples[run]
            self.speeds.pop(run, None)
        for pool in self._pool_times.keys() - set(pools):
            del self._pool_times[pool]

    def _note_number(self, sample: SpeedSample) -> bool:
        """Return whether a sample is new; routers send each several times, in order."""
        last = self._last_numbers.pop(sample.router, 0)
        self._last_numbers[sample.router] = max(last, sample.number)
        if len(self._last_numbers) > MAX_KNOWN_ROUTERS:
            del self._last_numbers[next(iter(self._last_numbers))]
        return sample.number > last

    def _summary(self, samples: RunSamples, now: float) -> Summary | None:
        return samples.summary(self._own, now) if samples.expire(now) else None
