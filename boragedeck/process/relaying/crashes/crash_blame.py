"""What this router contributes to, and knows of, the verdicts on crashes."""

from collections.abc import Callable

from boragedeck.process.relaying.crashes.crash_admission import CrashAdmission
from boragedeck.process.relaying.crashes.crash_identity import RequestTraits
from boragedeck.process.relaying.crashes.crash_messages import CrashSuspect
from boragedeck.process.relaying.crashes.crash_reports import CrashReports
from boragedeck.process.relaying.crashes.output_reports import OutputReports
from boragedeck.process.relaying.replicas.replica_state import ReplicaState

__all__ = ["CrashBlame"]


class CrashBlame:
    """The part that relaying a request uses: admission, and reports to the judge.

    Parameters
    ----------
    admission : CrashAdmission
        Decides which requests may be sent.
    crashes : CrashReports
        Reports replicas that crash.
    output : OutputReports
        Reports requests that crash none.
    on_blamed : set of callable
        Called when something is blamed; see `is_blamed`.
    """

    def __init__(
        self,
        admission: CrashAdmission,
        crashes: CrashReports,
        output: OutputReports,
        on_blamed: set[Callable[[], None]],
    ):
        self._admission = admission
        self._crashes = crashes
        self._output = output
        self.on_blamed = on_blamed

    def is_blamed(self, traits: RequestTraits) -> bool:
        """See `CrashAdmission.is_blamed`."""
        return self._admission.is_blamed(traits)

    def is_suspected(self, traits: RequestTraits) -> bool:
        """See `CrashAdmission.is_suspected`."""
        return self._admission.is_suspected(traits)

    def admits(self, traits: RequestTraits, request_id: str = "") -> bool:
        """See `CrashAdmission.admits`."""
        return self._admission.admits(traits, request_id)

    def note_broken(
        self,
        suspect: CrashSuspect | None,
        state: ReplicaState,
        *,
        is_silent: bool = False,
    ) -> None:
        """See `CrashReports.note_broken`."""
        self._crashes.note_broken(suspect, state, is_silent=is_silent)

    def note_lost(self, state: ReplicaState) -> None:
        """See `CrashReports.note_lost`."""
        self._crashes.note_lost(state)

    def note_output(self, traits: RequestTraits, began_at: float) -> None:
        """See `OutputReports.note_output`."""
        self._output.note_output(traits, began_at)
