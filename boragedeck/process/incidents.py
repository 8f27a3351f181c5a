"""Crashes of upstreams, the requests that ran there, and what is to blame."""

from collections import OrderedDict, deque

import msgspec

from boragedeck.ids import Version
from boragedeck.process.upstreams import UpstreamKey

__all__ = ["CrashMark", "Incidents"]

SAME_CRASH_S = 3.0
TOGETHER_S = 2.0
TOGETHER_UPSTREAMS = 3
UNEXPLAINED_CRASHES = 3
MAX_AGE_S = 600.0
MAX_INCIDENTS = 512
MAX_FINGERPRINTS = 4096


class CrashMark(msgspec.Struct, frozen=True):
    """A request ran on an upstream that crashed.

    Parameters
    ----------
    fingerprint : str
        The request's content.
    upstream : UpstreamKey
        The upstream.
    version : Version
        What it served.
    at : float
        When it crashed, in monotonic seconds of this process.
    generated : int
        Tokens that the run had generated.
    """

    fingerprint: str
    upstream: UpstreamKey
    version: Version
    at: float
    generated: int


class _Incident(msgspec.Struct):
    upstream: UpstreamKey
    version: Version
    at: float
    fingerprints: set[str]


class Incidents:
    """Attributes crashes to a request, a version or a common cause.

    Notes
    -----
    - At least `TOGETHER_UPSTREAMS` upstreams that crash within `TOGETHER_S` with no
      request in common have a common cause, such as a lost failure domain.
    - A version with `UNEXPLAINED_CRASHES` crashes beyond those that its most
      suspicious request can explain is to blame itself.
    - All others count against the requests that ran there.

    State: `MAX_INCIDENTS` crashes and marks of `MAX_FINGERPRINTS` requests, none
    older than `MAX_AGE_S`.
    """

    def __init__(self):
        self._incidents: deque[_Incident] = deque(maxlen=MAX_INCIDENTS)
        self._marks: OrderedDict[str, list[CrashMark]] = OrderedDict()

    def add(self, mark: CrashMark) -> bool:
        """Take a mark; return whether it was new."""
        incident = self._incident(mark)
        if mark.fingerprint in incident.fingerprints:
            return False
        incident.fingerprints.add(mark.fingerprint)
        marks = self._marks.setdefault(mark.fingerprint, [])
        marks.append(mark)
        self._marks.move_to_end(mark.fingerprint)
        if len(self._marks) > MAX_FINGERPRINTS:
            self._marks.popitem(last=False)
        return True

    def clear(self, fingerprint: str, before: float) -> None:
        """Drop a request's marks from before a time: it has proved harmless."""
        left = [mark for mark in self._marks.get(fingerprint, []) if mark.at > before]
        if left:
            self._marks[fingerprint] = left
        else:
            self._marks.pop(fingerprint, None)

    def marks(self, fingerprint: str, now: float) -> list[CrashMark]:
        """Return the marks that count against a request."""
        return [
            mark
            for mark in self._marks.get(fingerprint, [])
            if now - mark.at < MAX_AGE_S
            and not self._has_common_cause(mark)
            and not self.is_version_blamed(mark.version, now)
        ]

    def is_version_blamed(self, version: Version, now: float) -> bool:
        """Return whether crashes on a version are its own fault."""
        crashes = [
            incident
            for incident in self._incidents
            if incident.version == version and now - incident.at < MAX_AGE_S
        ]
        if len(crashes) <= UNEXPLAINED_CRASHES:
            return False
        counts: dict[str, int] = {}
        for incident in crashes:
            for fingerprint in incident.fingerprints:
                counts[fingerprint] = counts.get(fingerprint, 0) + 1
        return len(crashes) - max(counts.values()) >= UNEXPLAINED_CRASHES

    def expire(self, now: float) -> None:
        """Drop what is older than `MAX_AGE_S`."""
        while self._incidents and now - self._incidents[0].at >= MAX_AGE_S:
            self._incidents.popleft()
        for fingerprint in list(self._marks):
            self.clear(fingerprint, now - MAX_AGE_S)

    def _has_common_cause(self, mark: CrashMark) -> bool:
        together = [
            incident
            for incident in self._incidents
            if abs(incident.at - mark.at) <= TOGETHER_S
        ]
        if len({incident.upstream for incident in together}) < TOGETHER_UPSTREAMS:
            return False
        holding = [i for i in together if mark.fingerprint in i.fingerprints]
        return len(holding) == 1

    def _incident(self, mark: CrashMark) -> _Incident:
        for incident in reversed(self._incidents):
            is_same = abs(incident.at - mark.at) <= SAME_CRASH_S
            if is_same and incident.upstream == mark.upstream:
                return incident
        incident = _Incident(mark.upstream, mark.version, mark.at, set())
        self._incidents.append(incident)
        return incident
