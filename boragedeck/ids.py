"""Identifiers and states that several modules share."""

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
"""Identifies one run of a router process; a restarted router has a new id."""
UpstreamName = NewType("UpstreamName", str)
Version = NewType("Version", str)
VmName = NewType("VmName", str)


class ExecutionStatus(enum.Enum):
    """Whether a refused or failed request ran on an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Health(enum.Enum):
    """Health of an upstream or a peer in the view of one router."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"
