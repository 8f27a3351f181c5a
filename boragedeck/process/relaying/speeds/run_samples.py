"""The samples of one run of a replica, weighted by age and by router."""

import zlib
from collections import deque
from collections.abc import Iterable

import msgspec

from boragedeck.ids import RouterId
from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.relaying.speeds.speed_messages import StreamTimes

__all__ = ["RunSamples", "Summary"]

MIN_HALF_LIFE_S = 8.0
MAX_HALF_LIFE_S = 16.0
"""Time in which the weight of a sample halves. It differs by run, so that engines which
were found to be slow at the same time aren't tried again at the same time."""
MAX_AGE_S = 120.0
MAX_SAMPLES_OF_ROUTER = 3
"""Number of the newest samples of a router that are kept for a run."""
MAX_ROUTERS = 24
"""Number of routers whose samples are kept for a run."""
MIN_ROUTERS = 2
"""Number of routers whose samples are needed: those of one may be wrong."""
SUMMARY_TTL_S = 3.0
"""How long a summary is used again if there are no new samples: only ages change."""
LOW_QUANTILE = 0.3
HIGH_QUANTILE = 0.7


class _Sample(msgspec.Struct, frozen=True):
    """Times of a stream relative to those of the pool, and when it was measured."""

    at: float
    ratios: StreamTimes


class Summary(msgspec.Struct, frozen=True):
    """What the samples of a run show.

    Parameters
    ----------
    weight : float
        Weight of all samples; 1.0 is that of one router's fresh samples.
    samples : int
        Number of samples.
    age_s : float
        Age of the newest one, in seconds.
    low, high : StreamTimes
        Times that few samples are below, and above, relative to those of the pool.
    """

    weight: float
    samples: int
    age_s: float
    low: StreamTimes
    high: StreamTimes


class RunSamples:
    """The samples of one run.

    Parameters
    ----------
    run : Run
        The run.
    """

    def __init__(self, run: Run):
        self._half_life_s = _half_life_s(run)
        self._by_router: dict[RouterId, deque[_Sample]] = {}
        self._summary: Summary | None = None
        self._summary_until = float("-inf")

    def add(self, router: RouterId, measured_at: float, ratios: StreamTimes) -> None:
        """Add a sample.

        Parameters
        ----------
        router : RouterId
            The router that measured it.
        measured_at : float
            When it was measured, in seconds.
        ratios : StreamTimes
            The times, relative to those of the pool.
        """
        samples = self._by_router.pop(router, None)
        if samples is None:
            samples = deque(maxlen=MAX_SAMPLES_OF_ROUTER)
        self._by_router[router] = samples
        samples.append(_Sample(measured_at, ratios))
        self._summary_until = float("-inf")
        if len(self._by_router) > MAX_ROUTERS:
            del self._by_router[next(iter(self._by_router))]

    def add_all(self, newer: "RunSamples") -> None:
        """Add the samples of the run that follows this one."""
        for router, samples in newer._by_router.items():
            for sample in samples:
                self.add(router, sample.at, sample.ratios)

    def expire(self, now: float) -> bool:
        """Drop old samples; return whether any are left."""
        for router, samples in list(self._by_router.items()):
            while samples and now - samples[0].at > MAX_AGE_S:
                samples.popleft()
            if not samples:
                del self._by_router[router]
        return bool(self._by_router)

    def summary(self, own: RouterId, now: float) -> Summary | None:
        """Return what the samples show; None if they are of one other router only.

        Parameters
        ----------
        own : RouterId
            This router. Its samples count one by one if there are no others.
        now : float
            The time in seconds.
        """
        if now >= self._summary_until:
            self._summary = self._summarise(own, now)
            self._summary_until = now + SUMMARY_TTL_S
        return self._summary

    def _summarise(self, own: RouterId, now: float) -> Summary | None:
        is_alone = set(self._by_router) == {own}
        if len(self._by_router) < MIN_ROUTERS and not is_alone:
            return None
        weighted: list[tuple[float, _Sample]] = []
        for samples in self._by_router.values():
            share = 1.0 if is_alone else 1.0 / len(samples)
            for sample in samples:
                weighted.append((share * self._weight(now - sample.at), sample))
        return Summary(
            weight=sum(weight for weight, _ in weighted),
            samples=len(weighted),
            age_s=now - max(sample.at for _, sample in weighted),
            low=_quantiles(weighted, LOW_QUANTILE),
            high=_quantiles(weighted, HIGH_QUANTILE),
        )

    def _weight(self, age_s: float) -> float:
        return 0.5 ** (max(0.0, age_s) / self._half_life_s)


def _half_life_s(run: Run) -> float:
    share = zlib.crc32(f"{run.replica} {run.born_ms}".encode()) / 2**32
    return MIN_HALF_LIFE_S + share * (MAX_HALF_LIFE_S - MIN_HALF_LIFE_S)


def _quantiles(weighted: list[tuple[float, _Sample]], share: float) -> StreamTimes:
    return StreamTimes(
        _quantile(((weight, s.ratios.read_s) for weight, s in weighted), share),
        _quantile(((weight, s.ratios.event_s) for weight, s in weighted), share),
    )


def _quantile(weighted: Iterable[tuple[float, float]], share: float) -> float:
    """Return the value up to which a share of the weight lies."""
    ordered = sorted((value, weight) for weight, value in weighted)
    left = share * sum(weight for _, weight in ordered)
    for value, weight in ordered:
        left -= weight
        if left < 0.0:
            return value
    return ordered[-1][0]
