"""Wires the components that forward calls; used once by the composition root."""

import random
from collections.abc import Callable

import msgspec
from prometheus_client import CollectorRegistry, Gauge

from boragedeck.connection.platform import Platform
from boragedeck.connection.service import Services
from boragedeck.ids import RouterId
from boragedeck.interfaces import Chooser, ConfigSource
from boragedeck.process.answering.intent_log import IntentLog
from boragedeck.process.answering.intent_settler import IntentSettler
from boragedeck.process.answering.intent_writer import IntentWriter
from boragedeck.process.store_breaker import StoreBreaker
from boragedeck.process.timers import TimerService
from boragedeck.request.call import CallService
from boragedeck.request.command import CommandRunner
from boragedeck.request.repeatable import RepeatableRunner

__all__ = ["CallComponents", "build_call_service", "register_call_metrics"]


class CallComponents(msgspec.Struct, frozen=True):
    """The call components that the rest of the process uses.

    Parameters
    ----------
    calls : CallService
        The entry point for the HTTP edge.
    settler : IntentSettler
        Holds outcomes that the store does not have yet; a planned stop waits until
        it is empty.
    breaker : StoreBreaker
        Reports whether the store accepts writes.
    """

    calls: CallService
    settler: IntentSettler
    breaker: StoreBreaker


def build_call_service(
    *,
    cfg: ConfigSource,
    platform: Platform,
    chooser: Chooser,
    services: Services,
    timers: TimerService,
    own: RouterId,
    routers: Callable[[], int] = lambda: 1,
    is_alive: Callable[[RouterId], bool] = lambda router: True,
    rng: random.Random | None = None,
    writer_type: type[IntentWriter] = IntentWriter,
) -> CallComponents:
    """Build the call service and its components.

    Parameters
    ----------
    cfg : ConfigSource
        The current routes and pools.
    platform : Platform
        Stores the intents.
    chooser : Chooser
        Chooses upstreams.
    services : Services
        Opens connections to the upstreams.
    timers : TimerService
        The source of time.
    own : RouterId
        The id of this router process.
    routers : callable
        Returns how many routers share the store's budget of transactions.
    is_alive : callable
        Returns whether a router is not known to have failed or left.
    rng : random.Random, optional
        The source of jitter.
    writer_type : type
        Writes the rows; measurements pass another one.
    """
    breaker = StoreBreaker(platform, timers, rng)
    writer = writer_type(platform, timers, breaker, routers)
    settler = IntentSettler(platform, writer, breaker, timers)
    log = IntentLog(platform, writer, settler, breaker, timers, own)
    commands = CommandRunner(log, breaker, chooser, services, timers, is_alive)
    repeatables = RepeatableRunner(chooser, services, timers)
    calls = CallService(cfg, commands, repeatables, timers)
    return CallComponents(calls, settler, breaker)


def register_call_metrics(registry: CollectorRegistry, parts: CallComponents) -> None:
    """Export the state of the call components to Prometheus.

    Parameters
    ----------
    registry : CollectorRegistry
        The registry of the gauges.
    parts : CallComponents
        The components, which are read at each scrape.
    """
    gauges = (
        ("commands_running", "Commands under way.", parts.calls.running),
        (
            "outcomes_unsettled",
            "Outcomes that the store does not have yet.",
            parts.settler.__len__,
        ),
        (
            "store_writable",
            "Whether commands can be recorded: 1, or 0 while the store is down.",
            lambda: float(parts.breaker.allows()),
        ),
    )
    for name, text, read in gauges:
        gauge = Gauge(f"boragedeck_{name}", text, registry=registry)
        gauge.set_function(read)
