"""Small pieces of HTTP that the stand-in servers share."""

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
    """The line that a stand-in prints when it accepts connections.

    Parameters
    ----------
    url : str
        Its base URL.
    pid : int
        Its process id.
    """

    url: str
    pid: int


class Answer(msgspec.Struct, frozen=True):
    """A whole HTTP answer.

    Parameters
    ----------
    status : int
        The HTTP status.
    body : bytes
        The content.
    content_type : str
        The content's media type.
    """

    status: int = HTTPStatus.OK
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"

    def send(self, start_response: Callable) -> list[bytes]:
        """Start the answer and return its body, as WSGI wants it."""
        phrase = HTTPStatus(self.status).phrase
        headers = [("Content-Type", self.content_type)]
        start_response(f"{int(self.status)} {phrase}", headers)
        return [self.body]


def json_answer(value: Any, status: int = HTTPStatus.OK) -> Answer:
    """Return an answer with a value in JSON."""
    return Answer(status, msgspec.json.encode(value), JSON_TYPE)


def drop_connection() -> list[bytes]:
    """Close the connection of the present request without an answer."""
    eventlet.wsgi.WSGI_LOCAL.already_handled = True
    return []


def listen(port: int = 0) -> socket.socket:
    """Return a listening socket on the loopback interface.

    Parameters
    ----------
    port : int
        The TCP port; 0 for any free one.
    """
    listener = eventlet.listen((HOST, port), backlog=BACKLOG)
    # Accepted connections inherit this, and tokens must not wait for each other.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def base_url(listener: socket.socket) -> str:
    """Return the base URL of a listening socket."""
    host, port = listener.getsockname()
    return f"http://{host}:{port}"


def serve(app: App, listener: socket.socket, *, is_announced: bool = False) -> None:
    """Serve an application until the listener is closed.

    Parameters
    ----------
    app : callable
        A WSGI application.
    listener : socket
        A listening socket.
    is_announced : bool
        Whether to print the `Ready` line first.
    """
    if is_announced:
        ready = Ready(base_url(listener), os.getpid())
        print(msgspec.json.encode(ready).decode(), file=sys.stdout, flush=True)
    eventlet.wsgi.server(
        listener,
        _log_exceptions(app),
        max_size=MAX_CONNECTIONS,
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
