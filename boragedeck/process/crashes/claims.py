"""Short-lived claims that keep suspects of a crash from running concurrently.

Each key has a coordinator, which grants claims on it for all routers: the first
reachable router by rendezvous hash. Claims are soft state. If the network is
partitioned, each side has its own coordinator.
"""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from boragedeck.connection.messages import Message
from boragedeck.connection.peer import PeerLinks, PeerServer
from boragedeck.ids import RouterId
from boragedeck.interfaces import Membership
from boragedeck.process.membership.rendezvous import rank
from boragedeck.process.timers import TimerService

__all__ = ["Claim", "ClaimAnswer", "ClaimTable", "ClaimClient", "Release"]

MAX_KEYS = 50_000
MAX_HOLDERS = 256
CALL_TIMEOUT_S = 0.1
MAX_COORDINATORS_TRIED = 2
MAX_UNPROVEN_UPSTREAMS = 2
PROVEN_TTL_S = 600.0
MAX_CRASHED_UPSTREAMS = 2
CRASH_TTL_S = 10.0
"""Within this time gossip spreads a crash to every router."""


class Claim(Message, frozen=True):
    """Requests a claim, or renews it.

    Parameters
    ----------
    key : str
        The key to claim.
    holder : str
        The claimant: a router, or one of its requests as ``"router/number"``. The
        same holder may claim a key again, and a router's requests share its claim.
    is_exclusive : bool
        Whether no other holder may have the key.
    ttl_s : float
        How long the claim is valid, in seconds.
    crashed : tuple of str
        Upstreams that crashed under the key, as far as the holder knows.
    upstream : str
        The upstream on which the holder is about to run; empty while it waits.
    """

    key: str
    holder: str
    is_exclusive: bool
    ttl_s: float
    crashed: tuple[str, ...] = ()
    upstream: str = ""


class ClaimAnswer(Message, frozen=True):
    """The answer to a `Claim` or `Release`.

    Parameters
    ----------
    is_granted : bool
        Whether the claim was granted.
    is_proven : bool
        Whether a run under the key was proven harmless in the last `PROVEN_TTL_S`.
    upstreams : tuple of str
        The only upstreams that the holder may choose from; empty for any.
    """

    is_granted: bool
    is_proven: bool = False
    upstreams: tuple[str, ...] = ()


class Release(Message, frozen=True):
    """Releases a claim.

    Parameters
    ----------
    key : str
        The claimed key.
    holder : str
        The holder of the claim.
    is_proven : bool
        Whether the holder's run showed that the key is harmless.
    """

    key: str
    holder: str
    is_proven: bool


class _Entry(msgspec.Struct):
    """The claims on one key.

    Parameters
    ----------
    holders : dict
        When each holder's claim expires, in monotonic seconds.
    places : dict
        The upstream on which each holder runs.
    crashed : dict
        When each upstream that crashed under the key stops counting.
    exclusive : str
        The holder of the exclusive claim; empty if there is none.
    proven_until : float
        Until when the key counts as harmless, in monotonic seconds.
    """

    holders: dict[str, float]
    places: dict[str, str]
    crashed: dict[str, float]
    exclusive: str = ""
    proven_until: float = float("-inf")


class ClaimTable:
    """The coordinator's table of claims.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    is_silent : callable
        Returns whether a router is suspected of having failed. An exclusive claim
        drops the claims of such a router, because a caller is waiting for the
        suspect request that ran there.

    Notes
    -----
    Until a run under a key has completed, its runs use at most
    `MAX_UNPROVEN_UPSTREAMS` upstreams, so that copies sent at the same time can't
    crash more than these. No claim is granted on a key under which
    `MAX_CRASHED_UPSTREAMS` upstreams crashed in the last `CRASH_TTL_S`: two routers
    that each know of one crash learn of the other's by gossip. State: at most
    `MAX_KEYS` keys with `MAX_HOLDERS` holders each, until each claim expires.
    """

    def __init__(
        self,
        timers: TimerService,
        is_silent: Callable[[RouterId], bool] = lambda router: False,
    ):
        self._timers = timers
        self._is_silent = is_silent
        self._entries: OrderedDict[str, _Entry] = OrderedDict()

    def claim(self, message: Claim) -> ClaimAnswer:
        """Grant or deny a claim; a crash that it reports counts in both cases."""
        now = self._timers.now()
        entry = self._current_entry(message.key, now)
        if message.is_exclusive:
            self._drop_silent_holders(entry, message.holder)
        other_holders = entry.holders.keys() - {message.holder, entry.exclusive}
        if message.crashed:
            entry.crashed.update(dict.fromkeys(message.crashed, now + CRASH_TTL_S))
            # A crash refutes an earlier proof that the key is harmless.
            entry.proven_until = now
        if self._is_denied(entry, message, len(other_holders), now):
            return ClaimAnswer(False)
        entry.holders[message.holder] = now + message.ttl_s
        if message.upstream:
            entry.places[message.holder] = message.upstream
        if message.is_exclusive:
            entry.exclusive = message.holder
        is_proven = now < entry.proven_until
        upstreams = tuple(sorted(set(entry.places.values())))
        is_unrestricted = is_proven or len(upstreams) < MAX_UNPROVEN_UPSTREAMS
        return ClaimAnswer(True, is_proven, () if is_unrestricted else upstreams)

    def release(self, message: Release) -> ClaimAnswer:
        """Release a claim."""
        now = self._timers.now()
        entry = self._current_entry(message.key, now)
        entry.holders.pop(message.holder, None)
        entry.places.pop(message.holder, None)
        if message.is_proven:
            entry.proven_until = now + PROVEN_TTL_S
            if entry.exclusive and _belongs_to_router(message.holder, entry.exclusive):
                entry.holders.pop(entry.exclusive, None)
        if entry.exclusive not in entry.holders:
            entry.exclusive = ""
        return ClaimAnswer(True)

    def _is_denied(
        self, entry: _Entry, message: Claim, other_holders: int, now: float
    ) -> bool:
        if len(entry.crashed) >= MAX_CRASHED_UPSTREAMS:
            return True
        if entry.exclusive and not _belongs_to_router(message.holder, entry.exclusive):
            return True
        if now < entry.proven_until:
            return other_holders >= MAX_HOLDERS
        if message.is_exclusive:
            return other_holders > 0
        used_upstreams = {
            entry.places[holder] for holder in entry.places.keys() - {message.holder}
        }
        adds_upstream = message.upstream and message.upstream not in used_upstreams
        return other_holders >= MAX_HOLDERS or (
            adds_upstream and len(used_upstreams) >= MAX_UNPROVEN_UPSTREAMS
        )

    def _drop_silent_holders(self, entry: _Entry, claimant: str) -> None:
        for holder in entry.holders.keys() - {claimant}:
            if self._is_silent(_holder_router(holder)):
                del entry.holders[holder]
                entry.places.pop(holder, None)
        if entry.exclusive not in entry.holders:
            entry.exclusive = ""

    def _current_entry(self, key: str, now: float) -> _Entry:
        entry = self._entries.setdefault(key, _Entry({}, {}, {}))
        self._entries.move_to_end(key)
        _drop_expired(entry.holders, now)
        _drop_expired(entry.crashed, now)
        for holder in entry.places.keys() - entry.holders.keys():
            del entry.places[holder]
        if entry.exclusive not in entry.holders:
            entry.exclusive = ""
        if len(self._entries) > MAX_KEYS:
            self._entries.popitem(last=False)
        return entry


class ClaimClient:
    """Sends claims to their coordinators.

    Parameters
    ----------
    membership : Membership
        The routers among which coordinators are chosen.
    links : PeerLinks
        Links to the other routers.
    table : ClaimTable
        The claims that this router coordinates.
    """

    def __init__(self, membership: Membership, links: PeerLinks, table: ClaimTable):
        self._membership = membership
        self._links = links
        self._table = table

    def register(self, server: PeerServer) -> None:
        """Register the coordinator's handlers for claims of other routers."""
        server.register(Claim, self._table.claim)
        server.register(Release, self._table.release)

    def claim(self, claim: Claim) -> ClaimAnswer:
        """Claim a key; if no coordinator is reachable, this router decides itself."""
        return self._send(claim)

    def release(self, key: str, holder: str, *, is_proven: bool) -> None:
        """Release a claim."""
        self._send(Release(key, holder, is_proven))

    def _send(self, message: Claim | Release) -> ClaimAnswer:
        own = self._membership.own
        members = [own, *self._membership.members()]
        coordinators = rank(message.key, members, lambda member: member.router)
        for coordinator in coordinators[:MAX_COORDINATORS_TRIED]:
            if coordinator.router == own.router:
                break
            link = self._links.link(coordinator.address)
            result = link.call(message, ClaimAnswer, timeout_s=CALL_TIMEOUT_S)
            if result.is_ok():
                return result.ok()
            self._membership.suspect(RouterId(coordinator.router))
        return self._handle_locally(message)

    def _handle_locally(self, message: Claim | Release) -> ClaimAnswer:
        match message:
            case Claim():
                return self._table.claim(message)
            case Release():
                return self._table.release(message)


def _holder_router(holder: str) -> RouterId:
    return RouterId(holder.partition("/")[0])


def _belongs_to_router(holder: str, router: str) -> bool:
    return holder == router or holder.startswith(f"{router}/")


def _drop_expired(expiry_times: dict[str, float], now: float) -> None:
    for name in [
        name for name, expiry_time in expiry_times.items() if expiry_time <= now
    ]:
        del expiry_times[name]
