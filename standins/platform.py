"""Stand-in for the platform: tables, objects and the list of VMs over HTTP.

Implements the protocol of `boragedeck.connection.platform.HttpPlatform`. Tests can
set faults (``GET`` and ``PUT /faults``) and VMs (``PUT /vms``).
``GET /calls`` returns how often each method was called.
"""

from collections.abc import Callable
from http import HTTPStatus

import msgspec
import typer
from result import Result

from boragedeck.connection.platform import Commit, Get, Scan
from boragedeck.connection.store import Vm
from boragedeck.exceptions import StoreConflictError, StoreUnavailableError
from standins.memory import Faults, MemoryPlatform
from standins.web import Answer, drop_connection, json_answer, listen, serve

__all__ = ["PlatformApp", "main"]

OBJECTS_PREFIX = "/objects/"


class PlatformApp:
    """WSGI application that serves a `MemoryPlatform`.

    Parameters
    ----------
    platform : MemoryPlatform, optional
        The platform to serve; an empty one by default.
    """

    def __init__(self, platform: MemoryPlatform | None = None):
        self.platform = platform or MemoryPlatform()

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Serve one request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        try:
            answer = self._route(method, path, body)
        except msgspec.MsgspecError as exc:
            answer = Answer(HTTPStatus.BAD_REQUEST, str(exc).encode())
        return drop_connection() if answer is None else answer.send(start_response)

    def _route(self, method: str, path: str, body: bytes) -> Answer | None:
        if path.startswith(OBJECTS_PREFIX):
            return self._serve_object(method, path.removeprefix(OBJECTS_PREFIX), body)
        match method, path:
            case "POST", "/tables/get":
                get = msgspec.json.decode(body, type=Get)
                return _to_answer(self.platform.get(get.table, get.key))
            case "POST", "/tables/scan":
                scan = msgspec.json.decode(body, type=Scan)
                found = self.platform.scan(
                    scan.table, scan.prefix, scan.after, scan.limit
                )
                return _to_answer(found)
            case "POST", "/tables/commit":
                commit = msgspec.json.decode(body, type=Commit)
                return _to_answer(self.platform.commit(commit.writes))
            case "GET", "/vms":
                return _to_answer(self.platform.vms())
        return self._control(method, path, body)

    def _serve_object(self, method: str, key: str, body: bytes) -> Answer | None:
        match method:
            case "GET":
                found = self.platform.get_object(key)
                if found.is_ok() and found.ok() is None:
                    return Answer(HTTPStatus.NOT_FOUND)
                return _to_answer(found, lambda content: Answer(body=content))
            case "PUT":
                return _to_answer(self.platform.put_object(key, body))
        return Answer(HTTPStatus.METHOD_NOT_ALLOWED)

    def _control(self, method: str, path: str, body: bytes) -> Answer:
        match method, path:
            case "GET", "/health":
                return Answer()
            case "GET", "/calls":
                return json_answer(dict(self.platform.calls))
            case "GET", "/faults":
                return json_answer(self.platform.faults)
            case "PUT", "/faults":
                self.platform.faults = msgspec.json.decode(body, type=Faults)
                return json_answer(self.platform.faults)
            case "PUT", "/vms":
                self.platform.set_vms(msgspec.json.decode(body, type=list[Vm]))
                return json_answer(None)
        return Answer(HTTPStatus.NOT_FOUND, f"no such path: {path}".encode())


def _to_answer(
    result: Result, encode: Callable[..., Answer] = json_answer
) -> Answer | None:
    """Return the response for a result; None if the answer is to be lost."""
    if result.is_ok():
        return encode(result.ok())
    exc = result.err()
    match exc:
        case StoreConflictError():
            return Answer(HTTPStatus.CONFLICT, exc.message.encode())
        case StoreUnavailableError():
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE, exc.message.encode())
    return None


def main(port: int = 0) -> None:
    """Serve an empty platform on the loopback interface."""
    serve(PlatformApp(), listen(port), is_announced=True)


if __name__ == "__main__":
    typer.run(main)
