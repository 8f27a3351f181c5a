"""Facts that routers tell each other about crashes and quarantines."""

import msgspec

from boragedeck.ids import Version
from boragedeck.process.upstreams import UpstreamKey

__all__ = ["CrashFact", "QuarantineFact"]


class CrashFact(msgspec.Struct, frozen=True, array_like=True):
    """Body of a crash fact; its key is the request's fingerprint.

    Parameters
    ----------
    upstream : UpstreamKey or None
        The upstream that crashed; None where the request has proved harmless.
    version : Version
        What it served.
    age_s : float
        Seconds between the event and the statement.
    generated : int
        Tokens that the run had generated.
    """

    upstream: UpstreamKey | None
    version: Version
    age_s: float
    generated: int


class QuarantineFact(msgspec.Struct, frozen=True, array_like=True):
    """Body of a quarantine fact; its key is the request's fingerprint.

    Parameters
    ----------
    route : str
        The route on which it was found.
    upstreams : tuple of str
        The upstreams that it crashed.
    versions : tuple of Version
        What each of them served.
    until : float
        When it ages out, in Unix seconds.
    """

    route: str
    upstreams: tuple[str, ...]
    versions: tuple[Version, ...]
    until: float
