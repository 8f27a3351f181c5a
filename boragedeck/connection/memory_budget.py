"""Decides which callers' bodies and answers a process holds at the same time.

The load that it handles: tens or hundreds of bodies that stop just short of their end,
and of answers that are read at a few KB a second. Each holds up to 4 MiB.

See Also
--------
boragedeck.connection.reservation : Waits for what is decided here.
"""

import enum
from collections import Counter, OrderedDict
from collections.abc import Callable

from boragedeck.ids import OrganisationName, PoolName

__all__ = ["Grant", "Holding", "MemoryBudget", "Phase", "Use"]

SMALL_BYTES = 128 * 1024
"""A request that holds no more than this is small."""
SMALL_SHARE = 1 / 6
"""Share of the budget that only small requests may use."""
BODY_SHARE = 1 / 2
"""Share of the rest that bodies may use, so that answers find room beside them."""
PARTY_SHARE = 7 / 8
"""Share of the bytes for large requests, and of those for bodies, that one address or
one organisation may use."""
SLOW_AFTER_S = 1.0
PROGRESS_BYTES = 64 * 1024
"""A caller that moves fewer bytes than this in `SLOW_AFTER_S` seconds counts as slow,
and its request may be ended for others."""
SUSPECT_SLOW_AFTER_S = 0.25
"""The same for a caller from an address at which one was ended lately."""
SUSPECT_TTL_S = 30.0
"""How long an address is suspect after a caller there was ended for being slow."""
MAX_SUSPECTS = 1_024
MIN_CUT_BYTES = 16 * 1024
"""A caller that holds less isn't cut, as that would free nothing worth it."""


class Use(enum.Enum):
    """What bytes are held for."""

    BODY = "body"
    """The body of a request, until the request ends."""
    ANSWER = "answer"
    """An answer that is read whole, until it is written."""
    UNSENT = "unsent"
    """A part of an answer whose write waits, and what may be read ahead of it."""
    AHEAD = "ahead"
    """Requests that were sent before the answer to the current one."""


class Phase(enum.Enum):
    """The step that a request is at."""

    RECEIVING = "receiving"
    """Its caller sends the body."""
    RUNNING = "running"
    """It is relayed."""
    SENDING = "sending"
    """Its caller reads the answer, and a write waits."""


class Grant(enum.Enum):
    """The answer to a request for bytes."""

    GRANTED = "granted"
    NO_ROOM = "no_room"
    """There is no room at present."""
    TOO_LARGE = "too_large"
    """A single request may never hold that much."""


class Holding:
    """What is held for one request.

    Parameters
    ----------
    address : str
        The caller's address.
    cut : callable
        Ends what its caller is slow at; called at most once.

    Attributes
    ----------
    organisation : OrganisationName or None
        The caller's organisation; None if it isn't known.
    pool : PoolName or None
        The pool whose replicas serve it; None if that isn't known.
    held : Counter of Use to int
        The bytes that it holds.
    phase : Phase
        What it waits for.
    since : float
        When the phase began, or its caller last had moved `PROGRESS_BYTES`, on the
        timer service's monotonic clock.
    moved : int
        Bytes that its caller has sent or read since then.
    is_cut, is_closed : bool
        Whether `cut` was called, and whether the request has ended.
    """

    def __init__(self, address: str, cut: Callable[[], None], now: float):
        self.address = address
        self.cut = cut
        self.organisation: OrganisationName | None = None
        self.pool: PoolName | None = None
        self.held: Counter[Use] = Counter()
        self.phase = Phase.RECEIVING
        self.since = now
        self.moved = 0
        self.is_cut = False
        self.is_closed = False

    @property
    def total(self) -> int:
        """The bytes that it holds."""
        return self.held.total()

    def enter(self, phase: Phase, now: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.since = now
        self.moved = 0

    def note_moved(self, count: int, now: float) -> None:
        """Record that its caller has sent or read bytes."""
        self.moved += count
        if self.moved >= PROGRESS_BYTES:
            self.since = now
            self.moved = 0

    def rate(self, now: float) -> float:
        """Return how much its caller has moved lately, in bytes per second."""
        return self.moved / max(now - self.since, SLOW_AFTER_S)

    def is_slow(self, now: float, after_s: float = SLOW_AFTER_S) -> bool:
        """Return whether it may be cut for others.

        Parameters
        ----------
        now : float
            The time on the timer service's monotonic clock.
        after_s : float, optional
            How long its caller hasn't moved `PROGRESS_BYTES`, in seconds.
        """
        return (
            self.phase is not Phase.RUNNING
            and not self.is_cut
            and now - self.since >= after_s
            and self.total >= MIN_CUT_BYTES
        )

    def parties(self) -> list[tuple[str, str]]:
        """Return the keys of its bytes: its address, and its organisation if known."""
        found = [("address", self.address)]
        if self.organisation is not None:
            found.append(("organisation", self.organisation))
        return found


class MemoryBudget:
    """The sum of the bytes that a process holds for its callers.

    Parameters
    ----------
    limit_bytes : int
        The largest sum.

    Attributes
    ----------
    held : Counter of Use to int
        The bytes that are held.
    limit_bytes : int
        The largest sum.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held: Counter[Use] = Counter()
        self._large_room = int(limit_bytes * (1.0 - SMALL_SHARE))
        self._body_room = int(self._large_room * BODY_SHARE)
        self._holdings: dict[Holding, None] = {}
        self._of_party: Counter[tuple[str, str]] = Counter()
        self._bodies_of_party: Counter[tuple[str, str]] = Counter()
        # When a caller of an address was last ended for being slow, oldest first.
        self._suspects: OrderedDict[str, float] = OrderedDict()

    @property
    def used(self) -> int:
        """The sum of the bytes that are held."""
        return self.held.total()

    def excess(self) -> int:
        """Return by how many bytes the sum is over its limit; less than 0 if under."""
        return self.used - self.limit_bytes

    def open(self, address: str, cut: Callable[[], None], now: float) -> Holding:
        """Return the empty holding of a new request."""
        holding = Holding(address, cut, now)
        self._holdings[holding] = None
        return holding

    def close(self, holding: Holding) -> None:
        """Give back all that a request holds; closing it twice has no effect."""
        if holding.is_closed:
            return
        for use, count in list(holding.held.items()):
            self.give_back(holding, use, count)
        holding.is_closed = True
        del self._holdings[holding]

    def name_organisation(self, holding: Holding, name: OrganisationName) -> None:
        """Count what a request holds to its organisation, too."""
        if holding.is_closed or holding.organisation is not None:
            return
        holding.organisation = name
        party = ("organisation", name)
        self._change(self._of_party, party, holding.total)
        self._change(self._bodies_of_party, party, holding.held[Use.BODY])

    def ask(self, holding: Holding, use: Use, count: int) -> Grant:
        """Reserve bytes for a request if there is room."""
        if holding.held[use] + count > self._largest(use):
            return Grant.TOO_LARGE
        if holding.is_closed or not self._has_room(holding, use, count):
            return Grant.NO_ROOM
        self.add(holding, use, count)
        return Grant.GRANTED

    def add(self, holding: Holding, use: Use, count: int) -> None:
        """Count bytes that exist already, whether there is room or not."""
        if not holding.is_closed:
            self._count(holding, use, count)

    def give_back(self, holding: Holding, use: Use, count: int) -> None:
        """Give bytes back that a request held."""
        if not holding.is_closed:
            self._count(holding, use, -min(count, holding.held[use]))

    def choose_cut(
        self, asker: Holding | None, count: int, now: float
    ) -> Holding | None:
        """Return the request to end so that there is room; None if there is none.

        Parameters
        ----------
        asker : Holding or None
            Whose bytes don't fit; None if the sum is over its limit.
        count : int
            How many bytes are missing.
        now : float
            The time on the timer service's monotonic clock.

        Notes
        -----
        What was cut before and hasn't ended yet counts as free. Somebody whose address
        holds less than the asker's isn't cut for it. Callers from suspect addresses are
        cut sooner for those from others.
        """
        if self._cut_bytes() >= count:
            return None
        slow = [
            each
            for each in self._holdings
            if each.is_slow(now, self._slow_after_s(each, asker, now))
        ]
        if asker is not None:
            slow = [each for each in slow if self._may_displace(asker, count, each)]
        return max(slow, key=lambda each: self._cut_rank(each, now), default=None)

    def slow_streams(self, now: float) -> dict[PoolName, list[Holding]]:
        """Return streams whose callers don't read, the longest slow first, by pool."""
        found: dict[PoolName, list[Holding]] = {}
        for each in sorted(self._holdings, key=lambda each: each.since):
            if each.pool is not None and each.held[Use.UNSENT] and each.is_slow(now):
                found.setdefault(each.pool, []).append(each)
        return found

    def note_cut(self, holding: Holding, now: float) -> None:
        """Record that a request is ended, as its caller is slow."""
        holding.is_cut = True
        self._suspects[holding.address] = now
        self._suspects.move_to_end(holding.address)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def is_suspect(self, holding: Holding, now: float) -> bool:
        """Return whether a caller at an address was ended lately for being slow."""
        cut_at = self._suspects.get(holding.address, float("-inf"))
        return now - cut_at < SUSPECT_TTL_S

    def has_cut(self) -> bool:
        """Return whether a request that was cut hasn't given its bytes back yet."""
        return self._cut_bytes() > 0

    def _slow_after_s(
        self, holding: Holding, asker: Holding | None, now: float
    ) -> float:
        """Return after how long a caller counts as slow, in seconds."""
        if asker is None or self.is_suspect(asker, now):
            return SLOW_AFTER_S
        is_suspect = self.is_suspect(holding, now)
        return SUSPECT_SLOW_AFTER_S if is_suspect else SLOW_AFTER_S

    def _cut_bytes(self) -> int:
        return sum(each.total for each in self._holdings if each.is_cut)

    def _may_displace(self, asker: Holding, count: int, other: Holding) -> bool:
        if other is asker:
            return False
        asked = self._of_party["address", asker.address] + count
        held = self._of_party["address", other.address]
        return other.address == asker.address or held >= asked

    def _cut_rank(self, holding: Holding, now: float) -> tuple[int, float]:
        return self._of_party["address", holding.address], -holding.rate(now)

    def _largest(self, use: Use) -> int:
        """Return how much a single request may hold at most."""
        room = self._body_room if use is Use.BODY else self._large_room
        return int(room * PARTY_SHARE)

    def _has_room(self, holding: Holding, use: Use, count: int) -> bool:
        if holding.total + count <= SMALL_BYTES:
            return self._used_beside_small() + count <= self.limit_bytes
        if self.used + count > self._large_room:
            return False
        largest = int(self._large_room * PARTY_SHARE)
        parties = holding.parties()
        if any(self._of_party[each] + count > largest for each in parties):
            return False
        if use is not Use.BODY:
            return True
        if self.held[Use.BODY] + count > self._body_room:
            return False
        largest = int(self._body_room * PARTY_SHARE)
        return all(self._bodies_of_party[each] + count <= largest for each in parties)

    def _used_beside_small(self) -> int:
        """Return the sum, without parts of streams that exceed the large room.

        Notes
        -----
        Small requests don't wait until the slow readers of these streams are cut.
        """
        unsent = self.held[Use.UNSENT]
        others = self.used - unsent
        return others + min(unsent, max(0, self._large_room - others))

    def _count(self, holding: Holding, use: Use, change: int) -> None:
        self._change(holding.held, use, change)
        self._change(self.held, use, change)
        for party in holding.parties():
            self._change(self._of_party, party, change)
            if use is Use.BODY:
                self._change(self._bodies_of_party, party, change)

    def _change(self, counts: Counter, key, change: int) -> None:
        """Change a count, and drop it at zero, so that no unused key is kept."""
        counts[key] += change
        if not counts[key]:
            del counts[key]
