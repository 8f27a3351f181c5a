"""The daemon's program: one router."""

import os
import sys
import warnings

warnings.filterwarnings("ignore", message=".*[Ee]ventlet.*", category=Warning)

from boragedeck.patching import patch_all

patch_all()

from boragedeck.platform.settings import read_settings
from boragedeck.process.serving import checked

__all__ = ["main"]


def main() -> None:
    """Run a router until SIGTERM or SIGINT; exit with 0 after a planned stop.

    Notes
    -----
    Each edition imports its own parts only: a router that starts again after a loss
    of power has its callers waiting.
    """
    relay_settings = checked(read_settings(os.environ))
    if relay_settings is None:
        from boragedeck.process.standalone import run_standalone

        run_standalone(sys.argv[1:])
    from boragedeck.process.relaying.program import run_on_platform

    run_on_platform(relay_settings)


if __name__ == "__main__":
    main()
