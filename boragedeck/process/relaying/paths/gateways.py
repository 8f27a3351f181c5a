"""Chooses the routers through which requests are sent to unreached replicas."""

import random
from collections.abc import Callable

from boragedeck.connection.address import Address
from boragedeck.ids import Health, RouterId
from boragedeck.interfaces import Member, Membership
from boragedeck.process.timers import TimerService

__all__ = ["Gateways"]

REPORT_TTL_S = 2.0
"""How long a router counts as one that reaches a replica after it said so."""
AVOID_S = 1.0
"""How long a router is avoided that couldn't forward a request."""


class Gateways:
    """The other routers as gateways to replicas.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    rng : random.Random
        Spreads the requests over the gateways.
    membership : Membership
        The other routers.
    address_of : callable
        Returns the address at which a router accepts requests to forward.
    """

    def __init__(
        self,
        timers: TimerService,
        rng: random.Random,
        membership: Membership,
        address_of: Callable[[Member], Address],
    ):
        self._timers = timers
        self._rng = rng
        self._membership = membership
        self._address_of = address_of
        self._reached_at: dict[Address, dict[RouterId, float]] = {}
        self._avoid_until: dict[RouterId, float] = {}

    def address_of(self, gateway: Member) -> Address:
        """Return the address at which a router accepts requests to forward."""
        return self._address_of(gateway)

    def candidates(self, replica: Address) -> list[Member]:
        """Return the gateways to a replica in the order in which to try them.

        Notes
        -----
        Routers that lately said that they reach the replica come first, in random
        order. Those that failed lately come last.
        """
        now = self._timers.now()
        reports = self._reached_at.get(replica, {})
        members = [
            member
            for member in self._membership.members()
            if member.health is Health.HEALTHY
        ]
        self._rng.shuffle(members)
        members.sort(
            key=lambda member: (
                self._avoid_until.get(member.router, 0.0) > now,
                now - reports.get(member.router, float("-inf")) > REPORT_TTL_S,
            )
        )
        return members

    def note_reached(self, replica: Address, gateway: Member) -> None:
        """Record that a router reaches a replica."""
        self._reached_at.setdefault(replica, {})[gateway.router] = self._timers.now()
        self._avoid_until.pop(gateway.router, None)

    def note_failed(self, gateway: Member) -> None:
        """Record that a router couldn't be reached, or couldn't forward a request."""
        now = self._timers.now()
        self._avoid_until = {
            router: until for router, until in self._avoid_until.items() if until > now
        }
        self._avoid_until[gateway.router] = now + AVOID_S

    def forget(self, replica: Address) -> None:
        """Drop what is known about a replica, which is reached directly again."""
        self._reached_at.pop(replica, None)
