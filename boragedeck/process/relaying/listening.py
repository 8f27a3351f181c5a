"""Listens on the sockets of a router, and serves its small HTTP applications."""

from collections.abc import Callable

import eventlet
from eventlet.greenio import GreenSocket

from boragedeck.connection.connection_table import ConnectionBounds
from boragedeck.connection.early_listener import BACKLOG
from boragedeck.connection.edge import CallerConnections, serve_http
from boragedeck.connection.peer import Address

__all__ = ["listen", "make_ready_app", "serve_operators"]

OPERATOR_BOUNDS = ConnectionBounds(served=32, refused=8)
"""The connections to one address of operators."""


def listen(address: Address) -> GreenSocket:
    """Return a socket that accepts connections at an address."""
    return eventlet.listen(
        (address.host, address.port), backlog=BACKLOG, reuse_port=False
    )


def serve_operators(listener: GreenSocket, app: Callable) -> None:
    """Serve a WSGI application for operators in green threads.

    Notes
    -----
    Nobody who reaches the address keeps others out, or uses up the descriptors that
    callers need: the connection that has done nothing for the longest time is closed
    for a new one, and heads and bodies must arrive in time.
    """
    connections = CallerConnections(OPERATOR_BOUNDS, closes_busy=True)
    eventlet.spawn_n(serve_http, listener, app, None, connections)


def make_ready_app(is_ready: Callable[[], bool]) -> Callable:
    """Return the WSGI application that tells whether a router is ready."""

    def answer(environ, start_response):
        ready = is_ready()
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Type", "text/plain")])
        return [b"ready\n" if ready else b"not ready\n"]

    return answer
