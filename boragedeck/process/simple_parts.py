"""Plain ways to do what better parts do: baselines for measurements and tests."""

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
    """Chooses any upstream of the wanted version, without limits.

    Parameters
    ----------
    rng : random.Random
        The source of choice.
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
    """Gives each request the version that its route declares."""

    def choose(self, route: Route, request_key: str) -> Version | None:
        """See `VersionPolicy.choose`."""
        return route.version

    def observe(self, sample: RunSample) -> None:
        """Learn nothing."""


def _no_upstream_error(request: SlotRequest) -> RefusedError:
    return RefusedError(
        f"pool {request.pool.name!r} has no upstream for this request now",
        status=503,
        kind="server_error",
        code="no_upstream",
        retry_after_s=RETRY_AFTER_S,
        step="choose upstream",
        peer=request.pool.name,
    )
