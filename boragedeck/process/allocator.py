"""Tells the C library to return large buffers to the system as soon as they are freed.

Handles bodies and answers of megabytes that grow beside one another.
"""

import ctypes

__all__ = ["LARGE_BUFFER_BYTES", "return_large_buffers"]

LARGE_BUFFER_BYTES = 128 * 1024
"""Buffers from this size on are mapped by themselves."""
M_MMAP_THRESHOLD = -3
"""The parameter of `mallopt` with the smallest size that is mapped by itself."""


def return_large_buffers() -> bool:
    """Map each large buffer by itself, so that it is returned when it is freed.

    Returns
    -------
    bool
        Whether the C library can be told so.

    Notes
    -----
    By default glibc raises the threshold to the size of the largest buffer that was
    freed, up to 32 MiB. From then on, buffers that grow beside one another leave gaps
    in the heap, which can't be returned. Source: mallopt(3).
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        # Another C library; its buffers stay as they are.
        return False
    return mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES) == 1
