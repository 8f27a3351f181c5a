"""Replicas as published in the platform's list, and their notices to routers."""

import enum
from typing import NewType

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.ids import FailureDomain, PoolName, Version

__all__ = [
    "HoldOff",
    "RateLimit",
    "RejectionLimit",
    "Replica",
    "ReplicaId",
    "ReplicaNotice",
    "ReplicaStage",
]

ReplicaId = NewType("ReplicaId", str)
"""Identifies one run of a replica; a replica usually has a new one after a restart."""


class ReplicaStage(enum.Enum):
    """Whether a replica accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class HoldOff(msgspec.Struct, frozen=True):
    """A replica's request that a router send it nothing for some time.

    Parameters
    ----------
    asked_s : float or None
        The requested time, in seconds; None if it can't be parsed.
    text : str
        The text that the replica sent, for the log.
    """

    asked_s: float | None
    text: str


class RateLimit(msgspec.Struct, frozen=True):
    """A limit that a replica names on the requests of all routers together.

    Parameters
    ----------
    per_s : float or None
        Requests per second; None if the value can't be parsed.
    text : str
        The text that the replica sent, for the log.
    """

    per_s: float | None
    text: str


class RejectionLimit(msgspec.Struct, frozen=True):
    """How many rejections a second a brittle replica bears without falling over.

    Parameters
    ----------
    per_s : float or None
        Rejections per second, of requests of all routers together; None if the value
        can't be parsed.
    text : str
        The text that the replica sent, for the log.
    """

    per_s: float | None
    text: str


class ReplicaNotice(msgspec.Struct, frozen=True):
    """The status of a replica, sent in the head of an answer.

    Parameters
    ----------
    is_leaving : bool
        Whether the replica permanently accepts no further requests.
    hold_off : HoldOff or None
        Set if the replica asks this router to wait.
    rate_limit : RateLimit or None
        Set if the replica names a limit; the limit ends with the first answer that
        names none.
    rejection_limit : RejectionLimit or None
        Set if the replica is brittle; it is sound from the first answer without one.
    """

    is_leaving: bool = False
    hold_off: HoldOff | None = None
    rate_limit: RateLimit | None = None
    rejection_limit: RejectionLimit | None = None


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a replica.

    Parameters
    ----------
    replica : ReplicaId
        The ID of the run.
    pool : PoolName
        The pool to which the replica belongs.
    address : Address
        The address at which the replica accepts requests.
    failure_domain : FailureDomain
        The failure domain of the replica.
    version : Version
        The version of the replica's software.
    slots : int
        Maximum number of concurrent requests.
    stage : ReplicaStage
        Whether the replica accepts new requests.
    born_ms : int
        When this run started, in Unix milliseconds; 0 if unknown.
    """

    replica: ReplicaId
    pool: PoolName
    address: Address
    failure_domain: FailureDomain
    version: Version
    slots: int
    stage: ReplicaStage
    born_ms: int = 0
