"""Interval at which a router publishes its soft state."""

__all__ = ["publish_interval_s"]

SMALL_FLEET_ROUTERS = 10


def publish_interval_s(
    routers: int, min_interval_s: float, per_router_s: float
) -> float:
    """Return the interval between publications, in seconds.

    Parameters
    ----------
    routers : int
        Number of routers that publish the same kind of fact.
    min_interval_s : float
        The interval in a fleet of up to `SMALL_FLEET_ROUTERS` routers, in seconds.
    per_router_s : float
        Increase for each further router, in seconds, which bounds the number of facts
        that a router receives per second.
    """
    return max(min_interval_s, per_router_s * (routers - SMALL_FLEET_ROUTERS))
