"""Joins the parts that pass calls through; the composition root calls it once."""

import random
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.platform import Platform
from boragedeck.connection.service import Services
from boragedeck.exceptions import RefusedError
from boragedeck.ids import PoolName, RouterId
from boragedeck.interfaces import Chooser, ConfigSource
from boragedeck.process.intent_log import IntentLog
from boragedeck.process.intent_settler import IntentSettler
from boragedeck.process.intent_writer import IntentWriter
from boragedeck.process.store_breaker import StoreBreaker
from boragedeck.process.timers import TimerService
from boragedeck.request import call_errors
from boragedeck.request.call import CallService
from boragedeck.request.calls import RetryBudget
from boragedeck.request.command import CommandRunner
from boragedeck.request.repeatable import RepeatableRunner

__all__ = ["CallParts", "PacedRetryBudget", "build_call_service"]

RETRIES_PER_S = 10.0
MAX_RETRIES = 20.0


class CallParts(msgspec.Struct, frozen=True):
    """What the rest of the process needs of these parts.

    Parameters
    ----------
    calls : CallService
        The entry point for the HTTP edge.
    settler : IntentSettler
        Holds outcomes that the store does not have yet; empty before a planned
        stop may end.
    breaker : StoreBreaker
        Tells whether the store serves writes.
    """

    calls: CallService
    settler: IntentSettler
    breaker: StoreBreaker


class PacedRetryBudget:
    """Budget of retries that only time earns.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self._balance = MAX_RETRIES
        self._at = timers.now()

    def succeeded(self, pool: PoolName) -> None:
        """Earn nothing."""

    def spend(self, pool: PoolName, attempt: int) -> Result[float, RefusedError]:
        """See `RetryBudget.spend`."""
        now = self._timers.now()
        earned = (now - self._at) * RETRIES_PER_S
        self._balance = min(MAX_RETRIES, self._balance + earned)
        self._at = now
        if self._balance < 1.0:
            return Err(call_errors.no_outcome(pool))
        self._balance -= 1.0
        return Ok(0.0)


def build_call_service(
    *,
    cfg: ConfigSource,
    platform: Platform,
    chooser: Chooser,
    services: Services,
    budget: RetryBudget,
    timers: TimerService,
    own: RouterId,
    routers: Callable[[], int] = lambda: 1,
    is_alive: Callable[[RouterId], bool] = lambda router: True,
    rng: random.Random | None = None,
) -> CallParts:
    """Return the joined parts.

    Parameters
    ----------
    cfg : ConfigSource
        The routes and pools in force.
    platform : Platform
        Where intents are kept.
    chooser : Chooser
        Chooses upstreams.
    services : Services
        Opens connections to them.
    budget : RetryBudget
        Bounds the retries of repeatable calls.
    timers : TimerService
        The source of time.
    own : RouterId
        This run of this router.
    routers : callable
        Returns how many routers share the store's budget.
    is_alive : callable
        Returns whether a router is not known to be gone.
    rng : random.Random, optional
        The source of jitter.
    """
    breaker = StoreBreaker(platform, timers, rng)
    writer = IntentWriter(platform, timers, breaker, routers)
    settler = IntentSettler(platform, writer, breaker, timers)
    log = IntentLog(platform, writer, settler, breaker, timers, own)
    commands = CommandRunner(log, breaker, chooser, services, timers, is_alive)
    repeatables = RepeatableRunner(chooser, services, budget, timers)
    calls = CallService(cfg, commands, repeatables, timers)
    return CallParts(calls, settler, breaker)
