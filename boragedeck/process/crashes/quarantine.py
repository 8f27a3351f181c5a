"""Quarantine of requests that crash the upstreams on which they run."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.exceptions import RefusedError
from boragedeck.ids import Version
from boragedeck.interfaces import ConfigSource, FactBoard, Outcome, SlotRequest
from boragedeck.process.crashes.claims import ClaimClient
from boragedeck.process.crashes.incidents import CrashRecord, Incidents
from boragedeck.process.crashes.isolation import Isolation, RunGuard, key_text
from boragedeck.process.crashes.quarantine_facts import CrashFact, QuarantineFact
from boragedeck.process.placing.upstreams import UpstreamKey
from boragedeck.process.timers import TimerService
from boragedeck.version.tables import Config

__all__ = ["Quarantine"]

CRASHES_TO_QUARANTINE = 2
QUARANTINE_S = 3600.0
MAX_QUARANTINED = 4096
SUSPECT_TTL_S = 600.0
CLAIM_RETRY_S = 0.05
OVERFLOW_AFTER_S = 5.0
"""How long after its admission a request may run only on the upstreams to which its
copies are limited."""
EXPIRE_INTERVAL_S = 30.0


class Quarantine:
    """Decides whether a request may run, and which requests may share an upstream.

    Parameters
    ----------
    timers : TimerService
        The source of time.
    board : FactBoard
        Publishes crashes and quarantines to the other routers.
    cfg_source : ConfigSource
        Provides the operators' lifts of quarantines.
    claims : ClaimClient
        Ensures that a suspect runs once at a time in the fleet.

    Notes
    -----
    A request that was running on an upstream when it crashed is a suspect, unless the
    request has recently completed elsewhere. A suspect runs once at a time in the
    fleet, and on an upstream without another suspect, so that a second crash
    identifies a single request. Copies sent at the same time run on at most two
    upstreams until one of them has completed; copies are requests with the same
    content, and thus the same fingerprint. A suspect is isolated until it has
    passed the point of the crash, and remains a suspect until it has completed or
    has generated more tokens than the crashed run. The second crash that counts
    quarantines it for `QUARANTINE_S`. State: see `Incidents`, `Isolation` and
    `ClaimTable`; and at most `MAX_QUARANTINED` quarantines.
    """

    def __init__(
        self,
        timers: TimerService,
        board: FactBoard,
        cfg_source: ConfigSource,
        claims: ClaimClient,
    ):
        self._timers = timers
        self._board = board
        self._isolation = Isolation(board.own, claims, timers)
        self._incidents = Incidents()
        self._quarantined: OrderedDict[str, QuarantineFact] = OrderedDict()
        self._lifted: frozenset[str] = frozenset()
        self._on_config(cfg_source.current())
        cfg_source.subscribe(self._on_config)
        board.subscribe(FactTopic.CRASH, self._on_crash_fact)
        board.subscribe(FactTopic.QUARANTINE, self._on_quarantine_fact)
        for fact in board.facts(FactTopic.CRASH):
            self._on_crash_fact(fact)
        for fact in board.facts(FactTopic.QUARANTINE):
            self._on_quarantine_fact(fact)
        timers.subscribe(EXPIRE_INTERVAL_S, self.expire)

    def subscribe_upstream_freed(self, callback: Callable[[UpstreamKey], None]) -> None:
        """Register a callback for each upstream that becomes free for a suspect."""
        self._isolation.on_upstream_freed = callback

    def quarantined(self) -> dict[str, QuarantineFact]:
        """Return the active quarantines, by fingerprint."""
        return {
            fingerprint: fact
            for fingerprint, fact in self._quarantined.items()
            if self.is_quarantined(fingerprint)
        }

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is quarantined.

        Notes
        -----
        A quarantine has no effect if an operator has lifted it, or if a version on
        which the request crashed an upstream is blamed itself.
        """
        fact = self._quarantined.get(fingerprint)
        if fact is None or fingerprint in self._lifted:
            return False
        if fact.until <= self._timers.wall():
            return False
        return not any(map(self.is_version_blamed, fact.versions))

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a crash counts against a request."""
        return bool(self._crash_records(fingerprint))

    def admit(
        self, request: SlotRequest, until: float
    ) -> Result[RunGuard, RefusedError]:
        """Wait until a request may be queued.

        Parameters
        ----------
        request : SlotRequest
            The request.
        until : float
            When to give up, in monotonic seconds.

        Returns
        -------
        Result
            The guard of the request. ``Err(RefusedError)`` if it is quarantined
            (without waiting), or if it is not admitted by `until`.
        """
        fingerprint = request.fingerprint
        while True:
            if self.is_quarantined(fingerprint):
                return Err(self._quarantined_error(fingerprint))
            crash_records = self._crash_records(fingerprint)
            guard = self._isolation.guard(request, crash_records)
            if self._isolation.claim_run(guard):
                # A crash may have become known while the claim was requested.
                if guard.is_suspect == self.is_suspect(fingerprint):
                    guard.overflows_at = self._timers.now() + OVERFLOW_AFTER_S
                    return Ok(guard)
                self.cancel(guard)
            elif self._timers.now() >= until:
                return Err(_suspect_error())
            self._timers.sleep(CLAIM_RETRY_S)

    def may_place(self, guard: RunGuard, upstream: UpstreamKey) -> bool:
        """Return whether a request may run on an upstream, given its other runs."""
        if self._is_upstream_excluded(guard, upstream):
            # If both upstreams are full of copies, the request is probably a common
            # prompt, which must not be refused; a request that crashes upstreams
            # rarely has that many copies in flight.
            return self._timers.now() >= guard.overflows_at
        if not self._needs_isolation(guard):
            return True
        return self._isolation.may_place(guard, upstream)

    def place(self, guard: RunGuard, upstream: UpstreamKey) -> bool:
        """Claim an upstream for a request; return False if the claim is denied.

        Notes
        -----
        A request that `may_place` lets run beyond its copies' upstreams needs no claim.
        """
        guard.upstream = upstream
        if self._is_upstream_excluded(guard, upstream):
            return True
        if not self._needs_isolation(guard):
            return self._isolation.place_copy(guard)
        return self._isolation.place(guard, upstream)

    def note_tokens(self, guard: RunGuard, generated: int) -> None:
        """Record a run's progress, which may end its isolation or its suspicion."""
        if guard.is_suspect and generated >= guard.isolated_until_tokens:
            guard.is_suspect = False
            self._isolation.end_isolation(guard)
        if guard.is_exclusive and not guard.is_proven:
            if generated >= guard.cleared_at_tokens:
                guard.is_proven = True
                self._publish_harmless(guard.fingerprint)
                self._isolation.release(guard)

    def cancel(self, guard: RunGuard) -> None:
        """Release all claims of a request that was not placed."""
        self._isolation.end_run(guard)
        self._isolation.release(guard)

    def finish(
        self, guard: RunGuard, version: Version, generated: int, outcome: Outcome
    ) -> None:
        """Record how a run ended.

        Parameters
        ----------
        guard : RunGuard
            The run's guard.
        version : Version
            The version that the upstream served.
        generated : int
            Number of tokens generated in the run.
        outcome : Outcome
            How the run ended.
        """
        self._isolation.end_run(guard)
        match outcome:
            case Outcome.CRASHED if not guard.is_known_good:
                self._record_crash(guard, version, generated)
                crash_records = self._crash_records(guard.fingerprint)
                self._isolation.hold_after_crash(guard, crash_records)
                return
            case Outcome.COMPLETED:
                guard.is_proven = True
                self._publish_harmless(guard.fingerprint)
        self._isolation.release(guard)

    def was_crashed_by_quarantined(self, upstream: UpstreamKey) -> bool:
        """Return whether a quarantined request crashed an upstream."""
        facts = self.quarantined().values()
        return any(key_text(upstream) in fact.upstreams for fact in facts)

    def is_version_blamed(self, version: Version) -> bool:
        """Return whether crashes on a version are attributed to the version itself."""
        return self._incidents.is_version_blamed(version, self._timers.now())

    def expire(self) -> None:
        """Drop expired crashes and quarantines."""
        self._incidents.expire(self._timers.now())
        now = self._timers.wall()
        for fingerprint in list(self._quarantined):
            if self._quarantined[fingerprint].until <= now:
                del self._quarantined[fingerprint]

    def _is_upstream_excluded(self, guard: RunGuard, upstream: UpstreamKey) -> bool:
        """Return whether a request's copies are limited to other upstreams."""
        return bool(guard.upstreams) and key_text(upstream) not in guard.upstreams

    def _needs_isolation(self, guard: RunGuard) -> bool:
        # A crash may have been attributed to a version or a common cause since.
        return guard.is_suspect and self.is_suspect(guard.fingerprint)

    def _crash_records(self, fingerprint: str) -> list[CrashRecord]:
        if fingerprint in self._lifted:
            return []
        return self._incidents.crash_records(fingerprint, self._timers.now())

    def _record_crash(self, guard: RunGuard, version: Version, generated: int) -> None:
        now = self._timers.now()
        fingerprint, upstream = guard.fingerprint, guard.upstream
        self._incidents.add(CrashRecord(fingerprint, upstream, version, now, generated))
        fact = CrashFact(upstream, version, 0.0, generated)
        self._publish_crash(f"{fingerprint} {key_text(upstream)}", fact)
        quarantine = self._quarantine_if_due(fingerprint, guard.route)
        if quarantine is not None:
            body = msgspec.msgpack.encode(quarantine)
            self._board.publish(
                FactTopic.QUARANTINE, fingerprint, body, ttl_s=QUARANTINE_S
            )

    def _publish_harmless(self, fingerprint: str) -> None:
        if not self.is_suspect(fingerprint):
            return
        self._incidents.clear(fingerprint, self._timers.now())
        self._publish_crash(f"{fingerprint} ", CrashFact(None, Version(""), 0.0, 0))

    def _publish_crash(self, key: str, fact: CrashFact) -> None:
        body = msgspec.msgpack.encode(fact)
        self._board.publish(FactTopic.CRASH, key, body, ttl_s=SUSPECT_TTL_S)

    def _quarantine_if_due(self, fingerprint: str, route: str) -> QuarantineFact | None:
        """Quarantine a request if enough crashes count against it."""
        crash_records = self._crash_records(fingerprint)
        if len(crash_records) < CRASHES_TO_QUARANTINE or self.is_quarantined(
            fingerprint
        ):
            return None
        until = self._timers.wall() + QUARANTINE_S
        names = tuple(key_text(record.upstream) for record in crash_records)
        versions = tuple(record.version for record in crash_records)
        quarantine = QuarantineFact(route, names, versions, until)
        self._add_quarantine(fingerprint, quarantine)
        return quarantine

    def _on_crash_fact(self, fact: Fact) -> None:
        if fact.origin == self._board.own:
            return
        crash = msgspec.msgpack.decode(fact.body, type=CrashFact)
        fingerprint = fact.key.partition(" ")[0]
        at = self._timers.now() - crash.age_s
        if crash.upstream is None:
            self._incidents.clear(fingerprint, at)
            return
        self._incidents.add(
            CrashRecord(fingerprint, crash.upstream, crash.version, at, crash.generated)
        )
        self._quarantine_if_due(fingerprint, "")

    def _on_quarantine_fact(self, fact: Fact) -> None:
        received = msgspec.msgpack.decode(fact.body, type=QuarantineFact)
        # A request must not be refused for longer than one quarantine, even if another
        # router reports a later expiry.
        until = min(received.until, self._timers.wall() + QUARANTINE_S)
        self._add_quarantine(fact.key, msgspec.structs.replace(received, until=until))

    def _add_quarantine(self, fingerprint: str, fact: QuarantineFact) -> None:
        self._quarantined[fingerprint] = fact
        if len(self._quarantined) > MAX_QUARANTINED:
            self._quarantined.popitem(last=False)

    def _quarantined_error(self, fingerprint: str) -> RefusedError:
        fact = self._quarantined[fingerprint]
        left_s = fact.until - self._timers.wall()
        return RefusedError(
            f"this request repeatedly crashed upstreams (fingerprint {fingerprint})",
            status=422,
            kind="invalid_request_error",
            code="request_quarantined",
            retry_after_s=max(0.0, left_s),
            step="quarantine",
        )

    def _on_config(self, cfg: Config) -> None:
        lifts = [lift for route in cfg.routes for lift in route.quarantine_lifts]
        lifted = frozenset(lift.fingerprint for lift in lifts)
        for fingerprint in self._lifted - lifted:
            # Removing a lift does not restore crashes and quarantines from before.
            self._incidents.clear(fingerprint, self._timers.now())
            self._quarantined.pop(fingerprint, None)
        self._lifted = lifted


def _suspect_error() -> RefusedError:
    return RefusedError(
        "the same request, suspected of crashing an upstream, is already running",
        status=503,
        kind="server_error",
        code="request_suspect",
        retry_after_s=5.0,
        step="quarantine",
    )
