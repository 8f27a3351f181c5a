"""Builds the parts by which requests reach replicas, directly or through a router."""

import random
from collections.abc import Callable

import msgspec
from eventlet.greenio import GreenSocket

from boragedeck.connection.caller_edge import MAX_CONNECTIONS, CallerEdge
from boragedeck.connection.connection_table import PEER_SHARE, connection_bounds
from boragedeck.connection.exchange import DEFAULT_IDLE_S
from boragedeck.connection.forwarding import (
    ForwardedExchange,
    ForwardFailure,
    failure_headers,
)
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.connection.reservation import ReservationService
from boragedeck.connection.resource_limits import ResourceLimits
from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.interfaces import Member, Membership
from boragedeck.process.relaying.paths.gateway_sender import GatewaySender
from boragedeck.process.relaying.paths.gateways import Gateways
from boragedeck.process.relaying.paths.path_checks import PathChecker
from boragedeck.process.relaying.paths.replica_paths import ReplicaPaths
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_notices import ReplicaNotices
from boragedeck.process.timers import TimerService
from boragedeck.request.forward import Forwarder
from boragedeck.request.relay_request import ReplicaProtocol
from boragedeck.version.routing import CallerLimits

__all__ = ["forward_address", "forward_limits", "make_forward_edge", "make_paths"]

FORWARD_HEADER_BYTES = 4_096
"""Size of the headers that routers add to a caller's."""
MIN_FORWARD_HEADER_BYTES = 64 * 1024
MIN_FORWARD_BODY_BYTES = 16 * 1024 * 1024
"""Lower limits of the size that a forwarded request may have."""
MIN_FORWARD_IDLE_S = 2 * DEFAULT_IDLE_S
"""Lower limit of how long a connection between routers may be idle. A sender doesn't
reuse one for so long, so its request doesn't cross the close."""
EXPIRE_INTERVAL_S = 1.0


def forward_address(member: Member) -> Address:
    """Return where a router accepts requests to forward: at the port after its own."""
    return Address(member.address.host, member.address.port + 1)


def forward_limits(limits: CallerLimits) -> CallerLimits:
    """Return the limits of forwarded requests, given those of callers' requests.

    Notes
    -----
    The router that has the caller has applied the limits of its own table, which may be
    another version than this router's.
    """
    header_bytes = max(limits.header_bytes, MIN_FORWARD_HEADER_BYTES)
    return msgspec.structs.replace(
        limits,
        header_bytes=header_bytes + FORWARD_HEADER_BYTES,
        body_bytes=max(limits.body_bytes, MIN_FORWARD_BODY_BYTES),
        idle_timeout_s=max(limits.idle_timeout_s, MIN_FORWARD_IDLE_S),
    )


def make_paths(
    timers: TimerService,
    rng: random.Random,
    upstreams: UpstreamPool,
    registry: ReplicaRegistry,
    membership: Membership,
    links: PeerLinks,
    server: PeerServer,
    metrics: RelayMetrics,
    gateway_address: Callable[[Member], Address] = forward_address,
) -> ReplicaPaths:
    """Return the paths from this router to the replicas.

    Parameters
    ----------
    timers, rng, upstreams, registry, membership, links, server, metrics
        Parts of the router.
    gateway_address : callable, optional
        Returns where another router accepts requests to forward.
    """
    checker = PathChecker(
        timers,
        rng,
        upstreams,
        membership,
        links,
        server,
        lambda address: registry.at(address) is not None,
        lambda address: paths.state_of(address),
    )
    forwards = UpstreamPool(timers, exchange_type=ForwardedExchange)
    timers.subscribe(EXPIRE_INTERVAL_S, forwards.expire)
    gateways = Gateways(timers, rng, membership, gateway_address)
    sender = GatewaySender(forwards, gateways, metrics)
    paths = ReplicaPaths(
        timers, upstreams, sender, checker, gateways, registry.addresses, metrics
    )
    paths.on_reached = registry.note_path_changed
    return paths


def make_forward_edge(
    listener: GreenSocket,
    timers: TimerService,
    registry: ReplicaRegistry,
    upstreams: UpstreamPool,
    paths: ReplicaPaths,
    notices: ReplicaNotices,
    protocol: ReplicaProtocol,
    metrics: RelayMetrics,
    limits: Callable[[], CallerLimits],
    time_left: Callable[[], float],
    reservations: ReservationService | None = None,
    resources: ResourceLimits | None = None,
) -> CallerEdge:
    """Return the server at which other routers let this one forward requests.

    Parameters
    ----------
    listener : socket
        The socket to which they connect.
    timers, registry, upstreams, paths, notices, protocol, metrics
        Parts of the router.
    limits : callable
        Returns the limits of callers' requests; see `forward_limits`.
    time_left : callable
        Returns how long this process will still serve requests, in seconds.
    reservations : ReservationService, optional
        Reserves the bytes that are held for them; without a limit by default.
    resources : ResourceLimits, optional
        What the process may use; without it, only the number of connections is bounded.

    Notes
    -----
    Idle connections of other routers aren't closed for new ones.
    """
    max_fds = None if resources is None else resources.max_fds
    buffer_bytes = None if resources is None else resources.send_buffer_bytes
    forwarder = Forwarder(
        timers,
        registry,
        upstreams,
        notices,
        protocol,
        paths.state_of,
        time_left,
        metrics,
    )
    return CallerEdge(
        listener,
        lambda: forward_limits(limits()),
        forwarder.handle,
        timers,
        # What hasn't been read has certainly not been sent to a replica.
        rejection_headers=failure_headers(ForwardFailure.DECLINED),
        reservations=reservations,
        bounds=connection_bounds(max_fds, MAX_CONNECTIONS, PEER_SHARE),
        send_buffer_bytes=buffer_bytes,
    )
