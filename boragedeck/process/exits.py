"""Exits of the daemon if it can't start."""

import sys
from typing import Any, NoReturn

from result import Result

__all__ = ["EXIT_FAILED", "EXIT_USAGE", "exit_unable_to_listen", "unwrap_or_exit"]

EXIT_USAGE = 2
EXIT_FAILED = 1


def unwrap_or_exit(result: Result) -> Any:
    """Return the result's value, or print its error and exit with `EXIT_USAGE`."""
    if result.is_err():
        print(f"boragedeckd: {result.err().message}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return result.ok()


def exit_unable_to_listen(exc: OSError) -> NoReturn:
    """Print why an address can't be listened on and exit with `EXIT_FAILED`."""
    print(f"boragedeckd: can't listen: {exc}", file=sys.stderr)
    sys.exit(EXIT_FAILED)
