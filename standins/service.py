"""Stand-in for a plain service that runs each request once and lists the runs."""

import os
from collections.abc import Callable
from http import HTTPStatus

import eventlet
import msgspec
import typer

from standins.web import Answer, json_answer, listen, serve

__all__ = ["ServiceApp", "ServiceRun", "main"]

CRASH_EXIT_CODE = 70


class ServiceRun(msgspec.Struct, frozen=True):
    """One run of a request."""

    key: str | None
    path: str
    method: str


class ServiceAnswer(msgspec.Struct, frozen=True):
    """The answer to a request."""

    run: int
    path: str
    key: str | None
    body: str


class ServiceApp:
    """WSGI application of a plain service.

    Parameters
    ----------
    delay_s : float
        How long a run takes, in seconds.
    """

    def __init__(self, delay_s: float = 0.0):
        self.runs: list[ServiceRun] = []
        self._delay_s = delay_s

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Serve one request."""
        body = environ["wsgi.input"].read()
        match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
            case "GET", "/health":
                return Answer().send(start_response)
            case "GET", "/_runs":
                return json_answer(self.runs).send(start_response)
        return self._run(environ, body).send(start_response)

    def _run(self, environ: dict, body: bytes) -> Answer:
        crash = environ.get("HTTP_X_STAND_IN")
        if crash == "crash-before":
            os._exit(CRASH_EXIT_CODE)
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        path = environ["PATH_INFO"]
        self.runs.append(ServiceRun(key, path, environ["REQUEST_METHOD"]))
        number = len(self.runs)
        eventlet.sleep(self._delay_s)
        if crash == "crash-after":
            os._exit(CRASH_EXIT_CODE)
        text = body.decode(errors="replace")
        return json_answer(ServiceAnswer(number, path, key, text), HTTPStatus.OK)


def main(port: int = 0, delay_ms: float = 0.0) -> None:
    """Serve a plain service on the loopback interface."""
    serve(ServiceApp(delay_ms / 1e3), listen(port), is_announced=True)


if __name__ == "__main__":
    typer.run(main)
