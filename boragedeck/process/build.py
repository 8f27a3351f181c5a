"""Names the build that this process runs."""

import functools
from pathlib import Path

import xxhash

import boragedeck

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
    return f"{boragedeck.__version__}+{sources.hexdigest()[:8]}"
