"""Settings of a router that relays requests, already checked."""

import msgspec

from boragedeck.connection.address import Address
from boragedeck.ids import FailureDomain, VmName

__all__ = ["Bounds", "RelaySettings"]


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds that the operators set for all routers; times in seconds.

    Parameters
    ----------
    contact_s : float
        How long a router must be undisturbed before the other bounds hold.
    grace_s : float
        From SIGTERM to SIGKILL.
    retry_ratio, retry_extra : float
        Repeats allowed in a window: a share of the requests, plus a fixed number.
    retry_window_s : float
        The length of that window.
    exposure_share, exposure_extra : float
        Requests that a bad version may get: a share of all requests, plus a fixed
        number.
    config_apply_s : float
        From the store's confirmation of a change until the change is in force.
    """

    contact_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    exposure_share: float
    exposure_extra: float = 0.0
    config_apply_s: float


class RelaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one router.

    Parameters
    ----------
    vm : VmName
        The VM that it runs on.
    failure_domain : FailureDomain
        The failure domain of the VM.
    callers, ready, peer, metrics : Address
        Addresses at which the router listens for callers, readiness checks, other
        routers and metrics scrapes. At the port after that of `peer` it accepts
        requests that other routers send through it.
    seeds : tuple of Address
        Other routers that may run; asked while the store can't be reached.
    store : Address
        The platform's store.
    bounds : Bounds
        The operators' bounds.
    heartbeat_s : float
        How often replicas renew their entries in the platform's list, in seconds.
    capacity : float
        The VM's capacity: its link in Mbit/s times its processor in cores.
    memory_mb : float or None
        The VM's memory, in MB; None if it isn't named.
    max_fds : int or None
        The descriptors that the process may open; None if they aren't named.
    """

    vm: VmName
    failure_domain: FailureDomain
    callers: Address
    ready: Address
    peer: Address
    metrics: Address
    seeds: tuple[Address, ...]
    store: Address
    bounds: Bounds
    heartbeat_s: float
    capacity: float = 1.0
    memory_mb: float | None = None
    max_fds: int | None = None
