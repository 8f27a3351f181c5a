"""Runs of one request: once at a time where it is suspect, and apart from others."""

from collections.abc import Callable

import eventlet

from boragedeck.ids import RouterId
from boragedeck.interfaces import SlotRequest
from boragedeck.process.claims import Claim, ClaimAnswer, Claims
from boragedeck.process.incidents import CrashMark
from boragedeck.process.timers import TimerService
from boragedeck.process.upstreams import UpstreamKey
from boragedeck.version.tables import RouteKind

__all__ = ["Isolation", "RunGuard", "key_text"]

SHARED_TTL_S = 30.0
EXCLUSIVE_TTL_S = 1.5
"""A dead router's suspects may run elsewhere after this time."""
RENEW_INTERVAL_S = 0.5
RENEW_SHARED_INTERVAL_S = 10.0
PASSED_TOKENS = 32


class RunGuard:
    """Stands for one request while it is queued and runs.

    Parameters
    ----------
    wanted : SlotRequest
        The request.
    holder : str
        Names the request among claims.
    is_suspect : bool
        Whether the request must run apart from other suspects.
    outlives_at : int
        Tokens after which the run has outlived the one that crashed.
    """

    def __init__(
        self, wanted: SlotRequest, holder: str, is_suspect: bool, outlives_at: int
    ):
        self.fingerprint = wanted.fingerprint
        self.route = wanted.route.name
        self.holder = holder
        self.is_suspect = is_suspect
        self.is_exclusive = is_suspect
        # Calls are short and many; until a crash they need no keeper's word.
        self.is_claimed = is_suspect or wanted.route.kind is RouteKind.GENERATION
        self.is_proven = False
        self.upstream: UpstreamKey | None = None
        self.crashed: tuple[str, ...] = ()
        self.is_known_good = False
        self.overflows_at = float("inf")
        self.upstreams: tuple[str, ...] = ()
        # A resumed run starts at the point of the crash; another run must get there.
        self.passes_at = PASSED_TOKENS if wanted.is_resume else outlives_at
        self.outlives_at = outlives_at


class Isolation:
    """Claims that keep suspects of a crash apart.

    Parameters
    ----------
    own : RouterId
        This router.
    claims : Claims
        Grants claims on behalf of all routers.
    timers : TimerService
        The source of time.

    Attributes
    ----------
    on_freed : callable
        Called with an upstream on which a further suspect may run.

    Notes
    -----
    An exclusive claim is short and renewed while its run lasts. State: one entry for
    each request that is queued or runs in this router.
    """

    def __init__(self, own: RouterId, claims: Claims, timers: TimerService):
        self.on_freed: Callable[[UpstreamKey], None] = lambda upstream: None
        self._own = own
        self._claims = claims
        self._numbers = 0
        self._running: dict[str, set[str]] = {}
        self._apart: dict[UpstreamKey, str] = {}
        self._exclusive: dict[str, RunGuard] = {}
        self._shared: dict[str, RunGuard] = {}
        timers.subscribe(RENEW_INTERVAL_S, self.renew)
        timers.subscribe(RENEW_SHARED_INTERVAL_S, self.renew_shared)

    def guard(self, wanted: SlotRequest, marks: list[CrashMark]) -> RunGuard:
        """Return a guard for a request against which these crashes count."""
        self._numbers += 1
        holder = f"{self._own}/{self._numbers}"
        generated = max((mark.generated for mark in marks), default=0)
        outlives_at = generated + PASSED_TOKENS
        guard = RunGuard(wanted, holder, bool(marks), outlives_at)
        guard.crashed = _crashed(marks)
        return guard

    def claim_run(self, guard: RunGuard) -> bool:
        """Claim that a request may run; a suspect runs once at a time."""
        running = self._running.get(guard.fingerprint, set())
        if guard.is_suspect and running:
            return False
        # Named at once, so that no other run of it starts meanwhile.
        self._running.setdefault(guard.fingerprint, running).add(guard.holder)
        if not guard.is_claimed:
            return True
        answer = self._claims.claim(self._run_claim(guard))
        if not answer.is_granted:
            self.forget(guard)
            return False
        self._take(guard, answer)
        held = self._exclusive if guard.is_exclusive else self._shared
        held[guard.holder] = guard
        return True

    def may_place(self, guard: RunGuard, upstream: UpstreamKey) -> bool:
        """Return whether no other suspect of this router is on an upstream."""
        return self._apart.get(upstream, guard.holder) == guard.holder

    def place(self, guard: RunGuard, upstream: UpstreamKey) -> bool:
        """Claim an upstream for a suspect; False where another one is there."""
        self._apart[upstream] = guard.holder
        is_granted = self._claims.claim(_apart_claim(guard, upstream)).is_granted
        if not is_granted:
            self._leave_upstream(guard)
        return is_granted

    def place_copy(self, guard: RunGuard) -> bool:
        """State where a request runs; False where its copies fill two upstreams."""
        if guard.is_known_good or not guard.is_claimed:
            return True
        answer = self._claims.claim(self._run_claim(guard))
        if answer.is_granted:
            self._take(guard, answer)
            return True
        # Ask again without a place, to learn which upstreams are left.
        guard.upstream = None
        self._take(guard, self._claims.claim(self._run_claim(guard)))
        return False

    def end_isolation(self, guard: RunGuard) -> None:
        """Let other suspects use a run's upstream, without waiting."""
        eventlet.spawn_n(self._end_isolation, guard)

    def release(self, guard: RunGuard) -> None:
        """Give all claims of a run back, without waiting."""
        eventlet.spawn_n(self._release, guard)

    def hold_after_crash(self, guard: RunGuard, marks: list[CrashMark]) -> None:
        """Keep others from running a request until all know of its crash."""
        guard.crashed = _crashed(marks)
        eventlet.spawn_n(self._hold, guard)

    def renew(self) -> None:
        """Renew the claims of suspects that are queued or run here."""
        for guard in list(self._exclusive.values()):
            if guard.holder not in self._exclusive:
                continue
            self._claims.claim(self._run_claim(guard))
            upstream = guard.upstream
            if upstream is not None and self._apart.get(upstream) == guard.holder:
                self._claims.claim(_apart_claim(guard, upstream))

    def renew_shared(self) -> None:
        """Renew the claims of runs that no completed one has proven harmless."""
        for guard in list(self._shared.values()):
            if guard.holder in self._shared and not guard.is_known_good:
                self._claims.claim(self._run_claim(guard))

    def forget(self, guard: RunGuard) -> None:
        """Count a run as ended in this router."""
        self._exclusive.pop(guard.holder, None)
        self._shared.pop(guard.holder, None)
        running = self._running.get(guard.fingerprint, set())
        running.discard(guard.holder)
        if not running:
            self._running.pop(guard.fingerprint, None)

    def _run_claim(self, guard: RunGuard) -> Claim:
        """Return the claim to run a request, for all suspects here in one name."""
        key = _run_key(guard.fingerprint)
        upstream = "" if guard.upstream is None else key_text(guard.upstream)
        if not guard.is_exclusive:
            return Claim(key, guard.holder, False, SHARED_TTL_S, (), upstream)
        return Claim(key, self._own, True, EXCLUSIVE_TTL_S, guard.crashed, upstream)

    def _take(self, guard: RunGuard, answer: ClaimAnswer) -> None:
        guard.is_known_good = answer.is_proven
        guard.upstreams = answer.upstreams

    def _hold(self, guard: RunGuard) -> None:
        self._end_isolation(guard)
        if guard.is_exclusive:
            return
        guard.is_exclusive = guard.is_claimed = True
        # The keeper hears of the crash before it frees the shared place.
        self._claims.claim(self._run_claim(guard))
        self._claims.release(_run_key(guard.fingerprint), guard.holder, is_proven=False)

    def _release(self, guard: RunGuard) -> None:
        self._exclusive.pop(guard.holder, None)
        if not guard.is_claimed:
            return
        self._end_isolation(guard)
        holder = self._own if guard.is_exclusive else guard.holder
        key = _run_key(guard.fingerprint)
        self._claims.release(key, holder, is_proven=guard.is_proven)

    def _end_isolation(self, guard: RunGuard) -> None:
        if guard.is_exclusive and guard.upstream is not None:
            self._leave_upstream(guard)
            key = _upstream_claim(guard.upstream)
            self._claims.release(key, guard.holder, is_proven=False)

    def _leave_upstream(self, guard: RunGuard) -> None:
        if self._apart.get(guard.upstream) == guard.holder:
            del self._apart[guard.upstream]
            self.on_freed(guard.upstream)


def key_text(upstream: UpstreamKey) -> str:
    """Return an upstream's name as text."""
    return f"{upstream.pool}/{upstream.upstream}"


def _run_key(fingerprint: str) -> str:
    return f"run/{fingerprint}"


def _crashed(marks: list[CrashMark]) -> tuple[str, ...]:
    return tuple(key_text(mark.upstream) for mark in marks)


def _apart_claim(guard: RunGuard, upstream: UpstreamKey) -> Claim:
    return Claim(_upstream_claim(upstream), guard.holder, True, EXCLUSIVE_TTL_S)


def _upstream_claim(upstream: UpstreamKey) -> str:
    return f"apart/{key_text(upstream)}"
