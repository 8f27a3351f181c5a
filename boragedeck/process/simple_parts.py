"""Baseline implementations of router parts, for measurements and tests."""

import random

from result import Err, Ok, Result

from boragedeck.exceptions import RefusedError
from boragedeck.ids import Version
from boragedeck.interfaces import Outcome, RunSample, SlotRequest
from boragedeck.version.tables import Route, Upstream

__all__ = ["DeclaredVersion", "RandomChooser"]

RETRY_AFTER_S = 2.0


class _UnlimitedSlot:
    def __init__(self, upstream: Upstream):
        self.upstream = upstream

    def first_token(self) -> None:
        pass

    def tokens(self, count: int) -> None:
        pass

    def finish(self, outcome: Outcome) -> None:
        pass


class RandomChooser:
    """Chooses a random upstream of the requested version, without limits.

    Parameters
    ----------
    rng : random.Random
        The source of randomness.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def acquire(self, request: SlotRequest) -> Result[_UnlimitedSlot, RefusedError]:
        """See `Chooser.acquire`."""
        candidates = [
            upstream
            for upstream in request.pool.upstreams
            if not upstream.leaving
            and request.version in (None, upstream.version)
            and upstream.name not in request.excluded
        ]
        if not candidates:
            return Err(_no_upstream_error(request))
        return Ok(_UnlimitedSlot(self._rng.choice(candidates)))


class DeclaredVersion:
    """Chooses the version that the route declares, for every request."""

    def choose(self, route: Route, request_key: str) -> Version | None:
        """See `VersionPolicy.choose`."""
        return route.version

    def observe(self, sample: RunSample) -> None:
        """Ignore the sample."""


def _no_upstream_error(request: SlotRequest) -> RefusedError:
    return RefusedError(
        f"pool {request.pool.name!r} has no available upstream for this request",
        status=503,
        kind="server_error",
        code="no_upstream",
        retry_after_s=RETRY_AFTER_S,
        step="choose upstream",
        peer=request.pool.name,
    )
