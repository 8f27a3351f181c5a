"""Facts about crashes and quarantines that routers exchange by gossip."""

import msgspec

from boragedeck.ids import Version
from boragedeck.process.placing.upstreams import UpstreamKey

__all__ = ["CrashFact", "QuarantineFact"]


class CrashFact(msgspec.Struct, frozen=True, array_like=True):
    """Body of a crash fact, whose key is the request's fingerprint and the upstream.

    Parameters
    ----------
    upstream : UpstreamKey or None
        The upstream that crashed; None if the request has proved harmless.
    version : Version
        The version that the upstream served.
    age_s : float
        Seconds between the event and the publication of the fact.
    generated : int
        Number of tokens that the run had generated.
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
        The route of the request; empty if the router that imposed the quarantine
        didn't run it.
    upstreams : tuple of str
        The upstreams that the request crashed.
    versions : tuple of Version
        The version that each of them served.
    until : float
        When the quarantine expires, in Unix seconds.
    """

    route: str
    upstreams: tuple[str, ...]
    versions: tuple[Version, ...]
    until: float
