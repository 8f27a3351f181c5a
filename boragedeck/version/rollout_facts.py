"""Facts about rollouts that routers spread among themselves."""

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

WINDOW_SLOTS = 4


class KnownRow(msgspec.Struct, frozen=True, tag="row"):
    """A committed row of a route.

    Parameters
    ----------
    row : RolloutRow
        The row.
    version : int
        The version of the route's head in the store.
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
        What the router saw.
    """

    route: str
    window: Window


class Stopped(msgspec.Struct, frozen=True, tag="stopped"):
    """A router has stopped an attempt.

    Parameters
    ----------
    route : str
        The route.
    number : int
        The attempt.
    at : float
        When, in Unix seconds.
    reason : str
        What the evidence showed.
    """

    route: str
    number: int
    at: float
    reason: str


def decode_fact(fact: Fact) -> Any:
    """Return the content of a fact; None where it can't be read."""
    try:
        return msgspec.msgpack.decode(fact.body, type=KnownRow | SeenWindow | Stopped)
    except DECODE_ERRORS:
        return None


def row_fact_key(route: str) -> str:
    """Return the key of the fact that states a route's row."""
    return f"row/{route}"


def stop_fact_key(route: str, number: int) -> str:
    """Return the key of the fact that states a stop."""
    return f"{route}/{number}"


def window_fact_key(route: str, index: int) -> str:
    """Return the key of the fact with a window's evidence; keys are used again."""
    return f"window/{route}/{index % WINDOW_SLOTS}"
