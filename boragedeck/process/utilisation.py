"""How much of a pool's capacity the running traffic needs."""

from collections import defaultdict

from boragedeck.ids import PoolName, Version
from boragedeck.process.timers import TimerService
from boragedeck.process.upstreams import UpstreamRegistry
from boragedeck.version.tables import Pool

__all__ = ["PoolUtilisation"]

SAMPLE_INTERVAL_S = 1.0
DECAY_PER_SAMPLE = 0.98
"""What is left of a peak after a second: half after 34 s."""
HEADROOM = 1.3
MIN_UTILISATION = 0.1


class PoolUtilisation:
    """The recent peak of requests at a pool's upstreams over their limits.

    Parameters
    ----------
    registry : UpstreamRegistry
        What is known of the upstreams, peers' requests included.
    timers : TimerService
        Provides the time and timers.

    Notes
    -----
    Upstreams of different versions are counted apart and the fullest counts, so that
    idle ones of a new version don't hide a full old version. A limit that was never
    reached is too low, so the estimate errs on the side of too much.
    """

    def __init__(self, registry: UpstreamRegistry, timers: TimerService):
        self._registry = registry
        self._timers = timers
        self._peaks: dict[PoolName, float] = {}
        timers.subscribe(SAMPLE_INTERVAL_S, self.sample)

    def __call__(self, pool: Pool) -> float:
        """Return the share of the pool's capacity that is needed, from 0.1 to 1."""
        peak = self._peaks.get(pool.name)
        if peak is None:
            return 1.0
        return min(1.0, max(MIN_UTILISATION, HEADROOM * peak))

    def sample(self) -> None:
        """Take note of the load at present."""
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
