"""Tracks how far an attempt's answer has come, to tell what may crash its replica.

A request that crashes replicas does so when its answer begins. If its output has lasted
for a while, neither the request nor any part of its prompt has crashed the replica.
"""

from boragedeck.process.relaying.crashes.crash_blame import CrashBlame
from boragedeck.process.relaying.crashes.crash_identity import RequestTraits
from boragedeck.process.relaying.replicas.replica_state import ReplicaState

__all__ = ["AnswerProgress"]

LASTING_S = 0.3
"""How long output lasts before it proves its request harmless. The first event may
arrive although the replica crashes right after it."""


class AnswerProgress:
    """The progress of the answer of one attempt.

    Parameters
    ----------
    crash_blame : CrashBlame
        Told of lasting output and of broken connections.
    traits : RequestTraits
        What the request may have in common with requests that crash replicas.
    """

    def __init__(self, crash_blame: CrashBlame, traits: RequestTraits):
        self._crash_blame = crash_blame
        self._traits = traits
        self._began_at: float | None = None
        # Whether the request has been named for a broken connection, or a silence.
        self._is_reported = False
        self.has_begun = False
        self.is_lasting = False

    @property
    def is_at_begin(self) -> bool:
        """Whether the answer has begun, and its output hasn't lasted."""
        return self.has_begun and not self.is_lasting

    def note_head(self) -> None:
        """Record that the head of a success has arrived."""
        self.has_begun = True

    def note_output(self, now: float) -> None:
        """Record that a part of the answer has arrived."""
        if self._began_at is None:
            self._began_at = now
        elif now - self._began_at >= LASTING_S:
            self._note_lasting()

    def note_complete(self, now: float) -> None:
        """Record that the answer is complete."""
        if self._began_at is None:
            self._began_at = now
        self._note_lasting()

    def note_broken(self, state: ReplicaState, *, is_silent: bool = False) -> None:
        """Record that the replica broke the connection, or sends nothing any more."""
        suspect = None
        if not (self.is_lasting or self._is_reported):
            self._is_reported = True
            suspect = self._traits.suspect(has_begun=self.has_begun)
        self._crash_blame.note_broken(suspect, state, is_silent=is_silent)

    def _note_lasting(self) -> None:
        if not self.is_lasting:
            self.is_lasting = True
            self._crash_blame.note_output(self._traits, self._began_at)
