"""One router's view of the others, from announcements, suspicions and heartbeats."""

from collections import OrderedDict

import msgspec
import xxhash

from boragedeck.connection.peer import Address
from boragedeck.ids import Health, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.timers import TimerService

__all__ = ["KnownRouter", "MemberView"]

MAX_MEMBERS = 2048
DEAD_AFTER_S = 60.0
DEAD_AFTER_WITHOUT_VM_S = 10.0
IGNORE_ROW_AFTER_REMOVAL_S = 300.0
MAX_LOST_ADDRESSES = 64
RING_PEERS = 3
MAX_RING_PEERS = 12
RANDOM_PEERS = 8


class KnownRouter(msgspec.Struct):
    """What is known of another router.

    Parameters
    ----------
    member : Member
        The router as it announced itself, or as its row describes it.
    number : int
        The number of that announcement; 0 if it is known only by its row.
    last_contact : float
        When it last answered or its announcement or row was merged, on the monotonic
        clock.
    suspect_since : float or None
        Since when no router is known to reach it.
    is_unreached : bool
        Whether this router cannot reach it, even if others can.
    """

    member: Member
    number: int
    last_contact: float
    suspect_since: float | None = None
    is_unreached: bool = False

    @property
    def is_suspect(self) -> bool:
        """Whether this router cannot reach it, or none is known to."""
        return self.is_unreached or self.suspect_since is not None


class MemberView:
    """The known routers, bounded in number; silent ones are removed after a time.

    Parameters
    ----------
    own : Member
        This router.
    timers : TimerService
        The source of time.

    Attributes
    ----------
    leaving_vms : set of VmName
        VMs that are about to stop, by the platform's announcement.
    removed_vms : set of VmName
        VMs that are no longer in the platform's list.
    """

    def __init__(self, own: Member, timers: TimerService):
        self.leaving_vms: set[VmName] = set()
        self.removed_vms: set[VmName] = set()
        self._own = own
        self._timers = timers
        self._known: dict[RouterId, KnownRouter] = {}
        self._suspicions: dict[RouterId, int] = {}
        self._ignored_until: OrderedDict[RouterId, float] = OrderedDict()
        self._lost_addresses: OrderedDict[Address, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of other routers that are not dead."""
        return len(self._known)

    def get(self, router: RouterId) -> KnownRouter | None:
        """Return what is known of a router, or None if it is dead or unknown."""
        return self._known.get(router)

    def all(self) -> list[KnownRouter]:
        """Return all other routers that are not dead."""
        return list(self._known.values())

    def members(self) -> list[Member]:
        """Return the other routers with their health."""
        return [
            msgspec.structs.replace(known.member, health=self._health(known))
            for known in self._known.values()
        ]

    def lost_addresses(self) -> list[Address]:
        """Return addresses of removed routers that no other router has taken over."""
        return list(self._lost_addresses)

    def state(self, member: Member, number: int) -> None:
        """Merge a router's announcement of itself, which clears older suspicions."""
        if member.address == self._own.address:
            return
        known = self._known.get(member.router)
        if known is None:
            if len(self._known) >= MAX_MEMBERS:
                return
            known = self._known[member.router] = KnownRouter(member, number, 0.0)
            self._ignored_until.pop(member.router, None)
            self._lost_addresses.pop(member.address, None)
            self._apply_suspicion(known)
        elif number <= known.number:
            return
        known.member, known.number = member, number
        known.last_contact = self._timers.now()
        if not self.has_suspicion(member.router, number):
            known.suspect_since = None

    def add_from_row(self, member: Member) -> None:
        """Add a router from its row unless it is known or was removed recently."""
        if (
            member.router not in self._known
            and member.router not in self._ignored_until
        ):
            self.state(member, 0)

    def suspect(self, router: RouterId) -> None:
        """Record that none of the routers that were asked reached a router."""
        known = self._known.get(router)
        if known is not None and known.suspect_since is None:
            known.suspect_since = self._timers.now()

    def unreached(self, router: RouterId) -> None:
        """Record that this router cannot reach another; only `alive` clears it."""
        known = self._known.get(router)
        if known is not None:
            known.is_unreached = True

    def merge_suspicion(self, router: RouterId, number: int) -> None:
        """Merge a suspicion that was published of a router's announcement."""
        self._suspicions[router] = max(number, self._suspicions.get(router, 0))
        known = self._known.get(router)
        if known is not None:
            self._apply_suspicion(known)

    def has_suspicion(self, router: RouterId, number: int) -> bool:
        """Return whether a suspicion of this announcement or a newer one is known."""
        return self._suspicions.get(router, -1) >= number

    def alive(self, router: RouterId) -> None:
        """Record that a router answered this one."""
        known = self._known.get(router)
        if known is not None:
            known.last_contact = self._timers.now()
            known.suspect_since = None
            known.is_unreached = False

    def remove(self, router: RouterId) -> None:
        """Remove a router; its row is then ignored for `IGNORE_ROW_AFTER_REMOVAL_S`.

        A new announcement of the router adds it again at any time.
        """
        known = self._known.pop(router, None)
        if known is None:
            return
        self._suspicions.pop(router, None)
        self._ignored_until[router] = self._timers.now() + IGNORE_ROW_AFTER_REMOVAL_S
        address = known.member.address
        if not self.is_in_use(address):
            self._lost_addresses[address] = None
            self._lost_addresses.move_to_end(address)
        while len(self._lost_addresses) > MAX_LOST_ADDRESSES:
            self._lost_addresses.popitem(last=False)

    def is_in_use(self, address: Address) -> bool:
        """Return whether a known router listens at an address."""
        return any(known.member.address == address for known in self._known.values())

    def routers_sharing_address(self, member: Member) -> list[RouterId]:
        """Return other known routers with the same address as a router."""
        return [
            known.member.router
            for known in self._known.values()
            if known.member.address == member.address
            and known.member.router != member.router
        ]

    def remove_dead(self, limit_s: float) -> list[Member]:
        """Remove routers that are dead or silent for too long, and return them.

        Parameters
        ----------
        limit_s : float
            How long a router is kept without announcement or heartbeat, in seconds.
        """
        now = self._timers.now()
        lost = [
            known.member
            for known in self._known.values()
            if self._is_dead(known, now) or known.last_contact + limit_s <= now
        ]
        for member in lost:
            self.remove(member.router)
        while self._ignored_until and next(iter(self._ignored_until.values())) <= now:
            self._ignored_until.popitem(last=False)
        while len(self._ignored_until) > MAX_MEMBERS:
            self._ignored_until.popitem(last=False)
        self._suspicions = {
            router: number
            for router, number in self._suspicions.items()
            if router in self._known
        }
        return lost

    def ring_successors(self) -> list[KnownRouter]:
        """Return the routers that this one checks by heartbeats.

        Notes
        -----
        They are this router's successors in the order of the routers' hashes, so
        that each router is checked by a few others, whatever the size of the fleet.
        """
        start = _ring_position(self._own.router)
        order = sorted(
            self._known.values(),
            key=lambda known: (_ring_position(known.member.router) - start) % (1 << 64),
        )
        chosen, healthy = [], 0
        for known in order[:MAX_RING_PEERS]:
            chosen.append(known)
            healthy += not known.is_suspect
            if healthy == RING_PEERS:
                break
        return chosen

    def gossip_peers(self) -> list[Address]:
        """Return a bounded set of gossip peers, which changes only with the members."""
        chosen = {known.member.address: None for known in self.ring_successors()}
        healthy = [k for k in self._known.values() if not k.is_suspect]
        healthy.sort(
            key=lambda k: _ring_position(f"{self._own.router} {k.member.router}")
        )
        chosen |= {known.member.address: None for known in healthy[:RANDOM_PEERS]}
        return list(chosen)

    def _apply_suspicion(self, known: KnownRouter) -> None:
        if self.has_suspicion(known.member.router, known.number):
            self.suspect(known.member.router)

    def _is_dead(self, known: KnownRouter, now: float) -> bool:
        if known.suspect_since is None:
            return False
        is_vm_removed = known.member.vm in self.removed_vms
        limit_s = DEAD_AFTER_WITHOUT_VM_S if is_vm_removed else DEAD_AFTER_S
        return known.suspect_since + limit_s <= now

    def _health(self, known: KnownRouter) -> Health:
        if known.is_suspect:
            return Health.SUSPECT
        if known.member.vm in self.leaving_vms:
            return Health.LEAVING
        return known.member.health


def _ring_position(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
