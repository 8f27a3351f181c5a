"""Measures the load of ten leases on the platform's table, by number of routers.

All routers run in one process on a manual clock; after 1,300 s to settle, calls are
counted for 1,200 s. The baseline is a lease manager without ranks, where each router
reads each lease as often as it is renewed.
"""

from boragedeck.patching import patch_all

patch_all()

import random

from boragedeck.connection.peer import Address
from boragedeck.ids import FailureDomain, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.leasing import lease_manager
from boragedeck.process.leasing.lease_manager import LeaseManager
from boragedeck.process.leasing.leases import LeaseTable
from boragedeck.process.timers import ManualTimers
from standins.memory import MemoryPlatform

LEASES = 10
SETTLE_S = 1300.0
COUNTED_S = 1200.0
ALL_RANKS = 10**6


class FixedMembership:
    """Membership of one router in a fleet that doesn't change."""

    def __init__(self, own: Member, all_members: list[Member]):
        self.own = own
        self._others = [member for member in all_members if member is not own]

    def members(self) -> list[Member]:
        """Return the other routers."""
        return self._others


def measure(routers: int, frequent_ranks: int) -> str:
    """Return the reads and writes per second of a fleet, as text."""
    lease_manager.FREQUENT_RANKS = frequent_ranks
    timers = ManualTimers()
    store = MemoryPlatform(sleep=timers.sleep)
    all_members = [
        Member(RouterId(f"r{n}"), VmName("v"), FailureDomain("f"), Address("", n))
        for n in range(routers)
    ]
    for number, own in enumerate(all_members):
        table = LeaseTable(store, timers, own.router)
        membership = FixedMembership(own, all_members)
        manager = LeaseManager(table, timers, membership, random.Random(number))
        for lease in range(LEASES):
            manager.maintain(f"lease-{lease}")
    timers.advance(SETTLE_S)
    store.calls.clear()
    timers.advance(COUNTED_S)
    reads = store.calls["get"] / COUNTED_S
    writes = store.calls["commit"] / COUNTED_S
    return f"{reads:6.2f} reads/s {writes:5.2f} writes/s"


def main() -> None:
    """Print a line for each number of routers."""
    frequent_ranks = lease_manager.FREQUENT_RANKS
    for routers in (9, 27, 100, 370):
        print(f"{routers:4} routers, ranked   {measure(routers, frequent_ranks)}")
    for routers in (9, 27):
        print(f"{routers:4} routers, unranked {measure(routers, ALL_RANKS)}")


if __name__ == "__main__":
    main()
