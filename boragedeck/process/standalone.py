"""Runs the stand-alone router, with its own tables and OpenAI-compatible API."""

import os
import sys
from typing import NoReturn

import msgspec

from boragedeck.exceptions import SettingsError
from boragedeck.process.composition import Router
from boragedeck.process.exits import EXIT_USAGE, exit_unable_to_listen, unwrap_or_exit
from boragedeck.process.observing.logs import open_log, set_router_id
from boragedeck.process.serving import serve_until, stop_event
from boragedeck.process.settings import parse_settings

__all__ = ["Ready", "run_standalone"]


class Ready(msgspec.Struct, frozen=True):
    """The line on standard output that reports that the daemon is serving.

    Parameters
    ----------
    url : str
        URL at which callers reach it.
    pid : int
        The process id.
    router : str
        The router's id.
    vm : str
        The name of its VM.
    failure_domain : str
        The failure domain of its VM.
    peer : str
        Address at which other routers reach it.
    """

    url: str
    pid: int
    router: str
    vm: str
    failure_domain: str
    peer: str


def run_standalone(arguments: list[str]) -> NoReturn:
    """Run a router until SIGTERM or SIGINT; exit with 0 after a planned stop.

    Parameters
    ----------
    arguments : list of str
        The command line, without the program's name.
    """
    settings = unwrap_or_exit(parse_settings(arguments))
    path = None if settings.log_file is None else str(settings.log_file)
    open_log(path, vm=settings.vm, pid=os.getpid())
    stop = stop_event()
    try:
        router = Router(settings)
    except SettingsError as exc:
        print(f"boragedeckd: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except OSError as exc:
        exit_unable_to_listen(exc)
    set_router_id(router.own.router)
    router.start()
    print(msgspec.json.encode(_ready(router)).decode(), flush=True)
    serve_until(stop, router)
    sys.stdout.flush()
    os._exit(0)


def _ready(router: Router) -> Ready:
    return Ready(
        url=f"http://{router.http_address}",
        pid=os.getpid(),
        router=router.own.router,
        vm=router.own.vm,
        failure_domain=router.own.failure_domain,
        peer=str(router.own.address),
    )
