"""Output and exit codes of the command line."""

import datetime
import enum
import sys
from collections.abc import Iterable, Sequence
from typing import Any, NoReturn

import msgspec
import typer

__all__ = ["Console", "ExitCode", "Output", "format_time"]

COLUMN_GAP = "  "


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4


class Output(enum.Enum):
    """Output formats of results."""

    TABLE = "table"
    JSON = "json"


class Failure(msgspec.Struct, frozen=True):
    """An error in JSON output."""

    code: str
    message: str
    details: list[Any] = []


class FailureReport(msgspec.Struct, frozen=True):
    """The JSON output of a command that fails."""

    error: Failure


class Console:
    """Prints results to standard output and errors to standard error.

    Parameters
    ----------
    output : Output
        The output format of results.
    """

    def __init__(self, output: Output):
        self.output = output

    @property
    def is_json(self) -> bool:
        """Whether results are printed as JSON."""
        return self.output is Output.JSON

    def text(self, text: str) -> None:
        """Print text, unless the output is JSON."""
        if not self.is_json:
            typer.echo(text)

    def note(self, text: str) -> None:
        """Print a line to standard error."""
        typer.echo(text, err=True)

    def json(self, value: Any) -> None:
        """Print a value as JSON, if the output is JSON."""
        if self.is_json:
            typer.echo(msgspec.json.format(msgspec.json.encode(value)).decode())

    def table(self, header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Print a table with aligned columns, unless the output is JSON."""
        lines = [[str(cell) for cell in row] for row in [header, *rows]]
        widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
        for line in lines:
            cells = (cell.ljust(width) for cell, width in zip(line, widths))  # noqa: B905
            self.text(COLUMN_GAP.join(cells).rstrip())

    def fail(self, code: ExitCode, text: str, details: Sequence[Any] = ()) -> NoReturn:
        """Print an error and end the program.

        Parameters
        ----------
        code : ExitCode
            The exit code.
        text : str
            What went wrong.
        details : sequence
            Structs with details for the JSON output.
        """
        sys.stdout.flush()
        self.note(f"boragedeck: {text}")
        failure = Failure(code.name.lower(), text, list(details))
        self.json(FailureReport(failure))
        raise typer.Exit(code)


def format_time(unix_time_s: float) -> str:
    """Return a Unix time as date and time in UTC; "-" if it is out of range."""
    try:
        when = datetime.datetime.fromtimestamp(unix_time_s, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return "-"
    return when.strftime("%Y-%m-%d %H:%M:%S")
