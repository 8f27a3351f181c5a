"""How often a router restates its soft state, by the number of routers."""

__all__ = ["restate_interval_s"]

SMALL_FLEET = 10


def restate_interval_s(routers: int, shortest_s: float, per_router_s: float) -> float:
    """Return the interval between statements in seconds.

    Parameters
    ----------
    routers : int
        Routers that state the same kind of fact.
    shortest_s : float
        The interval in a fleet of up to `SMALL_FLEET` routers, in seconds.
    per_router_s : float
        What each further router adds, in seconds, so that what a router receives a
        second stays bounded.
    """
    return max(shortest_s, per_router_s * (routers - SMALL_FLEET))
