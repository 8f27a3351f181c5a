"""Share of a pool's capacity that the current traffic needs."""

from collections import defaultdict

from boragedeck.ids import PoolName, Version
from boragedeck.process.placing.upstreams import UpstreamRegistry
from boragedeck.process.timers import TimerService
from boragedeck.version.tables import Pool

__all__ = ["PoolUtilisation"]

SAMPLE_INTERVAL_S = 1.0
DECAY_PER_SAMPLE = 0.98
"""Decay of a peak per second; its half-life is 34 s."""
HEADROOM = 1.3
MIN_UTILISATION = 0.1


class PoolUtilisation:
    """Recent peak of the ratio of requests to limits at a pool's upstreams.

    Parameters
    ----------
    registry : UpstreamRegistry
        The state of each upstream, including peers' requests.
    timers : TimerService
        Provides the time and timers.

    Notes
    -----
    Utilisation is computed for each version and the highest value counts, so that idle
    upstreams of a new version don't hide a fully used old version. A limit that was
    never reached is lower than the capacity, so the estimate errs on the high side.
    """

    def __init__(self, registry: UpstreamRegistry, timers: TimerService):
        self._registry = registry
        self._timers = timers
        self._peaks: dict[PoolName, float] = {}
        timers.subscribe(SAMPLE_INTERVAL_S, self.sample)

    def __call__(self, pool: Pool) -> float:
        """Return the needed share of the pool's capacity, between 0.1 and 1."""
        peak = self._peaks.get(pool.name)
        if peak is None:
            return 1.0
        return min(1.0, max(MIN_UTILISATION, HEADROOM * peak))

    def sample(self) -> None:
        """Record the current load."""
        old, self._peaks = self._peaks, {}
        for pool in {state.key.pool for state in self._registry.all()}:
            self._peaks[pool] = max(
                self._utilisation(pool), DECAY_PER_SAMPLE * old.get(pool, 0.0)
            )

    def _utilisation(self, pool: PoolName) -> float:
        now = self._timers.now()
        load: dict[Version, float] = defaultdict(float)
        limit: dict[Version, float] = defaultdict(float)
        for state in self._registry.pool(pool):
            if not state.is_shutting_down:
                load[state.upstream.version] += state.load.total(now)
                limit[state.upstream.version] += state.limit.value
        return max((load[version] / limit[version] for version in limit), default=0.0)
