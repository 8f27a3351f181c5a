"""How often a router restates its soft state, by the number of routers."""

__all__ = ["publish_interval_s"]

SMALL_FLEET_ROUTERS = 10


def publish_interval_s(
    routers: int, min_interval_s: float, per_router_s: float
) -> float:
    """Return the interval between statements in seconds.

    Parameters
    ----------
    routers : int
        Routers that state the same kind of fact.
    min_interval_s : float
        The interval in a fleet of up to `SMALL_FLEET_ROUTERS` routers, in seconds.
    per_router_s : float
        What each further router adds, in seconds, so that what a router receives a
        second stays bounded.
    """
    return max(min_interval_s, per_router_s * (routers - SMALL_FLEET_ROUTERS))
