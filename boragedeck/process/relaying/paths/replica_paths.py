"""Sends requests to replicas on own connections or through another router.

A router may lose its links to replicas which all others reach. It then sends its
requests through a gateway: another router, which passes them on. All decisions about a
request stay with the router that has the caller.
"""

from collections.abc import Callable, Iterable

import eventlet
from eventlet.event import Event

from boragedeck.connection.address import Address
from boragedeck.connection.exchange import Exchange
from boragedeck.connection.forwarding import ForwardOrder
from boragedeck.connection.http_message import Message
from boragedeck.connection.upstream_pool import ConnectOutcome, UpstreamPool
from boragedeck.exceptions import (
    UpstreamConnectTimeoutError,
    UpstreamRefusedError,
    UpstreamUnreachedError,
)
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.paths.gateway_sender import GatewaySender
from boragedeck.process.relaying.paths.gateways import Gateways
from boragedeck.process.relaying.paths.path_checks import (
    MAX_ADDRESSES,
    PROBE_TIMEOUT_S,
    RECENT_S,
    CheckResult,
    PathChecker,
)
from boragedeck.process.relaying.paths.path_state import PathState
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.timers import TimerService

__all__ = ["ReplicaPaths"]

TICK_S = 0.5
"""How often lost paths are checked."""
SILENCE_CHECK_INTERVAL_S = 0.5
"""Minimum time between two checks of one replica because it is silent."""
CHECK_WAIT_S = 0.1
"""How long a request that wasn't sent waits for the result of a check."""
DOUBTFUL_CONNECT_TIMEOUT_S = 0.1
"""How long a replica has to accept a connection while paths to others are lost."""

_log = PartLog("paths")


class ReplicaPaths:
    """The paths from this router to the replicas.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    upstreams : UpstreamPool
        This router's own connections to replicas.
    sender : GatewaySender
        Sends requests through gateways.
    checker : PathChecker
        Finds out which replicas are reached.
    gateways : Gateways
        Chooses the gateways.
    addresses : callable
        Returns the addresses of all known replicas.
    metrics : RelayMetrics
        Counts forwarded requests and lost paths.

    Attributes
    ----------
    on_reached : callable
        Called with an address when a replica is found to be reached on another path.
    """

    def __init__(
        self,
        timers: TimerService,
        upstreams: UpstreamPool,
        sender: GatewaySender,
        checker: PathChecker,
        gateways: Gateways,
        addresses: Callable[[], set[Address]],
        metrics: RelayMetrics,
    ):
        self._timers = timers
        self._upstreams = upstreams
        self._sender = sender
        self._checker = checker
        self._gateways = gateways
        self._addresses = addresses
        self._metrics = metrics
        # Paths that aren't direct.
        self._states: dict[Address, PathState] = {}
        self._checks: dict[Address, Event] = {}
        # Replicas to check once more, after the check that runs.
        self._again: set[Address] = set()
        self._silence_checked_at: dict[Address, float] = {}
        # Replicas to which a new connection timed out, so that open ones hang, too.
        self._hanging: set[Address] = set()
        self.on_reached: Callable[[Address], None] = lambda address: None
        timers.subscribe(TICK_S, self._check_lost)
        metrics.lost_paths.labels(PathState.INDIRECT.value).set_function(
            lambda: self._count(PathState.INDIRECT)
        )
        metrics.lost_paths.labels(PathState.LOST.value).set_function(
            lambda: self._count(PathState.LOST)
        )

    def send(
        self,
        address: Address,
        message: Message,
        connect_timeout_s: float,
        answer_timeout_s: float,
        check: Callable[[], None] = lambda: None,
    ) -> Exchange:
        """Send a request by the best known path.

        Parameters
        ----------
        address, message, connect_timeout_s, check
            See `UpstreamPool.send`.
        answer_timeout_s : float
            How long the caller waits for the answer, in seconds.

        Raises
        ------
        UpstreamRefusedError
            If no path reaches the replica, so that nothing was sent.
        UpstreamError
            If the replica may have received the request.
        """
        if not self.is_own_loss(address):
            if self._has_own_loss():
                connect_timeout_s = min(connect_timeout_s, DOUBTFUL_CONNECT_TIMEOUT_S)
            try:
                return self._upstreams.send(address, message, connect_timeout_s, check)
            except UpstreamRefusedError as exc:
                self._note_refused(address, exc)
                if not self.is_own_loss(address):
                    raise
        order = ForwardOrder(address, answer_timeout_s, message)
        try:
            return self._sender.send(order, connect_timeout_s, check)
        except UpstreamUnreachedError:
            self._set_state(address, PathState.LOST)
            raise

    def state_of(self, address: Address) -> PathState:
        """Return how a replica is reached."""
        return self._states.get(address, PathState.DIRECT)

    def is_own_loss(self, address: Address) -> bool:
        """Return whether this router can't reach a replica that others reach."""
        return self.state_of(address) is PathState.INDIRECT

    def accepts(self, address: Address) -> bool:
        """Return whether a replica accepts a connection of this router now."""
        outcome = self._upstreams.open_idle(address, PROBE_TIMEOUT_S)
        return outcome is ConnectOutcome.ACCEPTED

    def is_checking(self, address: Address) -> bool:
        """Return whether it is being found out how a replica is reached."""
        return address in self._checks

    def is_dead(self, exchange: Exchange) -> bool:
        """Return whether a silent exchange can't continue, though its replica may run.

        Notes
        -----
        If new connections are refused at once, open ones may live on.
        """
        address = exchange.address
        return (
            not exchange.is_forwarded
            and self.is_own_loss(address)
            and address in self._hanging
        )

    def are_lost(self, addresses: Iterable[Address]) -> bool:
        """Return whether no router that was asked reaches any of some replicas."""
        states = [self.state_of(address) for address in addresses]
        return bool(states) and all(state is PathState.LOST for state in states)

    def is_hanging(self, address: Address) -> bool:
        """Return whether the last connect to a replica timed out.

        Notes
        -----
        The replica may be lost, or may stand still with its host.
        """
        return address in self._hanging

    def note_silent(self, exchange: Exchange, since: float) -> None:
        """Check the path to a replica from which nothing has arrived for some time.

        Parameters
        ----------
        exchange : Exchange
            The exchange that waits.
        since : float
            Since when, on the timer service's monotonic clock.
        """
        address, now = exchange.address, self._timers.now()
        if exchange.is_forwarded or self._upstreams.heard_at(address) > since:
            return
        checked_at = self._silence_checked_at.get(address, float("-inf"))
        if now - checked_at >= SILENCE_CHECK_INTERVAL_S:
            self._silence_checked_at[address] = now
            self._start_check(address, frozenset())

    def check_again(self, address: Address) -> None:
        """Check whether a replica that others reached is still reached by them.

        Notes
        -----
        A check that runs already may rest on what was known before.
        """
        if address in self._checks:
            self._again.add(address)
        else:
            self._start_check(address, frozenset({address}))

    def is_lost(self, address: Address) -> bool:
        """Return whether no router that was asked reaches a replica."""
        return self.state_of(address) is PathState.LOST

    def _note_refused(self, address: Address, exc: UpstreamRefusedError) -> None:
        """Check the path to a replica that accepted no connection.

        Notes
        -----
        After a refusal, other routers mostly know at once whether they reach the
        replica, which is worth a short wait. After a time-out they may have to wait as
        long, and the request may better be sent to another replica, unless other paths
        are lost already, since then this one is being checked, too.
        """
        is_timeout = isinstance(exc, UpstreamConnectTimeoutError)
        self._note_hanging(address, is_hanging=is_timeout)
        if self.state_of(address) is PathState.LOST:
            return
        done = self._start_check(address, frozenset({address}))
        if not is_timeout or self._has_own_loss():
            self._timers.wait(done, CHECK_WAIT_S)

    def _note_hanging(self, address: Address, *, is_hanging: bool) -> None:
        if is_hanging:
            self._hanging.add(address)
        else:
            self._hanging.discard(address)

    def _start_check(self, address: Address, failed: frozenset[Address]) -> Event:
        """Check a path in a green thread of its own, if that isn't done already."""
        done = self._checks.get(address)
        if done is None:
            done = self._checks[address] = Event()
            eventlet.spawn_n(self._run_check, [address], failed, 0.0)
        return done

    def _run_check(
        self, addresses: list[Address], failed: frozenset[Address], max_age_s: float
    ) -> None:
        try:
            was_direct = all(
                self.state_of(each) is PathState.DIRECT for each in addresses
            )
            result = self._checker.check(addresses, failed, max_age_s=max_age_s)
            self._apply(addresses, result)
        finally:
            self._end_checks(addresses)
        self._check_others(addresses, was_direct=was_direct)

    def _end_checks(self, addresses: list[Address]) -> None:
        for address in addresses:
            self._checks.pop(address).send()
        again = self._again.intersection(addresses)
        self._again -= again
        for address in again:
            self._start_check(address, frozenset({address}))

    def _check_others(self, checked: list[Address], *, was_direct: bool) -> None:
        """Check the other paths, since a path is rarely lost or found again alone."""
        states = {self.state_of(each) for each in checked}
        if was_direct and len(checked) == 1 and PathState.INDIRECT in states:
            doubtful = PathState.DIRECT
        elif not was_direct and PathState.DIRECT in states:
            doubtful = PathState.INDIRECT
        else:
            return
        others = self._addresses().difference(checked)
        found = (each for each in others if self.state_of(each) is doubtful)
        self._start_checks(found, RECENT_S)

    def _check_lost(self) -> None:
        """Check the lost paths that have not been checked for the longest time."""
        self._forget_unknown()
        batch = [each for each in self._states if each not in self._checks]
        batch = batch[:MAX_ADDRESSES]
        for address in batch:
            self._states[address] = self._states.pop(address)
        lost = [each for each in batch if self.is_lost(each)]
        # Whoever heard a lost replica may have done so before it ended.
        self._start_checks(lost, 0.0)
        self._start_checks([each for each in batch if each not in lost], RECENT_S)

    def _forget_unknown(self) -> None:
        """Drop what is known of replicas that are gone."""
        known = self._addresses()
        for address in list(self._states):
            if address not in known:
                self._set_state(address, PathState.DIRECT)
        self._hanging &= known
        self._silence_checked_at = {
            address: at
            for address, at in self._silence_checked_at.items()
            if address in known
        }

    def _start_checks(self, addresses: Iterable[Address], max_age_s: float) -> None:
        unchecked = [each for each in addresses if each not in self._checks]
        for first in range(0, len(unchecked), MAX_ADDRESSES):
            batch = unchecked[first : first + MAX_ADDRESSES]
            for address in batch:
                self._checks[address] = Event()
            eventlet.spawn_n(self._run_check, batch, frozenset(), max_age_s)

    def _apply(self, addresses: Iterable[Address], result: CheckResult) -> None:
        for address in addresses:
            outcome = result.probes.get(address)
            if outcome is not None:
                is_hanging = outcome is ConnectOutcome.TIMED_OUT
                self._note_hanging(address, is_hanging=is_hanging)
            gateways = result.gateways.get(address, [])
            for gateway in gateways:
                self._gateways.note_reached(address, gateway)
            if outcome is ConnectOutcome.ACCEPTED:
                self._set_state(address, PathState.DIRECT)
            elif gateways:
                self._set_state(address, PathState.INDIRECT)
            elif address in result.not_reached:
                self._set_state(address, PathState.LOST)

    def _set_state(self, address: Address, state: PathState) -> None:
        before = self.state_of(address)
        if state is before:
            return
        if state is PathState.DIRECT:
            del self._states[address]
            self._hanging.discard(address)
            self._silence_checked_at.pop(address, None)
            self._gateways.forget(address)
        else:
            self._states[address] = state
            # What is idle may hang without a sign of it.
            self._upstreams.forget(address)
        _log.write(
            "Path changed.",
            address=str(address),
            state=state.value,
            before=before.value,
            is_hanging=address in self._hanging,
            lost=len(self._states),
        )
        if state is not PathState.LOST:
            self.on_reached(address)

    def _has_own_loss(self) -> bool:
        return PathState.INDIRECT in self._states.values()

    def _count(self, state: PathState) -> int:
        return sum(each is state for each in self._states.values())
