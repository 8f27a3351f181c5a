"""The components of the process that relaying uses."""

import math
import random
from collections.abc import Callable

import msgspec

from boragedeck.connection.caller_channel import CallerChannel
from boragedeck.connection.http_message import Headers
from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.exceptions import RefusedError
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.crashes.crash_blame import CrashBlame
from boragedeck.process.relaying.limits.limited_admission import LimitedAdmission
from boragedeck.process.relaying.paths.replica_paths import ReplicaPaths
from boragedeck.process.relaying.placing.admission import Admission
from boragedeck.process.relaying.placing.durations import RequestDurations
from boragedeck.process.relaying.placing.stream_pace import StreamTimeEstimator
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_notices import ReplicaNotices
from boragedeck.process.relaying.replicas.replica_successors import ReplicaSuccessors
from boragedeck.process.relaying.retries.retry_share import RetryShare
from boragedeck.process.relaying.rollouts.rollouts import RelayRollouts
from boragedeck.process.relaying.scheduling.urgency import UrgencyRanks
from boragedeck.process.relaying.speeds.replica_speeds import ReplicaSpeeds
from boragedeck.process.relaying.tables.table_ages import TableAges
from boragedeck.process.timers import TimerService
from boragedeck.request.open_requests import OpenRequests
from boragedeck.request.relay_request import ReplicaProtocol
from boragedeck.version.routing import RoutingTable

__all__ = ["RelayComponents", "log", "respond_refusal"]

log = PartLog("relay")


class RelayComponents(msgspec.Struct, frozen=True):
    """The components of the process that relaying uses.

    Parameters
    ----------
    timers : TimerService
        The clock and timers.
    rng : random.Random
        The random number generator.
    table : callable
        Returns the routing table in force.
    table_ages : TableAges
        Tells how old the tables are by which a request is decided.
    admission : Admission
        Grants places at replicas.
    limited_admission : LimitedAdmission
        Grants places within the limits that replicas name.
    registry : ReplicaRegistry
        The known replicas.
    upstreams : UpstreamPool
        The connections to replicas.
    paths : ReplicaPaths
        Sends requests on these connections or through other routers.
    notices : ReplicaNotices
        Processes the notices that replicas send in the heads of their answers.
    protocol : ReplicaProtocol
        Encodes requests and interprets answers.
    successors : ReplicaSuccessors
        Replaces replicas whose addresses belong to others now.
    retries : RetryShare
        Limits repeated attempts.
    rollouts : RelayRollouts
        Decides which versions may serve a request, and records how attempts ended.
    durations : RequestDurations
        Estimates how long requests take.
    pace : StreamTimeEstimator
        Estimates how long streams take.
    speeds : ReplicaSpeeds
        Learns how fast replicas are.
    crash_blame : CrashBlame
        Knows which requests crash replicas.
    metrics : RelayMetrics
        The metrics of relaying.
    time_left : callable
        Returns how long this process will still serve requests, in seconds.
    open_requests : OpenRequests
        The requests that are being relayed.
    refusal_headers : callable
        Returns the headers of a refusal by the router, given the request's id and
        the value of Retry-After in seconds.
    is_late_in_stop : callable, optional
        Returns whether this process stops, and must not end what it takes from now on.
    urgency_ranks : UrgencyRanks, optional
        Ranks the requests to each pool by urgency.
    """

    timers: TimerService
    rng: random.Random
    table: Callable[[], RoutingTable]
    table_ages: TableAges
    admission: Admission
    limited_admission: LimitedAdmission
    registry: ReplicaRegistry
    upstreams: UpstreamPool
    paths: ReplicaPaths
    notices: ReplicaNotices
    protocol: ReplicaProtocol
    successors: ReplicaSuccessors
    retries: RetryShare
    rollouts: RelayRollouts
    durations: RequestDurations
    pace: StreamTimeEstimator
    speeds: ReplicaSpeeds
    crash_blame: CrashBlame
    metrics: RelayMetrics
    time_left: Callable[[], float]
    open_requests: OpenRequests
    refusal_headers: Callable[[str | None, float | None], Headers]
    is_late_in_stop: Callable[[], bool] = lambda: False
    urgency_ranks: UrgencyRanks = msgspec.field(default_factory=UrgencyRanks)

    def stop_left_s(self) -> float | None:
        """Return the time until a stop ends this process, in seconds; None if none."""
        left_s = self.time_left()
        return None if math.isinf(left_s) else round(left_s, 3)


def respond_refusal(
    parts: RelayComponents,
    request_id: str | None,
    error: RefusedError,
    channel: CallerChannel,
) -> None:
    """Send a refusal by the router to the caller."""
    headers = parts.refusal_headers(request_id, error.retry_after_s)
    channel.respond(error.status, headers, error.message.encode())
