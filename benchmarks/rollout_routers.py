"""Routers of the rollout model, which run the real rollout code."""

import random
from typing import Any

import msgspec
from result import Err

from benchmarks.sim_timers import SimTimers
from boragedeck.connection.messages import FactTopic
from boragedeck.connection.peer import Address
from boragedeck.connection.store import ABSENT, Delete, Put, Table
from boragedeck.exceptions import StoreUnavailableError
from boragedeck.ids import FailureDomain, RouterId, VmName
from boragedeck.interfaces import Member
from boragedeck.version.rollout_capacity import DeclaredCapacity
from boragedeck.version.rollout_follower import RolloutFollower
from boragedeck.version.rollout_leader import RolloutLeader
from boragedeck.version.tables import Config
from standins.memory import MemoryPlatform

__all__ = ["ModelRouter"]

LEASE_S = 10.0


class ModelConfigSource:
    """Configuration in force in one router."""

    def __init__(self, cfg: Config):
        self._cfg = cfg
        self._callbacks: list = []

    def current(self) -> Config:
        return self._cfg

    def subscribe(self, callback) -> None:
        self._callbacks.append(callback)

    def set(self, cfg: Config) -> None:
        self._cfg = cfg
        for callback in self._callbacks:
            callback(cfg)


class ModelStore:
    """One router's connection to the platform, which can be cut."""

    def __init__(self, platform: MemoryPlatform):
        self._platform = platform
        self.is_disconnected = False

    def get(self, table, key):
        return self._unless_disconnected(lambda: self._platform.get(table, key))

    def scan(self, table, prefix="", after="", limit=1000):
        return self._unless_disconnected(
            lambda: self._platform.scan(table, prefix, after, limit)
        )

    def commit(self, writes):
        return self._unless_disconnected(lambda: self._platform.commit(writes))

    def _unless_disconnected(self, call):
        if self.is_disconnected:
            return Err(StoreUnavailableError("cut off", step="store"))
        return call()


class ModelLease:
    """A lease whose takeover is recorded in a row of its own."""

    def __init__(self, token: int, timers: SimTimers, store: "ModelStore"):
        self.token = token
        self._store = store
        self.end = timers.now() + LEASE_S
        self._timers = timers

    def is_safe(self, margin_s: float) -> bool:
        return self._timers.now() + margin_s < self.end

    def commit(self, writes):
        """Write unless a takeover of the lease has been recorded."""
        fence = Delete(Table.LEASES, f"ended/{self.token}", ABSENT)
        return self._store.commit([*writes, fence])


class ModelRouter:
    """One router: its rollout follower and leader, and its faults."""

    def __init__(self, model: Any, index: int, cfg: Config):
        self.model = model
        self.name = RouterId(f"r{index}")
        self.source = ModelConfigSource(cfg)
        self.store = ModelStore(model.platform)
        self.board = model.network.board(self.name)
        self.own = Member(
            self.name,
            VmName(f"vm{index}"),
            FailureDomain(f"d{index % 3}"),
            Address("127.0.0.1", index),
        )
        self.board.subscribe(
            FactTopic.ROLLOUT_STOP, lambda fact: model._record_stop(self.name, fact)
        )
        self.lease: ModelLease | None = None
        self.is_down = False
        rng = random.Random(f"{model.seed}/{index}")
        self.follower = RolloutFollower(
            self.store, self.board, self.source, model.timers, rng=rng
        )
        self.leader = RolloutLeader(
            self.follower,
            self.store,
            self.source,
            self,
            model.timers,
            lambda: self.lease,
            DeclaredCapacity(self.source),
        )
        model.timers.subscribe(1.0, self.tick)

    def members(self):
        """Return the other routers that are not considered dead."""
        return [
            other.own
            for other in self.model.routers
            if other is not self and not self.model.is_considered_dead(other)
        ]

    def suspect(self, router) -> None:
        """Do nothing."""

    def tick(self) -> None:
        """Run the router's periodic work, unless it is dead or paused."""
        if self.is_down or self.model.is_baseline:
            return
        self.follower.tick()
        self.follower.sync()
        self._renew_lease()
        self.leader.tick()

    def _renew_lease(self) -> None:
        now = self.model.timers.now()
        key = "rollouts"
        read = self.store.get(Table.LEASES, key)
        if read.is_err():
            return
        row = read.ok()
        token, _, end = msgspec.json.decode(row.value) if row else (0, "", 0.0)
        is_own = (
            self.lease is not None
            and self.lease.token == token
            and now < self.lease.end
        )
        if not is_own and now < end + 1.0:
            return
        lease = ModelLease(
            token if is_own else token + 1, self.model.timers, self.store
        )
        value = msgspec.json.encode((lease.token, self.name, lease.end))
        writes = [Put(Table.LEASES, key, value, row.version if row else ABSENT)]
        if not is_own:
            writes.append(Put(Table.LEASES, f"ended/{token}", b""))
        if self.store.commit(writes).is_ok():
            self.lease = lease
