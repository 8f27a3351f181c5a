"""Command that merges the logs of several processes into one timeline."""

import datetime
import math
import pathlib
import sys
from typing import Annotated

import typer

from boragedeck.cli.access import OutputOption
from boragedeck.cli.console import Console, ExitCode, Output
from boragedeck.process.observing.timeline import (
    EventFilter,
    Timeline,
    merge,
    read_events,
)
from boragedeck.process.observing.timeline_views import html_page, text_lines

__all__ = ["timeline"]

DEFAULT_LIMIT = 10_000


def timeline(
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(metavar="FILE...", help="Log files of the processes."),
    ],
    request: Annotated[
        str, typer.Option(help="Only events of the request with this id.")
    ] = "",
    rollout: Annotated[
        str, typer.Option(help="Only events of this route's rollouts, or of ROUTE/N.")
    ] = "",
    since: Annotated[
        str, typer.Option(help="Only events since this time (ISO 8601, UTC).")
    ] = "",
    html: Annotated[
        pathlib.Path | None, typer.Option(help="Write an HTML page to this file.")
    ] = None,
    limit: Annotated[
        int, typer.Option(min=1, help="Maximum number of events; the latest are shown.")
    ] = DEFAULT_LIMIT,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show the logged events of all processes, causes before effects."""
    console = Console(output)
    event_filter = EventFilter(request, rollout, _parse_since(console, since))
    merged = _merge(console, files, event_filter, limit)
    console.json(merged)
    _print_omissions(console, merged)
    if html is not None:
        _write_page(console, html, merged, request or rollout or "all events")
    else:
        for line in text_lines(merged):
            console.text(line)
    if not merged.events:
        sys.stdout.flush()
        console.note("boragedeck: no event matches")
        raise typer.Exit(ExitCode.FAILED)


def _parse_since(console: Console, text: str) -> float:
    if not text:
        return -math.inf
    try:
        when = datetime.datetime.fromisoformat(text)
    except ValueError as exc:
        console.fail(ExitCode.USAGE, f"--since: {exc}; expected an ISO 8601 time")
    if when.tzinfo is None:
        when = when.replace(tzinfo=datetime.UTC)
    return when.timestamp()


def _merge(
    console: Console, files: list[pathlib.Path], event_filter: EventFilter, limit: int
) -> Timeline:
    try:
        return merge(map(read_events, files), event_filter, limit=limit)
    except OSError as exc:
        console.fail(ExitCode.USAGE, f"can't read {exc.filename}: {exc.strerror}")


def _print_omissions(console: Console, merged: Timeline) -> None:
    if merged.skipped:
        console.note(f"{merged.skipped} lines skipped: truncated or not a JSON object")
    if merged.omitted:
        console.note(f"{merged.omitted} earlier events omitted, see --limit")


def _write_page(
    console: Console, path: pathlib.Path, merged: Timeline, subject: str
) -> None:
    try:
        path.write_text(html_page(merged, f"Timeline: {subject}"), encoding="utf-8")
    except OSError as exc:
        console.fail(ExitCode.FAILED, f"can't write {path}: {exc.strerror}")
    console.text(f"wrote {path} ({len(merged.events)} events)")
