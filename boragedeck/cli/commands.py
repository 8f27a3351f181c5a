"""All commands of the operators' command line."""

from typing import Annotated

import typer

import boragedeck
from boragedeck.cli import keys, quarantine, rollouts, status, tables
from boragedeck.cli.explain import explain
from boragedeck.cli.timeline import timeline
from boragedeck.process.build import build_name

__all__ = ["app"]

app = typer.Typer(
    name="boragedeck",
    help="Edit the tables that configure boragedeck, and show its status.",
    epilog="Exit codes: 0 ok, 1 failed, 2 bad usage or file, 3 conflict,"
    " 4 platform unavailable.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)


def _print_version(is_wanted: bool) -> None:
    if is_wanted:
        typer.echo(f"boragedeck {boragedeck.__version__} (build {build_name()})")
        raise typer.Exit


@app.callback()
def root(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Print the version and exit.",
        ),
    ] = False,
) -> None:
    """Edit the tables that configure boragedeck, and show its status."""


app.command("apply")(tables.apply)
app.command("get")(tables.get)
app.command("diff")(tables.diff)
app.command("history")(tables.history)
app.command("status")(status.status)
app.command("quarantine")(quarantine.quarantine)
app.command("hash-key")(keys.hash_key)
app.command("timeline")(timeline)
app.command("explain")(explain)
app.add_typer(rollouts.app, name="rollouts")
