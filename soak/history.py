"""What callers, replicas and the platform have seen in a play."""

import enum

import msgspec

__all__ = [
    "Call",
    "End",
    "History",
    "Impairment",
    "Run",
    "Table",
]

NEVER = float("inf")


class End(enum.Enum):
    """How a run ended, as its replica saw it."""

    WHOLE = "whole"
    REJECTED = "rejected"
    """The replica said that it didn't run the request."""
    BROKEN = "broken"
    """The replica broke off."""
    DROPPED = "dropped"
    """The connection was closed from the other side, perhaps before it began."""


class Call(msgspec.Struct):
    """A request as its caller saw it; times are monotonic seconds.

    Parameters
    ----------
    name : str
        Its id.
    router : int
        The router that it was sent to.
    route : str
        The name of the route that its path belongs to.
    path : str
        Its path.
    key : str
        Its API key.
    body : bytes
        Its body.
    deadline_s : float
        The caller's time limit.
    is_kept : bool
        Whether its connection had served before.
    sent, sent_whole, ended : float
        When the first and the last byte were sent, and the end was seen.
    last_sent : float
        When its last part was about to be sent.
    status : int
        The status of the answer; 0 if there is none.
    seal, echo : str
        The answer's receipt and request id.
    answer : bytes
        The answer's body as far as it arrived.
    is_complete : bool
        Whether the answer looks complete.
    has_left : bool
        Whether the caller closed the connection.
    detail : str
        The error that ended it.
    resumes : str
        The id of the request that it goes on after; empty if it is the first.
    after : int
        The last piece that its caller has, as it says; 0 if it says none.
    is_held : bool
        Whether its replica may hold it back for a stop's final answers.
    """

    name: str
    router: int
    route: str
    path: str
    key: str
    body: bytes
    deadline_s: float
    is_kept: bool
    sent: float
    sent_whole: float = NEVER
    last_sent: float = NEVER
    ended: float = NEVER
    status: int = 0
    seal: str = ""
    echo: str = ""
    answer: bytes = b""
    is_complete: bool = False
    has_left: bool = False
    detail: str = ""
    resumes: str = ""
    after: int = 0
    is_held: bool = False


class Run(msgspec.Struct):
    """A request as a replica saw it; times are monotonic seconds.

    Parameters
    ----------
    call : str
        The request's id.
    token : int
        The number of the run, which its seal and its answer hold.
    replica, service : str
        Who ran it.
    method, path : str
        The first line's.
    body : bytes
        The request's body.
    tenant : str
        The tenant that the router named.
    has_key : bool
        Whether the API key was passed on.
    after : int
        The last event that the router has.
    arrived, began, ended : float
        When the request was read, had a place, and was over.
    end : End or None
        How it ended; None if it is still at work.
    status : int
        The status of the answer.
    answer : bytes
        The whole body of a plain answer.
    """

    call: str
    token: int
    replica: str
    service: str
    method: str
    path: str
    body: bytes
    tenant: str
    has_key: bool
    after: int
    arrived: float
    began: float = NEVER
    ended: float = NEVER
    end: End | None = None
    status: int = 0
    answer: bytes = b""

    @property
    def broke_off(self) -> bool:
        """Whether the replica broke it off."""
        return self.end is End.BROKEN


class Table(msgspec.Struct, frozen=True):
    """A version of the operator's configuration.

    Parameters
    ----------
    acked : float
        When the store acknowledged it.
    services : dict of str to str
        The service of each route.
    tenants : dict of str to str
        The tenant of each API key.
    """

    acked: float
    services: dict[str, str]
    tenants: dict[str, str]


class Impairment(msgspec.Struct):
    """A time in which a router, the store or a replica was disturbed.

    Parameters
    ----------
    begin, end : float
        In monotonic seconds.
    what : str
        The row of the table of faults.
    """

    begin: float
    end: float = NEVER
    what: str = ""


class History(msgspec.Struct):
    """All that was seen in a play.

    Parameters
    ----------
    calls : dict of str to Call
        The requests by id.
    runs : list of Run
        The runs in the order in which they began.
    tables : list of Table
        The configurations, oldest first.
    stops : dict of int to list of Impairment
        From SIGTERM of each router until it was ready again.
    reloads : dict of int to list of float
        When each router got SIGHUP.
    routers : dict of int to list of Impairment
        When each router was killed, frozen, started or cut off from the store.
    store : list of Impairment
        When the store was disturbed.
    silences : dict of str to list of Impairment
        When each replica was silent.
    left : dict of str to float
        When the store acknowledged that a replica drains or is gone.
    """

    calls: dict[str, Call] = msgspec.field(default_factory=dict)
    runs: list[Run] = msgspec.field(default_factory=list)
    tables: list[Table] = msgspec.field(default_factory=list)
    stops: dict[int, list[Impairment]] = msgspec.field(default_factory=dict)
    reloads: dict[int, list[float]] = msgspec.field(default_factory=dict)
    routers: dict[int, list[Impairment]] = msgspec.field(default_factory=dict)
    store: list[Impairment] = msgspec.field(default_factory=list)
    silences: dict[str, list[Impairment]] = msgspec.field(default_factory=dict)
    left: dict[str, float] = msgspec.field(default_factory=dict)

    def runs_of(self, name: str) -> list[Run]:
        """Return the runs of a request that a replica began and didn't reject."""
        return [
            run
            for run in self.runs
            if run.call == name and run.began < NEVER and run.end is not End.REJECTED
        ]

    def has_arrived(self, name: str) -> bool:
        """Return whether a replica has read a request, whatever it did with it."""
        return any(run.call == name for run in self.runs)
