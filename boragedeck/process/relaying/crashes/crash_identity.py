"""Tells requests apart, and recognises one that comes again.

A request that crashes replicas comes again with the same path, caller and body, beside
sound requests that differ from it in as little as a method or a query. So two names are
used: the fingerprint of one request and its repeats, and that of its family.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from boragedeck.ids import OrganisationName, PoolName, PromptPartId
from boragedeck.process.relaying.crashes.crash_messages import (
    CrashSuspect,
    Signature,
    part_signature,
    request_signature,
)

__all__ = ["RequestTraits", "family_of", "fingerprint_of"]


def fingerprint_of(
    organisation: OrganisationName | None,
    method: bytes,
    host: str,
    target: bytes,
    body: bytes,
) -> str:
    """Return a hash that a request has in common with its repeats only.

    Parameters
    ----------
    organisation : OrganisationName or None
        The caller's organisation, whichever of its keys the request has.
    method, target : bytes
        The request line; the target is the path with the query.
    host : str
        The host in lower case.
    body : bytes
        The complete body.
    """
    caller = (organisation or "").encode()
    return _hash((caller, method, host.encode(), target, body))


def family_of(organisation: OrganisationName | None, path: str, body: bytes) -> str:
    """Return a hash of what requests that differ in method, host or query share."""
    return _hash(((organisation or "").encode(), path.encode(), body))


def _hash(fields: Iterable[bytes]) -> str:
    digest = xxhash.xxh64()
    for field in fields:
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    return digest.hexdigest()


class RequestTraits(msgspec.Struct, frozen=True):
    """What a request may have in common with others that crash replicas.

    Parameters
    ----------
    pool : PoolName
        The pool that serves it.
    fingerprint : str
        Hash that it has in common with its repeats; see `fingerprint_of`.
    shared_parts : tuple of PromptPartId
        The parts of its prompt that other requests may have, too.
    family : str
        Hash that it has in common with its family; see `family_of`.
    """

    pool: PoolName
    fingerprint: str
    shared_parts: tuple[PromptPartId, ...] = ()
    family: str = ""

    def signatures(self) -> list[Signature]:
        """Return the signatures of the request, of its family and of each part."""
        names = [name for name in (self.fingerprint, self.family) if name]
        requests = [request_signature(self.pool, name) for name in names]
        parts = [part_signature(self.pool, part) for part in self.shared_parts]
        return requests + parts

    def has(self, signature: Signature) -> bool:
        """Return whether the request has a signature."""
        if signature.pool != self.pool:
            return False
        if signature.fingerprint:
            return signature.fingerprint in (self.fingerprint, self.family)
        return set(signature.parts) <= set(self.shared_parts)

    def suspect(self, *, has_begun: bool) -> CrashSuspect:
        """Return the request as a suspect of a crash."""
        return CrashSuspect(self.fingerprint, self.shared_parts, has_begun, self.family)
