"""Registry of the upstreams, with the state that this router keeps of each."""

import math
import statistics

import msgspec

from boragedeck.ids import PoolName, UpstreamName, Version
from boragedeck.interfaces import Outcome
from boragedeck.process.placing.concurrency import ConcurrencyLimit
from boragedeck.process.placing.health import HealthRecord
from boragedeck.process.placing.load import LoadEstimate, LoadReport
from boragedeck.version.tables import Config, Pool, Upstream

__all__ = ["UpstreamKey", "UpstreamRegistry", "UpstreamState"]

EWMA_WEIGHT = 0.2
INITIAL_GAP_S = 0.03
INITIAL_RUN_S = 5.0
OVERBOOKING_FACTOR = 1.5
RESUME_LIMIT_SHARE = 1.25
"""Share of the limit that resumes may use; more than 1.0, as they come in bursts."""
_UPSTREAM_FAILURES = (Outcome.CRASHED, Outcome.FAILED, Outcome.REFUSED, Outcome.SILENT)


class UpstreamKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies an upstream by its pool and name."""

    pool: PoolName
    upstream: UpstreamName


class UpstreamState:
    """State of one upstream as known to this router.

    Parameters
    ----------
    pool : PoolName
        The upstream's pool.
    upstream : Upstream
        The upstream as declared in the configuration.
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    gap_s : float or None
        Smoothed time between tokens, in seconds.
    run_s : float
        Smoothed duration of a completed run, in seconds.
    is_leaving : bool
        Whether any source reports that the upstream will stop.
    routers : int
        Number of routers that have requests at the pool, including this one.
    failed_at : float
        Time of the last failed run, in monotonic seconds.
    versions : frozenset of Version or None
        The versions that the upstream reports; None before its first report.
    """

    def __init__(self, pool: PoolName, upstream: Upstream, now: float):
        self.key = UpstreamKey(pool, upstream.name)
        self.upstream = upstream
        self.health = HealthRecord(now)
        self.load = LoadEstimate()
        self.limit = ConcurrencyLimit(upstream.weight)
        self.gap_s: float | None = None
        self.run_s = INITIAL_RUN_S
        self.is_leaving = False
        self.failed_at = float("-inf")
        self.routers = 1
        self._rounding = 0.5
        self.versions: frozenset[Version] | None = None

    def serves(self, version: Version | None) -> bool:
        """Return whether the upstream serves a version; None means any version."""
        if version is None:
            return True
        if self.versions is not None:
            return version in self.versions
        return self.upstream.version in (version, "")

    @property
    def is_shutting_down(self) -> bool:
        """Whether the upstream is reported or configured to stop."""
        return self.is_leaving or self.upstream.leaving

    def accepts_requests(self, now: float) -> bool:
        """Return whether the upstream may be sent requests at all."""
        return not self.is_shutting_down and self.health.is_available(now)

    def has_room(self, limit_share: float, now: float) -> bool:
        """Return whether a new request fits within this router's share of the limit.

        Parameters
        ----------
        limit_share : float
            The share of the limit that the request may use.
        now : float
            Monotonic time in seconds.
        """
        # Until overload was observed, the limit doesn't reflect the capacity, so that
        # a share of it says nothing about how full the upstream is.
        limit = self._effective_limit(limit_share if self.limit.is_known else 1.0, now)
        if not self._fits(limit, now):
            return False
        own_growth = self.load.own_growth(now)
        return own_growth is None or own_growth + 1 <= self._own_growth_limit(limit)

    def has_room_for_resume(self, now: float) -> bool:
        """Return whether a resume fits.

        Routers don't divide the room for resumes among themselves. Resumes are rare
        and come in bursts, and delaying an answer until the next load report costs
        more than a short queue at the upstream.
        """
        return self._fits(self._effective_limit(RESUME_LIMIT_SHARE, now), now)

    def _effective_limit(self, limit_share: float, now: float) -> float:
        return max(1.0, self.limit.value * self.health.share(now) * limit_share)

    def _fits(self, limit: float, now: float) -> bool:
        if self.health.is_on_probation():
            return self.load.own_in_flight == 0
        return self.load.total(now) + 1 <= limit

    def apply_report(
        self, report: LoadReport, measured_at: float, now: float, rounding: float = 0.5
    ) -> None:
        """Apply a load report; see `LoadEstimate.apply_report`.

        Parameters
        ----------
        report : LoadReport
            The upstream's report.
        measured_at : float
            Time of the measurement, in monotonic seconds of this process.
        now : float
            Monotonic time in seconds.
        rounding : float
            Random number below 1 that decides whether a fraction of a slot counts as
            one.
        """
        if self.load.apply_report(report, measured_at):
            self._rounding = rounding
            self.limit.observe_report(report, now)

    def _own_growth_limit(self, limit: float) -> int:
        """Return how many requests this router may add until the next report.

        If every router filled all the room shown by the same report, the upstream
        would be overloaded. So each router takes its share of the room, and random
        rounding decides which routers get a slot if there are fewer free slots than
        routers.
        """
        room = limit - self.load.report.total
        if room > 0:
            room *= OVERBOOKING_FACTOR
        return math.floor(room / self.routers + self._rounding)

    def observe_gap(self, gap_s: float) -> None:
        """Record the time between two tokens of a run, in seconds."""
        old = gap_s if self.gap_s is None else self.gap_s
        self.gap_s = old + EWMA_WEIGHT * (gap_s - old)

    def observe_run(self, run_s: float) -> None:
        """Record the duration of a completed run, in seconds."""
        self.run_s += EWMA_WEIGHT * (run_s - self.run_s)

    def observe_success(self, started_at: float, now: float) -> None:
        """Record output of a run; ignored if the run began before the last failure."""
        if started_at > self.failed_at:
            self.health.record_success(now)

    def observe_failure(self, outcome: Outcome, now: float) -> None:
        """Record how a run ended; only failures of the upstream have an effect."""
        self.health.record_failure(outcome, now)
        if outcome in _UPSTREAM_FAILURES:
            self.failed_at = now
        if outcome is Outcome.CRASHED:
            self.load.clear()


class UpstreamRegistry:
    """States of the upstreams of all pools, one for each declared upstream."""

    def __init__(self):
        self._states: dict[PoolName, dict[UpstreamName, UpstreamState]] = {}

    def apply(self, cfg: Config, now: float) -> None:
        """Apply a configuration; upstreams that remain keep their state."""
        declared = {pool.name for pool in cfg.pools}
        for name in self._states.keys() - declared:
            del self._states[name]
        for pool in cfg.pools:
            self.apply_pool(pool, now)

    def apply_pool(self, pool: Pool, now: float) -> None:
        """Apply one pool's declaration."""
        old = self._states.get(pool.name, {})
        self._states[pool.name] = {
            upstream.name: _updated_state(old.get(upstream.name), pool, upstream, now)
            for upstream in pool.upstreams
        }

    def has_pool(self, name: PoolName) -> bool:
        """Return whether a pool is declared."""
        return name in self._states

    def pool(self, name: PoolName) -> list[UpstreamState]:
        """Return the states of a pool's upstreams."""
        return list(self._states.get(name, {}).values())

    def all(self) -> list[UpstreamState]:
        """Return the states of all upstreams."""
        return [state for pool in self._states.values() for state in pool.values()]

    def get(self, key: UpstreamKey) -> UpstreamState | None:
        """Return one upstream's state, or None."""
        return self._states.get(key.pool, {}).get(key.upstream)

    def median_gap_s(self, pool: PoolName) -> float:
        """Return the median time between tokens of a pool's upstreams, in seconds."""
        gaps = [
            state.gap_s for state in self.pool(pool) if state.gap_s and state.gap_s > 0
        ]
        return statistics.median(gaps) if gaps else INITIAL_GAP_S


def _updated_state(
    state: UpstreamState | None, pool: Pool, upstream: Upstream, now: float
) -> UpstreamState:
    # A new URL means a different process, of which nothing is known yet.
    if state is None or state.upstream.url != upstream.url:
        return UpstreamState(pool.name, upstream, now)
    state.upstream = upstream
    return state
