"""Commands on the configuration's tables: apply, get, diff and history."""

import enum
import getpass
import uuid
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from boragedeck.cli.access import (
    OutputOption,
    PlatformOption,
    open_store,
    unwrap_or_exit,
)
from boragedeck.cli.console import Console, ExitCode, Output, format_time
from boragedeck.cli.table_views import print_changes, print_config
from boragedeck.process.timers import RealTimers
from boragedeck.version.checks import CheckResult, check
from boragedeck.version.config_store import (
    Change,
    ConfigConflictError,
    ConfigStore,
    StoredConfig,
)
from boragedeck.version.delta import describe
from boragedeck.version.dump import to_toml
from boragedeck.version.files import Tables, read_files
from boragedeck.version.problems import Problem

__all__ = ["apply", "diff", "get", "history"]

MAX_HISTORY = 1000

FilesArgument = Annotated[
    list[Path],
    typer.Argument(help="TOML files that together hold the tables.", metavar="FILE..."),
]


class GetOutput(enum.Enum):
    """Output formats of the configuration."""

    TABLE = "table"
    TOML = "toml"
    JSON = "json"


class Plan(msgspec.Struct, frozen=True):
    """The changes that files make to the configuration, for JSON output.

    Parameters
    ----------
    revision : int
        The accepted revision; if not `is_applied`, the one before the change.
    is_applied : bool
        Whether the change was accepted.
    changes : tuple of str
        A line for each change.
    warnings : tuple of Problem
        Accepted values that an operator should check.
    apply_id : str
        Identifies the attempt in the history; empty if nothing was written.
    """

    revision: int
    is_applied: bool
    changes: tuple[str, ...]
    warnings: tuple[Problem, ...] = ()
    apply_id: str = ""


def apply(
    files: FilesArgument,
    platform_url: PlatformOption = "",
    output: OutputOption = Output.TABLE,
    dry_run: Annotated[
        bool,
        typer.Option("--dry-run", help="Only check the files and show the changes."),
    ] = False,
    expect_revision: Annotated[
        int | None,
        typer.Option(
            "--expect-revision",
            min=0,
            help="Refuse the change unless this revision is the newest; the default"
            " is the `revision` in the files.",
        ),
    ] = None,
    at_least_revision: Annotated[
        int,
        typer.Option(
            "--at-least-revision",
            min=0,
            help="Lowest number for the new revision; for a platform that lost its"
            " tables, so that the routers have a higher revision than it.",
        ),
    ] = 0,
    author: Annotated[
        str,
        typer.Option(
            "--author",
            envvar="BORAGEDECK_AUTHOR",
            help="Author of the change; the default is the current user.",
        ),
    ] = "",
) -> None:
    """Check files and apply all of their changes, or none.

    Sections (organisation, route, pool) that are in no file stay unchanged.
    """
    console = Console(output)
    store = open_store(console, platform_url)
    tables = read_files(files)
    stored, checked = _check(console, store, tables)
    changes = describe(stored.config, checked.config)
    if not changes:
        plan = Plan(stored.config.revision, False, (), checked.warnings)
        _print_plan(console, plan, "nothing to change; revision")
        return
    _check_expected(console, store, stored, tables.revision, expect_revision)
    if dry_run:
        plan = Plan(stored.config.revision, False, changes, checked.warnings)
        _print_plan(console, plan, "would change revision")
        return
    apply_id = uuid.uuid4().hex
    result = store.apply(
        stored,
        checked.config,
        author=author or _current_user(),
        apply_id=apply_id,
        min_revision=at_least_revision,
    )
    if isinstance(result.err(), ConfigConflictError):
        _fail_conflict(console, result.err())
    change = unwrap_or_exit(console, result)
    plan = Plan(change.revision, True, changes, checked.warnings, apply_id)
    _print_plan(console, plan, "accepted revision")


def diff(
    files: FilesArgument,
    platform_url: PlatformOption = "",
    output: OutputOption = Output.TABLE,
    exit_code: Annotated[
        bool, typer.Option("--exit-code", help="Exit with 1 if there are changes.")
    ] = False,
) -> None:
    """Show what applying files would change."""
    console = Console(output)
    store = open_store(console, platform_url)
    stored, checked = _check(console, store, read_files(files))
    changes = describe(stored.config, checked.config)
    plan = Plan(stored.config.revision, False, changes, checked.warnings)
    _print_plan(
        console, plan, "would change revision" if changes else "same as revision"
    )
    if changes and exit_code:
        raise typer.Exit(ExitCode.FAILED)


def get(
    platform_url: PlatformOption = "",
    output: Annotated[
        GetOutput,
        typer.Option(
            "--output",
            "-o",
            help="Tables for people, TOML to edit and apply, JSON for programs.",
        ),
    ] = GetOutput.TABLE,
) -> None:
    """Show the newest accepted configuration."""
    console = Console(Output.JSON if output is GetOutput.JSON else Output.TABLE)
    stored = unwrap_or_exit(console, open_store(console, platform_url).read())
    if output is GetOutput.TOML:
        typer.echo(to_toml(stored.config), nl=False)
        return
    console.json(stored.config)
    accepted_by = (
        f" by {stored.author} at {format_time(stored.time)}" if stored.author else ""
    )
    console.text(f"revision {stored.config.revision}{accepted_by}")
    print_config(console, stored.config)


def history(
    platform_url: PlatformOption = "",
    output: OutputOption = Output.TABLE,
    limit: Annotated[
        int,
        typer.Option(
            "--limit", min=1, max=MAX_HISTORY, help="Maximum number of changes."
        ),
    ] = 20,
) -> None:
    """Show the changes and their authors, the newest change last."""
    console = Console(output)
    store = open_store(console, platform_url)
    newest = unwrap_or_exit(console, store.read_revision())
    after = max(0, newest.revision - limit) if newest is not None else 0
    changes = unwrap_or_exit(console, store.changes(after, limit))
    console.json([_without_delta(change) for change in changes])
    print_changes(console, changes)


def _check(
    console: Console, store: ConfigStore, tables: Tables
) -> tuple[StoredConfig, CheckResult]:
    """Check files against the accepted configuration; end the program on errors."""
    read = store.read()
    if read.is_err() and tables.problems:
        _fail_files(console, tuple(tables.problems))
    stored = unwrap_or_exit(console, read)
    checked = check(tables, stored.config, RealTimers().wall())
    for problem in checked.warnings:
        console.note(str(problem))
    if checked.errors:
        _fail_files(console, checked.errors)
    return stored, checked


def _check_expected(
    console: Console,
    store: ConfigStore,
    stored: StoredConfig,
    revision_in_files: int | None,
    revision_option: int | None,
) -> None:
    """End the program with a conflict if another revision was expected."""
    expected = revision_in_files if revision_option is None else revision_option
    if expected is not None and expected != stored.config.revision:
        _fail_conflict(console, store.conflict_error(expected))


def _fail_files(console: Console, problems: tuple[Problem, ...]) -> None:
    for problem in problems:
        console.note(str(problem))
    count = f"{len(problems)} error{'s' if len(problems) > 1 else ''}"
    text = f"{count} in the files; nothing was changed"
    console.fail(ExitCode.USAGE, text, problems)


def _fail_conflict(console: Console, exc: ConfigConflictError) -> None:
    text = f"{exc.message}; nothing was changed"
    if not exc.changes:
        console.fail(ExitCode.CONFLICT, text)
    lines = [
        f"  revision {change.revision} by {change.author} at"
        f" {format_time(change.time)}: {'; '.join(change.lines)}"
        for change in exc.changes
    ]
    instruction = "Merge these changes into your files and apply them again."
    details = [_without_delta(change) for change in exc.changes]
    console.fail(
        ExitCode.CONFLICT,
        "\n".join([f"{text}. Changed since:", *lines, instruction]),
        details,
    )


def _without_delta(change: Change) -> Change:
    return msgspec.structs.replace(change, delta=None)


def _print_plan(console: Console, plan: Plan, text: str) -> None:
    for line in plan.changes:
        console.text(f"  {line}")
    console.text(f"{text} {plan.revision}")
    console.json(plan)


def _current_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
