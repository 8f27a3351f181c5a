"""Routers in memory, with the real answer path, fake engines and a fake network."""

import random

from boragedeck.connection.peer import Address
from boragedeck.ids import Health
from boragedeck.interfaces import Member
from boragedeck.process.answering.answer_service import AnswerService
from boragedeck.process.answering.answers import AnswerTable
from boragedeck.process.answering.copies import CopyStore
from boragedeck.process.answering.journal import Journal
from boragedeck.process.observing.metrics import Metrics
from boragedeck.process.simple_parts import DeclaredVersion, RandomChooser
from boragedeck.request import openai
from boragedeck.request.abandonment import AbandonmentMonitor, FixedGrace
from boragedeck.request.answer import AnswerKey, Endpoint
from boragedeck.request.event_id import parse_event_id
from boragedeck.request.generation import GenerationComponents
from boragedeck.request.reader import AnswerReader
from boragedeck.version.tables import Config, Pool, Route, Upstream
from tests.support.config import FakeConfigSource
from tests.support.network import FakeServer


class FakeMembership:
    """Lists every router that was started; dead ones are suspects."""

    def __init__(self, own, network, all_members):
        self.own = own
        self._network = network
        self._all_members = all_members

    def members(self):
        return [
            Member(m.router, m.vm, m.failure_domain, m.address, self._health(m))
            for m in self._all_members
            if m.router != self.own.router
        ]

    def suspect(self, router):
        pass

    def _health(self, member):
        is_gone = member.address in self._network.closed_addresses
        return Health.SUSPECT if is_gone else Health.HEALTHY


class FakeRouter:
    """The answer path of one router."""

    def __init__(self, cluster, number):
        name = f"r{number}"
        address = Address("10.1.0.1", 9000 + number)
        self.cluster = cluster
        self.own = Member(name, f"vm-{number}", f"fd-{number % 3}", address)
        self.server = FakeServer()
        cluster.network.servers[address] = self.server
        cluster.members.append(self.own)
        membership = FakeMembership(self.own, cluster.network, cluster.members)
        links = cluster.network.links(address)
        timers, rng = cluster.timers, random.Random(number)
        self.metrics = Metrics()
        parts = GenerationComponents(
            chooser=RandomChooser(rng),
            journal=Journal(membership, links, timers, self.metrics),
            config=cluster.config,
            versions=DeclaredVersion(),
            timers=timers,
            metrics=self.metrics,
            open_run=cluster.engines.open_run,
            rng=rng,
        )
        self.copies = CopyStore(timers)
        self.service = AnswerService(
            parts,
            AnswerTable(timers),
            self.copies,
            membership,
            links,
            AbandonmentMonitor(FixedGrace(cluster.grace_s), timers, self.metrics),
        )
        self.service.register(self.server)
        self.is_dead = False

    def kill(self):
        """Isolate the router permanently, which callers and peers see as a crash."""
        self.is_dead = True
        self.cluster.network.closed_addresses.add(self.own.address)
        self.cluster.network.isolate(self.own.address)


class FakeCluster:
    """Fake routers on one network, with a configuration and engines."""

    def __init__(self, timers, engines, network, routers=3, grace_s=30.0):
        self.timers = timers
        self.engines = engines
        self.network = network
        self.grace_s = grace_s
        self.members = []
        upstreams = tuple(
            Upstream(f"e{i}", engine.url, f"fd-{i % 3}", "v1")
            for i, engine in enumerate(engines.all)
        )
        self.config = FakeConfigSource(
            Config(
                revision=1,
                routes=(Route("orders", "engines", version="v1"),),
                pools=(Pool("engines", upstreams=upstreams),),
            )
        )
        self.routers = [FakeRouter(self, i) for i in range(routers)]

    def spec(self, max_tokens=20, text="refill"):
        body = b'{"model":"orders","stream":true,"prompt":"%s","max_tokens":%d}'
        body %= (text.encode(), max_tokens)
        parsed = openai.parse_request(Endpoint.TEXT, body).ok()
        route = self.config.current().route("orders")
        return openai.to_spec(parsed, route, self.timers.wall()).ok()


class FakeCaller:
    """A caller that assembles an answer from all its connections."""

    def __init__(self, cluster, key_text, max_tokens, *, is_keyed=True):
        self.cluster = cluster
        self.key = AnswerKey("org", key_text)
        self.spec = cluster.spec(max_tokens)
        self.is_keyed = is_keyed
        self.max_tokens = max_tokens
        self.texts = []
        self.token_ids = []
        self.last_event_id = None
        self.finish = None
        self.error = None
        self.reader = None
        self.router = None

    @property
    def text(self):
        return "".join(self.texts)

    def start(self, router):
        source = router.service.start(self.key, self.spec, is_keyed=self.is_keyed)
        self._open(router, source, None)

    def reattach(self, router):
        received = parse_event_id(self.last_event_id).ok()
        self.close()
        self._open(router, router.service.find(self.key, received), received)

    def read(self, wait_s=0.5):
        """Read one part; a connection to a dead router delivers nothing."""
        if self.reader is None or self.router.is_dead:
            return
        result = self.reader.next_part(wait_s)
        if self.router.is_dead:
            return
        if result.is_err():
            self.error = result.err()
            self.close()
            return
        part = result.ok()
        self.texts += [chunk.text for chunk in part.chunks]
        self.token_ids += [i for chunk in part.chunks for i in chunk.token_ids]
        if part.chunks:
            self.last_event_id = str(
                self.reader._received.tag * 10_000_000 + self.reader.position
            )
        self.finish = part.finish or self.finish

    def close(self):
        if self.reader is not None:
            self.reader.close()
        self.reader = None

    def _open(self, router, source, received):
        self.router = router
        if source.is_err():
            self.error = source.err()
            return
        self.error = None
        self.reader = AnswerReader(router.service, self.key, source.ok(), received)
