"""Stand-in for a model engine: continuous batching, prefix cache, orders, faults.

``PUT /_behaviour`` replaces the faults of a running engine (`standins.behaviour`).
"""

import random
from typing import Annotated

import eventlet
import msgspec
import typer

from boragedeck.process.timers import RealTimers, TimerService
from standins.batching import Batcher, Speed
from standins.behaviour import Behaviour
from standins.engine_app import EngineApp
from standins.orders import OrderHandler
from standins.prefix_cache import PrefixCache
from standins.web import listen, serve

__all__ = ["EngineSettings", "build", "main"]


class EngineSettings(msgspec.Struct, frozen=True):
    """Settings of an engine.

    Parameters
    ----------
    versions : tuple of str
        Model versions that are loaded at the start.
    speed : Speed
        Speed of the engine.
    cache_blocks : int
        Size of the prefix cache, in blocks of 16 tokens.
    load_s : float
        Duration of a load, in seconds.
    seed : int or None
        Seed of the random numbers.
    """

    versions: tuple[str, ...] = ("v1",)
    speed: Speed = Speed()
    cache_blocks: int = 20_000
    load_s: float = 1.0
    seed: int | None = None


def build(
    settings: EngineSettings, behaviour: Behaviour, timers: TimerService
) -> tuple[EngineApp, Batcher]:
    """Create an engine and its batcher, whose `serve` the caller has to run."""
    rng = random.Random(settings.seed)
    cache = PrefixCache(settings.cache_blocks, timers.now)
    batcher = Batcher(settings.speed, behaviour, cache, timers, rng)
    orders = OrderHandler(list(settings.versions), settings.load_s, behaviour, timers)
    return EngineApp(batcher, cache, orders, timers, rng), batcher


def main(
    port: int = 0,
    version: str = "v1",
    versions: Annotated[
        str, typer.Option(help="further versions, separated by commas")
    ] = "",
    token_interval_ms: float = 20.0,
    prefill_us_per_token: float = 50.0,
    max_batch: int = 64,
    cache_blocks: int = 20_000,
    load_s: float = 1.0,
    checks_fencing: Annotated[
        bool, typer.Option("--checks-fencing/--ignores-fencing")
    ] = True,
    ignore_aborts: Annotated[bool, typer.Option("--ignore-aborts")] = False,
    slowdown: float = 1.0,
    slow_above: int | None = None,
    fail_rate: float = 0.0,
    crash_on: str | None = None,
    crash_after_tokens: int = 0,
    seed: int | None = None,
) -> None:
    """Serve an engine on the loopback interface."""
    speed = Speed(token_interval_ms / 1e3, prefill_us_per_token / 1e6, max_batch)
    names = (version, *filter(None, versions.split(",")))
    settings = EngineSettings(names, speed, cache_blocks, load_s, seed)
    behaviour = Behaviour(
        slowdown=slowdown,
        slow_above=slow_above,
        fail_rate=fail_rate,
        crash_on=crash_on,
        crash_after_tokens=crash_after_tokens,
        ignore_aborts=ignore_aborts,
        checks_fencing=checks_fencing,
    )
    app, batcher = build(settings, behaviour, RealTimers())
    eventlet.spawn(batcher.serve)
    serve(app, listen(port), is_announced=True)


if __name__ == "__main__":
    typer.run(main)
