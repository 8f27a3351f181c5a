"""Reads the tables from the files that operators keep in version control.

A file is TOML and may contain ``[[organisation]]``, ``[[route]]`` and ``[[pool]]``
tables; a pool has ``[[pool.upstream]]`` tables. One pass reports all errors, field
by field.
"""

import datetime
import functools
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import inspect

from boragedeck.version.problems import Place, Problem, format_value, spelling_hint
from boragedeck.version.tables import Organisation, Pool, Route
from boragedeck.version.toml_lines import TomlLines

__all__ = [
    "FIELD_NAMES_IN_FILES",
    "SECTIONS",
    "FileRow",
    "Tables",
    "parse",
    "read_files",
]

MAX_FILE_BYTES = 8 * 1024 * 1024
REVISION_KEY = "revision"
SECTIONS: dict[str, type] = {
    "organisation": Organisation,
    "route": Route,
    "pool": Pool,
}
"""The sections of a file and the types of their rows."""
FIELD_NAMES_IN_FILES = {"upstreams": "upstream", "quarantine_lifts": "quarantine_lift"}
"""Fields with another name in files: singular, because each item is a table."""
TIME_FIELDS = frozenset({"deadline"})


class FileRow(msgspec.Struct, frozen=True):
    """A row as it was read from a file.

    Parameters
    ----------
    section : str
        A key of `SECTIONS`.
    name : str
        The row's name; empty if it has none.
    value : Organisation, Route, Pool or None
        The row; None if it is invalid.
    file : str
        The file's path.
    path : str
        The row's path within the file.
    lines : TomlLines
        The line numbers of the file's keys and tables.
    """

    section: str
    name: str
    value: Any
    file: str
    path: str
    lines: TomlLines

    def place(self, field: str = "") -> Place:
        """Return the place of a field of the row, or of the row itself."""
        path = f"{self.path}.{field}" if field else self.path
        return Place(self.file, self.lines.line(path), path)


class Tables(msgspec.Struct):
    """The content of a set of files.

    Parameters
    ----------
    rows : list of FileRow
        All rows, invalid ones included.
    sections : set of str
        The keys of `SECTIONS` that occur in the files, even as empty lists.
    problems : list of Problem
        Errors that were found while reading the files.
    revision : int or None
        The revision that the files are based on; None if no file gives it.
    """

    rows: list[FileRow] = msgspec.field(default_factory=list)
    sections: set[str] = msgspec.field(default_factory=set)
    problems: list[Problem] = msgspec.field(default_factory=list)
    revision: int | None = None


def read_files(paths: Iterable[Path]) -> Tables:
    """Read the tables from files.

    Parameters
    ----------
    paths : iterable of Path
        The files, which together contain the tables.

    Returns
    -------
    Tables
        The rows of the files, and all syntax and type errors.
    """
    tables = Tables()
    for path in paths:
        try:
            with path.open("rb") as file:
                body = file.read(MAX_FILE_BYTES + 1)
        except (OSError, ValueError) as exc:
            reason = getattr(exc, "strerror", None) or str(exc)
            problem = Problem(Place(str(path)), reason, "a readable file")
            tables.problems.append(problem)
            continue
        parse(str(path), body, tables)
    if not tables.sections and not tables.problems:
        names = ", ".join(f"[[{name}]]" for name in SECTIONS)
        place = Place(", ".join(map(str, paths)))
        tables.problems.append(Problem(place, "no tables", f"at least one of {names}"))
    return tables


def parse(file: str, body: bytes, tables: Tables) -> None:
    """Add the content of a file to the tables.

    Parameters
    ----------
    file : str
        The file's path, for messages.
    body : bytes
        The content of the file.
    tables : Tables
        The tables to which rows and problems are added.
    """
    if len(body) > MAX_FILE_BYTES:
        text = f"at most {MAX_FILE_BYTES} bytes"
        tables.problems.append(Problem(Place(file), f"{len(body)} bytes", text))
        return
    try:
        text = body.decode()
        document = tomllib.loads(text)
    # A number with too many digits raises a plain ValueError.
    except (ValueError, RecursionError) as exc:
        tables.problems.append(Problem(Place(file), str(exc), "TOML in UTF-8"))
        return
    _Reader(file, TomlLines(text), tables).read(document)


class _Reader:
    """Reads one parsed file."""

    def __init__(self, file: str, lines: TomlLines, tables: Tables):
        self._file = file
        self._lines = lines
        self._tables = tables

    def read(self, document: dict[str, Any]) -> None:
        known_keys = [*SECTIONS, REVISION_KEY]
        for key, value in document.items():
            if key == REVISION_KEY:
                self._read_revision(value)
            elif key in SECTIONS:
                self._tables.sections.add(key)
                self._read_section(key, value)
            else:
                self._add_problem(
                    key,
                    format_value(key),
                    _one_of(known_keys) + spelling_hint(key, known_keys),
                )

    def _read_revision(self, value: Any) -> None:
        if type(value) is not int or value < 0:
            self._add_problem(
                REVISION_KEY, format_value(value), "a whole number of at least 0"
            )
        elif self._tables.revision not in (None, value):
            text = f"{self._tables.revision}, the revision in another file"
            self._add_problem(REVISION_KEY, format_value(value), text)
        else:
            self._tables.revision = value

    def _read_section(self, section: str, values: Any) -> None:
        if not isinstance(values, list):
            self._add_problem(
                section, format_value(values), f"a list of [[{section}]] tables"
            )
            return
        for number, raw in enumerate(values):
            path = f"{section}[{number}]"
            value = self._read_struct(SECTIONS[section], raw, path)
            name = raw.get("name", "") if isinstance(raw, dict) else ""
            name = name if isinstance(name, str) else ""
            row = FileRow(section, name, value, self._file, path, self._lines)
            self._tables.rows.append(row)

    def _read_struct(self, kind: type, raw: Any, path: str) -> Any:
        """Return a struct, or None if any of its fields is invalid."""
        if not isinstance(raw, dict):
            self._add_problem(path, format_value(raw), "a table")
            return None
        fields = _fields_by_file_name(kind)
        values = {}
        is_invalid = False
        for key, value in raw.items():
            field_path = f"{path}.{key}"
            if key not in fields:
                self._add_problem(
                    field_path,
                    format_value(key),
                    _one_of(fields) + spelling_hint(key, fields),
                )
                is_invalid = True
                continue
            field = fields[key]
            values[field.name] = self._read_value(field, value, field_path)
            is_invalid |= values[field.name] is None
        for key, field in fields.items():
            if field.required and field.name not in values:
                self._add_problem(
                    f"{path}.{key}", "nothing", _describe_type(_type_info(field.type))
                )
                is_invalid = True
        return None if is_invalid else kind(**values)

    def _read_value(self, field: Any, value: Any, path: str) -> Any:
        """Return the value of a field, or None if it is invalid."""
        info = _type_info(field.type)
        match info:
            case inspect.StructType(cls=kind):
                return self._read_struct(kind, value, path)
            case inspect.VarTupleType(item_type=inspect.StructType(cls=kind)):
                return self._read_structs(kind, value, path)
        if field.name in TIME_FIELDS:
            return self._read_time(value, path)
        try:
            return msgspec.convert(value, field.type)
        except msgspec.ValidationError:
            self._add_problem(path, format_value(value), _describe_type(info))
            return None

    def _read_structs(self, kind: type, values: Any, path: str) -> Any:
        if not isinstance(values, list):
            self._add_problem(
                path,
                format_value(values),
                f"a list of [[{path.rpartition('.')[2]}]] tables",
            )
            return None
        rows = [
            self._read_struct(kind, raw, f"{path}[{number}]")
            for number, raw in enumerate(values)
        ]
        return None if None in rows else tuple(rows)

    def _read_time(self, value: Any, path: str) -> float | None:
        match value:
            case datetime.datetime() if value.tzinfo is not None:
                return value.timestamp()
            case bool():
                pass
            case float():
                return value
            case int() if abs(value) < 2**53:
                return float(value)
        right = "a date and time with a UTC offset, such as 2030-01-31T18:00:00Z"
        self._add_problem(path, format_value(value), right)
        return None

    def _add_problem(self, path: str, got: str, right: str) -> None:
        place = Place(self._file, self._lines.line(path), path)
        self._tables.problems.append(Problem(place, got, right))


@functools.cache
def _fields_by_file_name(kind: type) -> dict[str, Any]:
    """Return the fields of a struct by their names in files."""
    fields = msgspec.structs.fields(kind)
    return {FIELD_NAMES_IN_FILES.get(field.name, field.name): field for field in fields}


@functools.cache
def _type_info(field_type: Any) -> inspect.Type:
    """Return the type of a field; for an optional field, the type without None."""
    info = inspect.type_info(field_type)
    if isinstance(info, inspect.UnionType):
        types = [kind for kind in info.types if not isinstance(kind, inspect.NoneType)]
        return types[0]
    return info


def _describe_type(info: inspect.Type) -> str:
    match info:
        case inspect.EnumType(cls=kind):
            return _one_of(member.value for member in kind)
        case inspect.StrType():
            return "a string"
        case inspect.BoolType():
            return "true or false"
        case inspect.IntType():
            return "a whole number"
        case inspect.FloatType():
            return "a number"
        case inspect.VarTupleType(item_type=item):
            return f"a list in which each item is {_describe_type(item)}"
    return "a table"


def _one_of(words: Iterable[str]) -> str:
    return "one of " + ", ".join(f'"{word}"' for word in words)
