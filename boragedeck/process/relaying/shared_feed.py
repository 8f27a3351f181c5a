"""Reads the platform's tables through few routers of each failure domain.

The load this answers: calls to the store that grow with the number of routers, which
all read the same changes. In a small fleet each router reads the store itself.
"""

from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from boragedeck.connection.peer import Address, PeerLinks
from boragedeck.connection.store import ChangeFeed, Changes, Table
from boragedeck.exceptions import (
    PeerError,
    PeerRefusedError,
    StoreError,
)
from boragedeck.interfaces import Member
from boragedeck.process.logs import PartLog
from boragedeck.process.relaying.mirror_messages import FetchTable, TablePart
from boragedeck.process.rendezvous import rank
from boragedeck.process.timers import TimerService

__all__ = ["SharedFeed", "choose_reader"]

READERS = 2
"""Routers of a failure domain that read the store for the others."""
MIN_SHARING = 6
"""In a smaller failure domain all routers read the store."""
READER_WAIT_S = 1.0
"""How long a reader's call for changes waits, so that it finds a silent store soon."""
CURRENT_S = 1.7
"""A reader that heard nothing of the store for longer isn't relied on."""
PEER_WAIT_S = 1.0
PEER_SLACK_S = 0.3
OWN_S = 2.0
"""For so long a router reads the store itself after a reader has failed it."""

_log = PartLog("feed")


class SharedFeed:
    """Changes of tables, from the store or from a router that reads it.

    Parameters
    ----------
    store : ChangeFeed
        The platform's store.
    timers : TimerService
        The source of time.
    links : PeerLinks
        Links to the other routers.
    own : Member
        This router.
    members : callable
        Returns the other routers that live.
    """

    def __init__(
        self,
        store: ChangeFeed,
        timers: TimerService,
        links: PeerLinks,
        own: Member,
        members: Callable[[], Iterable[Member]],
    ):
        self._store = store
        self._timers = timers
        self._links = links
        self._own = own
        self._members = members
        self._answered: dict[Table, float] = {}
        self._own_until: dict[Table, float] = {}

    def snapshot(self, table: Table) -> Result[Changes, StoreError]:
        """Read a whole table from the store; see `ChangeFeed`."""
        return self._note(table, self._store.snapshot(table))

    def changes(
        self, table: Table, after: int, wait_s: float
    ) -> Result[Changes, StoreError]:
        """Wait for changes; see `ChangeFeed`."""
        beside = self._beside()
        reader = choose_reader(self._own, beside)
        now = self._timers.now()
        if reader is not None and self._own_until.get(table, 0.0) <= now:
            asked = self._ask(reader, table, after)
            if asked.is_ok():
                return asked
            self._own_until[table] = self._timers.now() + OWN_S
            _log.write(
                "Reader failed.",
                table=table.value,
                peer=reader.router,
                version=after,
                error=str(asked.err()),
            )
        if _is_shared(beside):
            wait_s = min(wait_s, READER_WAIT_S)
        return self._note(table, self._store.changes(table, after, wait_s))

    def is_current(self, table: Table) -> bool:
        """Whether the store itself told this router of a table lately."""
        answered = self._answered.get(table, float("-inf"))
        return self._timers.now() - answered <= CURRENT_S

    def _beside(self) -> list[Member]:
        domain = self._own.failure_domain
        members = self._members()
        return [member for member in members if member.failure_domain == domain]

    def _ask(
        self, reader: Member, table: Table, after: int
    ) -> Result[Changes, PeerError]:
        address: Address = reader.address
        answer = self._links.link(address).call(
            FetchTable(table, after, PEER_WAIT_S),
            TablePart,
            timeout_s=PEER_WAIT_S + PEER_SLACK_S,
        )
        match answer:
            case Ok(TablePart(changes=changes, is_current=True)):
                return Ok(changes or Changes((), after))
            case Ok():
                text = "it has not heard of the store lately"
                peer = str(address)
                return Err(PeerRefusedError(text, step="read a table", peer=peer))
            case _:
                return answer

    def _note(
        self, table: Table, result: Result[Changes, StoreError]
    ) -> Result[Changes, StoreError]:
        if result.is_ok():
            self._answered[table] = self._timers.now()
        return result


def choose_reader(own: Member, beside: list[Member]) -> Member | None:
    """Return the router that reads the store for this one; None for itself.

    Parameters
    ----------
    own : Member
        This router.
    beside : list of Member
        The other routers of its failure domain.
    """
    if not _is_shared(beside):
        return None
    everyone = rank("reader", [own, *beside], lambda member: member.router)
    readers = everyone[:READERS]
    if own in readers:
        return None
    return rank(own.router, readers, lambda member: member.router)[0]


def _is_shared(beside: list[Member]) -> bool:
    return len(beside) + 1 >= MIN_SHARING
