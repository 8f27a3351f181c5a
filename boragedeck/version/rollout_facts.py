"""Facts about rollouts that routers exchange with each other."""

from typing import Any

import msgspec

from boragedeck.connection.messages import Fact
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.version.evidence import Window
from boragedeck.version.rollout_row import RolloutRow

__all__ = [
    "KnownRow",
    "SeenWindow",
    "Stopped",
    "decode_fact",
    "row_fact_key",
    "stop_fact_key",
    "window_fact_key",
]

WINDOW_KEY_SLOTS = 4


class KnownRow(msgspec.Struct, frozen=True, tag="row"):
    """A committed row of a route.

    Parameters
    ----------
    row : RolloutRow
        The row.
    version : int
        The row version of the route's head in the store.
    """

    row: RolloutRow
    version: int


class SeenWindow(msgspec.Struct, frozen=True, tag="window"):
    """Evidence of one window.

    Parameters
    ----------
    route : str
        The route.
    window : Window
        Evidence that the router collected in the window.
    """

    route: str
    window: Window


class Stopped(msgspec.Struct, frozen=True, tag="stopped"):
    """A stop of an attempt by a router.

    Parameters
    ----------
    route : str
        The route.
    number : int
        Number of the attempt.
    at : float
        Time of the stop, in Unix seconds.
    reason : str
        The evidence for the stop.
    """

    route: str
    number: int
    at: float
    reason: str


def decode_fact(fact: Fact) -> Any:
    """Return the decoded content of a fact; None if it can't be decoded."""
    try:
        return msgspec.msgpack.decode(fact.body, type=KnownRow | SeenWindow | Stopped)
    except DECODE_ERRORS:
        return None


def row_fact_key(route: str) -> str:
    """Return the key of the fact that contains a route's row."""
    return f"row/{route}"


def stop_fact_key(route: str, number: int) -> str:
    """Return the key of the fact that reports a stop."""
    return f"{route}/{number}"


def window_fact_key(route: str, index: int) -> str:
    """Return the key of the fact with a window's evidence.

    The keys repeat after `WINDOW_KEY_SLOTS` windows, so that later windows replace
    earlier ones.
    """
    return f"window/{route}/{index % WINDOW_KEY_SLOTS}"
