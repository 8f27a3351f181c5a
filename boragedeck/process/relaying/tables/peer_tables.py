"""Asks other routers for their mirrors, each in its own counting of versions."""

import msgspec

from boragedeck.connection.peer import Address, PeerLinks
from boragedeck.connection.store import Changes, Table
from boragedeck.connection.store_version import era_of, number_of
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.tables.mirror_messages import FetchTable, TablePart
from boragedeck.process.relaying.tables.older_versions import (
    in_own_era,
    is_comparable,
)

__all__ = ["PeerTable", "PeerTables"]

PEER_TIMEOUT_S = 0.5
MAX_PEERS = 1_024

_log = PartLog("mirror")


class PeerTable(msgspec.Struct, frozen=True):
    """Another router's answer.

    Parameters
    ----------
    part : TablePart
        What it tells about its table.
    changes : Changes or None
        What the asking router lacks, as that router counts; None if nothing.
    """

    part: TablePart
    changes: Changes | None


class PeerTables:
    """The mirrors of one table at other routers.

    Parameters
    ----------
    table : Table
        The table.
    links : PeerLinks
        Links to other routers.

    Notes
    -----
    A router of an older build doesn't say whether its versions hold the store's era. If
    it has nothing newer than a version with an era, it is asked once without: one that
    counts eras then answers with versions that hold them. State: the counting of at
    most `MAX_PEERS` routers of older builds.
    """

    def __init__(self, table: Table, links: PeerLinks):
        self._table = table
        self._links = links
        self._counts_eras: dict[Address, bool] = {}
        self._logged: set[Address] = set()

    def fetch(self, address: Address, known: int) -> PeerTable | None:
        """Return what a router tells; None if it can't be used.

        Parameters
        ----------
        address : Address
            The router.
        known : int
            This router's version of the table; -1 if it has none.
        """
        result = self._links.link(address).call(
            self._query(address, known), TablePart, timeout_s=PEER_TIMEOUT_S
        )
        if result.is_err():
            return None
        part = result.ok()
        try:
            changes = part.unpack()
        except ValueError as exc:
            _log.write("Answer can't be decoded.", peer=str(address), error=str(exc))
            return None
        self._note_counting(address, part, changes, known)
        if changes is None or is_comparable(part, changes, known):
            return PeerTable(part, changes)
        if known < 0:
            self._log_other_counting(address, changes)
            return None
        return PeerTable(part, in_own_era(changes, known))

    def _query(self, address: Address, known: int) -> FetchTable:
        if known >= 0 and self._counts_eras.get(address) is False:
            return FetchTable(self._table, number_of(known))
        return FetchTable(self._table, known, counts_eras=True)

    def _note_counting(
        self, address: Address, part: TablePart, changes: Changes | None, known: int
    ) -> None:
        if part.counts_eras or era_of(known) <= 0:
            self._counts_eras.pop(address, None)
            return
        if changes is not None:
            self._counts_eras[address] = era_of(changes.version) > 0
        else:
            self._counts_eras.setdefault(address, False)
        if len(self._counts_eras) > MAX_PEERS:
            self._counts_eras.pop(next(iter(self._counts_eras)))

    def _log_other_counting(self, address: Address, changes: Changes) -> None:
        """Log once that a router's versions can't be counted as this one counts."""
        if address not in self._logged and len(self._logged) < MAX_PEERS:
            self._logged.add(address)
            _log.write(
                "Table of an older build ignored.",
                table=self._table.value,
                peer=str(address),
                version=changes.version,
            )
