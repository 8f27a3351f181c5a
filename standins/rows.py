"""Stand-in for the users' platform store: conditional row writes and a change feed.

It can be restored from an older copy of itself, which loses the writes since then.
"""

import base64
from urllib.parse import parse_qsl

import eventlet
import msgspec
from eventlet.event import Event

from standins.web import Answer, App, drop_connection, json_answer

__all__ = ["RowFaults", "RowStore"]

PAGE_ROWS = 500
PATH_PREFIX = "/boragedeck/"
ERA_HEADER = "Store-Era"
"""Header of all answers: grows by one each time that the store is restored."""


class RowFaults(msgspec.Struct):
    """Faults of the stand-in.

    Parameters
    ----------
    status : int
        Answer every call with this status and do nothing; 0 to serve normally.
    is_silent : bool
        Accept calls and never answer.
    loses_answers : bool
        Execute writes and then close the connection without an answer.
    """

    status: int = 0
    is_silent: bool = False
    loses_answers: bool = False


class _Row(msgspec.Struct):
    table: str
    part: str
    key: str
    value: str
    ver: int


class RowStore:
    """WSGI application of the row store.

    Attributes
    ----------
    faults : RowFaults
        The current faults.
    calls : list of str
        The paths that were called, in order.
    """

    def __init__(self):
        self.faults = RowFaults()
        self.calls: list[str] = []
        self._rows: dict[tuple[str, str, str], _Row] = {}
        self._change_log: list[dict] = []
        self._discarded_ver = 0
        self._kept_rows: dict[tuple[str, str, str], _Row] = {}
        self._ver = 0
        self._era = 1
        self._changed = Event()

    @property
    def app(self) -> App:
        """The WSGI application."""
        return self._answer

    def put(self, table: str, key: str, value: bytes, part: str = "") -> int:
        """Write a row, as an operator or a replica would."""
        return self._commit([(table, part, key, value)], [])

    def drop(self, table: str, key: str, part: str = "") -> int:
        """Delete a row."""
        return self._commit([], [(table, part, key)])

    def value(self, table: str, key: str, part: str = "") -> bytes | None:
        """Return a row's value; None if there is no such row."""
        row = self._rows.get((table, part, key))
        return None if row is None else base64.b64decode(row.value)

    def discard_history(self) -> None:
        """Discard all past changes, so that feeds from before are refused."""
        self._change_log.clear()
        self._discarded_ver = self._ver
        self._kept_rows = dict(self._rows)

    def restore(self, ver: int) -> None:
        """Return to the rows as of a version, and hand out later versions again.

        Parameters
        ----------
        ver : int
            The version of the copy; not before the last `discard_history`.
        """
        changes = [row for row in self._change_log if row["ver"] <= ver]
        self._change_log = changes
        self._rows = dict(self._kept_rows)
        for change in changes:
            key = change["table"], change["part"], change["key"]
            if change.get("tombstone"):
                self._rows.pop(key, None)
            else:
                self._rows[key] = msgspec.convert(change, _Row)
        self._ver = ver
        self._era += 1
        self._notify()

    @property
    def ver(self) -> int:
        """The version of the newest write."""
        return self._ver

    def _answer(self, environ, start_response):
        path = environ["PATH_INFO"].removeprefix(PATH_PREFIX)
        fields = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        body = environ["wsgi.input"].read()
        self.calls.append(path)
        while self.faults.is_silent:
            eventlet.sleep(0.01)
        if self.faults.status:
            return Answer(self.faults.status).send(start_response)
        answer = self.serve(path, fields, body)
        if self.faults.loses_answers and path == "rows-tx":
            return drop_connection()
        return answer.send(start_response)

    def serve(self, path: str, fields: dict[str, str], body: bytes) -> Answer:
        """Answer one call.

        Parameters
        ----------
        path : str
            The path without `PATH_PREFIX`.
        fields : dict of str to str
            The fields of the query.
        body : bytes
            The body.
        """
        answer = self._serve(path, fields, body)
        headers = ((ERA_HEADER, str(self._era)),)
        return msgspec.structs.replace(answer, extra_headers=headers)

    def _serve(self, path: str, fields: dict[str, str], body: bytes) -> Answer:
        match path:
            case "rows-tx":
                return self._transact(msgspec.json.decode(body))
            case "rows-get":
                return self._get(fields)
            case "rows-feed":
                return self._feed(fields)
        return Answer(404)

    def _transact(self, call: dict) -> Answer:
        for condition in call.get("expectedRev", []):
            row = self._rows.get(
                (condition["table"], condition["part"], condition["key"])
            )
            if condition["ver"] != (0 if row is None else row.ver):
                rows = [] if row is None else [row]
                return json_answer({"rows": rows, "ver": self._ver}, 412)
        puts = [
            (row["table"], row["part"], row["key"], base64.b64decode(row["value"]))
            for row in call.get("setKeys", [])
        ]
        drops = [(row["table"], row["part"], row["key"]) for row in call["drop"]]
        return json_answer({"ver": self._commit(puts, drops), "nowMs": 0})

    def _get(self, fields: dict[str, str]) -> Answer:
        begin, end = fields.get("from", ""), fields.get("to")
        rows = sorted(
            (
                row
                for (table, part, key), row in self._rows.items()
                if table == fields["table"]
                and part == fields.get("part", "")
                and key >= begin
                and (end is None or key < end)
            ),
            key=lambda row: row.key.encode(),
        )
        limit = min(PAGE_ROWS, int(fields.get("limit", PAGE_ROWS)))
        page = {"rows": rows[:limit], "truncated": len(rows) > limit}
        return json_answer(page | {"ver": self._ver, "nowMs": 0})

    def _feed(self, fields: dict[str, str]) -> Answer:
        after = int(fields["after"])
        table = fields["table"]
        with eventlet.Timeout(int(fields.get("waitMs", 0)) / 1000.0, False):
            while self._has_history(after) and not self._changes(table, after):
                self._changed.wait()
        if not self._has_history(after):
            return Answer(410)
        rows = self._changes(table, after)
        return json_answer({"rows": rows, "ver": self._ver, "nowMs": 0})

    def _has_history(self, after: int) -> bool:
        return self._discarded_ver <= after <= self._ver

    def _changes(self, table: str, after: int) -> list[dict]:
        return [
            row
            for row in self._change_log
            if row["table"] == table and row["ver"] > after
        ]

    def _commit(self, puts: list[tuple], drops: list[tuple]) -> int:
        self._ver += 1
        for table, part, key, value in puts:
            text = base64.b64encode(value).decode()
            row = _Row(table, part, key, text, self._ver)
            self._rows[table, part, key] = row
            self._change_log.append(msgspec.to_builtins(row))
        for table, part, key in drops:
            if self._rows.pop((table, part, key), None) is not None:
                deletion = {"table": table, "part": part, "key": key, "tombstone": True}
                self._change_log.append(deletion | {"ver": self._ver})
        self._notify()
        return self._ver

    def _notify(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.send()
