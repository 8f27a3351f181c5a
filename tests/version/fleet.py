"""A fleet of routers in one process, with one platform and a manual clock."""

import random

from result import Err, Ok

from boragedeck.connection.messages import Fact
from boragedeck.connection.peer import Address
from boragedeck.exceptions import PeerUnreachableError, StoreUnavailableError
from boragedeck.interfaces import Member
from boragedeck.process.timers import ManualTimers
from boragedeck.version.config_messages import FetchConfig
from boragedeck.version.config_store import ConfigStore
from boragedeck.version.config_watch import ConfigWatch
from boragedeck.version.tables import Config, Pool, Route, Upstream
from standins.memory import MemoryPlatform


def config(*versions):
    """Return a configuration with a route for each version."""
    upstreams = tuple(
        Upstream(f"e{i}", f"http://10.0.0.{i}:80", "d1", version)
        for i, version in enumerate(versions)
    )
    routes = tuple(
        Route(f"r{i}", "p", version=version) for i, version in enumerate(versions)
    )
    return Config(routes=routes, pools=(Pool("p", upstreams=upstreams),))


class Fleet:
    """Routers, the facts they exchange, and the links that are cut between them."""

    def __init__(self, count, seed=1, platform_type=MemoryPlatform, gossip_s=0.0):
        self.timers = ManualTimers()
        self.platform = platform_type(sleep=self.timers.sleep)
        self.store = ConfigStore(self.platform, self.timers)
        self.rng = random.Random(seed)
        self.cut_links = set()
        self.routers_without_platform = set()
        self.is_gossip_on = True
        self.gossip_s = gossip_s
        self.routers = [Router(self, number) for number in range(count)]
        for router in self.routers:
            router.start()

    def can_reach(self, one, other):
        down = not (self.routers[one].is_up and self.routers[other].is_up)
        return not down and frozenset((one, other)) not in self.cut_links

    def isolate_router(self, number, *, platform=True):
        others = range(len(self.routers))
        self.cut_links |= {frozenset((number, other)) for other in others}
        if platform:
            self.routers_without_platform.add(number)

    def heal(self):
        self.cut_links.clear()
        self.routers_without_platform.clear()
        for router in self.routers:
            for fact in router.board.own_facts.values():
                self.broadcast(router.number, fact)

    def broadcast(self, origin, fact):
        for router in self.routers if self.is_gossip_on else []:
            if router.number != origin and self.can_reach(origin, router.number):
                self.deliver(router.board, fact)

    def deliver(self, board, fact):
        if self.gossip_s == 0.0:
            board.receive(fact)
            return
        delay_s = self.rng.uniform(0.0, self.gossip_s)
        self.timers.call_later(delay_s, lambda: board.receive(fact))

    def apply(self, cfg, author="ana", apply_id=None):
        base = self.store.read().unwrap()
        apply_id = apply_id or f"a{self.rng.random()}"
        return self.store.apply(base, cfg, author=author, apply_id=apply_id)

    def revisions(self):
        return [r.watch.current().revision for r in self.routers if r.is_up]


class Router:
    """One router; also serves as its own membership and links."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.is_up = False
        self.address = Address("10.1.0.1", number)
        self.own = Member(f"router-{number}", f"vm-{number}", "d1", self.address)
        self.seen_revisions = []
        self.start_count = 0

    def start(self):
        self.is_up = True
        self.start_count += 1
        self.board = Board(self)
        self.watch = ConfigWatch(
            ConfigStore(RouterPlatform(self.fleet, self.number), self.fleet.timers),
            self.fleet.timers,
            board=self.board,
            membership=self,
            links=self,
            rng=random.Random(self.number),
        )
        self.seen_revisions = []
        self.watch.subscribe(lambda cfg: self.seen_revisions.append(cfg.revision))
        self.watch.start()

    def stop(self):
        self.is_up = False
        self.watch.stop()

    def members(self):
        others = self.fleet.routers
        return [r.own for r in others if r is not self and r.is_up]

    def link(self, address):
        return Link(self.fleet, self.number, address.port)


class Link:
    def __init__(self, fleet, origin, target):
        self.fleet, self.origin, self.target = fleet, origin, target

    def call(self, message, answer_type, *, timeout_s):
        if not self.fleet.can_reach(self.origin, self.target):
            return Err(PeerUnreachableError("cut off", step="FetchConfig"))
        assert isinstance(message, FetchConfig)
        return Ok(self.fleet.routers[self.target].watch.answer_fetch(message))


class Board:
    def __init__(self, router):
        self.router = router
        self.own = f"{router.own.router}.{router.start_count}"
        self.own_facts = {}
        self.received_facts = {}
        self.callbacks = []

    def publish(self, topic, key, body, *, ttl_s=60.0):
        number = len(self.own_facts) + 1
        fact = Fact(topic, key, self.own, number, body, ttl_s)
        self.own_facts[key] = fact
        self.router.fleet.broadcast(self.router.number, fact)
        return fact

    def facts(self, topic):
        return [*self.received_facts.values(), *self.own_facts.values()]

    def subscribe(self, topic, callback):
        self.callbacks.append(callback)

    def receive(self, fact):
        self.received_facts[fact.origin] = fact
        for callback in self.callbacks:
            callback(fact)


class RouterPlatform:
    """The platform as seen by one router, which may be cut off from it."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number

    def __getattr__(self, name):
        def call(*args, **kwargs):
            if self.number in self.fleet.routers_without_platform:
                return Err(StoreUnavailableError("cut off", step=name))
            return getattr(self.fleet.platform, name)(*args, **kwargs)

        return call
