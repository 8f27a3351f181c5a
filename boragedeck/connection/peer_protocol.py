"""Versions of the protocol that routers of different builds speak with each other.

A router that opens a link greets with the newest version that it speaks; both sides use
the lower one. Builds from before the greeting refuse it, as any message that they don't
know.
"""

import enum
from typing import Protocol

from boragedeck.connection.address import Address
from boragedeck.connection.messages import Message

__all__ = [
    "OWN_PROTOCOL",
    "Greeting",
    "PeerDialect",
    "PeerProtocol",
    "agreed_protocol",
]

MAX_BUILD_CHARS = 40


class PeerProtocol(enum.IntEnum):
    """A version of the protocol; a later one has a higher number."""

    UNNAMED = 1
    """Spoken by builds that don't greet. Versions of rows may lack the store's era."""
    NAMED = 2
    """Versions of rows hold the store's era, and all topics of facts are known."""


OWN_PROTOCOL = PeerProtocol.NAMED
"""The newest version that this build speaks."""


class Greeting(Message, frozen=True):
    """Opens a link between routers; answered with the other side's greeting.

    Parameters
    ----------
    protocol : int
        The newest version of the protocol that the sender speaks.
    build : str
        Names the sender's build, for operators.
    """

    protocol: int
    build: str = ""

    def build_label(self) -> str:
        """Return the name of the build, with a bounded length."""
        return self.build[:MAX_BUILD_CHARS]


class PeerDialect(Protocol):
    """Translates messages for routers of older builds."""

    greeting: Greeting

    def for_peer(self, message: Message, protocol: PeerProtocol) -> Message:
        """Return a message as a peer that speaks a version understands it."""

    def note_peer(
        self, address: Address, protocol: PeerProtocol, greeting: Greeting | None
    ) -> None:
        """Record what a peer speaks; its greeting is None if it didn't greet."""

    def forget_peer(self, address: Address) -> None:
        """Record that a peer is gone."""


def agreed_protocol(told: int) -> PeerProtocol:
    """Return the version that this router speaks with one that told another.

    Parameters
    ----------
    told : int
        What the other router told; any number.
    """
    return PeerProtocol(max(PeerProtocol.UNNAMED, min(OWN_PROTOCOL, told)))
