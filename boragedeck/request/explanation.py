"""What a router says of a request that is described to it, but not sent."""

import msgspec

__all__ = [
    "EXPLAIN_PATH",
    "CandidateView",
    "ExplainQuery",
    "Explanation",
    "RefusalView",
]

EXPLAIN_PATH = "/-/explain"
"""Where a router is asked, at its metrics address."""


class ExplainQuery(msgspec.Struct, frozen=True, kw_only=True):
    """A request without its body, as its caller would send it.

    Parameters
    ----------
    method, path : str
        The method, and the path with the query.
    host : str
        The host, which selects the route.
    key : str or None
        The caller's API key.
    headers : list of tuple of str
        Further headers, such as those that state tokens and time limits.
    """

    method: str
    path: str
    host: str = ""
    key: str | None = None
    headers: list[tuple[str, str]] = []


class RefusalView(msgspec.Struct, frozen=True):
    """The refusal that the request would get at once.

    Parameters
    ----------
    status : int
        The status.
    code, message : str
        The reason.
    retry_after_s : float or None
        `Retry-After` in seconds; None without one.
    """

    status: int
    code: str
    message: str
    retry_after_s: float | None = None


class CandidateView(msgspec.Struct, frozen=True, kw_only=True):
    """A replica of the pool, as the router knows it.

    Parameters
    ----------
    replica, address, failure_domain, version, stage, path : str
        Its entry, and how this router reaches it.
    excluded : str or None
        Why it can't be chosen now; None if it is compared by its cost.
    excluded_s : float or None
        How long that lasts at most, in seconds; None if that isn't known.
    cost : float or None
        Its cost; None if it isn't compared.
    speed : float
        Its speed; 1.0 if it isn't known.
    own_running, peers_running : int
        Requests of this router and of the others.
    tokens, unread_tokens : int
        Memory of all requests, and what is to be read of their prompts.
    failure_share : float
        Moving average of its failures.
    is_limited, is_brittle : bool
        Whether a request to it also needs a turn, or room, which is asked for when the
        request is sent.
    answered_s, missed_s : float or None
        How long ago it last answered this router, and was last missed, in seconds.
    """

    replica: str
    address: str
    failure_domain: str
    version: str
    stage: str
    path: str
    excluded: str | None
    excluded_s: float | None
    cost: float | None
    speed: float
    own_running: int
    peers_running: int
    tokens: int
    unread_tokens: int
    failure_share: float
    is_limited: bool
    is_brittle: bool
    answered_s: float | None
    missed_s: float | None


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request would go now, and why.

    Parameters
    ----------
    router : str
        The router that says so.
    table : int
        Version of the routing table.
    ages : dict of str to float or None
        Ages of the routing table and of the list of replicas, in seconds.
    route, kind, pool, organisation : str or None
        What the table says of the request; None if it is refused before.
    backends : dict of str to float
        The weights by which the pool was drawn.
    priority : int or None
        The priority; 0 is the most urgent.
    has_fresh_loads : bool or None
        Whether the known loads of the other routers are current.
    compared : int
        Number of replicas that one choice compares; a random sample in large fleets.
    waiting : int
        Number of requests that wait at this router.
    candidates : list of CandidateView
        The replicas of the pool, the cheapest first.
    choice : str or None
        The replica that the request would get in this draw.
    expected_wait_s : float or None
        How long it is expected to wait for a place, in seconds; None if it would get
        one at once or be refused.
    max_wait_s : float or None
        How long it may wait, in seconds.
    refusal : RefusalView or None
        The refusal that it would get at once.
    """

    router: str
    table: int
    ages: dict[str, float | None] = {}
    route: str | None = None
    kind: str | None = None
    organisation: str | None = None
    backends: dict[str, float] = {}
    pool: str | None = None
    priority: int | None = None
    has_fresh_loads: bool | None = None
    compared: int = 0
    waiting: int = 0
    candidates: list[CandidateView] = []
    choice: str | None = None
    expected_wait_s: float | None = None
    max_wait_s: float | None = None
    refusal: RefusalView | None = None
