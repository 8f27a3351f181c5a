"""Keeps the newest accepted configuration in force in this process.

Each router polls the platform's history and announces new revisions to the other
routers, which fetch them from it. Both ways end in `ConfigInForce`, whose revision
never decreases.
"""

import random
from collections.abc import Callable
from typing import Any, Protocol

import eventlet
import msgspec
from result import Result

from boragedeck.connection.messages import Fact, FactTopic
from boragedeck.connection.peer import Address
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import BoragedeckError, PeerError, StoreError
from boragedeck.interfaces import FactBoard, Membership
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.version.config_in_force import ConfigInForce, Source
from boragedeck.version.config_messages import ConfigContent, ConfigFact, FetchConfig
from boragedeck.version.config_store import ConfigStore
from boragedeck.version.tables import Config

__all__ = ["ConfigStatus", "ConfigWatch", "poll_interval"]

POLL_INTERVAL_S = 1.0
POLL_JITTER = 0.2
MAX_POLLS_PER_S = 50.0
"""Limit for all routers together."""
MAX_CHANGES_PER_POLL = 16
FETCH_TIMEOUT_S = 2.0
FIRST_FETCH_INTERVAL_S = 0.5
"""Pause between fetches from peers until a first configuration is in force."""
MAX_FETCHES_PER_ROUND = 3
MAX_HOLDERS = 8
"""Target number of routers that announce a revision at once."""
ANNOUNCE_DELAY_S = 2.0
"""Delay after which another router announces the revision if none has done so."""
FACT_KEY = "revision"
FACT_TTL_S = 60.0

_log = PartLog("config")


class Links(Protocol):
    """The part of `PeerLinks` that is used here."""

    def link(self, address: Address) -> Any:
        """Return the link to an address."""


class ConfigStatus(msgspec.Struct, frozen=True):
    """The state of the configuration at a router.

    Parameters
    ----------
    revision : int
        The revision in force.
    digest : str
        Hash of the configuration in force.
    source : Source
        The source of the configuration in force.
    in_force_s : float
        How long the revision has been in force, in seconds.
    confirmed_s : float or None
        Seconds since the platform was last polled successfully; None if it never
        was.
    platform_error : str
        Why the last poll of the platform failed; empty if it succeeded.
    """

    revision: int
    digest: str
    source: Source
    in_force_s: float
    confirmed_s: float | None
    platform_error: str = ""


def poll_interval(routers: int) -> float:
    """Return the interval between polls of the platform, in seconds.

    Parameters
    ----------
    routers : int
        Number of routers in the fleet, including this one.
    """
    return max(POLL_INTERVAL_S, routers / MAX_POLLS_PER_S)


class ConfigWatch:
    """The source of the configuration in force; see `ConfigSource`.

    Parameters
    ----------
    store : ConfigStore
        The platform's tables.
    timers : TimerService
        The source of time.
    board : FactBoard
        Distributes which router has which revision.
    membership : Membership
        The other routers.
    links : PeerLinks
        Links to the other routers.
    rng : random.Random, optional
        Random generator for the jitter and the choice of peers.
    """

    def __init__(
        self,
        store: ConfigStore,
        timers: TimerService,
        *,
        board: FactBoard,
        membership: Membership,
        links: Links,
        rng: random.Random | None = None,
    ):
        self._store = store
        self._timers = timers
        self._board = board
        self._membership = membership
        self._links = links
        self._rng = rng or random.Random()
        self._in_force = ConfigInForce(timers)
        self._in_force.subscribe(self._announce)
        self._confirmed_at: float | None = None
        self._platform_error = "not read yet"
        self._is_fetching = False
        self._is_stopped = False

    def current(self) -> Config:
        """Return the configuration in force; its revision is 0 before the first."""
        return self._in_force.current

    def subscribe(self, callback: Callable[[Config], None]) -> None:
        """Register a callback for each configuration in force, in revision order."""
        self._in_force.subscribe(callback)

    def start(self) -> None:
        """Read the configuration now, and keep it up to date until `stop`."""
        self._board.subscribe(FactTopic.CONFIG, self._on_fact)
        eventlet.spawn_n(self._poll_and_rearm)
        eventlet.spawn_n(self._fetch_first)

    def stop(self) -> None:
        """Stop updating the configuration."""
        self._is_stopped = True

    def status(self) -> ConfigStatus:
        """Return the state of the configuration at this router."""
        now = self._timers.now()
        confirmed = self._confirmed_at
        return ConfigStatus(
            revision=self._in_force.current.revision,
            digest=self._in_force.digest,
            source=self._in_force.source,
            in_force_s=now - self._in_force.since,
            confirmed_s=None if confirmed is None else now - confirmed,
            platform_error=self._platform_error,
        )

    def answer_fetch(self, message: FetchConfig) -> ConfigContent:
        """Answer the request of another router for newer content."""
        return self._in_force.content(message.after)

    def poll(self) -> None:
        """Read new changes from the platform, or from a peer if that fails."""
        result = self._read_platform()
        if result.is_ok():
            self._confirmed_at = self._timers.now()
            self._platform_error = ""
            return
        if not self._platform_error:
            _log.write("Platform could not be read.", error=str(result.err()))
        self._platform_error = str(result.err())
        self._fetch_from_any()

    def _poll_and_rearm(self) -> None:
        if self._is_stopped:
            return
        try:
            self.poll()
        except Exception as exc:
            _log.write("Poll failed.", error=repr(exc))
        routers = 1 + len(self._membership.members())
        jitter_factor = self._rng.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
        self._timers.call_later(
            poll_interval(routers) * jitter_factor, self._poll_and_rearm
        )

    def _fetch_first(self) -> None:
        """Query peers until a configuration is in force or the platform has answered.

        Otherwise a platform that hangs would delay the start by its time-out.
        """
        while not self._is_stopped and self._confirmed_at is None:
            self._fetch_from_any()
            if self._in_force.current.revision > 0:
                return
            self._timers.sleep(FIRST_FETCH_INTERVAL_S)

    def _read_platform(self) -> Result[None, StoreError]:
        """Install newer changes from the platform, or else the full configuration."""
        revision = self._in_force.current.revision
        if revision > 0:
            changes = self._store.changes(revision, MAX_CHANGES_PER_POLL)
            if changes.is_err():
                return changes
            if self._in_force.install_changes(changes.ok(), Source.PLATFORM):
                return changes.map(lambda _: None)
        stored = self._store.read()
        return stored.map(
            lambda s: self._in_force.install_config(s.config, Source.PLATFORM)
        )

    def _announce(self, cfg: Config) -> None:
        """Publish that this router has a revision, unless others do so.

        Many routers receive a revision before the first fact has reached all. To
        keep the number of facts independent of the size of the fleet, only a random
        share of the routers publishes at once; the others publish after a delay, and
        only if they have received no such fact.
        """
        routers = 1 + len(self._membership.members())
        share = MAX_HOLDERS / routers
        if self._in_force.source is Source.PLATFORM:
            share = MAX_HOLDERS * poll_interval(routers) / routers
        if self._rng.random() < share:
            self._publish_unless_announced(cfg, MAX_HOLDERS)
        else:
            self._timers.call_later(
                ANNOUNCE_DELAY_S, lambda: self._publish_unless_announced(cfg, 1)
            )

    def _publish_unless_announced(self, cfg: Config, required_holders: int) -> None:
        """Publish the revision if fewer than `required_holders` others have done so."""
        if cfg.revision != self._in_force.current.revision:
            return
        holders = sum(fact.revision >= cfg.revision for fact in self._holders())
        if holders < required_holders:
            fact = ConfigFact(cfg.revision, self._membership.own.address)
            body = msgspec.msgpack.encode(fact)
            self._board.publish(FactTopic.CONFIG, FACT_KEY, body, ttl_s=FACT_TTL_S)

    def _on_fact(self, fact: Fact) -> None:
        """Fetch a newer revision that another router announced, one fetch at a time."""
        holder = _decode(fact)
        if holder is None or holder.revision <= self._in_force.current.revision:
            return
        if not self._is_fetching:
            self._is_fetching = True
            eventlet.spawn_n(self._fetch_announced)

    def _fetch_announced(self) -> None:
        tried: set[Address] = set()
        try:
            for _ in range(MAX_FETCHES_PER_ROUND):
                addresses = {fact.address for fact in self._newer_holders()} - tried
                if not addresses:
                    return
                address = self._rng.choice(sorted(addresses, key=str))
                tried.add(address)
                self._fetch(address)
        finally:
            self._is_fetching = False

    def _fetch_from_any(self) -> None:
        """Query a few random routers, one after the other, until one answers."""
        members = self._membership.members()
        count = min(len(members), MAX_FETCHES_PER_ROUND)
        for member in self._rng.sample(members, count):
            if self._fetch(member.address).is_ok():
                return

    def _fetch(self, address: Address) -> Result[ConfigContent, PeerError]:
        message = FetchConfig(self._in_force.current.revision)
        link = self._links.link(address)
        result = link.call(message, ConfigContent, timeout_s=FETCH_TIMEOUT_S)
        if result.is_ok():
            try:
                self._in_force.install_content(result.ok())
            except BoragedeckError as exc:
                _log.write("Configuration of a peer rejected.", error=str(exc))
        return result

    def _holders(self) -> list[ConfigFact]:
        """Return the revisions that other routers have announced."""
        facts = self._board.facts(FactTopic.CONFIG)
        others = (_decode(fact) for fact in facts if fact.origin != self._board.own)
        return [holder for holder in others if holder is not None]

    def _newer_holders(self) -> list[ConfigFact]:
        revision = self._in_force.current.revision
        return [fact for fact in self._holders() if fact.revision > revision]


def _decode(fact: Fact) -> ConfigFact | None:
    try:
        return msgspec.msgpack.decode(fact.body, type=ConfigFact)
    except DECODE_ERRORS as exc:
        _log.write(
            "Configuration fact could not be decoded.",
            origin=fact.origin,
            error=str(exc),
        )
        return None
