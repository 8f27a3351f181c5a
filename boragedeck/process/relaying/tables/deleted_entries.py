"""Remembers deleted entries of replicas, which a restored store may show again."""

from collections import OrderedDict

from boragedeck.connection.store_version import StoreVersion, era_of
from boragedeck.version.replicas import ReplicaId

__all__ = ["DeletedEntries"]

MAX_ENTRIES = 1_024


class DeletedEntries:
    """The newest deletions of entries.

    Notes
    -----
    A replica whose entry has lapsed may write it again, also in the same era. Only an
    entry of a later era may come from a copy that is older than the deletion.
    """

    def __init__(self):
        self._versions: OrderedDict[ReplicaId, StoreVersion] = OrderedDict()

    def note(self, replica: ReplicaId, version: StoreVersion) -> None:
        """Record that an entry was deleted at a version."""
        self._versions[replica] = version
        self._versions.move_to_end(replica)
        if len(self._versions) > MAX_ENTRIES:
            self._versions.popitem(last=False)

    def forget(self, replica: ReplicaId) -> None:
        """Record that a replica has an entry again."""
        self._versions.pop(replica, None)

    def may_be_undone(self, replica: ReplicaId, version: StoreVersion) -> bool:
        """Return whether an entry may be older than its deletion.

        Parameters
        ----------
        replica : ReplicaId
            The replica.
        version : StoreVersion
            The version of its entry.
        """
        deleted_at = self._versions.get(replica)
        return deleted_at is not None and era_of(deleted_at) < era_of(version)
