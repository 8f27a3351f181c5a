"""What a router tells operators: its row in the members table and its report."""

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.ids import FailureDomain, Health, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.version.config_watch import ConfigStatus

__all__ = [
    "STATUS_PATH",
    "LeaseStatus",
    "MemberRow",
    "PeerStatus",
    "RouterStatus",
    "peer_statuses",
]

STATUS_PATH = "/-/status"
"""Where a router answers ``GET`` with its `RouterStatus`."""


class MemberRow(msgspec.Struct, frozen=True):
    """Content of a router's row in the members table.

    Parameters
    ----------
    member : Member
        The router.
    callers : Address
        Where it listens for callers.
    time : float
        When the row was written, in Unix seconds by the router's clock.
    """

    member: Member
    callers: Address
    time: float


class PeerStatus(msgspec.Struct, frozen=True):
    """What a router believes of another one."""

    router: RouterId
    vm: VmName
    failure_domain: FailureDomain
    health: Health


class LeaseStatus(msgspec.Struct, frozen=True):
    """A lease that a router holds."""

    name: str
    token: int


class RouterStatus(msgspec.Struct, frozen=True):
    """A router's report of itself.

    Parameters
    ----------
    router : RouterId
        The router.
    vm : VmName
        The VM that it runs on.
    failure_domain : FailureDomain
        Where the VM stands.
    release : str
        The version of the package that it runs.
    uptime_s : float
        For how long it has run, in seconds.
    config : ConfigStatus
        The configuration in force there.
    peers : tuple of PeerStatus
        The other routers that it sees.
    leases : tuple of LeaseStatus
        The leases that it holds.
    """

    router: RouterId
    vm: VmName
    failure_domain: FailureDomain
    release: str
    uptime_s: float
    config: ConfigStatus
    peers: tuple[PeerStatus, ...] = ()
    leases: tuple[LeaseStatus, ...] = ()


def peer_statuses(members: list[Member]) -> tuple[PeerStatus, ...]:
    """Return what a router's membership says, as it is reported."""
    return tuple(
        PeerStatus(m.router, m.vm, m.failure_domain, m.health) for m in members
    )
