"""Counts requests in routers' logs by outcome, or shows all lines of one request."""

import sys
from collections import Counter
from pathlib import Path

import msgspec

__all__ = ["main", "read_lines"]

OUTCOME_TEXTS = ("relay: Answered.", "relay: Refused.", "relay: Broken off.")
MAX_ROWS = 40
HIDDEN_FIELDS = {
    "seq",
    "clock",
    "timestamp",
    "task_uuid",
    "task_level",
    "message_type",
    "pid",
}


def main() -> None:
    """Print a summary of a log file, or the lines of one request."""
    if len(sys.argv) < 2:
        print("usage: python -m scripts.platform_logs FILE [REQUEST-ID]")
        sys.exit(2)
    lines = read_lines(Path(sys.argv[1]))
    if len(sys.argv) > 2:
        _show_request(lines, sys.argv[2])
    else:
        _summarise(lines)


def read_lines(path: Path) -> list[dict]:
    """Return the structured lines of a file, sorted by time.

    Other lines are skipped, and so is any text before the JSON object of a line.
    """
    found = []
    for text in path.read_text(errors="replace").splitlines():
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(text[start:], type=dict)
        except msgspec.DecodeError:
            # Not a structured line.
            continue
        found.append(line)
    return sorted(found, key=lambda line: line.get("timestamp", 0.0))


def _show_request(lines: list[dict], request: str) -> None:
    for line in lines:
        if line.get("request") == request:
            fields = {
                k: v for k, v in line.items() if k not in HIDDEN_FIELDS and k != "text"
            }
            print(f"{line['timestamp']:.4f} {line['text']} {fields}")


def _summarise(lines: list[dict]) -> None:
    outcomes = Counter(
        _outcome(line) for line in lines if line.get("text") in OUTCOME_TEXTS
    )
    causes = Counter(
        _cause(line) for line in lines if line.get("text") == "relay: Attempt failed."
    )
    for title, counts in (("requests", outcomes), ("failed attempts", causes)):
        print(title)
        for name, count in counts.most_common(MAX_ROWS):
            print(f"{count:8} {name}")


def _outcome(line: dict) -> str:
    return f"{line['text']} {line.get('code') or line.get('status') or ''}"


def _cause(line: dict) -> str:
    return line["error"].partition(" with ")[0][:80]


if __name__ == "__main__":
    main()
