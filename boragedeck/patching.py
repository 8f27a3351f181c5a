"""Preparation of eventlet, before any other module is imported."""

import os

__all__ = ["patch_all"]


def patch_all() -> None:
    """Make the standard library cooperate with eventlet's green threads.

    Notes
    -----
    Addresses are IP numbers, so eventlet's own resolver is left out.
    """
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    import eventlet

    eventlet.monkey_patch()
