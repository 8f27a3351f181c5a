"""Line numbers of tables and keys in a TOML text, for error messages."""

import re

__all__ = ["TomlLines"]

HEADER_PATTERN = re.compile(r"^\s*(\[\[?)([^\[\]]+)\]\]?\s*(?:#.*)?$")
KEY_PATTERN = re.compile(r"""^\s*([A-Za-z0-9_-]+|"[^"]*"|'[^']*')\s*=""")
KEY_PART_PATTERN = re.compile(r"""[A-Za-z0-9_-]+|"[^"]*"|'[^']*'""")
MULTILINE_QUOTE_PATTERN = re.compile(r"\"{3}|'{3}")


class TomlLines:
    """Finds the line of a path such as ``"pool[0].upstream[2].url"``.

    Parameters
    ----------
    text : str
        A TOML text.

    Notes
    -----
    An inline value has the line of the table or key that contains it.
    """

    def __init__(self, text: str):
        self._lines: dict[str, int] = {}
        self._counts: dict[str, int] = {}
        self._table = ""
        self._scan(text)

    def line(self, path: str) -> int:
        """Return the line of a path or of its nearest known ancestor; 0 if none."""
        while path:
            if path in self._lines:
                return self._lines[path]
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return 0

    def _scan(self, text: str) -> None:
        is_in_string = False
        for number, line in enumerate(text.split("\n"), start=1):
            if not is_in_string:
                self._scan_line(line.rstrip("\r"), number)
            is_in_string ^= len(MULTILINE_QUOTE_PATTERN.findall(line)) % 2 == 1

    def _scan_line(self, line: str, number: int) -> None:
        if header := HEADER_PATTERN.match(line):
            names = [part.strip("\"'") for part in KEY_PART_PATTERN.findall(header[2])]
            self._table = self._table_path(names, header[1] == "[[")
            self._lines.setdefault(self._table, number)
        elif key := KEY_PATTERN.match(line):
            name = key[1].strip("\"'")
            path = f"{self._table}.{name}" if self._table else name
            self._lines.setdefault(path, number)

    def _table_path(self, names: list[str], is_array: bool) -> str:
        path = ""
        for position, name in enumerate(names):
            path = f"{path}.{name}" if path else name
            if is_array and position == len(names) - 1:
                self._counts[path] = self._counts.get(path, 0) + 1
            if path in self._counts:
                path = f"{path}[{self._counts[path] - 1}]"
        return path
