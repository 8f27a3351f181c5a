"""Renders a time line as lines of text or as one HTML page."""

import datetime
import html
from collections.abc import Iterator
from typing import Any

import msgspec

from boragedeck.process.observing.timeline import Event, Timeline

__all__ = ["html_page", "text_lines"]

MAX_VALUE_CHARS = 200
COLUMN_GAP = "  "
_STYLE = """
body { font: 13px/1.4 system-ui, sans-serif; margin: 1.5em; }
table { border-collapse: collapse; }
th, td { text-align: left; vertical-align: top; padding: 2px 8px; }
th { position: sticky; top: 0; background: #eee; }
td { border-left: 1px solid #ccc; }
td.here { background: #e8f0fb; border-left: 3px solid #37c; }
td.here.bad { background: #fdeaea; border-left-color: #c33; }
small { color: #555; overflow-wrap: anywhere; }
"""
_PAGE_POLICY = "default-src 'none'; style-src 'unsafe-inline'"
_ERROR_FIELDS = ("error", "code")
_HIDDEN_FIELDS = frozenset(
    (
        *("clock", "message_type", "pid", "router", "seq"),
        *("task_level", "task_uuid", "text", "timestamp", "vm"),
    )
)
"""Fields that are shown in other columns, or that are of no use to readers."""


def text_lines(timeline: Timeline) -> Iterator[str]:
    """Yield a line of text for each event.

    Parameters
    ----------
    timeline : Timeline
        The events.

    Yields
    ------
    str
        Wall time of the process, the process, the sentence and the fields. It has
        printable characters only, whatever the files contain.
    """
    width = max((len(_printable(p)) for p in timeline.processes()), default=0)
    for event in timeline.events:
        cells = (
            _format_time(event.at),
            _printable(event.process).ljust(width),
            _printable(event.text),
            _fields(event),
        )
        yield COLUMN_GAP.join(cells).rstrip()


def html_page(timeline: Timeline, title: str) -> str:
    """Return an HTML page with a column for each process, without external resources.

    Parameters
    ----------
    timeline : Timeline
        The events.
    title : str
        The page's title.
    """
    lanes = timeline.processes()
    head = "".join(f"<th>{_escape(lane)}</th>" for lane in lanes)
    rows = "\n".join(_row(event, lanes) for event in timeline.events)
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f'<meta http-equiv="Content-Security-Policy" content="{_PAGE_POLICY}">'
        f"<title>{_escape(title)}</title><style>{_STYLE}</style></head>\n"
        f"<body><h1>{_escape(title)}</h1>\n<p>{_escape(_summary(timeline))}</p>\n"
        f"<table><thead><tr><th>time (UTC)</th>{head}</tr></thead>\n"
        f"<tbody>\n{rows}\n</tbody></table></body></html>\n"
    )


def _summary(timeline: Timeline) -> str:
    return (
        f"{len(timeline.events)} events in causal order, {timeline.omitted} earlier"
        f" ones omitted, {timeline.skipped} lines skipped."
    )


def _row(event: Event, lanes: list[str]) -> str:
    cells = "".join(
        _cell(event) if lane == event.process else "<td></td>" for lane in lanes
    )
    return f"<tr><td>{_format_time(event.at)}</td>{cells}</tr>"


def _cell(event: Event) -> str:
    is_error = any(event.fields.get(name) for name in _ERROR_FIELDS)
    kind = "here bad" if is_error else "here"
    text, fields = _escape(event.text), html.escape(_fields(event))
    return f'<td class="{kind}">{text}<br><small>{fields}</small></td>'


def _fields(event: Event) -> str:
    shown = (
        f"{_printable(name)}={_value(value)}"
        for name, value in event.fields.items()
        if value not in (None, "") and name not in _HIDDEN_FIELDS
    )
    return " ".join(shown)


def _value(value: Any) -> str:
    is_plain = isinstance(value, str) and value and not set(value) & set(' "=')
    text = value if is_plain else msgspec.json.encode(value).decode()
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    return _printable(text)


def _escape(text: str) -> str:
    return html.escape(_printable(text))


def _printable(text: str) -> str:
    """Escape unprintable characters, so that they can't control a terminal."""
    if text.isprintable():
        return text
    return "".join(c if c.isprintable() else f"\\u{ord(c):04x}" for c in text)


def _format_time(unix_s: float) -> str:
    when = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%S.") + f"{when.microsecond // 1000:03d}"
