"""Patches the standard library for eventlet, before other modules are imported."""

import os

__all__ = ["patch_all"]


def patch_all() -> None:
    """Make the standard library cooperate with eventlet's green threads.

    Notes
    -----
    All addresses are IP addresses, so eventlet's own DNS resolver is disabled.
    """
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    import eventlet

    eventlet.monkey_patch()
