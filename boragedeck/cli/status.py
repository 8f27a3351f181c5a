"""Command that shows the routers, the revision in force in each, and the leases."""

from collections import Counter
from typing import Annotated

import typer

from boragedeck.cli.access import OutputOption, PlatformOption
from boragedeck.cli.console import Console, ExitCode, Output
from boragedeck.cli.fleet import FleetStatus, RouterOption, RouterView, read_fleet
from boragedeck.ids import Health

__all__ = ["status"]


def status(
    platform_url: PlatformOption = "",
    output: OutputOption = Output.TABLE,
    router: RouterOption = None,
    check: Annotated[
        bool,
        typer.Option(
            "--check",
            help="Exit with 1 unless all routers answer and have the accepted"
            " revision in force.",
        ),
    ] = False,
) -> None:
    """Show the leases and each router's revision in force, its age and its peers."""
    console = Console(output)
    fleet = read_fleet(console, platform_url, router)
    console.json(fleet)
    _print_status(console, fleet)
    if check and not all(map(fleet.has_accepted_revision, fleet.routers)):
        raise typer.Exit(ExitCode.FAILED)


def _print_status(console: Console, fleet: FleetStatus) -> None:
    if fleet.accepted_revision is not None:
        console.text(f"accepted revision {fleet.accepted_revision}")
    console.text("")
    header = ("ROUTER", "VM", "FAILURE DOMAIN", "REVISION", "IN FORCE", "CONFIRMED")
    console.table(
        (*header, "PEERS", "STATE"), (_table_row(fleet, view) for view in fleet.routers)
    )
    if fleet.leases:
        console.text("")
        rows = (
            (lease.name, lease.holder or "-", lease.token) for lease in fleet.leases
        )
        console.table(("LEASE", "HOLDER", "TOKEN"), rows)


def _table_row(fleet: FleetStatus, view: RouterView) -> tuple[str, ...]:
    report = view.report
    if report is None:
        return (view.url, "-", "-", "-", "-", "-", "-", f"no answer: {view.error}")
    cfg = report.config
    healths = Counter(peer.health for peer in report.peers)
    unhealthy_count = sum(healths.values()) - healths[Health.HEALTHY]
    peers = f"{len(report.peers)}" + (
        f" ({unhealthy_count} not healthy)" if unhealthy_count else ""
    )
    return (
        report.router,
        report.vm,
        report.failure_domain,
        str(cfg.revision),
        f"{cfg.in_force_s:.0f} s",
        "never" if cfg.confirmed_s is None else f"{cfg.confirmed_s:.0f} s ago",
        peers,
        _state(fleet, view),
    )


def _state(fleet: FleetStatus, view: RouterView) -> str:
    if fleet.accepted_revision is None or fleet.has_accepted_revision(view):
        return "ok"
    is_behind = view.report.config.revision < fleet.accepted_revision
    return f"{'behind' if is_behind else 'ahead of'} {fleet.accepted_revision}"
