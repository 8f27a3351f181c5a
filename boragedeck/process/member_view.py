"""What one router believes of the others, from statements, doubts and heartbeats."""

from collections import OrderedDict

import msgspec
import xxhash

from boragedeck.connection.peer import Address
from boragedeck.ids import Health, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.timers import TimerService

__all__ = ["Known", "MemberView"]

MAX_MEMBERS = 2048
DEAD_AFTER_S = 60.0
DEAD_AFTER_WITHOUT_VM_S = 10.0
FORGET_AFTER_S = 300.0
MAX_DEPARTED = 64
RING_PEERS = 3
MAX_RING_PEERS = 12
RANDOM_PEERS = 8


class Known(msgspec.Struct):
    """Another router, as far as it is known.

    Parameters
    ----------
    member : Member
        What it stated of itself.
    number : int
        The number of that statement; 0 where it comes from its row only.
    heard : float
        When it was last heard of, on the monotonic clock.
    suspect_since : float or None
        Since when nobody is known to reach it.
    is_unreached : bool
        Whether this router does not reach it, whatever others do.
    """

    member: Member
    number: int
    heard: float
    suspect_since: float | None = None
    is_unreached: bool = False

    @property
    def is_doubtful(self) -> bool:
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
    gone_vms : set of VmName
        VMs that are no longer in the platform's list.
    """

    def __init__(self, own: Member, timers: TimerService):
        self.leaving_vms: set[VmName] = set()
        self.gone_vms: set[VmName] = set()
        self._own = own
        self._timers = timers
        self._known: dict[RouterId, Known] = {}
        self._suspicions: dict[RouterId, int] = {}
        self._buried: OrderedDict[RouterId, float] = OrderedDict()
        self._departed: OrderedDict[Address, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of other routers that are not dead."""
        return len(self._known)

    def get(self, router: RouterId) -> Known | None:
        """Return what is known of a router; None for a dead or unknown one."""
        return self._known.get(router)

    def all(self) -> list[Known]:
        """Return all other routers that are not dead."""
        return list(self._known.values())

    def members(self) -> list[Member]:
        """Return the others with their health."""
        return [
            msgspec.structs.replace(known.member, health=self._health(known))
            for known in self._known.values()
        ]

    def departed(self) -> list[Address]:
        """Return addresses of routers that were lost and not replaced."""
        return list(self._departed)

    def state(self, member: Member, number: int) -> None:
        """Take a router's statement about itself, which lifts older suspicions."""
        if member.address == self._own.address:
            return
        known = self._known.get(member.router)
        if known is None:
            if len(self._known) >= MAX_MEMBERS:
                return
            known = self._known[member.router] = Known(member, number, 0.0)
            self._buried.pop(member.router, None)
            self._departed.pop(member.address, None)
            self._suspect_again(known)
        elif number <= known.number:
            return
        known.member, known.number = member, number
        known.heard = self._timers.now()
        if not self.is_suspected(member.router, number):
            known.suspect_since = None

    def hint(self, member: Member) -> None:
        """Take a router from its row, unless more is known of it."""
        if member.router not in self._known and member.router not in self._buried:
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

    def suspicion(self, router: RouterId, number: int) -> None:
        """Take another router's suspicion of what one stated."""
        self._suspicions[router] = max(number, self._suspicions.get(router, 0))
        known = self._known.get(router)
        if known is not None:
            self._suspect_again(known)

    def is_suspected(self, router: RouterId, number: int) -> bool:
        """Return whether a suspicion of what a router stated has been heard."""
        return self._suspicions.get(router, -1) >= number

    def alive(self, router: RouterId) -> None:
        """Note that a router answered this one."""
        known = self._known.get(router)
        if known is not None:
            known.heard = self._timers.now()
            known.suspect_since = None
            known.is_unreached = False

    def bury(self, router: RouterId) -> None:
        """Drop a router; only a new statement of its own brings it back."""
        known = self._known.pop(router, None)
        if known is None:
            return
        self._suspicions.pop(router, None)
        self._buried[router] = self._timers.now() + FORGET_AFTER_S
        address = known.member.address
        if not self.is_in_use(address):
            self._departed[address] = None
            self._departed.move_to_end(address)
        while len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)

    def is_in_use(self, address: Address) -> bool:
        """Return whether a known router listens at an address."""
        return any(known.member.address == address for known in self._known.values())

    def same_address(self, member: Member) -> list[RouterId]:
        """Return other routers that claim a router's address."""
        return [
            known.member.router
            for known in self._known.values()
            if known.member.address == member.address
            and known.member.router != member.router
        ]

    def bury_silent(self, limit_s: float) -> list[Member]:
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
            if self._is_dead(known, now) or known.heard + limit_s <= now
        ]
        for member in lost:
            self.bury(member.router)
        while self._buried and next(iter(self._buried.values())) <= now:
            self._buried.popitem(last=False)
        while len(self._buried) > MAX_MEMBERS:
            self._buried.popitem(last=False)
        self._suspicions = {
            router: number
            for router, number in self._suspicions.items()
            if router in self._known
        }
        return lost

    def ring(self) -> list[Known]:
        """Return the routers whose heartbeats this one watches.

        Notes
        -----
        They follow this router in the order of their hashes, so that each router
        is watched by some others, however many there are.
        """
        start = _place(self._own.router)
        order = sorted(
            self._known.values(),
            key=lambda known: (_place(known.member.router) - start) % (1 << 64),
        )
        chosen, healthy = [], 0
        for known in order[:MAX_RING_PEERS]:
            chosen.append(known)
            healthy += not known.is_doubtful
            if healthy == RING_PEERS:
                break
        return chosen

    def gossip_peers(self) -> list[Address]:
        """Return a bounded set of peers, which changes only with the members."""
        chosen = {known.member.address: None for known in self.ring()}
        healthy = [k for k in self._known.values() if not k.is_doubtful]
        healthy.sort(key=lambda k: _place(f"{self._own.router} {k.member.router}"))
        chosen |= {known.member.address: None for known in healthy[:RANDOM_PEERS]}
        return list(chosen)

    def _suspect_again(self, known: Known) -> None:
        if self.is_suspected(known.member.router, known.number):
            self.suspect(known.member.router)

    def _is_dead(self, known: Known, now: float) -> bool:
        if known.suspect_since is None:
            return False
        is_vm_gone = known.member.vm in self.gone_vms
        limit_s = DEAD_AFTER_WITHOUT_VM_S if is_vm_gone else DEAD_AFTER_S
        return known.suspect_since + limit_s <= now

    def _health(self, known: Known) -> Health:
        if known.is_doubtful:
            return Health.SUSPECT
        if known.member.vm in self.leaving_vms:
            return Health.LEAVING
        return known.member.health


def _place(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
