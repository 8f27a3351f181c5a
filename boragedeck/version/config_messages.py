"""Messages by which routers pass the configuration on."""

import msgspec

from boragedeck.connection.messages import Message
from boragedeck.connection.peer import Address
from boragedeck.ids import Revision

__all__ = ["ConfigContent", "ConfigFact", "FetchConfig"]


class ConfigFact(msgspec.Struct, frozen=True, array_like=True):
    """Body of a fact: a router holds a configuration and passes it on.

    Parameters
    ----------
    revision : Revision
        The accepted revision in force there.
    address : Address
        Where to fetch it.
    """

    revision: Revision
    address: Address


class FetchConfig(Message, frozen=True):
    """Asks a router for what was accepted after a revision.

    Parameters
    ----------
    after : Revision
        The revision in force at the asking router; 0 for none.
    """

    after: Revision


class ConfigContent(Message, frozen=True):
    """Answers `FetchConfig`.

    Parameters
    ----------
    revision : Revision
        The revision in force at the answering router.
    changes : tuple of bytes
        The changes from the asked revision on, packed, where they are at hand.
    full_config : bytes
        The whole configuration, packed, where they are not; empty where the
        answering router has nothing newer.
    """

    revision: Revision
    changes: tuple[bytes, ...] = ()
    full_config: bytes = b""
