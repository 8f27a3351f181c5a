"""Gives calls of plain services the version that a rollout wants for them."""

import msgspec
from result import Result

from boragedeck.exceptions import RefusedError
from boragedeck.interfaces import (
    Chooser,
    Outcome,
    RunSample,
    Slot,
    SlotRequest,
    VersionPolicy,
)
from boragedeck.process.timers import TimerService
from boragedeck.version.tables import Upstream

__all__ = ["VersionedChooser"]


class VersionedChooser:
    """Chooses the version, then the upstream, and observes how each call ends.

    Parameters
    ----------
    chooser : Chooser
        Chooses the upstream.
    versions : VersionPolicy
        Chooses the version, whatever the request wanted.
    timers : TimerService
        Provides the time and timers.
    """

    def __init__(self, chooser: Chooser, versions: VersionPolicy, timers: TimerService):
        self._chooser = chooser
        self._versions = versions
        self._timers = timers

    def acquire(self, request: SlotRequest) -> Result[Slot, RefusedError]:
        """Wait for a place on an upstream; see `Chooser.acquire`."""
        # The fingerprint alone is the same for calls of the same content, and
        # empty for commands; a version's share is one of requests.
        request_key = f"{request.fingerprint}:{request.prefix_hash}"
        version = self._versions.choose(request.route, request_key)
        request = msgspec.structs.replace(request, version=version)
        acquired = self._chooser.acquire(request)
        return acquired.map(
            lambda slot: _ObservedSlot(slot, request, self._versions, self._timers)
        )


class _ObservedSlot:
    """A place whose use is observed."""

    def __init__(
        self,
        slot: Slot,
        request: SlotRequest,
        versions: VersionPolicy,
        timers: TimerService,
    ):
        self._slot = slot
        self._request = request
        self._versions = versions
        self._timers = timers
        self._started_at = timers.now()
        self._is_finished = False

    @property
    def upstream(self) -> Upstream:
        """The upstream that was chosen."""
        return self._slot.upstream

    def first_token(self) -> None:
        """Note that the first output has come."""
        self._slot.first_token()

    def tokens(self, count: int) -> None:
        """Note that further output has come."""
        self._slot.tokens(count)

    def finish(self, outcome: Outcome) -> None:
        """Give the place back and observe the call."""
        self._slot.finish(outcome)
        if self._is_finished:
            return
        self._is_finished = True
        elapsed_s = self._timers.now() - self._started_at
        is_completed = outcome is Outcome.COMPLETED
        self._versions.observe(
            RunSample(
                route=self._request.route.name,
                version=self.upstream.version,
                upstream=self.upstream.name,
                failure_domain=self.upstream.failure_domain,
                outcome=outcome,
                # A call has one response, so that its time is the time to it.
                first_token_s=elapsed_s if is_completed else None,
                gap_s=None,
                tokens=0,
                fingerprint=self._request.fingerprint,
                age_s=elapsed_s,
            )
        )
