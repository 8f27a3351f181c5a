"""Decodes the entries that replicas write to the platform's list of servers."""

import ipaddress

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.peer import Address
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import TableError
from boragedeck.ids import FailureDomain, PoolName, Version
from boragedeck.platform.header_text import check_header_text
from boragedeck.version.replicas import Replica, ReplicaId, ReplicaStage

__all__ = ["decode_replica"]


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    born: int = 0


def decode_replica(key: str, body: bytes) -> Result[Replica, TableError]:
    """Decode one entry; an error if it describes no valid replica.

    Parameters
    ----------
    key : str
        The entry's key, which is the replica's id.
    body : bytes
        The entry as JSON.

    Notes
    -----
    Other programs may also write entries to the list.
    """
    try:
        entry = msgspec.json.decode(body, type=_Entry)
        host, _, port = entry.address.rpartition(":")
        if not 0 < int(port) <= 65_535 or entry.slots <= 0:
            raise ValueError(
                f"got address {entry.address!r}, slots {entry.slots};"
                " expected IP:PORT and at least one slot"
            )
        return Ok(
            Replica(
                replica=ReplicaId(check_header_text(key, "id")),
                pool=PoolName(entry.service),
                address=Address(str(ipaddress.ip_address(host)), int(port)),
                failure_domain=FailureDomain(entry.zone),
                version=Version(entry.version),
                slots=entry.slots,
                stage=ReplicaStage(entry.state),
                born_ms=entry.born,
            )
        )
    except (*DECODE_ERRORS, ValueError) as exc:
        return Err(TableError(str(exc), step="decode replica", peer=key))
