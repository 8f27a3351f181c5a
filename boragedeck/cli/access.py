"""Options that the commands share, and access to the platform."""

from typing import Annotated, TypeVar

import typer
from result import Result

from boragedeck.cli.console import Console, ExitCode, Output
from boragedeck.connection.platform import HttpPlatform, Platform
from boragedeck.exceptions import (
    BoragedeckError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from boragedeck.process.settings import read_setting
from boragedeck.process.timers import RealTimers
from boragedeck.version.config_store import ConfigStore

__all__ = [
    "OutputOption",
    "PlatformOption",
    "open_platform",
    "open_store",
    "unwrap_or_exit",
]

T = TypeVar("T")

PlatformOption = Annotated[
    str,
    typer.Option(
        "--platform-url",
        envvar="BORAGEDECK_PLATFORM_URL",
        help="Base URL of the platform.",
    ),
]
OutputOption = Annotated[
    Output,
    typer.Option(
        "--output",
        "-o",
        envvar="BORAGEDECK_OUTPUT",
        help="Output format: tables for people or JSON for programs.",
    ),
]


def open_platform(console: Console, url: str) -> Platform:
    """Return a client of the platform; end the program if the URL is invalid."""
    checked = read_setting("platform_url", url)
    if checked.is_err():
        console.fail(ExitCode.USAGE, checked.err().message)
    return HttpPlatform(checked.ok())


def open_store(console: Console, url: str) -> ConfigStore:
    """Return the configuration store on the platform at a URL."""
    return ConfigStore(open_platform(console, url), RealTimers())


def unwrap_or_exit(console: Console, result: Result[T, BoragedeckError]) -> T:
    """Return a result's value; end the program if it is an error."""
    if result.is_ok():
        return result.ok()
    exc = result.err()
    is_unavailable = isinstance(exc, StoreUnavailableError | StoreUnknownOutcomeError)
    code = ExitCode.UNAVAILABLE if is_unavailable else ExitCode.FAILED
    console.fail(code, str(exc))
