"""Identifiers and states that several modules share."""

import enum
from typing import NewType

__all__ = [
    "AnswerId",
    "FailureDomain",
    "Health",
    "OrganisationName",
    "PoolName",
    "PromptPartId",
    "ExecutionStatus",
    "Revision",
    "RouteName",
    "RouterId",
    "UpstreamName",
    "Version",
    "VmName",
]

AnswerId = NewType("AnswerId", str)
"""The caller's idempotency key, or a generated id."""
FailureDomain = NewType("FailureDomain", str)
OrganisationName = NewType("OrganisationName", str)
PoolName = NewType("PoolName", str)
PromptPartId = NewType("PromptPartId", str)
"""Identifies a part of a prompt, such as a document that many requests quote."""
Revision = NewType("Revision", int)
"""Number of a configuration; each change has a higher one."""
RouteName = NewType("RouteName", str)
RouterId = NewType("RouterId", str)
"""Identifies one run of a router process; a restarted router has a new id."""
UpstreamName = NewType("UpstreamName", str)
Version = NewType("Version", str)
"""What an upstream serves: an engine's model, or the version of other software. It has
nothing to do with the version numbers of stored rows."""
VmName = NewType("VmName", str)


class ExecutionStatus(enum.Enum):
    """Whether a refused or failed request ran on an upstream."""

    NO = "no"
    """It certainly did not run, so that it may be sent again."""
    YES = "yes"
    """It ran, at least in part."""
    UNKNOWN = "unknown"
    """It may have run."""


class Health(enum.Enum):
    """Health of an upstream or a peer in the view of one router."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    """May have failed, or is tried again after a failure."""
    DEAD = "dead"
    """An upstream that broke off a run or was not reached."""
    LEAVING = "leaving"
    """A router that is about to stop, itself or with its VM."""
