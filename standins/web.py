"""HTTP helpers shared by the stand-in servers."""

import os
import sys
import traceback
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import eventlet
import eventlet.wsgi
import msgspec
from eventlet.green import socket

__all__ = [
    "Answer",
    "Ready",
    "drop_connection",
    "json_answer",
    "listen",
    "serve",
    "base_url",
]

HOST = "127.0.0.1"
BACKLOG = 1024
MAX_CONNECTIONS = 4096
JSON_TYPE = "application/json"

App = Callable[[dict, Callable], Iterable[bytes]]


class Ready(msgspec.Struct, frozen=True):
    """Line that a stand-in prints once it accepts connections.

    Parameters
    ----------
    url : str
        The base URL of the stand-in.
    pid : int
        The id of its process.
    """

    url: str
    pid: int


class Answer(msgspec.Struct, frozen=True):
    """A complete HTTP response.

    Parameters
    ----------
    status : int
        The HTTP status.
    body : bytes
        The content.
    content_type : str
        The content's media type.
    extra_headers : tuple of tuple of str
        Names and values of further headers.
    """

    status: int = HTTPStatus.OK
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
    extra_headers: tuple[tuple[str, str], ...] = ()

    def send(self, start_response: Callable) -> list[bytes]:
        """Start the WSGI response and return its body."""
        phrase = HTTPStatus(self.status).phrase
        headers = [("Content-Type", self.content_type), *self.extra_headers]
        start_response(f"{int(self.status)} {phrase}", headers)
        return [self.body]


def json_answer(value: Any, status: int = HTTPStatus.OK) -> Answer:
    """Return a response with a value encoded as JSON."""
    return Answer(status, msgspec.json.encode(value), JSON_TYPE)


def drop_connection() -> list[bytes]:
    """Close the connection of the current request without a response."""
    eventlet.wsgi.WSGI_LOCAL.already_handled = True
    return []


def listen(port: int = 0) -> socket.socket:
    """Return a listening socket on the loopback interface.

    Parameters
    ----------
    port : int
        The TCP port; 0 for any free port.
    """
    listener = eventlet.listen((HOST, port), backlog=BACKLOG)
    # Accepted connections inherit this option; without it, a small write such as a
    # token could wait for the acknowledgement of the previous one.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def base_url(listener: socket.socket) -> str:
    """Return the base URL of a listening socket."""
    host, port = listener.getsockname()
    return f"http://{host}:{port}"


def serve(
    app: App,
    listener: socket.socket,
    *,
    is_announced: bool = False,
    protocol: type[eventlet.wsgi.HttpProtocol] = eventlet.wsgi.HttpProtocol,
) -> None:
    """Serve an application until the listener is closed.

    Parameters
    ----------
    app : callable
        A WSGI application.
    listener : socket
        A listening socket.
    is_announced : bool
        Whether to print the `Ready` line first.
    protocol : type, optional
        Reads requests and writes answers.
    """
    if is_announced:
        ready = Ready(base_url(listener), os.getpid())
        print(msgspec.json.encode(ready).decode(), file=sys.stdout, flush=True)
    eventlet.wsgi.server(
        listener,
        _log_exceptions(app),
        max_size=MAX_CONNECTIONS,
        protocol=protocol,
        minimum_chunk_size=1,
        log_output=False,
        debug=False,
    )


def _log_exceptions(app: App) -> App:
    def call(environ: dict, start_response: Callable) -> Iterable[bytes]:
        try:
            return app(environ, start_response)
        except Exception:
            traceback.print_exc()
            raise

    return call
