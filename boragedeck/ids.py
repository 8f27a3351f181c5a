"""Identifiers and states that several parts share."""

import enum
from typing import NewType

__all__ = [
    "AnswerId",
    "FailureDomain",
    "Health",
    "OrganisationName",
    "PoolName",
    "ExecutionStatus",
    "Revision",
    "RouteName",
    "RouterId",
    "UpstreamName",
    "Version",
    "VmName",
]

AnswerId = NewType("AnswerId", str)
FailureDomain = NewType("FailureDomain", str)
OrganisationName = NewType("OrganisationName", str)
PoolName = NewType("PoolName", str)
Revision = NewType("Revision", int)
RouteName = NewType("RouteName", str)
RouterId = NewType("RouterId", str)
"""One run of a router process; a restarted router has a new one."""
UpstreamName = NewType("UpstreamName", str)
Version = NewType("Version", str)
VmName = NewType("VmName", str)


class ExecutionStatus(enum.Enum):
    """Whether a refused or failed request ran on an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Health(enum.Enum):
    """What a router believes of an upstream or a peer."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"
