"""Checks that the tables fit together, before anything is written."""

import math
import re
from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec

from boragedeck.process.settings import check_url
from boragedeck.version.delta import canonical
from boragedeck.version.files import FILE_NAMES, FileRow, Tables
from boragedeck.version.problems import Place, Problem, hint, shown
from boragedeck.version.tables import (
    ANY_ORGANISATION,
    Config,
    Kind,
    Organisation,
    Pool,
    PoolKind,
    Route,
    Upstream,
)

__all__ = ["Checked", "check"]

KEY_HASH = re.compile(r"[0-9a-f]{64}")
PATH_NAME = re.compile(r"[A-Za-z0-9._~-]+")
MAX_NAME_LENGTH = 128
MAX_ROWS = {"organisation": 5_000, "route": 5_000, "pool": 500}
MAX_UPSTREAMS = 10_000
POOL_KINDS = {Kind.GENERATION: PoolKind.ENGINE, Kind.CALL: PoolKind.SERVICE}
POSITIVE = "a finite number above 0"
NOT_NEGATIVE = "a finite number from 0"


class Checked(msgspec.Struct, frozen=True):
    """The outcome of a check.

    Parameters
    ----------
    config : Config
        The files' rows and, for sections that no file holds, those in force.
    problems : tuple of Problem
        Errors and warnings, in the order of files and lines.
    """

    config: Config
    problems: tuple[Problem, ...]

    @property
    def errors(self) -> tuple[Problem, ...]:
        """The problems for which the files are refused."""
        return tuple(p for p in self.problems if not p.is_warning)

    @property
    def warnings(self) -> tuple[Problem, ...]:
        """The problems with which the files are accepted."""
        return tuple(p for p in self.problems if p.is_warning)


def check(tables: Tables, base: Config, now: float) -> Checked:
    """Check what files hold against itself and the configuration in force.

    Parameters
    ----------
    tables : Tables
        What was read from the files.
    base : Config
        The configuration in force.
    now : float
        The present, in Unix seconds.

    Returns
    -------
    Checked
        The configuration that the files make, and all problems.
    """
    cfg = canonical(
        Config(
            base.revision,
            _section(tables, "organisation", base.organisations),
            _section(tables, "route", base.routes),
            _section(tables, "pool", base.pools),
        )
    )
    problems = [*tables.problems, *_names(tables)]
    names = _Names(tables, cfg)
    for row in tables.rows:
        match row.value:
            case Organisation() as organisation:
                problems += _organisation(row, organisation)
            case Route() as route:
                problems += _route(row, route, base, now)
                problems += _references(row, route, names)
            case Pool() as pool:
                problems += _pool(row, pool)
    problems += _shared_keys(tables, cfg)
    problems += _left_routes(tables, cfg, names)
    return Checked(cfg, tuple(sorted(set(problems))))


class _Names:
    """Names and rows that a route may refer to, the wrong rows included."""

    def __init__(self, tables: Tables, cfg: Config):
        self.pools = {pool.name: pool for pool in cfg.pools}
        self.pool_names = set(self.pools) | _declared(tables, "pool")
        self.organisations = {row.name for row in cfg.organisations}
        self.organisations |= _declared(tables, "organisation")


def _declared(tables: Tables, section: str) -> set[str]:
    return {row.name for row in tables.rows if row.section == section}


def _section(tables: Tables, section: str, in_force: tuple) -> tuple[Any, ...]:
    if section not in tables.sections:
        return in_force
    rows = {
        row.name: row.value
        for row in tables.rows
        if row.section == section and row.value is not None
    }
    return tuple(rows.values())


def _names(tables: Tables) -> Iterator[Problem]:
    """Check that names can be used, are unique and not too many."""
    first: dict[tuple[str, str], FileRow] = {}
    counts = Counter(row.section for row in tables.rows)
    for section, count in counts.items():
        if count > MAX_ROWS[section]:
            place = next(row for row in tables.rows if row.section == section).place()
            yield Problem(place, f"{count} rows", f"at most {MAX_ROWS[section]}")
    for row in tables.rows:
        if not row.name and row.value is None:
            continue
        yield from _name(row, "name", row.name)
        other = first.setdefault((row.section, row.name), row)
        if other is not row:
            right = f"a name of its own; {other.place()} has it too"
            yield Problem(row.place("name"), shown(row.name), right)


def _name(row: FileRow, field: str, name: str) -> Iterator[Problem]:
    if not name or len(name) > MAX_NAME_LENGTH or not name.isprintable():
        right = f"1 to {MAX_NAME_LENGTH} printable characters"
        yield Problem(row.place(field), shown(name), right)
    elif name != name.strip():
        yield Problem(row.place(field), shown(name), "a name without outer spaces")


def _organisation(row: FileRow, organisation: Organisation) -> Iterator[Problem]:
    if organisation.name == ANY_ORGANISATION:
        right = 'a name; "*" stands for all organisations'
        yield Problem(row.place("name"), shown(organisation.name), right)
    yield from _positive(row, "weight", organisation.weight)
    for text in organisation.key_sha256:
        if not KEY_HASH.fullmatch(text):
            # It may be the key itself, which belongs in no log.
            got = f"{len(text)} characters"
            right = "64 digits of 0-9 and a-f, as `boragedeck hash-key` prints"
            yield Problem(row.place("key_sha256"), got, right)


def _shared_keys(tables: Tables, cfg: Config) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for organisation in cfg.organisations:
        for text in organisation.key_sha256:
            owner = owners.setdefault(text, organisation.name)
            if owner != organisation.name:
                place = _place(tables, "organisation", organisation.name, "key_sha256")
                yield Problem(place, f"a key of {shown(owner)}", "a key of its own")


def _route(row: FileRow, route: Route, base: Config, now: float) -> Iterator[Problem]:
    if route.kind is Kind.CALL and not PATH_NAME.fullmatch(route.name):
        right = "letters, digits and . _ ~ - as it's part of a URL's path"
        yield Problem(row.place("name"), shown(route.name), right)
    if route.kind is Kind.GENERATION and not route.repeatable:
        right = "true; a generation is resumed, not repeated"
        yield Problem(row.place("repeatable"), "false", right, is_warning=True)
    if not route.organisations:
        right = 'names of organisations or "*"; no one may use the route'
        yield Problem(row.place("organisations"), "none", right, is_warning=True)
    if route.version == "":
        yield Problem(row.place("version"), '""', "a version, or no such line for any")
    for number, lift in enumerate(route.quarantine_lifts):
        field = f"{FILE_NAMES['quarantine_lifts']}[{number}].fingerprint"
        yield from _name(row, field, lift.fingerprint)
    yield from _deadline(row, route, base, now)
    yield from _limits(row, route)


def _deadline(
    row: FileRow, route: Route, base: Config, now: float
) -> Iterator[Problem]:
    deadline = route.deadline
    if deadline is None:
        return
    place = row.place("deadline")
    if not math.isfinite(deadline):
        yield Problem(place, shown(deadline), "a date and time with its offset")
        return
    if route.version is None:
        right = "no deadline, or a version that is due by then"
        yield Problem(place, "a deadline without a version", right)
    before = base.route(route.name)
    # The files of a rollout that is over may be applied again.
    is_known = before is not None and (before.version, before.deadline) == (
        route.version,
        deadline,
    )
    if deadline <= now and not is_known:
        got = f"a time {now - deadline:.0f} s ago"
        yield Problem(place, got, "a time in the future for a new version or deadline")


def _limits(row: FileRow, route: Route) -> Iterator[Problem]:
    limits = route.limits
    if limits.max_tokens < 1:
        place = row.place("limits.max_tokens")
        yield Problem(place, shown(limits.max_tokens), "a whole number from 1")
    yield from _positive(row, "limits.deadline_s", limits.deadline_s)
    for field in ("queue_s", "grace_s"):
        value = getattr(limits, field)
        if not (math.isfinite(value) and value >= 0):
            yield Problem(row.place(f"limits.{field}"), shown(value), NOT_NEGATIVE)


def _references(row: FileRow, route: Route, names: _Names) -> Iterator[Problem]:
    """Check the pool and the organisations that a route names."""
    for name in route.organisations:
        if name != ANY_ORGANISATION and name not in names.organisations:
            right = "organisations of the tables" + hint(name, names.organisations)
            yield Problem(row.place("organisations"), shown(name), right)
    yield from _pool_fits(row.place("pool"), row.place("version"), route, names)


def _left_routes(tables: Tables, cfg: Config, names: _Names) -> Iterator[Problem]:
    """Check the routes in force that no file holds against the files' rows."""
    if "route" in tables.sections:
        return
    for route in cfg.routes:
        place = Place("in force", 0, f"route {shown(route.name)}")
        for name in route.organisations:
            if name != ANY_ORGANISATION and name not in names.organisations:
                right = "organisations that the files hold"
                right += hint(name, names.organisations)
                yield Problem(place, shown(name), right)
        yield from _pool_fits(place, place, route, names)


def _pool_fits(
    place: Place, version_place: Place, route: Route, names: _Names
) -> Iterator[Problem]:
    if route.pool not in names.pool_names:
        right = "a pool of the tables" + hint(route.pool, names.pool_names)
        yield Problem(place, shown(route.pool), right)
        return
    pool = names.pools.get(route.pool)
    if pool is None:
        return
    wanted = POOL_KINDS[route.kind]
    if pool.kind is not wanted:
        got = f"{shown(pool.name)}, a pool of kind {shown(pool.kind.value)}"
        right = f'a pool of kind "{wanted.value}" for kind "{route.kind.value}"'
        yield Problem(place, got, right)
        return
    versions = {upstream.version for upstream in pool.upstreams}
    if route.version is None or route.version in versions:
        return
    # Engines load a version when they're ordered to; services can't.
    is_warning = pool.kind is PoolKind.ENGINE
    right = f"a version that an upstream of {shown(pool.name)} serves"
    right += ", or that its engines can load" if is_warning else ""
    right += hint(route.version, versions)
    yield Problem(version_place, shown(route.version), right, is_warning)


def _pool(row: FileRow, pool: Pool) -> Iterator[Problem]:
    if not pool.upstreams:
        yield Problem(row.place(), "no upstream", "at least one", is_warning=True)
    elif all(upstream.leaving for upstream in pool.upstreams):
        right = "at least one that is not leaving"
        yield Problem(row.place(), "only leaving upstreams", right, is_warning=True)
    if len(pool.upstreams) > MAX_UPSTREAMS:
        got = f"{len(pool.upstreams)} upstreams"
        yield Problem(row.place(), got, f"at most {MAX_UPSTREAMS}")
    names: dict[str, int] = {}
    urls: dict[str, int] = {}
    for number, upstream in enumerate(pool.upstreams):
        path = f"{FILE_NAMES['upstreams']}[{number}]"
        yield from _upstream(row, path, upstream)
        if names.setdefault(upstream.name, number) != number:
            right = "a name of its own within the pool"
            yield Problem(row.place(f"{path}.name"), shown(upstream.name), right)
        if urls.setdefault(upstream.url.rstrip("/"), number) != number:
            right = "a URL of its own within the pool"
            yield Problem(row.place(f"{path}.url"), shown(upstream.url), right)


def _upstream(row: FileRow, path: str, upstream: Upstream) -> Iterator[Problem]:
    yield from _name(row, f"{path}.name", upstream.name)
    yield from _name(row, f"{path}.failure_domain", upstream.failure_domain)
    yield from _positive(row, f"{path}.weight", upstream.weight)
    try:
        check_url(upstream.url)
    except ValueError as exc:
        right = f"a URL such as http://10.1.2.3:8000; this one: {exc}"
        yield Problem(row.place(f"{path}.url"), shown(upstream.url), right)


def _positive(row: FileRow, field: str, value: float) -> Iterator[Problem]:
    if not (math.isfinite(value) and value > 0):
        yield Problem(row.place(field), shown(value), POSITIVE)


def _place(tables: Tables, section: str, name: str, field: str) -> Place:
    for row in tables.rows:
        if (row.section, row.name) == (section, name):
            return row.place(field)
    return Place("in force", 0, f"{section} {shown(name)}")
