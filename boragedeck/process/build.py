"""Names the build that this process runs."""

import functools
from importlib import metadata
from pathlib import Path

import xxhash

__all__ = ["build_name"]

PACKAGE = Path(__file__).parent.parent


@functools.cache
def build_name() -> str:
    """Return the package's version and a hash of its sources.

    Notes
    -----
    Two builds of one version differ in the hash; it is the same on all machines.
    """
    sources = xxhash.xxh64()
    for path in sorted(PACKAGE.rglob("*.py")):
        sources.update(path.relative_to(PACKAGE).as_posix().encode())
        sources.update(path.read_bytes())
    return f"{_version()}+{sources.hexdigest()[:8]}"


def _version() -> str:
    try:
        return metadata.version("boragedeck")
    except metadata.PackageNotFoundError:
        # The sources are run in place.
        return "0"
