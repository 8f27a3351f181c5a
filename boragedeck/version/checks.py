"""Checks that the tables are valid and consistent before they are written."""

import math
import re
from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec

from boragedeck.process.settings import check_url
from boragedeck.version.delta import canonical
from boragedeck.version.files import FIELD_NAMES_IN_FILES, FileRow, Tables
from boragedeck.version.problems import Place, Problem, format_value, spelling_hint
from boragedeck.version.tables import (
    ANY_ORGANISATION,
    Config,
    Organisation,
    Pool,
    PoolKind,
    Route,
    RouteKind,
    Upstream,
)

__all__ = ["CheckResult", "check"]

KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
URL_SEGMENT_PATTERN = re.compile(r"[A-Za-z0-9._~-]+")
MAX_NAME_LENGTH = 128
MAX_ROWS = {"organisation": 5_000, "route": 5_000, "pool": 500}
MAX_UPSTREAMS_PER_POOL = 10_000
POOL_KIND_BY_ROUTE_KIND = {
    RouteKind.GENERATION: PoolKind.ENGINE,
    RouteKind.CALL: PoolKind.SERVICE,
}
POSITIVE_NUMBER = "a finite number greater than 0"
NON_NEGATIVE_NUMBER = "a finite number of at least 0"


class CheckResult(msgspec.Struct, frozen=True):
    """The outcome of a check.

    Parameters
    ----------
    config : Config
        The rows of the files and, for sections that are in no file, the rows in
        force.
    problems : tuple of Problem
        Errors and warnings, sorted by file and line.
    """

    config: Config
    problems: tuple[Problem, ...]

    @property
    def errors(self) -> tuple[Problem, ...]:
        """The problems that cause the files to be rejected."""
        return tuple(p for p in self.problems if not p.is_warning)

    @property
    def warnings(self) -> tuple[Problem, ...]:
        """The problems that don't prevent the files from being accepted."""
        return tuple(p for p in self.problems if p.is_warning)


def check(tables: Tables, base: Config, now: float) -> CheckResult:
    """Check the rows of files against each other and the configuration in force.

    Parameters
    ----------
    tables : Tables
        The rows and problems that were read from the files.
    base : Config
        The configuration in force.
    now : float
        The current time, in Unix seconds.

    Returns
    -------
    CheckResult
        The resulting configuration and all problems.
    """
    cfg = canonical(
        Config(
            base.revision,
            _rows_of_section(tables, "organisation", base.organisations),
            _rows_of_section(tables, "route", base.routes),
            _rows_of_section(tables, "pool", base.pools),
        )
    )
    problems = [*tables.problems, *_check_row_names(tables)]
    names = _KnownNames(tables, cfg)
    for row in tables.rows:
        match row.value:
            case Organisation() as organisation:
                problems += _check_organisation(row, organisation)
            case Route() as route:
                problems += _check_route(row, route, base, now)
                problems += _check_references(row, route, names)
            case Pool() as pool:
                problems += _check_pool(row, pool)
    problems += _check_shared_keys(tables, cfg)
    problems += _check_routes_in_force(tables, cfg, names)
    return CheckResult(cfg, tuple(sorted(set(problems))))


class _KnownNames:
    """Pools and organisations that a route may refer to, invalid rows included."""

    def __init__(self, tables: Tables, cfg: Config):
        self.pools = {pool.name: pool for pool in cfg.pools}
        self.pool_names = set(self.pools) | _declared_names(tables, "pool")
        self.organisations = {row.name for row in cfg.organisations}
        self.organisations |= _declared_names(tables, "organisation")


def _declared_names(tables: Tables, section: str) -> set[str]:
    return {row.name for row in tables.rows if row.section == section}


def _rows_of_section(tables: Tables, section: str, in_force: tuple) -> tuple[Any, ...]:
    if section not in tables.sections:
        return in_force
    rows = {
        row.name: row.value
        for row in tables.rows
        if row.section == section and row.value is not None
    }
    return tuple(rows.values())


def _check_row_names(tables: Tables) -> Iterator[Problem]:
    """Check that row names are valid and unique, and the number of rows per section."""
    first: dict[tuple[str, str], FileRow] = {}
    counts = Counter(row.section for row in tables.rows)
    for section, count in counts.items():
        if count > MAX_ROWS[section]:
            place = next(row for row in tables.rows if row.section == section).place()
            yield Problem(place, f"{count} rows", f"at most {MAX_ROWS[section]}")
    for row in tables.rows:
        if not row.name and row.value is None:
            continue
        yield from _check_name(row, "name", row.name)
        other = first.setdefault((row.section, row.name), row)
        if other is not row:
            right = f"a unique name; {other.place()} has the same name"
            yield Problem(row.place("name"), format_value(row.name), right)


def _check_name(row: FileRow, field: str, name: str) -> Iterator[Problem]:
    if not name or len(name) > MAX_NAME_LENGTH or not name.isprintable():
        right = f"1 to {MAX_NAME_LENGTH} printable characters"
        yield Problem(row.place(field), format_value(name), right)
    elif name != name.strip():
        yield Problem(
            row.place(field),
            format_value(name),
            "a name without leading or trailing spaces",
        )


def _check_organisation(row: FileRow, organisation: Organisation) -> Iterator[Problem]:
    if organisation.name == ANY_ORGANISATION:
        right = 'a name other than "*", which stands for all organisations'
        yield Problem(row.place("name"), format_value(organisation.name), right)
    yield from _check_positive(row, "weight", organisation.weight)
    for text in organisation.key_sha256:
        if not KEY_HASH_PATTERN.fullmatch(text):
            # The value may be the key itself, which must not be logged.
            got = f"{len(text)} characters"
            right = "64 digits of 0-9 and a-f, as printed by `boragedeck hash-key`"
            yield Problem(row.place("key_sha256"), got, right)


def _check_shared_keys(tables: Tables, cfg: Config) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for organisation in cfg.organisations:
        for text in organisation.key_sha256:
            owner = owners.setdefault(text, organisation.name)
            if owner != organisation.name:
                place = _row_place(
                    tables, "organisation", organisation.name, "key_sha256"
                )
                yield Problem(
                    place,
                    f"a key of organisation {format_value(owner)}",
                    "a key that no other organisation has",
                )


def _check_route(
    row: FileRow, route: Route, base: Config, now: float
) -> Iterator[Problem]:
    if route.kind is RouteKind.CALL and not URL_SEGMENT_PATTERN.fullmatch(route.name):
        right = "letters, digits and . _ ~ - because the name is part of a URL path"
        yield Problem(row.place("name"), format_value(route.name), right)
    if route.kind is RouteKind.GENERATION and not route.repeatable:
        right = "true, because generations are resumed instead of repeated"
        yield Problem(row.place("repeatable"), "false", right, is_warning=True)
    if not route.organisations:
        right = 'organisation names or "*"; without any, no one may use the route'
        yield Problem(row.place("organisations"), "none", right, is_warning=True)
    if route.version == "":
        yield Problem(
            row.place("version"), '""', "a version; omit the field to allow any"
        )
    for number, lift in enumerate(route.quarantine_lifts):
        field = f"{FIELD_NAMES_IN_FILES['quarantine_lifts']}[{number}].fingerprint"
        yield from _check_name(row, field, lift.fingerprint)
    yield from _check_deadline(row, route, base, now)
    yield from _check_limits(row, route)


def _check_deadline(
    row: FileRow, route: Route, base: Config, now: float
) -> Iterator[Problem]:
    deadline = route.deadline
    if deadline is None:
        return
    place = row.place("deadline")
    if not math.isfinite(deadline):
        yield Problem(
            place, format_value(deadline), "a date and time with a UTC offset"
        )
        return
    if route.version is None:
        right = "a version that is due by the deadline, or no deadline"
        yield Problem(place, "a deadline without a version", right)
    before = base.route(route.name)
    # The files of a finished rollout may be applied again.
    is_unchanged = before is not None and (before.version, before.deadline) == (
        route.version,
        deadline,
    )
    if deadline <= now and not is_unchanged:
        got = f"a time {now - deadline:.0f} s ago"
        yield Problem(place, got, "a time in the future for a new version or deadline")


def _check_limits(row: FileRow, route: Route) -> Iterator[Problem]:
    limits = route.limits
    if limits.max_tokens < 1:
        place = row.place("limits.max_tokens")
        yield Problem(
            place, format_value(limits.max_tokens), "a whole number of at least 1"
        )
    yield from _check_positive(row, "limits.deadline_s", limits.deadline_s)
    for field in ("queue_s", "grace_s"):
        value = getattr(limits, field)
        if not (math.isfinite(value) and value >= 0):
            yield Problem(
                row.place(f"limits.{field}"), format_value(value), NON_NEGATIVE_NUMBER
            )


def _check_references(
    row: FileRow, route: Route, names: _KnownNames
) -> Iterator[Problem]:
    """Check that the pool and the organisations of a route exist."""
    for name in route.organisations:
        if name != ANY_ORGANISATION and name not in names.organisations:
            right = "an organisation that exists in the tables" + spelling_hint(
                name, names.organisations
            )
            yield Problem(row.place("organisations"), format_value(name), right)
    yield from _check_pool_and_version(
        row.place("pool"), row.place("version"), route, names
    )


def _check_routes_in_force(
    tables: Tables, cfg: Config, names: _KnownNames
) -> Iterator[Problem]:
    """Check the routes in force against the files if the files declare no routes."""
    if "route" in tables.sections:
        return
    for route in cfg.routes:
        place = Place("in force", 0, f"route {format_value(route.name)}")
        for name in route.organisations:
            if name != ANY_ORGANISATION and name not in names.organisations:
                right = "an organisation that the files declare"
                right += spelling_hint(name, names.organisations)
                yield Problem(place, format_value(name), right)
        yield from _check_pool_and_version(place, place, route, names)


def _check_pool_and_version(
    place: Place, version_place: Place, route: Route, names: _KnownNames
) -> Iterator[Problem]:
    if route.pool not in names.pool_names:
        right = "a pool that exists in the tables" + spelling_hint(
            route.pool, names.pool_names
        )
        yield Problem(place, format_value(route.pool), right)
        return
    pool = names.pools.get(route.pool)
    if pool is None:
        return
    expected_kind = POOL_KIND_BY_ROUTE_KIND[route.kind]
    if pool.kind is not expected_kind:
        got = (
            f"{format_value(pool.name)}, a pool of kind {format_value(pool.kind.value)}"
        )
        right = (
            f'a pool of kind "{expected_kind.value}" for a "{route.kind.value}" route'
        )
        yield Problem(place, got, right)
        return
    versions = {upstream.version for upstream in pool.upstreams}
    if route.version is None or route.version in versions:
        return
    # Engines can be ordered to load a version; services can't.
    is_warning = pool.kind is PoolKind.ENGINE
    right = f"a version that an upstream of {format_value(pool.name)} serves"
    right += ", or that its engines can load" if is_warning else ""
    right += spelling_hint(route.version, versions)
    yield Problem(version_place, format_value(route.version), right, is_warning)


def _check_pool(row: FileRow, pool: Pool) -> Iterator[Problem]:
    if not pool.upstreams:
        yield Problem(
            row.place(), "no upstream", "at least one upstream", is_warning=True
        )
    elif all(upstream.leaving for upstream in pool.upstreams):
        right = "at least one upstream that isn't leaving"
        yield Problem(row.place(), "only leaving upstreams", right, is_warning=True)
    if len(pool.upstreams) > MAX_UPSTREAMS_PER_POOL:
        got = f"{len(pool.upstreams)} upstreams"
        yield Problem(row.place(), got, f"at most {MAX_UPSTREAMS_PER_POOL}")
    names: dict[str, int] = {}
    urls: dict[str, int] = {}
    for number, upstream in enumerate(pool.upstreams):
        path = f"{FIELD_NAMES_IN_FILES['upstreams']}[{number}]"
        yield from _check_upstream(row, path, upstream)
        if names.setdefault(upstream.name, number) != number:
            right = "a name that is unique within the pool"
            yield Problem(row.place(f"{path}.name"), format_value(upstream.name), right)
        if urls.setdefault(upstream.url.rstrip("/"), number) != number:
            right = "a URL that is unique within the pool"
            yield Problem(row.place(f"{path}.url"), format_value(upstream.url), right)


def _check_upstream(row: FileRow, path: str, upstream: Upstream) -> Iterator[Problem]:
    yield from _check_name(row, f"{path}.name", upstream.name)
    yield from _check_name(row, f"{path}.failure_domain", upstream.failure_domain)
    yield from _check_positive(row, f"{path}.weight", upstream.weight)
    try:
        check_url(upstream.url)
    except ValueError as exc:
        right = f"a URL such as http://10.1.2.3:8000 ({exc})"
        yield Problem(row.place(f"{path}.url"), format_value(upstream.url), right)


def _check_positive(row: FileRow, field: str, value: float) -> Iterator[Problem]:
    if not (math.isfinite(value) and value > 0):
        yield Problem(row.place(field), format_value(value), POSITIVE_NUMBER)


def _row_place(tables: Tables, section: str, name: str, field: str) -> Place:
    for row in tables.rows:
        if (row.section, row.name) == (section, name):
            return row.place(field)
    return Place("in force", 0, f"{section} {format_value(name)}")
