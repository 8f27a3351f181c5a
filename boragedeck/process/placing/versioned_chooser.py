"""Assigns calls of plain services the version that a rollout selects."""

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
        Chooses the version, regardless of the version in the request.
    timers : TimerService
        Provides the time and timers.
    """

    def __init__(self, chooser: Chooser, versions: VersionPolicy, timers: TimerService):
        self._chooser = chooser
        self._versions = versions
        self._timers = timers

    def acquire(self, request: SlotRequest) -> Result[Slot, RefusedError]:
        """Wait for a slot on an upstream; see `Chooser.acquire`."""
        # The fingerprint alone is not enough: it is the same for calls with the same
        # content and empty for commands, but a version's share is a share of requests.
        request_key = f"{request.fingerprint}:{request.prefix_hash}"
        version = self._versions.choose(request.route, request_key)
        request = msgspec.structs.replace(request, version=version)
        acquired = self._chooser.acquire(request)
        return acquired.map(
            lambda slot: _ObservedSlot(slot, request, self._versions, self._timers)
        )


class _ObservedSlot:
    """A slot that reports the outcome of its run to the version policy."""

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
        """See `Slot.first_token`."""
        self._slot.first_token()

    def tokens(self, count: int) -> None:
        """See `Slot.tokens`."""
        self._slot.tokens(count)

    def finish(self, outcome: Outcome) -> None:
        """Release the slot and report the call to the version policy."""
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
                # A call has a single response, so its duration is the time to it.
                first_token_s=elapsed_s if is_completed else None,
                gap_s=None,
                tokens=0,
                fingerprint=self._request.fingerprint,
                age_s=elapsed_s,
            )
        )
