"""Selects the engine at which a lost stream resumes with the least work repeated.

This matters when failure domains of engines fail one after the other, and when
connections break while their engines keep running. Reading a prompt again takes a
second, during which all other streams of the engine pause.
"""

from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.request.relay_job import RelayJob
from boragedeck.request.stream_attempt import StreamAttempt
from boragedeck.version.replicas import ReplicaId

__all__ = ["StreamRecovery"]


class StreamRecovery:
    """Chooses places for the further attempts of one stream.

    Parameters
    ----------
    job : RelayJob
        The stream.
    """

    def __init__(self, job: RelayJob):
        self._job = job
        self._prompt_holder: ReplicaState | None = None
        self._retried_replicas: set[ReplicaId] = set()

    def note_broken(self, state: ReplicaState) -> None:
        """Record that the connection to an engine broke during the run."""
        self._prompt_holder = state

    def reserve(self, state: ReplicaState) -> Place | None:
        """Return a place at an engine that holds the run or its prompt, if allowed."""
        job = self._job
        req = job.places.request(job.deadline)
        return job.parts.limited_admission.reserve(req, state)

    def copy_holder(self, attempt: StreamAttempt) -> ReplicaState | None:
        """Return the engine that can resume an attempt's run from its copy.

        None if there is no copy, or it was used up, or its engine accepts no requests
        or is avoided.

        Notes
        -----
        A copy belongs to an address. If the engine there has another id now, this
        router may have learnt late of its restart.
        """
        job, holder = self._job, attempt.copy_holder
        if attempt.is_copy_used:
            return None
        if holder is not None and holder.is_removed:
            holder = job.parts.registry.at(holder.replica.address)
        if holder is None or holder.replica.pool != job.pool_name:
            return None
        now = job.parts.timers.now()
        is_avoided = holder.avoid_until > now or holder.is_silent(now)
        return holder if holder.can_accept(now) and not is_avoided else None

    def prompt_holder(self) -> ReplicaState | None:
        """Return the engine whose connection broke, if it may still hold the prompt.

        Notes
        -----
        The engine may still be running after its connection broke, and then need not
        read the prompt again. If it is not running, it refuses the connection at once.
        Each engine is retried once.
        """
        holder, self._prompt_holder = self._prompt_holder, None
        if holder is None or not holder.can_accept(self._job.parts.timers.now()):
            return None
        if holder.replica.replica in self._retried_replicas:
            return None
        self._retried_replicas.add(holder.replica.replica)
        return holder
