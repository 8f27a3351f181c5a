"""Differences between two configurations, row by row."""

from collections.abc import Iterable
from typing import Any

import msgspec
import xxhash

from boragedeck.ids import PoolName, Revision
from boragedeck.version.tables import Config, Organisation, Pool, Route, Upstream

__all__ = [
    "Delta",
    "PoolUpstream",
    "canonical",
    "describe",
    "diff",
    "digest",
    "patch",
]

SECRET_FIELDS = frozenset({"key_sha256"})


class PoolUpstream(msgspec.Struct, frozen=True, array_like=True):
    """An upstream and the name of its pool."""

    pool: PoolName
    upstream: Upstream


class Delta(msgspec.Struct, frozen=True, omit_defaults=True):
    """The difference between two configurations.

    Parameters
    ----------
    organisations, routes, pools : tuple
        New and changed rows; pools are without their upstreams.
    upstreams : tuple of PoolUpstream
        New and changed upstreams.
    removed_organisations, removed_routes, removed_pools : tuple of str
        Names of the rows to remove.
    removed_upstreams : tuple of tuple of str
        Pool name and upstream name of the upstreams to remove.
    """

    organisations: tuple[Organisation, ...] = ()
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    upstreams: tuple[PoolUpstream, ...] = ()
    removed_organisations: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_pools: tuple[str, ...] = ()
    removed_upstreams: tuple[tuple[str, str], ...] = ()


def canonical(cfg: Config) -> Config:
    """Return the configuration with all rows sorted by name."""
    pools = (
        msgspec.structs.replace(pool, upstreams=_sorted_by_name(pool.upstreams))
        for pool in cfg.pools
    )
    return Config(
        revision=cfg.revision,
        organisations=_sorted_by_name(cfg.organisations),
        routes=_sorted_by_name(cfg.routes),
        pools=_sorted_by_name(pools),
    )


def digest(cfg: Config) -> str:
    """Return a hash of the rows and the revision of a canonical configuration."""
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(cfg))


def diff(old: Config, new: Config) -> Delta:
    """Return the difference from `old` to `new`, without the revision."""
    organisations, gone_organisations = _diff_rows(old.organisations, new.organisations)
    routes, gone_routes = _diff_rows(old.routes, new.routes)
    pools, gone_pools = _diff_rows(
        map(_without_upstreams, old.pools), map(_without_upstreams, new.pools)
    )
    upstreams, gone_upstreams = _diff_upstreams(old, new)
    return Delta(
        organisations=organisations,
        routes=routes,
        pools=pools,
        upstreams=upstreams,
        removed_organisations=gone_organisations,
        removed_routes=gone_routes,
        removed_pools=gone_pools,
        removed_upstreams=gone_upstreams,
    )


def patch(cfg: Config, delta: Delta, revision: Revision) -> Config:
    """Return a configuration with a delta applied.

    Parameters
    ----------
    cfg : Config
        The configuration to which the delta is applied.
    delta : Delta
        The difference to apply.
    revision : Revision
        The revision of the result.

    Returns
    -------
    Config
        The changed configuration, in canonical order.

    Raises
    ------
    KeyError
        If the delta refers to a pool that doesn't exist.
    """
    pools = {pool.name: pool for pool in map(_without_upstreams, cfg.pools)}
    upstreams = {p.name: {u.name: u for u in p.upstreams} for p in cfg.pools}
    for name in delta.removed_pools:
        pools.pop(name, None)
        upstreams.pop(name, None)
    for pool in delta.pools:
        pools[pool.name] = pool
        upstreams.setdefault(pool.name, {})
    for pool_name, name in delta.removed_upstreams:
        upstreams[pool_name].pop(name, None)
    for row in delta.upstreams:
        upstreams[row.pool][row.upstream.name] = row.upstream
    full_pools = (
        msgspec.structs.replace(
            pool, upstreams=_sorted_by_name(upstreams[name].values())
        )
        for name, pool in pools.items()
    )
    return Config(
        revision=revision,
        organisations=_patch_rows(
            cfg.organisations, delta.organisations, delta.removed_organisations
        ),
        routes=_patch_rows(cfg.routes, delta.routes, delta.removed_routes),
        pools=_sorted_by_name(full_pools),
    )


def describe(old: Config, new: Config) -> tuple[str, ...]:
    """Return a line of text for each change from `old` to `new`, for people.

    The lines don't contain API key hashes.
    """
    lines = _describe_rows("organisation", old.organisations, new.organisations)
    lines += _describe_rows("route", old.routes, new.routes)
    lines += _describe_rows(
        "pool", map(_without_upstreams, old.pools), map(_without_upstreams, new.pools)
    )
    before = {pool.name: pool.upstreams for pool in old.pools}
    after = {pool.name: pool.upstreams for pool in new.pools}
    for name in sorted(before.keys() | after.keys()):
        label = f"pool {name}: upstream"
        lines += _describe_rows(label, before.get(name, ()), after.get(name, ()))
    return tuple(lines)


def _sorted_by_name(rows: Iterable[Any]) -> tuple[Any, ...]:
    return tuple(sorted(rows, key=lambda row: row.name))


def _without_upstreams(pool: Pool) -> Pool:
    return msgspec.structs.replace(pool, upstreams=())


def _diff_rows(
    old: Iterable[Any], new: Iterable[Any]
) -> tuple[tuple[Any, ...], tuple[str, ...]]:
    before = {row.name: row for row in old}
    after = {row.name: row for row in new}
    changed = tuple(row for name, row in after.items() if before.get(name) != row)
    removed = tuple(name for name in before if name not in after)
    return changed, removed


def _diff_upstreams(
    old: Config, new: Config
) -> tuple[tuple[PoolUpstream, ...], tuple[tuple[str, str], ...]]:
    before = {pool.name: pool.upstreams for pool in old.pools}
    changed: list[PoolUpstream] = []
    removed: list[tuple[str, str]] = []
    for pool in new.pools:
        rows, removed_names = _diff_rows(before.get(pool.name, ()), pool.upstreams)
        changed += [PoolUpstream(pool.name, row) for row in rows]
        removed += [(pool.name, name) for name in removed_names]
    return tuple(changed), tuple(removed)


def _patch_rows(
    old: Iterable[Any], changed: Iterable[Any], removed: Iterable[str]
) -> tuple[Any, ...]:
    rows = {row.name: row for row in old}
    for name in removed:
        rows.pop(name, None)
    rows |= {row.name: row for row in changed}
    return _sorted_by_name(rows.values())


def _describe_rows(label: str, old: Iterable[Any], new: Iterable[Any]) -> list[str]:
    before = {row.name: row for row in old}
    after = {row.name: row for row in new}
    lines = []
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            lines.append(f"{label} {name}: added")
        elif name not in after:
            lines.append(f"{label} {name}: removed")
        elif before[name] != after[name]:
            lines += _describe_fields(f"{label} {name}", before[name], after[name])
    return lines


def _describe_fields(label: str, old: Any, new: Any) -> list[str]:
    lines = []
    for field in old.__struct_fields__:
        old_value, new_value = getattr(old, field), getattr(new, field)
        if old_value == new_value:
            continue
        if field in SECRET_FIELDS:
            lines.append(f"{label}: {field} changed")
        elif isinstance(old_value, msgspec.Struct):
            lines += _describe_fields(f"{label}: {field}", old_value, new_value)
        else:
            lines.append(
                f"{label}: {field} {_json_text(old_value)} -> {_json_text(new_value)}"
            )
    return lines


def _json_text(value: Any) -> str:
    return msgspec.json.encode(value).decode()
