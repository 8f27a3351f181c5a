"""Replicas on loopback sockets whose answers a test scripts byte by byte."""

import random

import eventlet
import h11
import msgspec
from eventlet.green import socket
from prometheus_client import CollectorRegistry
from result import Ok

from boragedeck.connection.caller_edge import CallerEdge
from boragedeck.connection.messages import Fact
from boragedeck.connection.peer import Address
from boragedeck.connection.store import Table
from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.interfaces import Member
from boragedeck.platform.callers import decode_request, refusal_headers
from boragedeck.platform.replica_protocol import HttpReplicaProtocol
from boragedeck.platform.routing import decode_rollout
from boragedeck.process.relaying.crashes.crash_composition import make_crash_parts
from boragedeck.process.relaying.fleet.fleet_size import FleetSize
from boragedeck.process.relaying.fleet.hubs import Hubs
from boragedeck.process.relaying.fleet.task_owners import TaskOwners
from boragedeck.process.relaying.limits.limit_composition import (
    make_brittle,
    make_limits,
)
from boragedeck.process.relaying.limits.limited_admission import LimitedAdmission
from boragedeck.process.relaying.paths.path_composition import make_paths
from boragedeck.process.relaying.placing.admission import Admission
from boragedeck.process.relaying.placing.durations import RequestDurations
from boragedeck.process.relaying.placing.stream_pace import StreamTimeEstimator
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_notices import ReplicaNotices
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.relaying.replicas.replica_successors import ReplicaSuccessors
from boragedeck.process.relaying.retries.retry_share import RetryShare
from boragedeck.process.relaying.rollouts.rollouts import RelayRollouts
from boragedeck.process.relaying.settings import Bounds
from boragedeck.process.relaying.speeds.replica_speeds import ReplicaSpeeds
from boragedeck.process.relaying.tables.table_mirror import TableMirror
from boragedeck.request.address_claims import watch_address_claims
from boragedeck.request.open_requests import OpenRequests
from boragedeck.request.relay import relay
from boragedeck.request.relay_components import RelayComponents
from boragedeck.version.replicas import Replica, ReplicaStage
from boragedeck.version.routing import (
    Backend,
    CallerLimits,
    CallKind,
    EngineProfile,
    RelayPool,
    RouteRule,
    RoutingTable,
)
from standins.late_answers import AnswerRepeater, never
from standins.silence import Silence
from tests.support.steady_clock import SteadyTimers

BOUNDS = Bounds(
    contact_s=3.0,
    grace_s=8.0,
    retry_ratio=0.8,
    retry_window_s=10.0,
    retry_extra=150.0,
    exposure_share=0.1,
    exposure_extra=50.0,
    config_apply_s=4.0,
)
ENGINE = EngineProfile(64, 88_000, can_back_up=True, models=frozenset({"m"}))


class NoAges:
    """Knows nothing about the ages of the tables."""

    def log_fields(self):
        """See `TableAges.log_fields`."""
        return {}


class NoReserve:
    """The retry reserve of a small fleet, which does not use one."""

    def is_in_use(self):
        """Return False."""
        return False

    def take(self, pool):
        """Fail the test, since the reserve must not be used."""
        raise AssertionError("the retry reserve is not in use")


class FakeFactBoard:
    """A fact board that delivers facts to all routers immediately."""

    def __init__(self, own="r-1", shared=None):
        self.own = own
        self._store = {} if shared is None else shared
        self._callbacks = []
        self.fact_age_s = 0.0
        self._store.setdefault("boards", []).append(self)

    def publish(self, topic, key, body, *, ttl_s=60.0):
        """Publish a fact to all boards."""
        fact = Fact(topic, key, self.own, 1, body)
        self._store[topic, key, self.own] = fact
        for board in self._store["boards"]:
            for other, callback in board._callbacks:
                if other is topic:
                    callback(fact)
        return fact

    def age_s(self, fact):
        """Return the age of a fact, which the test sets."""
        return self.fact_age_s

    def facts(self, topic):
        """Return the facts of a topic."""
        facts = (fact for key, fact in self._store.items() if key != "boards")
        return [fact for fact in facts if fact.topic is topic]

    def subscribe(self, topic, callback):
        """Call back with each new fact of a topic."""
        self._callbacks.append((topic, callback))


class ReceivedRequest(msgspec.Struct):
    """A request as received by a replica."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    number: int
    connection: int


class AnsweringSocket:
    """The replica's end of a connection, which records the answers."""

    def __init__(self, sock, repeater, silence):
        self._sock, self._repeater, self._silence = sock, repeater, silence

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def sendall(self, data):
        """Send a part of an answer, once the replica isn't silent."""
        self._silence.wait()
        self._repeater.note_sent(data)
        self._sock.sendall(data)

    def send_late_answer(self):
        """Send answers before once more, if the replica repeats them."""
        self._sock.sendall(self._repeater.begin_answer())


class ScriptedReplica:
    """Answers each request with the next step of its script.

    A step is called with the connection's socket and the request, and returns whether
    the connection is kept open. The last step is repeated.

    `may_repeat` returns whether one of the last `kept` answers on a connection is sent
    once more before the next one; see `AnswerRepeater`.

    While its `silence` is on, it accepts connections and does nothing else.
    """

    def __init__(self, name, *steps, may_repeat=never, kept=1):
        self.name = name
        self.silence = Silence()
        self._may_repeat = may_repeat
        self._kept = kept
        self.received = []
        self.closed_after = []
        self.connections = 0
        self._steps = list(steps)
        self._socks = []
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self._server = eventlet.spawn(self._accept)

    def stop(self):
        """Close the listener and all connections."""
        self._server.kill()
        self._listener.close()
        for sock in self._socks:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def relayed(self):
        """Return the callers' requests; the router's own probes have no id."""
        return [req for req in self.received if b"request-id" in req.headers]

    def entry(self, pool="engines", domain="a", **fields):
        """Return the replica's entry for the registry."""
        return Replica(
            replica=self.name,
            pool=pool,
            address=self.address,
            failure_domain=domain,
            version="v1",
            slots=6,
            stage=ReplicaStage.READY,
            **fields,
        )

    def by_connection(self):
        """Return the requests of each connection."""
        return [
            [req for req in self.received if req.connection == number]
            for number in range(1, self.connections + 1)
        ]

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            self.connections += 1
            self._socks.append(sock)
            eventlet.spawn_n(self._serve, sock, self.connections)

    def _serve(self, raw_sock, connection):
        repeater = AnswerRepeater(self._may_repeat, self._kept)
        sock = AnsweringSocket(raw_sock, repeater, self.silence)
        parser = h11.Connection(h11.SERVER)
        try:
            while True:
                req = self._read(sock, parser, connection)
                if req is None:
                    self.closed_after.append(len(self.received))
                    return
                self.received.append(req)
                sock.send_late_answer()
                step = self._steps.pop(0) if len(self._steps) > 1 else self._steps[0]
                if not step(sock, req):
                    return
                rest = parser.trailing_data[0]
                parser = h11.Connection(h11.SERVER)
                if rest:
                    parser.receive_data(rest)
        except (OSError, EOFError):
            # The router has closed the connection.
            self.closed_after.append(len(self.received))
        finally:
            sock.close()

    def _read(self, sock, parser, connection):
        head, body = None, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = sock.recv(65_536)
                self.silence.wait()
                if not data:
                    return None
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                headers = {bytes(n): bytes(v) for n, v in head.headers}
                return ReceivedRequest(
                    head.method,
                    head.target,
                    headers,
                    body,
                    len(self.received),
                    connection,
                )


def head_of(req, status=200, *lines, request_id=None):
    """Return the head of an answer to a request, without its empty line."""
    name = request_id or req.headers.get(b"request-id", b"")
    seal = b"Response-Seal: seal\r\n" if status != 503 else b""
    text = b"HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%s" % (status, name, seal)
    return text + b"".join(line + b"\r\n" for line in lines)


def answer(body=b"whole", status=200, **fields):
    """Return a step that answers with a body and its length."""

    def step(sock, req):
        length = b"Content-Length: %d" % len(body)
        sock.sendall(head_of(req, status, length, **fields) + b"\r\n" + body)
        return True

    return step


def not_run(sock, req):
    """Answer that the request was not run."""
    lines = b"Not-Executed: 1", b"Content-Length: 0"
    sock.sendall(head_of(req, 503, *lines) + b"\r\n")
    return True


def moved(sock, req):
    """Answer that another replica has the address."""
    lines = b"Instance-Id: other", b"Content-Length: 0"
    sock.sendall(head_of(req, 421, *lines) + b"\r\n")
    return True


def report_model(sock, req):
    """Answer a probe as an engine that serves the model of `ENGINE`."""
    body = b'{"models":[{"name":"m","version":1}]}'
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
    sock.sendall(body)
    return True


def drop(sock, req):
    """Close the connection without an answer."""
    return False


def stay_silent(sock, req):
    """Send nothing until the router closes the connection."""
    while sock.recv(4096):
        pass
    return False


def events(*numbers, ends=True, cut=b"", then=None):
    """Return a step that streams events.

    It then sends `cut`, ends the stream if `ends`, or else calls `then`.
    """

    def step(sock, req):
        sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
        for number in numbers:
            send_chunk(sock, event(number))
        if cut:
            send_chunk(sock, cut)
        if ends:
            sock.sendall(b"0\r\n\r\n")
            return True
        return False if then is None else then(sock, req)

    return step


def event(number):
    """Return the bytes of an event."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def send_chunk(sock, data):
    """Send one chunk."""
    sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))


class SingleMembership:
    """The membership of a router without others."""

    own = Member("r-1", "vm-1", "a", Address("127.0.0.1", 1))

    def members(self):
        """Return no other routers."""
        return []

    def routers(self):
        """Return 1."""
        return 1


class NoPeers:
    """Links and server of a router without others."""

    def register(self, kind, handler):
        """Accept a handler that is never called."""


def single_router_owners(timers):
    """Return the owners of tasks in the view of a router that is alone."""
    members = SingleMembership()
    size = FleetSize(timers, members.routers)
    return TaskOwners(timers, members, Hubs(timers, members), size)


def single_router_limits(timers, registry, board, metrics):
    """Return the limits of a router that is alone, and the owner of all limits."""
    owners = single_router_owners(timers)
    return make_limits(timers, registry, owners, NoPeers(), NoPeers(), board, metrics)


def single_router_brittle(timers, registry, board, metrics):
    """Return the brittle replicas of a router that is alone, and owns their room."""
    owners = single_router_owners(timers)
    return make_brittle(timers, registry, owners, NoPeers(), NoPeers(), board, metrics)


def single_router_blame(timers, registry, board, metrics, paths=None):
    """Return the crash blame of a router that is alone, and the judge itself."""
    return make_crash_parts(
        timers,
        random.Random(6),
        registry,
        single_router_owners(timers),
        NoPeers(),
        NoPeers(),
        board,
        metrics,
        paths,
    ).blame


class RelayHarness:
    """A router's relaying components with scripted replicas and callers' sockets."""

    pool_type = UpstreamPool

    def __init__(self, rule=None, pool=None, limits=None, facts=None):
        self.timers = SteadyTimers(random.Random(1))
        self.registry = ReplicaRegistry(self.timers)
        self.upstreams = self.pool_type(self.timers)
        self.admission = Admission(self.timers, self.registry, random.Random(2))
        self.time_left_s = float("inf")
        self.list_age_s = None
        self.table = routing_table(rule or call_rule(), pool, limits)
        self.facts = facts or FakeFactBoard()
        self.metrics = RelayMetrics(CollectorRegistry())
        self.limits = single_router_limits(
            self.timers, self.registry, self.facts, self.metrics
        )
        self.paths = self.make_paths()
        self.brittle = single_router_brittle(
            self.timers, self.registry, self.facts, self.metrics
        )
        self.notices = ReplicaNotices(
            self.registry,
            self.facts,
            self.upstreams,
            self.limits,
            self.brittle,
            self.metrics,
        )
        self.parts = RelayComponents(
            timers=self.timers,
            rng=random.Random(3),
            table=lambda: self.table,
            table_ages=NoAges(),
            admission=self.admission,
            limited_admission=LimitedAdmission(
                self.timers,
                self.admission,
                self.limits,
                self.brittle,
                random.Random(5),
            ),
            registry=self.registry,
            upstreams=self.upstreams,
            paths=self.paths,
            notices=self.notices,
            protocol=HttpReplicaProtocol(),
            successors=ReplicaSuccessors(
                self.timers,
                self.registry,
                self.facts,
                lambda: self.table,
                lambda: self.list_age_s,
                self.metrics,
            ),
            retries=RetryShare(
                self.timers,
                lambda: BOUNDS,
                FleetSize(self.timers, lambda: 9),
                NoReserve(),
            ),
            rollouts=RelayRollouts(
                self.timers,
                random.Random(4),
                TableMirror(Table.ROUTING),
                "rollout/",
                decode_rollout,
                None,
                FakeFactBoard(),
                lambda: BOUNDS,
                lambda pool: [],
                lambda: 1,
            ),
            durations=RequestDurations(),
            pace=StreamTimeEstimator(),
            speeds=ReplicaSpeeds("r1", self.timers, self.registry),
            crash_blame=single_router_blame(
                self.timers, self.registry, self.facts, self.metrics, self.paths
            ),
            metrics=self.metrics,
            time_left=lambda: self.time_left_s,
            open_requests=OpenRequests(),
            refusal_headers=refusal_headers,
        )
        watch_address_claims(self.parts)
        self._replicas = []
        self._callers = []
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.edge = CallerEdge(
            self.listener, lambda: self.table.limits, self._handle, self.timers
        )
        self._server = eventlet.spawn(self.edge.serve)

    def make_paths(self):
        """Return the paths of a router that is alone."""
        return make_paths(
            self.timers,
            random.Random(7),
            self.upstreams,
            self.registry,
            SingleMembership(),
            NoPeers(),
            NoPeers(),
            self.metrics,
        )

    def add(self, *replicas, **fields):
        """Register replicas; those outside of failure domain "a" are chosen last.

        A request of another router at these replicas makes them cost a little more.
        """
        for replica in replicas:
            self._replicas.append(replica)
            self.registry.put(replica.entry(**fields))
            if fields.get("domain", "a") != "a":
                self.registry.get(replica.name).peers = Load(1)

    def close(self):
        """Close all sockets."""
        self._server.kill()
        self.listener.close()
        for caller in self._callers:
            caller.close()
        for replica in self._replicas:
            replica.stop()
            self.upstreams.forget(replica.address)
        eventlet.sleep(0)

    def connect(self):
        """Return a caller's connection."""
        sock = socket.create_connection(self.listener.getsockname())
        self._callers.append(sock)
        return sock

    def fetch(self, *lines, sock=None, **fields):
        """Send a request and return the response; see `send_request`."""
        sock = sock or self.connect()
        send_request(sock, *lines, **fields)
        return read_response(sock)

    def _handle(self, raw, channel):
        match decode_request(raw):
            case Ok(req):
                relay(self.parts, req, channel)
            case refused:
                error = refused.err()
                channel.respond(error.status, [], error.message.encode())


class Response(msgspec.Struct):
    """A response as received by the caller."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_complete: bool


def send_request(
    sock,
    *lines,
    path=b"/r/x",
    body=b"",
    name=b"id-1",
    ms=3000,
    method=b"POST",
    key=b"key-1",
):
    """Send a request."""
    head = [
        b"%s %s HTTP/1.1" % (method, path),
        b"Host: Here.example",
        b"Request-Id: " + name,
        b"Deadline-Ms: %d" % ms,
        b"Api-Key: " + key,
        b"Content-Length: %d" % len(body),
        *lines,
    ]
    sock.sendall(b"\r\n".join(head) + b"\r\n\r\n" + body)


def read_response(sock, timeout_s=5.0):
    """Read a response, which may be incomplete."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    response = Response(0, {}, b"", False)
    with eventlet.Timeout(timeout_s):
        try:
            while not response.is_complete:
                item = parser.next_event()
                if item is h11.NEED_DATA:
                    parser.receive_data(sock.recv(65_536))
                elif isinstance(item, h11.Response):
                    response.status = item.status_code
                    response.headers = {bytes(n): bytes(v) for n, v in item.headers}
                elif isinstance(item, h11.Data):
                    response.body += item.data
                elif isinstance(item, h11.EndOfMessage):
                    response.is_complete = True
                elif isinstance(item, h11.ConnectionClosed):
                    return response
        except (h11.RemoteProtocolError, OSError):
            return response
    return response


def call_rule(kind=CallKind.IDEMPOTENT, **fields):
    """Return the route rule of a plain service."""
    values = {"max_attempts": 2, "timeout_s": 2.0, "goal_s": 1.0} | fields
    return RouteRule(
        name="r",
        host="here.example",
        prefix="/r/",
        kind=kind,
        backends=(Backend("engines"),),
        **values,
    )


def stream_rule(**fields):
    """Return the route rule of streams that may be resumed."""
    values = {
        "max_attempts": 5,
        "is_resumable": True,
        "gap_goal_s": 0.4,
        "timeout_s": 3.0,
    }
    return call_rule(CallKind.STREAM, **values | fields)


def routing_table(rule, pool=None, limits=None):
    """Return a routing table with one rule."""
    return RoutingTable(
        version=1,
        routes={rule.host: (rule,)},
        pools={"engines": pool or RelayPool("engines", 100)},
        limits=limits or CallerLimits(),
        organisations={"key-1": "org-1"},
        needs_keys=True,
    )
