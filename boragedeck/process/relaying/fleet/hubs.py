"""Chooses the hubs: a few routers that read the store and sum up loads for all others.

Without hubs, the number of calls to the store and of messages between routers would
grow with the number of routers, although each router has few requests.
"""

import math
from collections.abc import Iterable

from boragedeck.ids import FailureDomain, Health
from boragedeck.interfaces import Member, Membership
from boragedeck.process.membership.rendezvous import rank
from boragedeck.process.timers import TimerService

__all__ = ["Hubs", "choose_hubs", "hubs_for", "needs_hubs"]

MIN_HUBS = 3
MIN_ROUTERS_FOR_HUBS = 12
"""In a smaller fleet each router reads the store and sends its loads to all others."""
CACHE_TTL_S = 0.25


def needs_hubs(routers: int) -> bool:
    """Return whether a fleet with this number of routers has hubs."""
    return routers >= MIN_ROUTERS_FOR_HUBS


def choose_hubs(all_members: Iterable[Member]) -> list[Member]:
    """Return the hubs; all routers choose the same ones.

    Parameters
    ----------
    all_members : iterable of Member
        All routers that are known to be alive.

    Returns
    -------
    list of Member
        One hub per failure domain, or several if there are fewer than `MIN_HUBS`
        domains.

    Notes
    -----
    VMs with more capacity are preferred: a hub sends each change of a table to all
    routers of its domain, and a slow link would delay its other answers.
    """
    by_domain: dict[FailureDomain, list[Member]] = {}
    for member in all_members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    hubs_per_domain = math.ceil(MIN_HUBS / max(1, len(by_domain)))
    return [
        hub
        for domain, members in sorted(by_domain.items())
        for hub in _by_capacity(domain, members)[:hubs_per_domain]
    ]


def hubs_for(own: Member, others: Iterable[Member]) -> list[Member]:
    """Return the hubs that serve a router, in the order in which it asks them.

    Parameters
    ----------
    own : Member
        The router.
    others : iterable of Member
        The other routers.

    Returns
    -------
    list of Member
        Hubs of its own failure domain come first. Empty if the router is a hub itself
        or the fleet is too small to have hubs.
    """
    hubs = _current_hubs(own, others)
    return [] if own in hubs else _by_preference(own, hubs)


class Hubs:
    """The hubs as this router sees them.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    membership : Membership
        All routers.

    Notes
    -----
    The choice is cached for `CACHE_TTL_S`, since ranking a large fleet is slow.
    """

    def __init__(self, timers: TimerService, membership: Membership):
        self._timers = timers
        self._membership = membership
        self._chosen_at = float("-inf")
        self._hubs: list[Member] = []
        self._serving_hubs: list[Member] = []
        self._peer_hubs: list[Member] = []

    def exist(self) -> bool:
        """Return whether the fleet has hubs."""
        self._refresh()
        return bool(self._hubs)

    def all_hubs(self) -> list[Member]:
        """Return all hubs; none if the fleet is too small to have hubs."""
        self._refresh()
        return self._hubs

    def is_hub(self) -> bool:
        """Return whether this router is a hub."""
        return self.exist() and not self._serving_hubs

    def serving_hubs(self) -> list[Member]:
        """Return the hubs that serve this router; none if it is a hub itself."""
        self._refresh()
        return self._serving_hubs

    def peer_hubs(self) -> list[Member]:
        """Return the other hubs; none if this router isn't a hub."""
        self._refresh()
        return self._peer_hubs

    def _refresh(self) -> None:
        now = self._timers.now()
        if now - self._chosen_at < CACHE_TTL_S:
            return
        self._chosen_at = now
        own = self._membership.own
        self._hubs = _current_hubs(own, self._membership.members())
        if own in self._hubs:
            self._serving_hubs = []
            self._peer_hubs = [hub for hub in self._hubs if hub != own]
        else:
            self._serving_hubs = _by_preference(own, self._hubs)
            self._peer_hubs = []


def _current_hubs(own: Member, others: Iterable[Member]) -> list[Member]:
    """Return the hubs of the fleet; none if too few routers are healthy."""
    healthy = [member for member in others if member.health is Health.HEALTHY]
    if not needs_hubs(len(healthy) + 1):
        return []
    is_leaving = own.health is not Health.HEALTHY
    return choose_hubs(healthy if is_leaving else [own, *healthy])


def _by_preference(own: Member, hubs: list[Member]) -> list[Member]:
    """Return hubs in the order in which a router asks them."""
    ranked = rank(own.router, hubs, _router_id)
    return sorted(
        ranked, key=lambda member: member.failure_domain != own.failure_domain
    )


def _by_capacity(domain: FailureDomain, members: list[Member]) -> list[Member]:
    ranked = rank(f"hub {domain}", members, _router_id)
    return sorted(ranked, key=lambda member: -member.capacity)


def _router_id(member: Member) -> str:
    return member.router
