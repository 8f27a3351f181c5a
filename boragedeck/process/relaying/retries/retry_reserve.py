"""Reserve of repeats that is kept by the hubs: the fixed part of the retry bound.

Handles hundreds of routers with one or two requests each in the window of the bound.
Divided by the number of routers, the fixed part is less than one repeat for each. So
routers whose requests are lost together could not repeat them, while the shares of all
other routers stayed unused.
"""

from collections.abc import Callable

from boragedeck.connection.messages import Message
from boragedeck.connection.peer import PeerLinks, PeerServer
from boragedeck.ids import PoolName
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.relaying.settings import Bounds
from boragedeck.process.relaying.sliding_window_counter import SlidingWindowCounter
from boragedeck.process.timers import TimerService

__all__ = ["RepeatGrant", "RetryReserve", "TakeRepeat"]

HUB_TIMEOUT_S = 0.05
"""How long a lost request waits for the answer of each hub."""
MAX_HUBS_ASKED = 2

_log = PartLog("retries")


class TakeRepeat(Message, frozen=True):
    """Requests one repeat from a hub; answered with `RepeatGrant`.

    Parameters
    ----------
    pool : PoolName
        The pool of the request.
    """

    pool: PoolName


class RepeatGrant(Message, frozen=True):
    """Grants or denies a repeat."""

    is_granted: bool


class RetryReserve:
    """Grants repeats from a hub's part of the reserve, or requests them from hubs.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    bounds : callable
        Returns the operators' bounds, which hold for all routers together.
    share : callable
        Returns the share of the bound that the hubs known to this router may use.
    hubs : Hubs
        The hubs.
    links : PeerLinks
        Links to the hubs.
    server : PeerServer
        Receives the requests of other routers.
    """

    def __init__(
        self,
        timers: TimerService,
        bounds: Callable[[], Bounds],
        share: Callable[[], float],
        hubs: Hubs,
        links: PeerLinks,
        server: PeerServer,
    ):
        self._bounds = bounds
        self._share = share
        self._hubs = hubs
        self._links = links
        self._granted = SlidingWindowCounter(timers)
        server.register(TakeRepeat, self._on_take)

    def is_in_use(self) -> bool:
        """Return whether the fleet has hubs, which hold the reserve."""
        return self._hubs.exist()

    def take(self, pool: PoolName) -> bool:
        """Take one repeat from the reserve; return False if none is left."""
        if self._hubs.is_hub():
            return self._grant(pool)
        return any(
            self._take_from_hub(hub.address, pool)
            for hub in self._hubs.serving_hubs()[:MAX_HUBS_ASKED]
        )

    def _take_from_hub(self, address, pool: PoolName) -> bool:
        link = self._links.link(address)
        answer = link.call(TakeRepeat(pool), RepeatGrant, timeout_s=HUB_TIMEOUT_S)
        if answer.is_err():
            _log.write("Hub failed.", peer=str(address), error=str(answer.err()))
            return False
        return answer.ok().is_granted

    def _on_take(self, req: TakeRepeat) -> RepeatGrant:
        return RepeatGrant(self._hubs.is_hub() and self._grant(req.pool))

    def _grant(self, pool: PoolName) -> bool:
        bounds = self._bounds()
        hubs = len(self._hubs.peer_hubs()) + 1
        granted = self._granted.count_within(pool, bounds.retry_window_s)
        if granted + 1 > self._share() * bounds.retry_extra / hubs:
            return False
        self._granted.note(pool)
        return True
