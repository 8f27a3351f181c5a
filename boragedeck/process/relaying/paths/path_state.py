"""How a router reaches a replica."""

import enum

__all__ = ["PathState"]


class PathState(enum.Enum):
    """How a replica is reached."""

    DIRECT = "direct"
    """On this router's own connections, as far as is known."""
    INDIRECT = "indirect"
    """Through other routers only."""
    LOST = "lost"
    """Neither this router nor those that it asked reach it."""
