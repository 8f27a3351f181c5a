"""Selects the engine at which a lost stream resumes with the least work repeated.

This matters when failure domains of engines fail one after the other, and when
connections break while their engines keep running. Reading a prompt again takes a
second, during which all other streams of the engine pause.
"""

from boragedeck.connection.peer import Address
from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.request.relay_job import RelayJob
from boragedeck.version.replicas import ReplicaId

__all__ = ["StreamRecovery"]


class StreamRecovery:
    """Tracks which engines hold a copy or the prompt of one stream.

    Parameters
    ----------
    job : RelayJob
        The stream.

    Attributes
    ----------
    resumes_from_copy : bool
        Whether the place returned last is at an engine with a copy of the run.
    """

    def __init__(self, job: RelayJob):
        self._job = job
        self._copy_holder: ReplicaState | None = None
        self._prompt_holder: ReplicaState | None = None
        self._retried_replicas: set[ReplicaId] = set()
        self.resumes_from_copy = False

    def place(self, position: int | None) -> Place | None:
        """Return a place at an engine that holds a copy of the run or the prompt.

        None if no such engine accepts requests.

        Parameters
        ----------
        position : int or None
            Number of the last event that the caller has received.
        """
        holder = None if position is None else self._usable_copy_holder()
        self.resumes_from_copy = holder is not None
        self._copy_holder = None
        state = holder or self._usable_prompt_holder()
        if state is None:
            return None
        job = self._job
        req = job.admission_request(job.deadline)
        place = job.parts.limited_admission.reserve(req, state)
        self.resumes_from_copy = self.resumes_from_copy and place is not None
        return place

    def note_copy_holder(self, holder: ReplicaState | None) -> None:
        """Record which engine holds a copy of the run that has started."""
        self._copy_holder = holder

    def note_moved(self, address: Address) -> None:
        """Record that another replica has the address where a copy was expected.

        Notes
        -----
        The copy may have been started after the engine restarted.
        """
        if self.resumes_from_copy:
            self._copy_holder = self._job.parts.registry.at(address)

    def note_broken(self, state: ReplicaState) -> None:
        """Record that the connection to an engine broke during the run."""
        self._prompt_holder = state

    def _usable_copy_holder(self) -> ReplicaState | None:
        """Return the engine that can resume a lost run from its copy.

        Notes
        -----
        A copy belongs to an address. If the engine there has another id now, this
        router may have learnt late of its restart.
        """
        holder, job = self._copy_holder, self._job
        if holder is not None and holder.is_removed:
            holder = job.parts.registry.at(holder.replica.address)
        if holder is None or holder.replica.pool != job.pool_name:
            return None
        now = job.parts.timers.now()
        is_avoided = holder.avoid_until > now
        return holder if holder.can_accept(now) and not is_avoided else None

    def _usable_prompt_holder(self) -> ReplicaState | None:
        """Return the engine whose connection broke, if it may still hold the prompt.

        Notes
        -----
        The engine may still be running after its connection broke, and then need not
        read the prompt again. If it is not running, it refuses the connection at once.
        Each engine is retried once.
        """
        prompt_holder, self._prompt_holder = self._prompt_holder, None
        if prompt_holder is None or not prompt_holder.can_accept(
            self._job.parts.timers.now()
        ):
            return None
        if prompt_holder.replica.replica in self._retried_replicas:
            return None
        self._retried_replicas.add(prompt_holder.replica.replica)
        return prompt_holder
