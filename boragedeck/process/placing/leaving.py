"""Marks upstreams as leaving as soon as any source reports it."""

from collections import Counter

import msgspec
import urllib3

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.store import Vm, VmList
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.interfaces import FactBoard, Membership
from boragedeck.process.crashes.isolation import key_text
from boragedeck.process.membership.rendezvous import rank
from boragedeck.process.placing.upstreams import (
    UpstreamKey,
    UpstreamRegistry,
    UpstreamState,
)
from boragedeck.process.timers import TimerService

__all__ = ["LeavingFact", "LeavingUpstreamMonitor"]

READ_INTERVAL_S = 1.0
READER_COUNT = 3
FACT_TTL_S = 15.0
REPUBLISH_INTERVAL_S = 5.0


class LeavingFact(msgspec.Struct, frozen=True, array_like=True):
    """Body of a leaving fact.

    Parameters
    ----------
    vm : str
        Name of the VM that is leaving, or empty.
    address : str
        Its IP address if no other VM has the same one, or empty.
    upstream : str
        The upstream that reported that it is leaving, or empty.
    """

    vm: str = ""
    address: str = ""
    upstream: str = ""

    def applies_to(self, state: UpstreamState) -> bool:
        """Return whether this fact applies to an upstream."""
        if self.upstream:
            return self.upstream == key_text(state.key)
        if self.vm and self.vm == state.upstream.name:
            return True
        host = urllib3.util.parse_url(state.upstream.url).host
        return bool(self.address) and self.address == host


class LeavingUpstreamMonitor:
    """Marks leaving upstreams so that they are assigned no new work.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    board : FactBoard
        Shares the leaving facts between routers.
    membership : Membership
        The routers; some of them read the list of VMs.
    vm_list : VmList
        The platform's list of VMs.
    registry : UpstreamRegistry
        The upstreams to mark.

    Notes
    -----
    `READER_COUNT` routers read the list once a second, however large the fleet is;
    the others receive it as a fact. A pool's own `leaving` mark needs no fact, since
    all routers receive the configuration. State: the facts on the board.
    """

    def __init__(
        self,
        timers: TimerService,
        board: FactBoard,
        membership: Membership,
        vm_list: VmList,
        registry: UpstreamRegistry,
    ):
        self._timers = timers
        self._board = board
        self._membership = membership
        self._vm_list = vm_list
        self._registry = registry
        self._published_at: dict[str, float] = {}
        board.subscribe(FactTopic.LEAVING, lambda fact: self.mark_upstreams())
        timers.subscribe(READ_INTERVAL_S, self.refresh)

    def refresh(self) -> None:
        """Read the list of VMs if this router is a reader, and mark the upstreams."""
        if self._is_reader():
            vms = self._vm_list.vms()
            if vms.is_ok():
                self._publish_leaving_vms(vms.ok())
        self.mark_upstreams()

    def report_leaving_upstream(self, upstream: UpstreamKey) -> None:
        """Publish that an upstream has reported that it is leaving."""
        name = key_text(upstream)
        self._publish(f"upstream/{name}", LeavingFact(upstream=name))

    def mark_upstreams(self) -> None:
        """Mark the upstreams to which a fact applies; unmark all others."""
        facts = [_decode(fact) for fact in self._board.facts(FactTopic.LEAVING)]
        for state in self._registry.all():
            state.is_leaving = any(fact.applies_to(state) for fact in facts)

    def _is_reader(self) -> bool:
        own = self._membership.own
        members = [own, *self._membership.members()]
        readers = rank("vm-list", members, lambda member: member.router)[:READER_COUNT]
        return any(member.router == own.router for member in readers)

    def _publish_leaving_vms(self, vms: list[Vm]) -> None:
        address_counts = Counter(vm.address for vm in vms)
        for vm in vms:
            if vm.leaving:
                address = vm.address if address_counts[vm.address] == 1 else ""
                self._publish(f"vm/{vm.name}", LeavingFact(vm.name, address))

    def _publish(self, key: str, fact: LeavingFact) -> None:
        now = self._timers.now()
        self._published_at = {
            name: at
            for name, at in self._published_at.items()
            if now - at < REPUBLISH_INTERVAL_S
        }
        if key not in self._published_at:
            self._published_at[key] = now
            body = msgspec.msgpack.encode(fact)
            self._board.publish(FactTopic.LEAVING, key, body, ttl_s=FACT_TTL_S)


def _decode(fact: Fact) -> LeavingFact:
    try:
        return msgspec.msgpack.decode(fact.body, type=LeavingFact)
    except DECODE_ERRORS:
        return LeavingFact()
