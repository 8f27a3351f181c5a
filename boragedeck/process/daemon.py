"""The daemon's program: one router."""

import os
import signal
import sys

from boragedeck.exceptions import SettingsError
from boragedeck.patching import patch_all

patch_all()

import eventlet
import msgspec
from eventlet.event import Event

from boragedeck.process.composition import Router
from boragedeck.process.logs import PartLog, name_process, open_log
from boragedeck.process.settings import parse_settings

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
    result = parse_settings(sys.argv[1:])
    if result.is_err():
        print(f"boragedeckd: {result.err().message}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    settings = result.ok()
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
    _log.write("Serving.")
    stop.wait()
    _log.write("Stopping.")
    router.drain()
    _log.write("Stopped.")
    # Connections that still stand must not hold the process.
    sys.stdout.flush()
    os._exit(0)


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
