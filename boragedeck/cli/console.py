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
    """Exit codes that the commands share."""

    OK = 0
    FAILED = 1
    """The command failed, or its result counts as a failure under its options."""
    USAGE = 2
    """An argument, a setting or a file is invalid."""
    CONFLICT = 3
    """The configuration has changed since it was read; nothing was written."""
    UNAVAILABLE = 4
    """The platform could not be reached, or whether it wrote the change is unknown."""


class Output(enum.Enum):
    """The format in which results are printed."""

    TABLE = "table"
    JSON = "json"


class Failure(msgspec.Struct, frozen=True):
    """An error in JSON output.

    Parameters
    ----------
    code : str
        The name of the `ExitCode`, in lower case.
    message : str
        What went wrong.
    details : list
        Further data about the error, which differs between commands.
    """

    code: str
    message: str
    details: list[Any] = []


class FailureReport(msgspec.Struct, frozen=True):
    """The JSON output of a command that fails."""

    error: Failure


class Console:
    """Prints results to standard output and errors to standard error.

    If the output is JSON, an error is also printed to standard output, as JSON.

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
            # All lines have as many cells as there are widths; see the strict `zip`.
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
            Structs for the `details` of the JSON output.
        """
        # Results printed so far must precede the error if both go to the same file.
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
