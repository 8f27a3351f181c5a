"""Translation of row versions for routers whose versions don't hold the store's era.

Such builds count as the store does in its present era. They are answered in their own
counting. What they tell is used only by a router that the store doesn't answer, which
takes the era that it has last seen for the present one.
"""

from collections.abc import Callable

import msgspec

from boragedeck.connection.store import Change, Changes
from boragedeck.connection.store_version import era_of, number_of, store_version
from boragedeck.process.relaying.tables.mirror_messages import FetchTable, TablePart

__all__ = ["in_own_counting", "in_own_era", "is_comparable", "without_eras"]


def in_own_counting(query: FetchTable, version: int) -> FetchTable | None:
    """Return a request for a table with its version counted as this router counts.

    Parameters
    ----------
    query : FetchTable
        The request.
    version : int
        This router's version of the table.

    Returns
    -------
    FetchTable or None
        None if it isn't known how the requesting router counts.
    """
    era = max(0, era_of(version))
    if query.counts_eras or not era or era_of(query.after) > 0:
        return query
    if query.after < 0:
        return None
    return msgspec.structs.replace(query, after=store_version(era, query.after))


def without_eras(changes: Changes) -> Changes:
    """Return changes with the versions that the store itself gave to them."""
    return _renumbered(changes, number_of)


def in_own_era(changes: Changes, known: int) -> Changes:
    """Return changes without eras as changes of the era of a known version."""
    era = era_of(known)
    return _renumbered(changes, lambda number: store_version(era, number))


def is_comparable(part: TablePart, changes: Changes, known: int) -> bool:
    """Return whether changes of another router can be compared with known rows.

    Parameters
    ----------
    part : TablePart
        The other router's answer.
    changes : Changes
        Its changes.
    known : int
        This router's version of the table; -1 if it has none.
    """
    if part.counts_eras or era_of(changes.version) > 0:
        return True
    # Without a table it isn't known whether the store has an era.
    return known >= 0 and era_of(known) == 0


def _renumbered(changes: Changes, renumber: Callable[[int], int]) -> Changes:
    rows = tuple(
        Change(row.key, row.value, renumber(row.version)) for row in changes.rows
    )
    return msgspec.structs.replace(
        changes, rows=rows, version=renumber(changes.version)
    )
