"""Routers with an HTTP API on loopback and fake engines."""

import hashlib

import eventlet
import msgspec

from boragedeck.connection.edge import serve_http
from boragedeck.connection.listening import close_listener
from boragedeck.process.keys import KeyRing
from boragedeck.process.timers import RealTimers
from boragedeck.request.api import Api
from boragedeck.version.tables import Organisation
from tests.support.engines import FakeEngines
from tests.support.network import FakeNetwork
from tests.support.routers import FakeCluster

KEY = "secret-mehurcek"
OTHER_KEY = "secret-bakhoor"


class HttpCluster:
    """Routers on a shared fake network that serve callers over HTTP on loopback."""

    def __init__(self, routers=2, engines=3, interval_s=0.001):
        timers = RealTimers()
        self.engines = FakeEngines(timers, engines)
        for engine in self.engines.all:
            engine.interval_s = interval_s
        self.network = FakeNetwork(timers)
        self.cluster = FakeCluster(timers, self.engines, self.network, routers)
        self.cluster.config.cfg = msgspec.structs.replace(
            self.cluster.config.cfg,
            organisations=(
                Organisation("mehurcek", (_digest(KEY),)),
                Organisation("bakhoor", (_digest(OTHER_KEY),)),
            ),
        )
        self.listeners = []
        self.apis = []
        for router in self.cluster.routers:
            api = Api(
                router.service,
                self.cluster.config,
                KeyRing(self.cluster.config),
                router.metrics,
                lambda: b"{}",
            )
            listener = eventlet.listen(("127.0.0.1", 0))
            eventlet.spawn_n(serve_http, listener, api)
            self.listeners.append(listener)
            self.apis.append(api)

    def address(self, i=0):
        return self.listeners[i].getsockname()

    def url(self, i=0):
        host, port = self.address(i)
        return f"http://{host}:{port}"

    def close(self):
        for listener in self.listeners:
            close_listener(listener)


def _digest(key):
    return hashlib.sha256(key.encode()).hexdigest()
