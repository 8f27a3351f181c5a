"""The composition root: makes the parts of a router and joins them."""

import random
import secrets

import eventlet
import msgspec

from boragedeck.connection.edge import serve_http
from boragedeck.connection.engine import open_run
from boragedeck.connection.peer import Address, PeerLinks, PeerServer
from boragedeck.connection.platform import HttpPlatform
from boragedeck.ids import RouterId
from boragedeck.interfaces import FactBoard, Member
from boragedeck.process.answer_service import AnswerService
from boragedeck.process.answers import AnswerTable
from boragedeck.process.chooser import PoolChooser
from boragedeck.process.claims import Claims, ClaimTable
from boragedeck.process.copies import CopyStore
from boragedeck.process.journal import Journal
from boragedeck.process.keys import KeyRing
from boragedeck.process.load_gossip import LoadGossip
from boragedeck.process.metrics import Metrics
from boragedeck.process.quarantine import Quarantine
from boragedeck.process.rollouts import Rollouts
from boragedeck.process.settings import Settings
from boragedeck.process.simple_parts import (
    LocalFacts,
    TableMembership,
)
from boragedeck.process.status import StatusReport
from boragedeck.process.timers import RealTimers
from boragedeck.request.abandonment import Abandonment, FixedGrace
from boragedeck.request.api import Api
from boragedeck.request.generation import GenerationParts
from boragedeck.version.config_messages import FetchConfig
from boragedeck.version.config_store import ConfigStore
from boragedeck.version.config_watch import ConfigWatch

__all__ = ["Router"]

DRAIN_POLL_S = 0.1
CLOSE_PAUSE_S = 0.5
MAX_ROUTER_ID_BYTES = 4


class Router:
    """One router with all its parts.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Attributes
    ----------
    own : Member
        This router as its peers know it.
    http_address : Address
        Where callers reach it.
    """

    def __init__(self, settings: Settings):
        rng = random.Random()
        self._settings = settings
        self.timers = RealTimers(rng)
        self.metrics = Metrics()
        self._listener = _listen(settings.listen)
        peer_listener = _listen(settings.peer_listen)
        self.http_address = _advertised(settings.advertise, self._listener)
        self.own = Member(
            RouterId(f"{settings.vm}-{secrets.token_hex(MAX_ROUTER_ID_BYTES)}"),
            settings.vm,
            settings.failure_domain,
            _advertised(settings.peer_advertise, peer_listener),
        )
        self._server = PeerServer(peer_listener)
        self._links = PeerLinks(self.timers)
        platform = HttpPlatform(settings.platform_url)
        self._membership = TableMembership(
            self.own, self.http_address, platform, self.timers
        )
        board = LocalFacts(self.own.router)
        self._config = ConfigWatch(
            ConfigStore(platform, self.timers),
            self.timers,
            board=board,
            membership=self._membership,
            links=self._links,
            rng=rng,
        )
        self._server.register(FetchConfig, self._config.answer_fetch)
        self.rollouts = Rollouts(
            platform,
            board,
            self._config,
            self._membership,
            self.timers,
            self.metrics.registry,
            rng,
        )
        journal = Journal(self._membership, self._links, self.timers, self.metrics)
        parts = GenerationParts(
            chooser=self._make_chooser(board, rng),
            journal=journal,
            config=self._config,
            versions=self.rollouts.follower,
            timers=self.timers,
            metrics=self.metrics,
            open_run=open_run,
            rng=rng,
        )
        self._answers = AnswerService(
            parts,
            AnswerTable(self.timers),
            CopyStore(self.timers),
            self._membership,
            self._links,
            Abandonment(FixedGrace(), self.timers, self.metrics),
        )
        self._answers.register(self._server)
        status = StatusReport(
            self.own, self._membership, self._config, self._answers, self.timers
        )
        self.api = Api(
            self._answers,
            self._config,
            KeyRing(self._config),
            self.metrics,
            lambda: msgspec.json.encode(status.read()),
        )

    def _make_chooser(self, board: FactBoard, rng: random.Random) -> PoolChooser:
        claims = Claims(self._membership, self._links, ClaimTable(self.timers))
        claims.register(self._server)
        self.quarantine = Quarantine(self.timers, board, self._config, claims)
        chooser = PoolChooser(
            self.timers,
            self._config,
            board,
            self.own.failure_domain,
            rng,
            self.quarantine,
        )
        LoadGossip(self.timers, board, chooser.registry)
        return chooser

    def start(self) -> None:
        """Serve peers and callers."""
        eventlet.spawn_n(self._server.serve)
        self._config.start()
        self.rollouts.start()
        eventlet.spawn_n(self._membership.refresh)
        eventlet.spawn_n(serve_http, self._listener, self.api)

    def drain(self) -> None:
        """Stop without cutting off a request; returns when all is handed over.

        Notes
        -----
        New requests are refused at once, saying that they did not run. Running
        answers may end within the drain time; what is left goes to the copy
        holders, and callers are told to reattach.
        """
        self.api.is_draining = True
        until = self.timers.now() + self._settings.drain_s
        while self._answers.running() and self.timers.now() < until:
            self.timers.sleep(DRAIN_POLL_S)
        self._answers.hand_over_all()
        self.api.is_stopping = True
        self.timers.sleep(CLOSE_PAUSE_S)
        self._listener.close()
        self._server.close()


def _listen(address: Address):
    return eventlet.listen((address.host, address.port), backlog=1024)


def _advertised(host: str, listener) -> Address:
    return Address(host, listener.getsockname()[1])
