"""Judges a play by the users' rules, from what others than the routers have seen."""

import re
from collections.abc import Iterable, Iterator

import msgspec

from soak.history import Call, End, History, Impairment, Run, Table
from soak.losses import CONTACT_S, GRACE_S, Ending, crosses_close, is_excused

__all__ = ["Violation", "judge"]

ONCE_ROUTES = {"once", "stream"}
"""Routes whose requests may run once."""
STREAM_ROUTES = {"stream", "resume"}
RESUMABLE_ROUTE = "resume"
PROMISES = {408, 421, 429, 503}
"""Statuses by which a request has not run and never will."""
OK = 200
UNAUTHORIZED, NOT_FOUND = 401, 404
EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+) of (\S+) run (\d+)\n\n")
RUN_END = re.compile(rb"\d*\n?")
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
TIMEOUT_S = 26.0
"""The timeout of all routes."""
STORE_ROWS = {"store-some"}
"""Impairments of a router that are the store's alone."""


class Violation(msgspec.Struct, frozen=True):
    """A broken rule.

    Parameters
    ----------
    rule : str
        The rule.
    call : str
        The request's id.
    text : str
        What was seen.
    """

    rule: str
    call: str
    text: str


def judge(history: History) -> list[Violation]:
    """Return what breaks the rules in a play."""
    found: list[Violation] = []
    for call in history.calls.values():
        runs = history.runs_of(call.name)
        found += _twice(call, runs)
        found += _refused(call, runs)
        found += _mixed(call, runs)
        found += _order(history, call, runs)
        found += _lost(history, call, runs)
        found += _config(history, call, runs)
    for run in history.runs:
        found += _unasked(history, run)
        found += _drain(history, run)
    return found


def _twice(call: Call, runs: list[Run]) -> Iterator[Violation]:
    if call.route in ONCE_ROUTES and len(runs) > 1:
        where = ", ".join(run.replica for run in runs)
        yield Violation("TWICE", call.name, f"ran {len(runs)} times: {where}")


def _refused(call: Call, runs: list[Run]) -> Iterator[Violation]:
    if call.route in ONCE_ROUTES and call.status in PROMISES and runs:
        text = f"answered {call.status} and ran at {runs[0].replica}"
        yield Violation("REFUSED", call.name, text)


def _mixed(call: Call, runs: list[Run]) -> Iterator[Violation]:
    if call.echo not in ("", call.name):
        yield Violation("MIXED", call.name, f"got the answer of {call.echo}")
    sealed = [run for run in runs if call.seal == f"seal-{run.token}"]
    if call.seal and (not sealed or sealed[0].status != call.status):
        text = f"status {call.status} with the receipt {call.seal}"
        yield Violation("MIXED", call.name, text)
    if call.status != OK:
        return
    if not call.seal:
        yield Violation("MIXED", call.name, "success without a receipt")
    is_plain = call.route not in STREAM_ROUTES
    if is_plain and call.is_complete and sealed and sealed[0].answer != call.answer:
        yield Violation("MIXED", call.name, "success with another body")


def _order(history: History, call: Call, runs: list[Run]) -> Iterator[Violation]:
    if call.status != OK or call.route not in STREAM_ROUTES:
        return
    events = EVENT.findall(call.answer)
    numbers = [int(number) for number, *_ in events]
    # Over all requests by which its caller resumed the stream.
    before = _last_piece(history, call)
    if numbers != list(range(before + 1, before + 1 + len(numbers))):
        yield Violation("ORDER", call.name, f"events {numbers} after {before}")
    if any(int(piece) != int(number) for number, piece, *_ in events):
        yield Violation("ORDER", call.name, "pieces under other numbers")
    if any(name.decode() != call.name for _, _, name, _ in events):
        yield Violation("MIXED", call.name, "events of another request")
    if stray := _stray_bytes(call, max([before, *numbers]) + 1):
        yield Violation("MIXED", call.name, f"bytes of no event: {stray[:60]!r}")
    if call.is_complete and before + len(numbers) != events_of(call.path):
        text = f"complete after {len(numbers)} events after {before}"
        yield Violation("ORDER", call.name, text)
    tokens = list(dict.fromkeys(int(token) for *_, token in events))
    if call.route != RESUMABLE_ROUTE and len(tokens) > 1:
        yield Violation("ORDER", call.name, f"joined from runs {tokens}")
    after = {run.token: run.after for run in runs}
    for number, _, _, token in events:
        if int(number) <= after.get(int(token), 0):
            yield Violation("ORDER", call.name, f"event {int(number)} wasn't made")


def _last_piece(history: History, call: Call) -> int:
    """Return the last piece that a caller got before a request, by its bytes."""
    while earlier := history.calls.get(call.resumes):
        numbers = EVENT.findall(earlier.answer) if earlier.status == OK else []
        if numbers:
            return int(numbers[-1][0])
        call = earlier
    return 0


def _stray_bytes(call: Call, following: int) -> bytes:
    """Return the bytes of a stream that belong to no event, nor begin the next one."""
    rest = EVENT.sub(b"", call.answer)
    begin = f"id: {following}\ndata: piece {following} of {call.name} run ".encode()
    is_begin = begin.startswith(rest) or (
        rest.startswith(begin) and RUN_END.fullmatch(rest[len(begin) :])
    )
    is_cut = is_begin and not call.is_complete and call.answer.endswith(rest)
    return b"" if is_cut else rest


def events_of(path: str) -> int:
    """Return the number of events of a stream, which its path names."""
    return int(path.rpartition("/")[2])


def _lost(history: History, call: Call, runs: list[Run]) -> Iterator[Violation]:
    if call.has_left or (call.status and call.is_complete):
        return
    ending = Ending(call.sent, call.sent_whole, _time_over(call), call.ended)
    is_passed_on = history.has_arrived(call.name)
    if crosses_close(ending, is_passed_on=is_passed_on):
        return
    stops = [stop.begin for stop in history.stops.get(call.router, [])]
    # A store that is down or out of reach excuses nothing.
    impairments = [
        each
        for each in history.routers.get(call.router, [])
        if each.what not in STORE_ROWS
    ]
    if is_excused(ending, runs, stops, impairments):
        return
    after = f"{call.ended - call.sent:.2f} s"
    state = "no answer" if not call.status else "an incomplete answer"
    where = f"{_progress(call, runs, is_passed_on)}, {_around(history, call)}"
    text = f"{state} after {after} at router {call.router}, {where}"
    yield Violation("LOST", call.name, text)


def _time_over(call: Call) -> float:
    """Return when a request's time limit or its route's timeout is reached."""
    return call.last_sent + min(call.deadline_s, TIMEOUT_S)


def _progress(call: Call, runs: list[Run], is_passed_on: bool) -> str:
    """Return how far a request was, for the report."""
    if not runs:
        return "passed on, ran nowhere" if is_passed_on else "ran nowhere"
    last = runs[-1]
    end = "at work" if last.end is None else last.end.value
    return f"run {end} {last.ended - call.ended:+.2f} s from its end"


def _around(history: History, call: Call) -> str:
    """Return the planned work at a request's router, for the report."""
    for stop in history.stops.get(call.router, []):
        if abs(call.ended - stop.begin) <= GRACE_S + 1.0:
            return f"{call.ended - stop.begin:+.2f} s from its SIGTERM"
    for reload in history.reloads.get(call.router, []):
        if call.sent <= reload + CONFIG_APPLY_S and call.ended >= reload:
            return f"{call.ended - reload:+.2f} s from its SIGHUP"
    return "no stop or reload there"


def _config(history: History, call: Call, runs: list[Run]) -> Iterator[Violation]:
    if not _is_in_touch(history, call.router, call.sent - CONFIG_APPLY_S, call.ended):
        return
    tables = _tables_in_force(history.tables, call.sent, call.ended)
    is_allowed = [call.route in t.services and call.key in t.tenants for t in tables]
    if call.status in (UNAUTHORIZED, NOT_FOUND) and all(is_allowed):
        text = f"answered {call.status} though its route and key are in force"
        yield Violation("CONFIG", call.name, text)
    for run in runs:
        tables = _tables_in_force(history.tables, call.sent, run.arrived)
        if not any(
            t.services.get(call.route) == run.service and call.key in t.tenants
            for t in tables
        ):
            text = f"ran at {run.replica} by a table that is no longer in force"
            yield Violation("CONFIG", call.name, text)


def _tables_in_force(tables: list[Table], sent: float, until: float) -> list[Table]:
    """Return the tables by which a request may be handled."""
    applied = [table for table in tables if table.acked <= sent - CONFIG_APPLY_S]
    newer = [t for t in tables if sent - CONFIG_APPLY_S < t.acked <= until]
    return applied[-1:] + newer


def _unasked(history: History, run: Run) -> Iterator[Violation]:
    call = history.calls.get(run.call)
    if call is None:
        yield Violation("UNASKED", run.call, f"{run.replica} ran an unknown id")
        return
    seen = (run.method, run.path, run.body)
    if run.end is not End.REJECTED and seen != ("POST", call.path, call.body):
        yield Violation("UNASKED", call.name, f"{run.replica} got another request")
    if run.has_key:
        yield Violation("UNASKED", call.name, f"{run.replica} got the API key")
    tenants = {table.tenants.get(call.key) for table in history.tables}
    if run.tenant not in tenants - {None}:
        text = f"{run.replica} was told the tenant {run.tenant!r}"
        yield Violation("UNASKED", call.name, text)


def _drain(history: History, run: Run) -> Iterator[Violation]:
    left = history.left.get(run.replica)
    call = history.calls.get(run.call)
    if left is None or call is None or run.arrived <= left + DRAIN_S:
        return
    if _overlaps(history.silences.get(run.replica, []), left, run.arrived):
        # It was read later than it arrived.
        return
    if _is_in_touch(history, call.router, left, run.arrived):
        late = run.arrived - left
        text = f"reached {run.replica} {late:.2f} s after it began to leave"
        yield Violation("DRAIN", call.name, text)


def _is_in_touch(history: History, router: int, begin: float, end: float) -> bool:
    """Return whether a router and the store were undisturbed, and before, too."""
    impairments = (
        *history.stops.get(router, []),
        *history.routers.get(router, []),
        *history.store,
    )
    return not _overlaps(impairments, begin - CONTACT_S, end)


def _overlaps(impairments: Iterable[Impairment], begin: float, end: float) -> bool:
    return any(each.begin <= end and each.end >= begin for each in impairments)
