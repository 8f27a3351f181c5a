"""Rendezvous hashing: all routers rank the same names in the same order.

References
----------
.. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase
   hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

__all__ = ["rank"]

T = TypeVar("T")


def rank(key: str, items: Iterable[T], name: Callable[[T], str]) -> list[T]:
    """Sort items by their hash weight for a key, the highest first.

    Parameters
    ----------
    key : str
        The key to place.
    items : iterable
        The candidates for the placement.
    name : callable
        Returns an item's unique name.

    Examples
    --------
    >>> rank("k", ["a", "b", "c"], str) == rank("k", ["c", "b", "a"], str)
    True
    """
    return sorted(
        items,
        key=lambda item: xxhash.xxh64_intdigest(f"{key}\0{name(item)}".encode()),
        reverse=True,
    )
