"""Settings of a router that relays requests, already checked."""

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.ids import FailureDomain, VmName

__all__ = ["Bounds", "RelaySettings", "StoreSettings"]


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds that the operators set for all routers; times in seconds.

    Parameters
    ----------
    contact_s : float
        For how long a router must be undisturbed before other bounds hold.
    drain_s : float
        When a leaving replica must get no more requests.
    grace_s : float
        From SIGTERM to SIGKILL.
    config_apply_s : float
        When a new routing table must be in force.
    retry_ratio, retry_extra : float
        Repeats that are allowed in a window: a share of the requests, and a number.
    retry_window_s : float
        The length of that window.
    exposure_share, exposure_slack : float
        Requests that a bad version may get: a share of all, and a number.
    rollback_s : float
        When a version known to be bad must get no more requests.
    """

    contact_s: float
    drain_s: float
    grace_s: float
    config_apply_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    exposure_share: float
    exposure_slack: float
    rollback_s: float


class StoreSettings(msgspec.Struct, frozen=True):
    """Where the platform's store is and what it takes.

    Parameters
    ----------
    address : Address
        Where it listens.
    row_bytes : int
        The longest value of a row.
    """

    address: Address
    row_bytes: int


class RelaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one router.

    Parameters
    ----------
    vm : VmName
        The VM that it runs on.
    failure_domain : FailureDomain
        Where the VM stands.
    callers, ready, peer, metrics : Address
        Where it listens for callers, for questions whether it is ready, for other
        routers and for readers of metrics.
    seeds : tuple of Address
        Other routers that may run; asked while the store can't be reached.
    store : StoreSettings
        The platform's store.
    replica_heartbeat_s : float
        How often replicas report to the platform, in seconds.
    bounds : Bounds
        The operators' bounds.
    """

    vm: VmName
    failure_domain: FailureDomain
    callers: Address
    ready: Address
    peer: Address
    metrics: Address
    seeds: tuple[Address, ...]
    store: StoreSettings
    replica_heartbeat_s: float
    bounds: Bounds
