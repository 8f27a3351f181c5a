"""Writes a configuration as the TOML file that operators edit."""

import datetime
import json
from collections.abc import Iterator
from typing import Any

import msgspec

from boragedeck.version.files import (
    FIELD_NAMES_IN_FILES,
    REVISION_KEY,
    SECTIONS,
    TIME_FIELDS,
)
from boragedeck.version.tables import Config

__all__ = ["to_toml"]


def to_toml(cfg: Config) -> str:
    """Return a configuration as TOML, without fields that have their default value."""
    lines = [f"{REVISION_KEY} = {cfg.revision}"]
    rows = (cfg.organisations, cfg.routes, cfg.pools)
    for section, values in zip(SECTIONS, rows, strict=True):
        if not values:
            lines.append(f"{section} = []")
    for section, values in zip(SECTIONS, rows, strict=True):
        for row in values:
            lines += ["", f"[[{section}]]", *_row_lines(section, row)]
    return "\n".join(lines) + "\n"


def _row_lines(path: str, row: msgspec.Struct) -> Iterator[str]:
    tables = []
    for field in msgspec.structs.fields(row):
        value = getattr(row, field.name)
        if not field.required and value == field.default:
            continue
        name = FIELD_NAMES_IN_FILES.get(field.name, field.name)
        match value:
            case msgspec.Struct():
                tables += [f"[{path}.{name}]", *_row_lines(f"{path}.{name}", value)]
            case (msgspec.Struct(), *_):
                for item in value:
                    header = f"[[{path}.{name}]]"
                    tables += ["", header, *_row_lines(f"{path}.{name}", item)]
            case _:
                yield f"{name} = {_format_value(field.name, value)}"
    yield from tables


def _format_value(name: str, value: Any) -> str:
    if name in TIME_FIELDS:
        return _format_time(value)
    if isinstance(value, float):
        return repr(value)
    # JSON strings, numbers and lists of strings are valid TOML, except for U+007F,
    # which TOML requires to be escaped.
    text = json.dumps(msgspec.to_builtins(value), ensure_ascii=False)
    return text.replace("\x7f", "\\u007f")


def _format_time(value: float) -> str:
    try:
        moment = datetime.datetime.fromtimestamp(value, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return repr(value)
    # A time with a finer resolution than microseconds is written as a number.
    return moment.isoformat() if moment.timestamp() == value else repr(value)
