"""Listens on the sockets of a router, and serves its small HTTP applications."""

from collections.abc import Callable

import eventlet
from eventlet import wsgi
from eventlet.greenio import GreenSocket

from boragedeck.connection.early_listener import BACKLOG
from boragedeck.connection.listening import DiscardingLog
from boragedeck.connection.peer import Address

__all__ = ["listen", "make_ready_app", "serve_wsgi"]


def listen(address: Address) -> GreenSocket:
    """Return a socket that accepts connections at an address."""
    return eventlet.listen(
        (address.host, address.port), backlog=BACKLOG, reuse_port=False
    )


def serve_wsgi(listener: GreenSocket, app: Callable) -> None:
    """Serve a WSGI application in green threads, without a log of its own."""
    eventlet.spawn_n(
        wsgi.server, listener, app, log_output=False, debug=False, log=DiscardingLog()
    )


def make_ready_app(is_ready: Callable[[], bool]) -> Callable:
    """Return the WSGI application that tells whether a router is ready."""

    def answer(environ, start_response):
        ready = is_ready()
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Type", "text/plain")])
        return [b"ready\n" if ready else b"not ready\n"]

    return answer
