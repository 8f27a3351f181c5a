"""Command that shows which requests are quarantined, and why."""

import msgspec

from boragedeck.cli.access import OutputOption, PlatformOption
from boragedeck.cli.console import Console, ExitCode, Output, format_time
from boragedeck.cli.fleet import FleetStatus, RouterOption, read_fleet
from boragedeck.process.observing.status import QuarantineStatus

__all__ = ["quarantine"]


class QuarantineView(msgspec.Struct, frozen=True):
    """A quarantined request and the number of routers that quarantine it."""

    quarantine: QuarantineStatus
    routers: int


def quarantine(
    platform_url: PlatformOption = "",
    output: OutputOption = Output.TABLE,
    router: RouterOption = None,
) -> None:
    """Show the requests that are quarantined because they crashed upstreams.

    To allow a request again, add its fingerprint to its route in a
    [[route.quarantine_lift]] and apply the file.
    """
    console = Console(output)
    fleet = read_fleet(console, platform_url, router)
    silent = [view for view in fleet.routers if view.report is None]
    for view in silent:
        console.note(f"no answer from {view.url}: {view.error}")
    if silent and len(silent) == len(fleet.routers):
        console.fail(ExitCode.FAILED, "no router answers")
    views = _merge_quarantines(fleet)
    console.json(views)
    console.table(
        ("FINGERPRINT", "ROUTE", "CRASHED", "VERSIONS", "UNTIL", "ROUTERS"),
        (_table_row(view, fleet) for view in views),
    )


def _merge_quarantines(fleet: FleetStatus) -> list[QuarantineView]:
    """Return each quarantine once, sorted by the time when it ends."""
    found: dict[str, QuarantineView] = {}
    for view in fleet.routers:
        held = [] if view.report is None else view.report.quarantined
        for item in held:
            routers = (
                found[item.fingerprint].routers if item.fingerprint in found else 0
            )
            found[item.fingerprint] = QuarantineView(item, routers + 1)
    return sorted(found.values(), key=lambda view: view.quarantine.until)


def _table_row(view: QuarantineView, fleet: FleetStatus) -> tuple[str, ...]:
    item = view.quarantine
    return (
        item.fingerprint,
        item.route or "-",
        ", ".join(item.upstreams),
        ", ".join(sorted(set(item.versions))),
        format_time(item.until),
        f"{view.routers} of {len(fleet.routers)}",
    )
