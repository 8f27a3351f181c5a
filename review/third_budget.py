"""The rule on requests that crash replicas, as its page writes it."""

from review.third_world import World

__all__ = ["CONTACT_S", "MOST_RETRIES", "late_retries"]

CONTACT_S = 3.0
MOST_RETRIES = 3
CRASHES_BEFORE = 3


def late_retries(world: World, body: bytes) -> list[str] | None:
    """Return the retries that reached replicas too late; None before three crashes.

    Parameters
    ----------
    world : World
        The deployment, whose routers have been left alone all the while.
    body : bytes
        The body of the request, which no other request has.

    Notes
    -----
    A retry counts once, by its id, and only if it was sent later than `CONTACT_S` after
    the third crash under the request. It was sent before it arrived, so the time of its
    arrival is checked with a margin of 0.2 s.
    """
    arrivals = sorted(
        (each for rep in world.replicas for each in rep.arrivals if each.body == body),
        key=lambda each: each.at,
    )
    crashes = [each.at for each in arrivals if each.crashed]
    if len(crashes) < CRASHES_BEFORE:
        return None
    since = crashes[CRASHES_BEFORE - 1] + CONTACT_S + 0.2
    return sorted({each.request_id for each in arrivals if each.at > since})
