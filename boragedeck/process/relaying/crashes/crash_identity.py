"""Tells requests apart, and recognises one that comes again."""

import xxhash

from boragedeck.ids import OrganisationName

__all__ = ["fingerprint_of"]


def fingerprint_of(
    organisation: OrganisationName | None, path: str, body: bytes
) -> str:
    """Return a hash of a request's organisation, path and body."""
    digest = xxhash.xxh64()
    for part in ((organisation or "").encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
