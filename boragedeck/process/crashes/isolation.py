"""Isolation of suspect requests: one run at a time, apart from other suspects."""

from collections.abc import Callable

import eventlet

from boragedeck.ids import RouterId
from boragedeck.interfaces import SlotRequest
from boragedeck.process.crashes.claims import Claim, ClaimAnswer, ClaimClient
from boragedeck.process.crashes.incidents import CrashRecord
from boragedeck.process.placing.upstreams import UpstreamKey
from boragedeck.process.timers import TimerService
from boragedeck.version.tables import RouteKind

__all__ = ["Isolation", "RunGuard", "key_text"]

SHARED_TTL_S = 30.0
EXCLUSIVE_TTL_S = 1.5
"""After this time, suspects of a failed router may run elsewhere."""
RENEW_INTERVAL_S = 0.5
RENEW_SHARED_INTERVAL_S = 10.0
CRASH_MARGIN_TOKENS = 32
"""Number of tokens that a run must generate beyond the point of the crash."""


class RunGuard:
    """The isolation state of one request while it is queued or running.

    Parameters
    ----------
    request : SlotRequest
        The request.
    holder : str
        The holder of the request's claims.
    is_suspect : bool
        Whether the request must run apart from other suspects.
    cleared_at_tokens : int
        Number of generated tokens after which the run has outlived the crashed run
        and the request is no longer a suspect.

    Attributes
    ----------
    is_exclusive : bool
        Whether the claim to run the request is exclusive; it stays so when the request
        is no longer a suspect.
    needs_claim : bool
        Whether the run needs claims at all.
    is_proven : bool
        Whether this run has shown that the request is harmless.
    is_known_good : bool
        Whether the coordinator reported that another run has shown so.
    upstream : UpstreamKey or None
        The upstream on which it runs or is about to run.
    upstreams : tuple of str
        The only upstreams on which it may run, as the coordinator answered; empty for
        any.
    crashed : tuple of str
        The upstreams whose crashes count against the request.
    overflows_at : float
        When it may run on other upstreams than `upstreams`, in monotonic seconds.
    isolated_until_tokens : int
        Number of generated tokens after which it may share its upstream with suspects.
    """

    def __init__(
        self,
        request: SlotRequest,
        holder: str,
        is_suspect: bool,
        cleared_at_tokens: int,
    ):
        self.fingerprint = request.fingerprint
        self.route = request.route.name
        self.holder = holder
        self.is_suspect = is_suspect
        self.is_exclusive = is_suspect
        # Calls are short and frequent, so they need no claim until one has crashed.
        self.needs_claim = is_suspect or request.route.kind is RouteKind.GENERATION
        self.is_proven = False
        self.upstream: UpstreamKey | None = None
        self.crashed: tuple[str, ...] = ()
        self.is_known_good = False
        self.overflows_at = float("inf")
        self.upstreams: tuple[str, ...] = ()
        # A resumed run starts at the point of the crash; any other run must reach it.
        self.isolated_until_tokens = (
            CRASH_MARGIN_TOKENS if request.is_resume else cleared_at_tokens
        )
        self.cleared_at_tokens = cleared_at_tokens


class Isolation:
    """Isolates suspects of a crash from each other by claims.

    Parameters
    ----------
    own : RouterId
        This router.
    claims : ClaimClient
        Sends claims to their coordinators.
    timers : TimerService
        The source of time.

    Attributes
    ----------
    on_upstream_freed : callable
        Called with an upstream that has become free for another suspect.

    Notes
    -----
    An exclusive claim expires soon and is renewed while its run lasts. State: one
    entry for each request that is queued or running in this router.
    """

    def __init__(self, own: RouterId, claims: ClaimClient, timers: TimerService):
        self.on_upstream_freed: Callable[[UpstreamKey], None] = lambda upstream: None
        self._own = own
        self._claims = claims
        self._last_number = 0
        self._running: dict[str, set[str]] = {}
        self._isolated_holders: dict[UpstreamKey, str] = {}
        self._exclusive_guards: dict[str, RunGuard] = {}
        self._shared_guards: dict[str, RunGuard] = {}
        timers.subscribe(RENEW_INTERVAL_S, self.renew)
        timers.subscribe(RENEW_SHARED_INTERVAL_S, self.renew_shared)

    def guard(self, request: SlotRequest, crash_records: list[CrashRecord]) -> RunGuard:
        """Return a guard for a request, given the crashes that count against it."""
        self._last_number += 1
        holder = f"{self._own}/{self._last_number}"
        generated = max((record.generated for record in crash_records), default=0)
        cleared_at_tokens = generated + CRASH_MARGIN_TOKENS
        guard = RunGuard(request, holder, bool(crash_records), cleared_at_tokens)
        guard.crashed = _crashed_upstreams(crash_records)
        return guard

    def claim_run(self, guard: RunGuard) -> bool:
        """Claim the right to run a request; a suspect runs once at a time."""
        running = self._running.get(guard.fingerprint, set())
        if guard.is_suspect and running:
            return False
        # Registered before the claim, so that no other run starts in the meantime.
        self._running.setdefault(guard.fingerprint, running).add(guard.holder)
        if not guard.needs_claim:
            return True
        answer = self._claims.claim(self._run_claim(guard))
        if not answer.is_granted:
            self.end_run(guard)
            return False
        self._apply_answer(guard, answer)
        held = self._exclusive_guards if guard.is_exclusive else self._shared_guards
        held[guard.holder] = guard
        return True

    def may_place(self, guard: RunGuard, upstream: UpstreamKey) -> bool:
        """Return whether no other suspect of this router runs on an upstream."""
        return self._isolated_holders.get(upstream, guard.holder) == guard.holder

    def place(self, guard: RunGuard, upstream: UpstreamKey) -> bool:
        """Claim an upstream for a suspect; return False if another one runs there."""
        self._isolated_holders[upstream] = guard.holder
        is_granted = self._claims.claim(_isolation_claim(guard, upstream)).is_granted
        if not is_granted:
            self._free_upstream(guard)
        return is_granted

    def place_copy(self, guard: RunGuard) -> bool:
        """Claim an upstream for a copy; return False if the claim is denied.

        Notes
        -----
        It is denied, for example, if copies run on two other upstreams.
        """
        if guard.is_known_good or not guard.needs_claim:
            return True
        answer = self._claims.claim(self._run_claim(guard))
        if answer.is_granted:
            self._apply_answer(guard, answer)
            return True
        # Claim again without an upstream, to learn which upstreams are allowed.
        guard.upstream = None
        self._apply_answer(guard, self._claims.claim(self._run_claim(guard)))
        return False

    def end_isolation(self, guard: RunGuard) -> None:
        """Release a run's upstream to other suspects in the background."""
        eventlet.spawn_n(self._end_isolation, guard)

    def release(self, guard: RunGuard) -> None:
        """Release all claims of a run in the background."""
        eventlet.spawn_n(self._release, guard)

    def hold_after_crash(
        self, guard: RunGuard, crash_records: list[CrashRecord]
    ) -> None:
        """Block other runs of a request until every router knows of its crash."""
        guard.crashed = _crashed_upstreams(crash_records)
        eventlet.spawn_n(self._claim_after_crash, guard)

    def renew(self) -> None:
        """Renew the claims of suspects that are queued or running here."""
        for guard in list(self._exclusive_guards.values()):
            if guard.holder not in self._exclusive_guards:
                continue
            self._claims.claim(self._run_claim(guard))
            upstream = guard.upstream
            if (
                upstream is not None
                and self._isolated_holders.get(upstream) == guard.holder
            ):
                self._claims.claim(_isolation_claim(guard, upstream))

    def renew_shared(self) -> None:
        """Renew the claims of runs whose request is not yet proven harmless."""
        for guard in list(self._shared_guards.values()):
            if guard.holder in self._shared_guards and not guard.is_known_good:
                self._claims.claim(self._run_claim(guard))

    def end_run(self, guard: RunGuard) -> None:
        """Record that a run has ended in this router."""
        self._exclusive_guards.pop(guard.holder, None)
        self._shared_guards.pop(guard.holder, None)
        running = self._running.get(guard.fingerprint, set())
        running.discard(guard.holder)
        if not running:
            self._running.pop(guard.fingerprint, None)

    def _run_claim(self, guard: RunGuard) -> Claim:
        """Return the claim to run a request; this router holds those of suspects."""
        key = _run_key(guard.fingerprint)
        upstream = "" if guard.upstream is None else key_text(guard.upstream)
        if not guard.is_exclusive:
            return Claim(key, guard.holder, False, SHARED_TTL_S, (), upstream)
        return Claim(key, self._own, True, EXCLUSIVE_TTL_S, guard.crashed, upstream)

    def _apply_answer(self, guard: RunGuard, answer: ClaimAnswer) -> None:
        guard.is_known_good = answer.is_proven
        guard.upstreams = answer.upstreams

    def _claim_after_crash(self, guard: RunGuard) -> None:
        self._end_isolation(guard)
        if guard.is_exclusive:
            return
        guard.is_exclusive = guard.needs_claim = True
        # The coordinator must learn of the crash before the shared claim is released.
        self._claims.claim(self._run_claim(guard))
        self._claims.release(_run_key(guard.fingerprint), guard.holder, is_proven=False)

    def _release(self, guard: RunGuard) -> None:
        self._exclusive_guards.pop(guard.holder, None)
        if not guard.needs_claim:
            return
        self._end_isolation(guard)
        holder = self._own if guard.is_exclusive else guard.holder
        key = _run_key(guard.fingerprint)
        self._claims.release(key, holder, is_proven=guard.is_proven)

    def _end_isolation(self, guard: RunGuard) -> None:
        if guard.is_exclusive and guard.upstream is not None:
            self._free_upstream(guard)
            key = _isolation_key(guard.upstream)
            self._claims.release(key, guard.holder, is_proven=False)

    def _free_upstream(self, guard: RunGuard) -> None:
        if self._isolated_holders.get(guard.upstream) == guard.holder:
            del self._isolated_holders[guard.upstream]
            self.on_upstream_freed(guard.upstream)


def key_text(upstream: UpstreamKey) -> str:
    """Return an upstream's key as ``"pool/upstream"``."""
    return f"{upstream.pool}/{upstream.upstream}"


def _run_key(fingerprint: str) -> str:
    return f"run/{fingerprint}"


def _crashed_upstreams(crash_records: list[CrashRecord]) -> tuple[str, ...]:
    return tuple(key_text(record.upstream) for record in crash_records)


def _isolation_claim(guard: RunGuard, upstream: UpstreamKey) -> Claim:
    return Claim(_isolation_key(upstream), guard.holder, True, EXCLUSIVE_TTL_S)


def _isolation_key(upstream: UpstreamKey) -> str:
    return f"apart/{key_text(upstream)}"
