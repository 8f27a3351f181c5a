"""Replicas as they state themselves in the platform's list."""

import enum
from typing import NewType

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.ids import FailureDomain, PoolName, Version

__all__ = ["HoldOff", "Replica", "ReplicaId", "ReplicaNotice", "ReplicaStage"]

ReplicaId = NewType("ReplicaId", str)
"""One run of a replica; a replica that starts again mostly has a new one."""


class ReplicaStage(enum.Enum):
    """Whether a replica takes new requests."""

    READY = "ready"
    DRAINING = "draining"


class HoldOff(msgspec.Struct, frozen=True):
    """A replica's wish that nothing be sent to it for a while.

    Parameters
    ----------
    asked_s : float or None
        For how long, in seconds; None where that can't be read.
    text : str
        What it sent, for the log.
    """

    asked_s: float | None
    text: str


class ReplicaNotice(msgspec.Struct, frozen=True):
    """What a replica says of itself beside an answer.

    Parameters
    ----------
    is_leaving : bool
        Whether it takes no further requests, for good.
    hold_off : HoldOff or None
        Set where it asks this router to wait.
    """

    is_leaving: bool = False
    hold_off: HoldOff | None = None


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """One run of a replica.

    Parameters
    ----------
    replica : ReplicaId
        Its id.
    pool : PoolName
        The pool that it serves.
    address : Address
        Where it takes requests.
    failure_domain : FailureDomain
        Where it stands.
    version : Version
        The version of its software.
    slots : int
        Requests that it runs at a time.
    stage : ReplicaStage
        Whether it takes new requests.
    born_ms : int
        When this run started, in Unix milliseconds; 0 where not stated.
    """

    replica: ReplicaId
    pool: PoolName
    address: Address
    failure_domain: FailureDomain
    version: Version
    slots: int
    stage: ReplicaStage
    born_ms: int = 0
