"""In-memory platform with faults, for the stand-in server and for tests."""

from collections import Counter
from collections.abc import Sequence

import eventlet
import msgspec
from result import Err, Ok, Result

from boragedeck.connection.store import ABSENT, Delete, Put, Row, Table, Vm, Write
from boragedeck.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)

__all__ = ["Faults", "MemoryPlatform"]


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the platform.

    Parameters
    ----------
    down : bool
        Refuse every call.
    delay_s : float
        Delay before each call, in seconds.
    lose_answers : int
        Number of next commits that take effect but whose answers are lost.
    lose_requests : int
        Number of next commits that are lost before they take effect, which
        the caller can't distinguish from a lost answer.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0


class MemoryPlatform:
    """Tables, objects and a list of VMs in memory.

    Parameters
    ----------
    sleep : callable
        Called with the delay in seconds if the platform is slow.

    Attributes
    ----------
    faults : Faults
        The current faults.
    calls : collections.Counter
        Number of calls by method, for measurements.
    """

    def __init__(self, sleep=eventlet.sleep):
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._sleep = sleep
        self._tables: dict[Table, dict[str, Row]] = {table: {} for table in Table}
        self._versions: Counter[tuple[Table, str]] = Counter()
        self._objects: dict[str, bytes] = {}
        self._vms: list[Vm] = []

    def get(self, table: Table, key: str) -> Result[Row | None, StoreError]:
        """See `TableStore.get`."""
        return self._begin_call("get").map(lambda _: self._tables[table].get(key))

    def scan(
        self, table: Table, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[list[Row], StoreError]:
        """See `TableStore.scan`."""

        def read(_) -> list[Row]:
            keys = sorted(
                key
                for key in self._tables[table]
                if key.startswith(prefix) and key > after
            )
            return [self._tables[table][key] for key in keys[:limit]]

        return self._begin_call("scan").map(read)

    def commit(self, writes: Sequence[Write]) -> Result[list[int], StoreError]:
        """See `TableStore.commit`."""
        begin_result = self._begin_call("commit")
        if begin_result.is_err():
            return begin_result
        if self.faults.lose_requests > 0:
            self.faults.lose_requests -= 1
            return Err(StoreUnknownOutcomeError("request lost", step="commit"))
        failed = next(
            (write for write in writes if not self._condition_holds(write)), None
        )
        if failed is not None:
            text = f"{failed.table.value}/{failed.key}"
            return Err(StoreConflictError(text, step="commit"))
        versions = [self._apply(write) for write in writes]
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Err(StoreUnknownOutcomeError("answer lost", step="commit"))
        return Ok(versions)

    def get_object(self, key: str) -> Result[bytes | None, StoreError]:
        """See `ObjectStore.get_object`."""
        return self._begin_call("get_object").map(lambda _: self._objects.get(key))

    def put_object(self, key: str, body: bytes) -> Result[None, StoreError]:
        """See `ObjectStore.put_object`."""
        return self._begin_call("put_object").map(
            lambda _: self._objects.__setitem__(key, body)
        )

    def vms(self) -> Result[list[Vm], StoreError]:
        """See `VmList.vms`."""
        return self._begin_call("vms").map(lambda _: list(self._vms))

    def set_vms(self, vms: Sequence[Vm]) -> None:
        """Replace the list of VMs."""
        self._vms = list(vms)

    def _begin_call(self, method: str) -> Result[None, StoreError]:
        self.calls[method] += 1
        if self.faults.delay_s > 0:
            self._sleep(self.faults.delay_s)
        if self.faults.down:
            return Err(StoreUnavailableError("the platform is down", step=method))
        return Ok(None)

    def _condition_holds(self, write: Write) -> bool:
        row = self._tables[write.table].get(write.key)
        version = ABSENT if row is None else row.version
        return write.expect is None or write.expect == version

    def _apply(self, write: Write) -> int:
        # Versions continue after a delete, so that a recreated row can't be
        # mistaken for the row that an earlier reader saw.
        self._versions[write.table, write.key] += 1
        version = self._versions[write.table, write.key]
        match write:
            case Put(table, key, value):
                self._tables[table][key] = Row(key, value, version)
            case Delete(table, key):
                self._tables[table].pop(key, None)
        return version
