"""Versions of the store that can be compared across its eras.

A store that was restored from an older copy gives out versions again, so that versions
from before and after can't be compared. The era counts how often the store has been
restored. A `StoreVersion` holds the era, too, and any version of a later era is greater
than all versions of an earlier one.
"""

from typing import NewType

__all__ = ["NUMBERS_PER_ERA", "StoreVersion", "era_of", "number_of", "store_version"]

StoreVersion = NewType("StoreVersion", int)
"""An era of the store and a number of its version counter; see `store_version`."""

NUMBERS_PER_ERA = 1_000_000_000_000
"""Upper bound of the version counter. A power of ten, so that both parts can be read in
the decimal digits of a log line."""


def store_version(era: int, number: int) -> StoreVersion:
    """Return the version that the store's counter showed in an era."""
    return StoreVersion(era * NUMBERS_PER_ERA + number)


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version // NUMBERS_PER_ERA


def number_of(version: int) -> int:
    """Return the store's own number of a version."""
    return version % NUMBERS_PER_ERA
