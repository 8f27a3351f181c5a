"""What one router believes of the others, from statements, doubts and heartbeats."""

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
    """Another router, as far as it is known.

    Parameters
    ----------
    member : Member
        What it stated of itself.
    number : int
        The number of that statement; 0 where it comes from its row only.
    last_contact : float
        When it was last heard of, on the monotonic clock.
    suspect_since : float or None
        Since when nobody is known to reach it.
    is_unreached : bool
        Whether this router does not reach it, whatever others do.
    """

    member: Member
    number: int
    last_contact: float
    suspect_since: float | None = None
    is_unreached: bool = False

    @property
    def is_suspect(self) -> bool:
        """Whether it is suspect, by whatever evidence."""
        return self.is_unreached or self.suspect_since is not None


class MemberView:
    """The known routers; bounded in number, and the silent ones in age.

    Parameters
    ----------
    own : Member
        This router.
    timers : TimerService
        The source of time.

    Attributes
    ----------
    leaving_vms : set of VmName
        VMs that the platform has announced to stop.
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
        """Return what is known of a router; None for a dead or unknown one."""
        return self._known.get(router)

    def all(self) -> list[KnownRouter]:
        """Return all other routers that are not dead."""
        return list(self._known.values())

    def members(self) -> list[Member]:
        """Return the others with their health."""
        return [
            msgspec.structs.replace(known.member, health=self._health(known))
            for known in self._known.values()
        ]

    def lost_addresses(self) -> list[Address]:
        """Return addresses of routers that were lost and not replaced."""
        return list(self._lost_addresses)

    def state(self, member: Member, number: int) -> None:
        """Take a router's statement about itself, which lifts older suspicions."""
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
        """Take a router from its row, unless more is known of it."""
        if (
            member.router not in self._known
            and member.router not in self._ignored_until
        ):
            self.state(member, 0)

    def suspect(self, router: RouterId) -> None:
        """Note that nobody who was asked reaches a router."""
        known = self._known.get(router)
        if known is not None and known.suspect_since is None:
            known.suspect_since = self._timers.now()

    def unreached(self, router: RouterId) -> None:
        """Note that this router does not reach another; only `alive` lifts it."""
        known = self._known.get(router)
        if known is not None:
            known.is_unreached = True

    def merge_suspicion(self, router: RouterId, number: int) -> None:
        """Take another router's suspicion of what one stated."""
        self._suspicions[router] = max(number, self._suspicions.get(router, 0))
        known = self._known.get(router)
        if known is not None:
            self._apply_suspicion(known)

    def has_suspicion(self, router: RouterId, number: int) -> bool:
        """Return whether a suspicion of what a router stated has been heard."""
        return self._suspicions.get(router, -1) >= number

    def alive(self, router: RouterId) -> None:
        """Note that a router answered this one."""
        known = self._known.get(router)
        if known is not None:
            known.last_contact = self._timers.now()
            known.suspect_since = None
            known.is_unreached = False

    def remove(self, router: RouterId) -> None:
        """Drop a router; only a new statement of its own brings it back."""
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
        """Return other routers that claim a router's address."""
        return [
            known.member.router
            for known in self._known.values()
            if known.member.address == member.address
            and known.member.router != member.router
        ]

    def remove_dead(self, limit_s: float) -> list[Member]:
        """Drop the routers that have been silent too long, and return them.

        Parameters
        ----------
        limit_s : float
            How long a router stays without a statement or a heartbeat, in seconds.
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
        """Return the routers whose heartbeats this one watches.

        Notes
        -----
        They follow this router in the order of their hashes, so that each router
        is watched by some others, however many there are.
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
        """Return a bounded set of peers, which changes only with the members."""
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
