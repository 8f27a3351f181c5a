"""Messages with which routers share the configuration."""

import msgspec

from boragedeck.connection.messages import Message
from boragedeck.connection.peer import Address
from boragedeck.ids import Revision

__all__ = ["ConfigContent", "ConfigFact", "FetchConfig"]


class ConfigFact(msgspec.Struct, frozen=True, array_like=True):
    """Body of a fact: a router has a configuration that others can fetch.

    Parameters
    ----------
    revision : Revision
        The accepted revision that is in force at the router.
    address : Address
        The address at which the configuration can be fetched.
    """

    revision: Revision
    address: Address


class FetchConfig(Message, frozen=True):
    """Asks a router for the changes that were accepted after a revision.

    Parameters
    ----------
    after : Revision
        The revision in force at the requesting router; 0 if it has none.
    """

    after: Revision


class ConfigContent(Message, frozen=True):
    """Answers `FetchConfig`.

    Parameters
    ----------
    revision : Revision
        The revision in force at the answering router.
    changes : tuple of bytes
        The changes after the requested revision, packed; empty if the answering
        router no longer keeps them all.
    full_config : bytes
        The full configuration, packed, if the changes are not available; empty if
        the answering router has nothing newer.
    """

    revision: Revision
    changes: tuple[bytes, ...] = ()
    full_config: bytes = b""
