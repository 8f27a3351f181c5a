"""A router's row in the members table."""

import msgspec

from boragedeck.connection.peer import Address
from boragedeck.interfaces import Member

__all__ = ["MemberRow"]


class MemberRow(msgspec.Struct, frozen=True):
    """Content of the row; its key is the router's id.

    Parameters
    ----------
    member : Member
        The router.
    callers : Address
        The address on which it listens for callers.
    time : float
        When the row was written, in Unix seconds by the router's clock.
    """

    member: Member
    callers: Address
    time: float
