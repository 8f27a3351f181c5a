"""Stand-in for the platform's store: rows, conditional writes and a change feed."""

import asyncio
import base64
import json
from urllib.parse import parse_qsl

from review.http_text import Head, answer_bytes, read_body, read_head

__all__ = ["Store"]

PREFIX = "/boragedeck/"
PAGE_ROWS = 500
ANSWER_S = 0.004
"""Time that the store takes for an answer, in seconds."""


class Store:
    """The platform's store, as its page describes the calls that routers make.

    Attributes
    ----------
    address : str
        IP:PORT at which it listens.
    """

    def __init__(self):
        self.address = ""
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._log: list[dict] = []
        self._ver = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def stop(self) -> None:
        """Accept no further connections."""
        self._server.close()

    def put(self, table: str, key: str, value: dict | bytes) -> int:
        """Write a row as the operator or a replica does; return its version."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._commit([(table, "", key, body)], [])

    def drop(self, table: str, key: str) -> int:
        """Delete a row."""
        return self._commit([], [(table, "", key)])

    def value(self, table: str, key: str) -> dict | None:
        """Return the decoded value of a row; None if there is no such row."""
        row = self._rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row["value"]))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                await asyncio.sleep(ANSWER_S)
                writer.write(await self._answer(head, body))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: Head, body: bytes) -> bytes:
        path, _, query = head.target.partition("?")
        fields = dict(parse_qsl(query))
        match path.removeprefix(PREFIX):
            case "rows-get":
                status, answer = 200, self._get(fields)
            case "rows-feed":
                status, answer = 200, await self._feed(fields)
            case "rows-tx":
                status, answer = self._transact(json.loads(body))
            case _:
                status, answer = 404, {}
        text = json.dumps(answer).encode()
        return answer_bytes(status, [("Content-Type", "application/json")], text)

    def _get(self, fields: dict[str, str]) -> dict:
        begin, end = fields.get("from", ""), fields.get("to")
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == fields["table"]
            and part == fields.get("part", "")
            and key >= begin
            and (end is None or key < end)
        ]
        limit = min(PAGE_ROWS, int(fields.get("limit", PAGE_ROWS)))
        page = {"rows": rows[:limit], "truncated": len(rows) > limit}
        return page | {"ver": self._ver, "nowMs": 0}

    async def _feed(self, fields: dict[str, str]) -> dict:
        table, after = fields["table"], int(fields["after"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(fields.get("waitMs", "0")) / 1000.0
        while True:
            rows = [
                row for row in self._log if row["table"] == table and row["ver"] > after
            ]
            left_s = until - loop.time()
            if rows or left_s <= 0.0:
                return {"rows": rows, "ver": self._ver, "nowMs": 0}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, call: dict) -> tuple[int, dict]:
        for condition in call.get("expectedRev", []):
            row = self._rows.get(_ref(condition))
            if condition["ver"] != (0 if row is None else row["ver"]):
                return 412, {"rows": [] if row is None else [row], "ver": self._ver}
        puts = [
            (*_ref(row), base64.b64decode(row["value"]))
            for row in call.get("setKeys", [])
        ]
        drops = [_ref(row) for row in call.get("drop", [])]
        return 200, {"ver": self._commit(puts, drops), "nowMs": 0}

    def _commit(self, puts: list[tuple], drops: list[tuple]) -> int:
        self._ver += 1
        for table, part, key, value in puts:
            row = {
                "table": table,
                "part": part,
                "key": key,
                "value": base64.b64encode(value).decode(),
                "ver": self._ver,
            }
            self._rows[table, part, key] = row
            self._log.append(row)
        for table, part, key in drops:
            if self._rows.pop((table, part, key), None) is not None:
                gone = {"table": table, "part": part, "key": key, "tombstone": True}
                self._log.append(gone | {"ver": self._ver})
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._ver


def _ref(row: dict) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]
