"""What routers tell each other of the speeds of replicas, beside the loads."""

import msgspec

from boragedeck.ids import RouterId
from boragedeck.process.relaying.replicas.replica_state import Run
from boragedeck.version.replicas import ReplicaId

__all__ = ["MAX_SPEED_RATIO", "RunSpeed", "SpeedSample", "StreamTimes"]

MAX_SPEED_RATIO = 5.0
"""Largest ratio of a speed to the median that is believed, and of the median to a
speed, so that no engine is left out for good."""
MIN_TIME_S = 1e-9
"""Minimum value of a sample that is believed. The ratio of two smaller ones may be 0.0
or infinite."""
MAX_TIME_S = 3600.0
"""Maximum value and age of a sample that is believed."""


class StreamTimes(msgspec.Struct, frozen=True):
    """What one stream shows of the speed of its replica.

    Parameters
    ----------
    read_s : float
        Time to read a prompt token, in seconds.
    event_s : float
        Time between two events, in seconds.

    Notes
    -----
    Relative times are ratios to those of the pool, without a unit.
    """

    read_s: float
    event_s: float


class SpeedSample(msgspec.Struct, frozen=True, array_like=True):
    """The times of one stream that a router has served.

    Parameters
    ----------
    router : RouterId
        The router that served the stream.
    number : int
        Counts the samples of that router.
    replica : ReplicaId
        The replica.
    born_ms : int
        When the run of the replica started, in Unix milliseconds.
    age_s : float
        How long ago the sample was taken when it is sent, in seconds.
    read_s, event_s : float
        As in `StreamTimes`.
    """

    router: RouterId
    number: int
    replica: ReplicaId
    born_ms: int
    age_s: float
    read_s: float
    event_s: float

    @property
    def run(self) -> Run:
        """The run of the replica."""
        return Run(self.replica, self.born_ms)

    @property
    def is_valid(self) -> bool:
        """Whether all values are possible ones."""
        times_s = self.read_s, self.event_s
        has_times = all(MIN_TIME_S <= time_s <= MAX_TIME_S for time_s in times_s)
        return has_times and 0.0 <= self.age_s <= MAX_TIME_S


class RunSpeed(msgspec.Struct, frozen=True, array_like=True):
    """The speed of one run of a replica, as a hub estimates it.

    Parameters
    ----------
    replica : ReplicaId
        The replica.
    born_ms : int
        When the run started, in Unix milliseconds.
    speed : float
        The speed relative to the median of the pool; 1.0 if unknown.
    samples : int
        Number of samples on which it is based.
    age_s : float
        Age of the newest sample, in seconds.
    """

    replica: ReplicaId
    born_ms: int
    speed: float = 1.0
    samples: int = 0
    age_s: float = 0.0

    @property
    def run(self) -> Run:
        """The run of the replica."""
        return Run(self.replica, self.born_ms)

    @property
    def is_valid(self) -> bool:
        """Whether the speed is a possible one."""
        return 1.0 / MAX_SPEED_RATIO <= self.speed <= MAX_SPEED_RATIO
