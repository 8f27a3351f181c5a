"""Where a stream that was lost goes on with the least to be read again.

The load this answers: failure domains of engines that go down one after the other, and
connections that break while their engines live. Reading a prompt again takes a second,
in which every stream beside it stands still.
"""

from boragedeck.connection.peer import Address
from boragedeck.process.relaying.admission import Place
from boragedeck.process.relaying.replica_state import ReplicaState
from boragedeck.request.relay_job import RelayJob
from boragedeck.version.replicas import ReplicaId

__all__ = ["StreamRecovery"]


class StreamRecovery:
    """Remembers which engines have something of one stream.

    Parameters
    ----------
    job : RelayJob
        The stream.

    Attributes
    ----------
    is_on_copy : bool
        Whether the place that was given last holds a copy of the run.
    """

    def __init__(self, job: RelayJob):
        self._job = job
        self._holder: ReplicaState | None = None
        self._warm: ReplicaState | None = None
        self._returned_to: set[ReplicaId] = set()
        self.is_on_copy = False

    def place(self, position: int | None) -> Place | None:
        """Return a place where part of the stream is; None where there is none.

        Parameters
        ----------
        position : int or None
            The last event that the caller has.
        """
        holder = None if position is None else self._copy_holder()
        self.is_on_copy = holder is not None
        self._holder = None
        state = holder or self._warm_engine()
        if state is None:
            return None
        job = self._job
        return job.parts.admission.reserve(job.ask(job.deadline), state)

    def note_copied(self, holder: ReplicaState | None) -> None:
        """Note which engine holds a copy of the run that has begun."""
        self._holder = holder

    def note_moved(self, address: Address) -> None:
        """Note that another replica is where a copy was looked for.

        Notes
        -----
        The copy may have been begun after the engine started again.
        """
        if self.is_on_copy:
            self._holder = self._job.parts.registry.at(address)

    def note_broken(self, state: ReplicaState) -> None:
        """Note that the connection to an engine broke under the run."""
        self._warm = state

    def _copy_holder(self) -> ReplicaState | None:
        """Return the engine that can go on from the copy of a lost run.

        Notes
        -----
        A copy lies at an address. Where the engine there has another id by now, this
        router may only have learnt late of its restart.
        """
        holder, job = self._holder, self._job
        if holder is not None and holder.is_removed:
            holder = job.parts.registry.at(holder.replica.address)
        if holder is None or holder.replica.pool != job.pool_name:
            return None
        now = job.parts.timers.now()
        is_avoided = holder.avoid_until > now
        return holder if holder.can_accept(now) and not is_avoided else None

    def _warm_engine(self) -> ReplicaState | None:
        """Return the engine that broke the run off, which may still have its prompt.

        Notes
        -----
        A broken connection isn't the end of its engine, which then has nothing to read
        again. One that did end refuses the connection at once. Each is tried once more.
        """
        warm, self._warm = self._warm, None
        if warm is None or not warm.can_accept(self._job.parts.timers.now()):
            return None
        if warm.replica.replica in self._returned_to:
            return None
        self._returned_to.add(warm.replica.replica)
        return warm
