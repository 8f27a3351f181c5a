"""Commands that show rollouts: list, show and watch."""

import enum
from typing import Annotated

import typer
from result import Ok, Result

from boragedeck.cli.access import (
    OutputOption,
    PlatformOption,
    open_platform,
    unwrap_or_exit,
)
from boragedeck.cli.console import Console, ExitCode, Output, format_time
from boragedeck.connection.platform import Platform
from boragedeck.connection.store import Row, Table
from boragedeck.exceptions import StoreError
from boragedeck.process.timers import RealTimers
from boragedeck.version.rollout_row import (
    HEAD_PREFIX,
    RolloutRow,
    State,
    decode_row,
    head_key,
    row_key,
)

__all__ = ["EXIT_STILL_RUNNING", "app", "list_rollouts", "show", "watch"]

EXIT_STILL_RUNNING = 5
"""Exit code of ``watch`` if the timeout passes first."""
PAGE_ROWS = 500
POLL_S = 2.0

app = typer.Typer(
    name="rollouts",
    help="Show the rollouts of new versions and their progress.",
    epilog="Exit codes of watch: 0 ended as expected, 1 taken back,"
    " 4 platform unavailable, 5 still running after the timeout.",
    no_args_is_help=True,
)

RouteArgument = Annotated[str, typer.Argument(help="Name of the route.")]


class Until(enum.Enum):
    """The end of a rollout for which ``watch`` exits with 0."""

    DONE = "done"
    ENDED = "ended"


@app.command("list")
def list_rollouts(
    platform_url: PlatformOption = "", output: OutputOption = Output.TABLE
) -> None:
    """List the latest rollout attempt of each route."""
    console = Console(output)
    rows = unwrap_or_exit(
        console, _read_latest_attempts(open_platform(console, platform_url))
    )
    console.json(rows)
    header = ("ROUTE", "ATTEMPT", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "REASON")
    console.table(header, (_table_row(row) for row in rows))


@app.command("show")
def show(
    route: RouteArgument,
    number: Annotated[
        int | None, typer.Option(help="Number of an earlier attempt.")
    ] = None,
    platform_url: PlatformOption = "",
    output: OutputOption = Output.TABLE,
) -> None:
    """Show a rollout attempt: its state, its decisions and the next possible step."""
    console = Console(output)
    platform = open_platform(console, platform_url)
    key = head_key(route) if number is None else row_key(route, number)
    row = _read_attempt(console, platform, route, key)
    console.json(row)
    _print_attempt(console, row)


@app.command("watch")
def watch(
    route: RouteArgument,
    until: Annotated[
        Until, typer.Option(help="Which end gives exit code 0: done only, or any.")
    ] = Until.DONE,
    timeout: Annotated[
        float, typer.Option(help="Maximum time to wait, in seconds.")
    ] = 86_400.0,
    platform_url: PlatformOption = "",
    output: OutputOption = Output.TABLE,
) -> None:
    """Follow a rollout attempt until it ends, and print each decision."""
    console = Console(output)
    platform = open_platform(console, platform_url)
    timers = RealTimers()
    end_time = timers.now() + timeout
    row = _read_attempt(console, platform, route, head_key(route))
    last_printed_at = _print_notes(console, row, 0.0)
    while row.is_running and timers.now() < end_time:
        timers.sleep(POLL_S)
        read = platform.get(Table.ROLLOUTS, row_key(route, row.number))
        if read.is_err():
            # The rollout continues without this command, so keep polling the store.
            console.note(f"platform not readable: {read.err()}")
            continue
        row = decode_row(read.ok())
        last_printed_at = _print_notes(console, row, last_printed_at)
    console.json(row)
    _print_outcome(console, row, until)


def _print_outcome(console: Console, row: RolloutRow, until: Until) -> None:
    console.text(f"{row.state.value}: {row.reason}")
    console.text(f"next: {row.action}")
    match row.state:
        case State.RUNNING:
            raise typer.Exit(EXIT_STILL_RUNNING)
        case State.ROLLED_BACK if until is Until.DONE:
            raise typer.Exit(ExitCode.FAILED)


def _print_notes(console: Console, row: RolloutRow, last_printed_at: float) -> float:
    for note in row.notes:
        if note.at > last_printed_at:
            console.text(f"{format_time(note.at)}  {note.share:4.0%}  {note.text}")
            last_printed_at = note.at
    return last_printed_at


def _read_attempt(
    console: Console, platform: Platform, route: str, key: str
) -> RolloutRow:
    row = unwrap_or_exit(console, platform.get(Table.ROLLOUTS, key))
    if row is None:
        console.fail(ExitCode.FAILED, f"route {route!r} has no such rollout attempt")
    return decode_row(row)


def _read_latest_attempts(platform: Platform) -> Result[list[RolloutRow], StoreError]:
    rows: list[Row] = []
    while True:
        after = rows[-1].key if rows else ""
        page = platform.scan(Table.ROLLOUTS, HEAD_PREFIX, after, PAGE_ROWS)
        if page.is_err():
            return page
        rows += page.ok()
        if len(page.ok()) < PAGE_ROWS:
            return Ok([decode_row(row) for row in rows])


def _table_row(row: RolloutRow) -> tuple[str, ...]:
    return (
        row.route,
        str(row.number),
        row.old or "-",
        row.new,
        row.state.value,
        f"{row.share:.0%}",
        format_time(row.deadline) if row.number else "-",
        row.reason,
    )


def _print_attempt(console: Console, row: RolloutRow) -> None:
    fields = {
        "route": row.route,
        "attempt": row.number,
        "move": f"{row.old or '-'} to {row.new}",
        "state": f"{row.state.value} ({row.cause.value})",
        "share": f"{row.share:.0%}",
        "in force": row.in_force or "-",
        "started": format_time(row.started),
        "deadline": format_time(row.deadline),
        "led by": f"{row.writer} (token {row.token})",
        "reason": row.reason,
        "next": row.action,
    }
    console.table(("", ""), fields.items())
    console.text("")
    notes = ((format_time(n.at), f"{n.share:.0%}", n.text) for n in row.notes)
    console.table(("DECIDED", "SHARE", "REASON"), notes)
