"""The daemon's program: one router."""

import os
import random
import signal
import sys
import warnings
from pathlib import Path
from typing import Any, NoReturn

warnings.filterwarnings("ignore", message=".*[Ee]ventlet.*", category=Warning)

from boragedeck.exceptions import SettingsError
from boragedeck.patching import patch_all

patch_all()

import eliot
import eventlet
import msgspec
from eventlet.event import Event
from result import Result

from boragedeck.platform.settings import SETTINGS_FILE_VARIABLE, read_settings
from boragedeck.process.composition import Router
from boragedeck.process.log_sink import LogSink
from boragedeck.process.logs import PartLog, name_process, open_log
from boragedeck.process.relaying.composition import RelayRouter
from boragedeck.process.relaying.settings import RelaySettings
from boragedeck.process.relaying.settings_source import SettingsSource
from boragedeck.process.settings import parse_settings
from boragedeck.process.timers import RealTimers

__all__ = ["Ready", "main"]

EXIT_USAGE = 2
EXIT_FAILED = 1

_log = PartLog("daemon")


class Ready(msgspec.Struct, frozen=True):
    """The line on standard output that says that the daemon serves.

    Parameters
    ----------
    url : str
        Where callers reach it.
    pid : int
        The process.
    router : str
        The router's id.
    vm : str
        Its VM.
    failure_domain : str
        Where it stands.
    peer : str
        Where other routers reach it.
    """

    url: str
    pid: int
    router: str
    vm: str
    failure_domain: str
    peer: str


def main() -> None:
    """Run a router until SIGTERM or SIGINT; exit with 0 after a planned stop."""
    relay_settings = _checked(read_settings(os.environ))
    if relay_settings is not None:
        _run_on_platform(relay_settings)
    settings = _checked(parse_settings(sys.argv[1:]))
    path = None if settings.log_file is None else str(settings.log_file)
    open_log(path, vm=settings.vm, pid=os.getpid())
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: _send_once(stop))
    try:
        router = Router(settings)
    except SettingsError as exc:
        print(f"boragedeckd: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except OSError as exc:
        print(f"boragedeckd: can't listen: {exc}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    name_process(router.own.router)
    router.start()
    print(msgspec.json.encode(_ready(router)).decode(), flush=True)
    _serve_until(stop, router)
    sys.stdout.flush()
    os._exit(0)


def _run_on_platform(settings: RelaySettings) -> NoReturn:
    """Run a router whose settings the platform wrote."""
    sink = LogSink(sys.stdout.fileno())
    eliot.add_global_fields(vm=settings.vm, pid=os.getpid())
    eliot.add_destinations(sink)
    stop = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: _send_once(stop))
    timers = RealTimers(random.Random())
    path = Path(os.environ[SETTINGS_FILE_VARIABLE])
    source = SettingsSource(settings, lambda: read_settings(os.environ), path, timers)
    signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn_n(source.reload, "SIGHUP"))
    try:
        router = RelayRouter(source, timers)
    except OSError as exc:
        print(f"boragedeckd: can't listen: {exc}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    router.metrics.dropped_logs.set_function(lambda: sink.dropped)
    name_process(router.own.router)
    router.start()
    _serve_until(stop, router)
    sink.flush()
    os._exit(0)


def _serve_until(stop: Event, router: Router | RelayRouter) -> None:
    _log.write("Serving.")
    stop.wait()
    _log.write("Stopping.")
    router.drain()
    # Connections that still stand must not hold the process, which ends at once.
    _log.write("Stopped.")


def _checked(result: Result) -> Any:
    if result.is_err():
        print(f"boragedeckd: {result.err().message}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return result.ok()


def _send_once(event: Event) -> None:
    if not event.ready():
        eventlet.spawn_n(event.send, None)


def _ready(router: Router) -> Ready:
    return Ready(
        url=f"http://{router.http_address}",
        pid=os.getpid(),
        router=router.own.router,
        vm=router.own.vm,
        failure_domain=router.own.failure_domain,
        peer=str(router.own.address),
    )


if __name__ == "__main__":
    main()
