"""Attribution of upstream crashes to requests, versions or common causes."""

from collections import OrderedDict, deque

import msgspec

from boragedeck.ids import Version
from boragedeck.process.placing.upstreams import UpstreamKey

__all__ = ["CrashRecord", "Incidents"]

SAME_CRASH_WINDOW_S = 3.0
"""Crash records of an upstream within this time are of the same crash."""
COMMON_CAUSE_WINDOW_S = 2.0
COMMON_CAUSE_UPSTREAMS = 3
MIN_UNEXPLAINED_CRASHES = 3
MAX_AGE_S = 600.0
MAX_INCIDENTS = 512
MAX_FINGERPRINTS = 4096


class CrashRecord(msgspec.Struct, frozen=True):
    """A request that was running on an upstream when it crashed.

    Parameters
    ----------
    fingerprint : str
        The fingerprint of the request's content.
    upstream : UpstreamKey
        The upstream that crashed.
    version : Version
        The version that it served.
    at : float
        When it crashed, in monotonic seconds of this process.
    generated : int
        Number of tokens that the run had generated.
    """

    fingerprint: str
    upstream: UpstreamKey
    version: Version
    at: float
    generated: int


class _Incident(msgspec.Struct):
    """One crash of an upstream, with the requests that were running there."""

    upstream: UpstreamKey
    version: Version
    at: float
    fingerprints: set[str]


class Incidents:
    """Attributes crashes to a request, a version or a common cause.

    Notes
    -----
    - At least `COMMON_CAUSE_UPSTREAMS` upstreams that crash within
      `COMMON_CAUSE_WINDOW_S` with no request in common have a common cause,
      such as a lost failure domain.
    - If a version has at least `MIN_UNEXPLAINED_CRASHES` crashes other than those
      under its most frequent request, they are attributed to the version.
    - All other crashes count against the requests that ran there.

    State: at most `MAX_INCIDENTS` crashes, and crash records of at most
    `MAX_FINGERPRINTS` requests, none older than `MAX_AGE_S`.
    """

    def __init__(self):
        self._incidents: deque[_Incident] = deque(maxlen=MAX_INCIDENTS)
        self._crash_records: OrderedDict[str, list[CrashRecord]] = OrderedDict()

    def add(self, record: CrashRecord) -> bool:
        """Add a crash record; return whether it was new."""
        incident = self._find_or_add_incident(record)
        if record.fingerprint in incident.fingerprints:
            return False
        incident.fingerprints.add(record.fingerprint)
        crash_records = self._crash_records.setdefault(record.fingerprint, [])
        crash_records.append(record)
        self._crash_records.move_to_end(record.fingerprint)
        if len(self._crash_records) > MAX_FINGERPRINTS:
            self._crash_records.popitem(last=False)
        return True

    def clear(self, fingerprint: str, before: float) -> None:
        """Drop a request's crash records up to a time."""
        remaining = [
            record
            for record in self._crash_records.get(fingerprint, [])
            if record.at > before
        ]
        if remaining:
            self._crash_records[fingerprint] = remaining
        else:
            self._crash_records.pop(fingerprint, None)

    def crash_records(self, fingerprint: str, now: float) -> list[CrashRecord]:
        """Return the crash records that count against a request."""
        return [
            record
            for record in self._crash_records.get(fingerprint, [])
            if now - record.at < MAX_AGE_S
            and not self._has_common_cause(record)
            and not self.is_version_blamed(record.version, now)
        ]

    def is_version_blamed(self, version: Version, now: float) -> bool:
        """Return whether crashes on a version are attributed to the version itself."""
        crashes = [
            incident
            for incident in self._incidents
            if incident.version == version and now - incident.at < MAX_AGE_S
        ]
        if len(crashes) <= MIN_UNEXPLAINED_CRASHES:
            return False
        counts: dict[str, int] = {}
        for incident in crashes:
            for fingerprint in incident.fingerprints:
                counts[fingerprint] = counts.get(fingerprint, 0) + 1
        return len(crashes) - max(counts.values()) >= MIN_UNEXPLAINED_CRASHES

    def expire(self, now: float) -> None:
        """Drop crashes and crash records older than `MAX_AGE_S`."""
        while self._incidents and now - self._incidents[0].at >= MAX_AGE_S:
            self._incidents.popleft()
        for fingerprint in list(self._crash_records):
            self.clear(fingerprint, now - MAX_AGE_S)

    def _has_common_cause(self, record: CrashRecord) -> bool:
        nearby = [
            incident
            for incident in self._incidents
            if abs(incident.at - record.at) <= COMMON_CAUSE_WINDOW_S
        ]
        if len({incident.upstream for incident in nearby}) < COMMON_CAUSE_UPSTREAMS:
            return False
        containing = [i for i in nearby if record.fingerprint in i.fingerprints]
        return len(containing) == 1

    def _find_or_add_incident(self, record: CrashRecord) -> _Incident:
        for incident in reversed(self._incidents):
            is_same = abs(incident.at - record.at) <= SAME_CRASH_WINDOW_S
            if is_same and incident.upstream == record.upstream:
                return incident
        incident = _Incident(record.upstream, record.version, record.at, set())
        self._incidents.append(incident)
        return incident
