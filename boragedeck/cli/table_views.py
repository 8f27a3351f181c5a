"""Prints the configuration and its history as text."""

from boragedeck.cli.console import Console, format_time
from boragedeck.version.config_store import Change
from boragedeck.version.tables import Config

__all__ = ["print_changes", "print_config"]


def print_changes(console: Console, changes: list[Change]) -> None:
    """Print the author, the time and the lines of each change, in order."""
    for change in changes:
        console.text(
            f"revision {change.revision}  {format_time(change.time)}  {change.author}"
        )
        for line in change.lines:
            console.text(f"  {line}")


def print_config(console: Console, cfg: Config) -> None:
    """Print a configuration's organisations, routes and pools."""
    console.text("")
    console.table(
        ("ORGANISATION", "WEIGHT", "KEYS"),
        (
            (row.name, f"{row.weight:g}", len(row.key_sha256))
            for row in cfg.organisations
        ),
    )
    console.text("")
    console.table(
        (
            "ROUTE",
            "KIND",
            "REPEATABLE",
            "POOL",
            "VERSION",
            "DEADLINE",
            "PRIORITY",
            "ORGANISATIONS",
        ),
        (
            (
                route.name,
                route.kind.value,
                "yes" if route.repeatable else "no",
                route.pool,
                route.version or "any",
                "-" if route.deadline is None else format_time(route.deadline),
                route.priority.value,
                ",".join(route.organisations),
            )
            for route in cfg.routes
        ),
    )
    console.text("")
    console.table(
        ("POOL", "KIND", "UPSTREAM", "VERSION", "FAILURE DOMAIN", "WEIGHT", "URL"),
        (
            (
                pool.name,
                pool.kind.value,
                upstream.name + (" (leaving)" if upstream.leaving else ""),
                upstream.version or "-",
                upstream.failure_domain,
                f"{upstream.weight:g}",
                upstream.url,
            )
            for pool in cfg.pools
            for upstream in pool.upstreams
        ),
    )
