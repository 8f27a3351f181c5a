"""Acquisition and renewal of leases, distributed over the routers by name."""

import random

from boragedeck.ids import Health
from boragedeck.interfaces import Membership
from boragedeck.process.leasing.leases import Lease, LeaseLostError, LeaseTable
from boragedeck.process.membership.rendezvous import rank
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import Subscription, TimerService

__all__ = ["LeaseManager"]

RENEWALS_PER_TERM = 3
"""Number of times per term that a holder renews a lease, and that the first-ranked
candidates read it."""
FREQUENT_RANKS = 3
"""Number of routers that read a lease as often as it is renewed."""
MAX_INTERVAL_S = 600.0
JITTER = 0.1

_log = PartLog("lease")


class LeaseManager:
    """Acquires and renews leases for this process.

    Parameters
    ----------
    table : LeaseTable
        Reads and writes the leases.
    timers : TimerService
        The source of time.
    membership : Membership
        The routers, which are ranked as candidates for each lease.
    rng : random.Random, optional
        The source of jitter.

    Notes
    -----
    All routers may try to acquire the same lease. The first `FREQUENT_RANKS` routers
    by rendezvous hash of its name read it three times per term; each further router
    half as often as the one before, but at least every `MAX_INTERVAL_S`. So the load
    on the store depends on the number of leases and hardly on that of routers.
    """

    def __init__(
        self,
        table: LeaseTable,
        timers: TimerService,
        membership: Membership,
        rng: random.Random | None = None,
    ):
        self._table = table
        self._timers = timers
        self._membership = membership
        self._rng = rng or random.Random()
        self._renew_interval_s = table.term_s / RENEWALS_PER_TERM
        self._subscriptions: dict[str, Subscription] = {}
        self._held_leases: dict[str, Lease] = {}

    def maintain(self, name: str) -> None:
        """Start acquiring a lease, and renew it while it is held."""
        if name not in self._subscriptions:
            subscription = self._subscriptions[name] = Subscription(
                lambda: self._acquire_or_renew(name)
            )
            first_s = 0.0 if self._rank(name) == 0 else self._interval_s(name)
            self._schedule(name, first_s, subscription)

    def stop_maintaining(self, name: str) -> None:
        """Stop acquiring a lease, and release it if it is held."""
        subscription = self._subscriptions.pop(name, None)
        if subscription is not None:
            subscription.cancel()
        self._table.forget(name)
        lease = self._held_leases.pop(name, None)
        if lease is not None:
            self._table.release(lease)

    def maintained_names(self) -> frozenset[str]:
        """Return the names of the leases that this process tries to hold."""
        return frozenset(self._subscriptions)

    def held(self, name: str, margin_s: float = 0.0) -> Lease | None:
        """Return a held lease if it is safe for some time, else None.

        Parameters
        ----------
        name : str
            The lease's name.
        margin_s : float
            How long the lease must stay safe, in seconds.
        """
        lease = self._held_leases.get(name)
        if lease is None or not lease.is_safe(margin_s):
            return None
        return lease

    def release_all(self) -> None:
        """Release all leases and stop acquiring them, before a planned stop."""
        for name in list(self._subscriptions):
            self.stop_maintaining(name)

    def _schedule(self, name: str, delay_s: float, subscription: Subscription) -> None:
        self._timers.call_later(delay_s, lambda: self._run(name, subscription))

    def _run(self, name: str, subscription: Subscription) -> None:
        if not subscription.cancelled:
            subscription.callback()
        if not subscription.cancelled:
            self._schedule(name, self._interval_s(name), subscription)

    def _acquire_or_renew(self, name: str) -> None:
        lease = self._held_leases.get(name)
        if lease is None:
            self._try_acquire(name)
        else:
            self._renew(name, lease)

    def _try_acquire(self, name: str) -> None:
        lease = self._table.acquire(name).unwrap_or(None)
        if lease is None:
            return
        if name not in self._subscriptions:
            self._table.release(lease)
            return
        self._held_leases[name] = lease
        _log.write("Acquired.", lease=name, token=lease.token)

    def _renew(self, name: str, lease: Lease) -> None:
        renewed = self._table.renew(lease)
        if lease.is_lost and self._held_leases.get(name) is lease:
            del self._held_leases[name]
        if isinstance(renewed.err(), LeaseLostError):
            _log.write("Lost.", lease=name, token=lease.token)

    def _interval_s(self, name: str) -> float:
        jitter_factor = 1.0 + self._rng.uniform(-JITTER, JITTER)
        if name in self._held_leases:
            return self._renew_interval_s * jitter_factor
        doublings = max(0, self._rank(name) - FREQUENT_RANKS + 1)
        return (
            min(self._renew_interval_s * 2.0 ** min(doublings, 32), MAX_INTERVAL_S)
            * jitter_factor
        )

    def _rank(self, name: str) -> int:
        healthy = [
            member.router
            for member in self._membership.members()
            if member.health is Health.HEALTHY
        ]
        own = self._membership.own.router
        return rank(name, [own, *healthy], str).index(own)
