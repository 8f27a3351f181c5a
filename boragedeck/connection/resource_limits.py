"""How much memory and how many descriptors a process may use for its callers."""

import os
import resource

import msgspec

__all__ = ["ResourceLimits", "resource_limits"]

MB = 1024 * 1024
OWN_MEMORY_MB = 56
"""What a process uses for itself: about 40 MB when idle, more with large tables."""
BUDGET_SHARE = 0.75
"""Share of the rest that is reserved by size. Allocators, connections and green threads
use the other part."""
MIN_BUDGET_BYTES = 12 * MB
"""Lower limit, in which a single body of 4 MiB fits."""
CONNECTION_SHARE = 0.15
"""Share of the rest that the connections themselves may use."""
CONNECTION_BYTES = 24 * 1024
"""What an idle connection uses: its socket, green thread and parser."""
MIN_CONNECTIONS = 64
DEFAULT_MEMORY_MB = 512
DEFAULT_MACHINE_SHARE = 0.5
"""The largest default, as a share of the machine's memory."""
SEND_BUFFER_BYTES = 128 * 1024
"""Send buffer of a caller's socket, which bounds what the kernel keeps for a caller
that doesn't read. The kernel doubles this value."""


class ResourceLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a process may use for its callers.

    Parameters
    ----------
    budget_bytes : int
        Sum of the bodies and answers that it holds.
    max_connections : int
        The most connections of callers whose own memory fits.
    max_fds : int or None
        Descriptors of the process; None if there is no limit.
    send_buffer_bytes : int or None
        Size of the send buffer of each caller's socket; None for the system's default.
    """

    budget_bytes: int
    max_connections: int
    max_fds: int | None = None
    send_buffer_bytes: int | None = None


def resource_limits(memory_mb: float | None, max_fds: int | None) -> ResourceLimits:
    """Return the limits of this process.

    Parameters
    ----------
    memory_mb : float or None
        Memory of the VM, in MB; None if it isn't known.
    max_fds : int or None
        Descriptors that the process may open; None if that isn't known.
    """
    total_mb = _default_memory_mb() if memory_mb is None else memory_mb
    free_bytes = max(0.0, total_mb - OWN_MEMORY_MB) * MB
    known = [each for each in (max_fds, _descriptor_limit()) if each is not None]
    return ResourceLimits(
        budget_bytes=max(MIN_BUDGET_BYTES, int(free_bytes * BUDGET_SHARE)),
        max_connections=max(
            MIN_CONNECTIONS, int(free_bytes * CONNECTION_SHARE / CONNECTION_BYTES)
        ),
        max_fds=min(known, default=None),
        send_buffer_bytes=None if memory_mb is None else SEND_BUFFER_BYTES,
    )


def _default_memory_mb() -> float:
    machine_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / MB
    return min(DEFAULT_MEMORY_MB, DEFAULT_MACHINE_SHARE * machine_mb)


def _descriptor_limit() -> int | None:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft
