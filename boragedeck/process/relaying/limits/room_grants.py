"""Leases the places of brittle replicas, by one router for all routers together."""

from collections import OrderedDict

import eventlet
import msgspec
from result import Result

from boragedeck.connection.address import Address
from boragedeck.connection.messages import Accepted
from boragedeck.connection.peer import PeerLinks, PeerServer
from boragedeck.exceptions import PeerError, PeerRefusedError
from boragedeck.ids import RouterId
from boragedeck.interfaces import Member
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.limits.room_leases import NO_LEASE, RoomLeases
from boragedeck.process.relaying.limits.room_messages import (
    ReleaseRoom,
    RoomDecision,
    TakeRoom,
)
from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.process.timers import TimerService
from boragedeck.version.replicas import ReplicaId

__all__ = ["RoomGrants", "RoomLease", "room_task"]

OWNER_TIMEOUT_S = 0.1
"""How long a request waits for the owner's answer, beyond the wait for a place."""
MAX_WAIT_S = 1.0
"""The longest wait for a place at the owner."""
MAX_OWNERS_ASKED = 3
MAX_RUNS = 1_024
"""Maximum number of runs of replicas whose leases are kept."""

_log = PartLog("room")


class RoomLease(msgspec.Struct, frozen=True):
    """A granted place.

    Parameters
    ----------
    run : Run
        The run of the replica.
    number : int
        The number of the lease at its owner.
    """

    run: Run
    number: int


class RoomGrants:
    """Leases places as their owner, or asks the owner for them.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    owners : TaskOwners
        The owners of tasks.
    links : PeerLinks
        Links to the other routers.
    server : PeerServer
        Receives the questions of other routers.
    """

    def __init__(
        self,
        timers: TimerService,
        owners: TaskOwners,
        links: PeerLinks,
        server: PeerServer,
    ):
        self._timers = timers
        self._owners = owners
        self._links = links
        self._leases: OrderedDict[Run, RoomLeases] = OrderedDict()
        self._unable: set[RouterId] = set()
        server.register(TakeRoom, self._on_take)
        server.register(ReleaseRoom, self._on_release)

    def take(self, question: TakeRoom) -> RoomLease | None:
        """Lease a place; None if there is no room in time.

        Notes
        -----
        Without the owner there is no place: this router can't know what the others
        send.
        """
        wait_s = min(MAX_WAIT_S, max(0.0, question.max_wait_s))
        question = msgspec.structs.replace(question, max_wait_s=wait_s)
        for _ in range(MAX_OWNERS_ASKED):
            owner = self._owner_of(question.run)
            if owner.router == self._owners.own.router:
                return _lease(question.run, self._on_take(question).lease)
            answer = self._ask(owner, question)
            if answer.is_ok():
                return _lease(question.run, answer.ok().lease)
            if not isinstance(answer.err(), PeerRefusedError):
                return None
            # The build of this router grants no room to anybody.
            self._unable.add(owner.router)
        return None

    def _owner_of(self, run: Run) -> Member:
        return self._owners.owner_of(room_task(run.replica), self._unable)

    def _ask(
        self, owner: Member, question: TakeRoom
    ) -> Result[RoomDecision, PeerError]:
        asking = eventlet.spawn(self._call, owner, question)
        try:
            return asking.wait()
        except BaseException:
            # The request ends while the owner is asked, which may still grant a place.
            asking.link(self._return_unused, question.run)
            raise

    def _call(
        self, owner: Member, question: TakeRoom
    ) -> Result[RoomDecision, PeerError]:
        answer = self._links.link(owner.address).call(
            question, RoomDecision, timeout_s=question.max_wait_s + OWNER_TIMEOUT_S
        )
        if answer.is_err():
            _log.write(
                "Owner failed.",
                replica=question.run.replica,
                peer=owner.router,
                error=str(answer.err()),
            )
        return answer

    def _return_unused(
        self, asking: eventlet.greenthread.GreenThread, run: Run
    ) -> None:
        """Return the place that was granted to a request which has ended."""
        answer = asking.wait()
        lease = _lease(run, answer.ok().lease) if answer.is_ok() else None
        if lease is not None:
            self.release(lease, is_rejected=False)

    def release(self, lease: RoomLease, *, is_rejected: bool) -> None:
        """Return a place; `is_rejected` as in `ReleaseRoom`."""
        message = ReleaseRoom(lease.run, lease.number, is_rejected)
        owner = self._owner_of(lease.run)
        if owner.router == self._owners.own.router:
            self._on_release(message)
        else:
            # A lease that can't be returned ends with its time.
            eventlet.spawn_n(self._send_release, message, owner.address)

    def _send_release(self, message: ReleaseRoom, address: Address) -> None:
        link = self._links.link(address)
        answer = link.call(message, Accepted, timeout_s=OWNER_TIMEOUT_S)
        if answer.is_err():
            _log.write(
                "Lease not returned.",
                replica=message.run.replica,
                peer=str(address),
                error=str(answer.err()),
            )

    def _on_take(self, question: TakeRoom) -> RoomDecision:
        slots = max(1, int(question.slots * self._owners.reachable_share()))
        lease = self._leases_of(question.run).take(
            slots,
            question.rejections_per_s,
            question.max_wait_s,
            question.lease_s,
        )
        return RoomDecision(lease)

    def _on_release(self, message: ReleaseRoom) -> Accepted:
        leases = self._leases.get(message.run)
        if leases is not None:
            leases.release(message.lease, is_rejected=message.is_rejected)
        return Accepted()

    def _leases_of(self, run: Run) -> RoomLeases:
        leases = self._leases.get(run)
        if leases is None:
            leases = self._leases[run] = RoomLeases(self._timers)
        self._leases.move_to_end(run)
        if len(self._leases) > MAX_RUNS:
            self._leases.popitem(last=False)
        return leases


def room_task(replica: ReplicaId) -> str:
    """Return the name of the task of leasing the places of a replica."""
    return f"room {replica}"


def _lease(run: Run, number: int) -> RoomLease | None:
    return None if number == NO_LEASE else RoomLease(run, number)
