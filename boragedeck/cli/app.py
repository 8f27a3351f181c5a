"""Entry point of the operators' command line."""

import os
import sys

from boragedeck.patching import patch_all

__all__ = ["main"]

EXIT_INTERRUPTED = 130
"""The code that shells give for a process ended by SIGINT."""


def main() -> None:
    """Run one command and exit with its code."""
    patch_all()
    # The commands import modules that need the patched standard library.
    from boragedeck.cli.commands import app

    try:
        app(prog_name="boragedeck")
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    except BrokenPipeError:
        # The reader closed the pipe; the interpreter must not flush to it on exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(1)
    except Exception as exc:
        print(f"boragedeck: unexpected {exc!r}; please report it", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
