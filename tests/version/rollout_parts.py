"""Fakes for the tests of rollouts."""

import random

from result import Err

from boragedeck.connection.peer import Address
from boragedeck.exceptions import StoreConflictError
from boragedeck.ids import FailureDomain, PoolName, RouteName, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.process.timers import ManualTimers
from boragedeck.version.rollout_capacity import DeclaredCapacity
from boragedeck.version.rollout_follower import RolloutFollower
from boragedeck.version.rollout_leader import RolloutLeader
from boragedeck.version.tables import Config, Pool, Route, Upstream
from standins.boards import BoardNetwork
from standins.memory import MemoryPlatform
from tests.support.config import FakeConfigSource


class FakeLease:
    """A fake lease; only the one with the latest token is valid."""

    latest = 0

    def __init__(self, platform, token):
        self.platform = platform
        self.token = token
        self.safe = True
        FakeLease.latest = token

    def is_safe(self, margin_s):
        return self.safe

    def commit(self, writes):
        if self.token != FakeLease.latest:
            return Err(StoreConflictError("lease lost", step="commit"))
        return self.platform.commit(writes)


class FakeMembership:
    def __init__(self, name):
        domain = FailureDomain("d0")
        self.own = Member(name, VmName(name), domain, Address("127.0.0.1", 1))

    def members(self):
        return []

    def suspect(self, router):
        pass


def upstream(name, version, *, leaving=False):
    url = "http://127.0.0.1:1"
    return Upstream(name, url, FailureDomain("d0"), version, leaving=leaving)


def config(revision, version, deadline=None, *, leaving=()):
    upstreams = tuple(
        upstream(f"{name}{index}", name, leaving=name in leaving)
        for name in "ABC"
        for index in range(2)
    )
    pool = Pool(PoolName("pool"), upstreams=upstreams)
    route = Route(RouteName("chat"), pool.name, version=version, deadline=deadline)
    return Config(revision, routes=(route,), pools=(pool,))


class Fleet:
    """Routers that share a platform and a network of fact boards."""

    def __init__(self, count=1, cfg=None):
        self.timers = ManualTimers()
        self.platform = MemoryPlatform()
        self.network = BoardNetwork(self.timers, random.Random(1), delay_s=0.01)
        self.sources, self.followers, self.leaders = [], [], []
        self.leases = {}
        for index in range(count):
            self.add(f"r{index}", cfg or config(1, "A"))

    def add(self, name, cfg):
        name = RouterId(name)
        source = FakeConfigSource(cfg)
        board = self.network.board(name)
        rng = random.Random(len(self.followers))
        follower = RolloutFollower(self.platform, board, source, self.timers, rng=rng)
        leader = RolloutLeader(
            follower,
            self.platform,
            source,
            FakeMembership(name),
            self.timers,
            lambda: self.leases.get(name),
            DeclaredCapacity(source),
        )
        self.sources.append(source)
        self.followers.append(follower)
        self.leaders.append(leader)
        return follower

    def lead(self, index, token):
        name = RouterId(f"r{index}")
        self.leases[name] = FakeLease(self.platform, token)
        return self.leases[name]

    def edit(self, cfg):
        for source in self.sources:
            source.put(cfg)

    def tick(self, seconds=1):
        for _ in range(seconds):
            self.timers.advance(1.0)
            for follower, leader in zip(self.followers, self.leaders, strict=True):
                follower.tick()
                follower.sync()
                leader.tick()

    def row(self, index=0):
        return self.followers[index].row_cache.get("chat").row

    def choose(self, index=0):
        route = self.sources[index].current().route("chat")
        return self.followers[index].choose(route, "key")

    def start_move(self, length_s=600.0):
        self.lead(0, 1)
        self.tick()
        self.edit(config(2, "B", self.timers.wall() + length_s))
        self.tick(2)
        return self.row()
