"""Entry point of the daemon, which runs one router."""

import os
import sys
import warnings

from boragedeck.connection.early_listener import listen_early
from boragedeck.platform.settings import read_settings
from boragedeck.process.exits import exit_unable_to_listen, unwrap_or_exit
from boragedeck.process.relaying.settings import RelaySettings

__all__ = ["main"]


def main() -> None:
    """Run a router until SIGTERM or SIGINT; exit with 0 after a planned stop.

    Notes
    -----
    Each edition imports its own modules only. On the platform, the router listens
    before it imports them, so that callers' connections wait while it restarts.
    """
    if sys.argv[1:] == ["--version"]:
        from boragedeck.process.build import build_name

        print(build_name())
        return
    settings = unwrap_or_exit(read_settings(os.environ))
    if settings is None:
        _run_standalone()
    else:
        _run_on_platform(settings)


def _run_standalone() -> None:
    _prepare()
    from boragedeck.process.standalone import run_standalone

    run_standalone(sys.argv[1:])


def _run_on_platform(settings: RelaySettings) -> None:
    try:
        listener = listen_early(settings.callers)
    except OSError as exc:
        exit_unable_to_listen(exc)
    _prepare()
    from boragedeck.process.relaying.program import run_on_platform

    run_on_platform(settings, listener)


def _prepare() -> None:
    warnings.filterwarnings("ignore", message=".*[Ee]ventlet.*", category=Warning)
    from boragedeck.patching import patch_all
    from boragedeck.process.allocator import return_large_buffers

    patch_all()
    return_large_buffers()


if __name__ == "__main__":
    main()
