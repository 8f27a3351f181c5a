"""Stand-in for the platform's store: rows, conditional writes and a change feed."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qsl, urlsplit

from review.third_http import Request, read_request

__all__ = ["Store"]

PAGE_ROWS = 500


class Store:
    """The rows of the platform's store, served over HTTP on loopback.

    Attributes
    ----------
    address : str
        IP:PORT at which it listens, once started.
    """

    def __init__(self):
        self.address = ""
        self._ver = 0
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._log: list[dict] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as JSON, as the operator or a replica does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self._commit([(table, "", key, text)], [])

    def drop(self, table: str, key: str) -> None:
        """Delete a row."""
        self._commit([], [(table, "", key)])

    def read(self, table: str, key: str) -> dict | None:
        """Return the JSON value of a row, or None."""
        row = self._rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row["value"]))

    def _commit(self, puts: list[tuple], drops: list[tuple]) -> int:
        self._ver += 1
        for table, part, key, value in puts:
            row = {"table": table, "part": part, "key": key, "value": value}
            row["ver"] = self._ver
            self._rows[table, part, key] = row
            self._log.append(row)
        for table, part, key in drops:
            if self._rows.pop((table, part, key), None) is not None:
                gone = {"table": table, "part": part, "key": key, "tombstone": True}
                self._log.append(gone | {"ver": self._ver})
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._ver

    async def _serve(self, reader, writer) -> None:
        try:
            while (req := await read_request(reader)) is not None:
                status, body = await self._answer(req)
                data = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The router has left, or the case ends.
            pass
        finally:
            writer.close()

    async def _answer(self, req: Request) -> tuple[int, dict]:
        url = urlsplit(req.target)
        fields = dict(parse_qsl(url.query))
        match url.path:
            case "/boragedeck/rows-tx":
                return self._transact(json.loads(req.body))
            case "/boragedeck/rows-get":
                return self._get(fields)
            case "/boragedeck/rows-feed":
                return await self._feed(fields)
        return 404, {}

    def _now(self) -> dict:
        return {"ver": self._ver, "nowMs": int(time.monotonic() * 1000)}

    def _transact(self, call: dict) -> tuple[int, dict]:
        for each in call.get("expectedRev", []):
            row = self._rows.get((each["table"], each["part"], each["key"]))
            if each["ver"] != (0 if row is None else row["ver"]):
                return 412, {"rows": [] if row is None else [row]} | self._now()
        puts = [
            (each["table"], each["part"], each["key"], each["value"])
            for each in call.get("setKeys", [])
        ]
        drops = [(e["table"], e["part"], e["key"]) for e in call.get("drop", [])]
        if any(table in ("op", "servers") for table, *_ in puts + drops):
            return 403, {}
        self._commit(puts, drops)
        return 200, self._now()

    def _get(self, fields: dict[str, str]) -> tuple[int, dict]:
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
            key=lambda row: row["key"].encode(),
        )
        limit = min(PAGE_ROWS, int(fields.get("limit", PAGE_ROWS)))
        page = {"rows": rows[:limit], "truncated": len(rows) > limit}
        return 200, page | self._now()

    async def _feed(self, fields: dict[str, str]) -> tuple[int, dict]:
        table, after = fields["table"], int(fields["after"])
        until = time.monotonic() + int(fields.get("waitMs", 0)) / 1000.0
        while True:
            rows = [e for e in self._log if e["table"] == table and e["ver"] > after]
            left_s = until - time.monotonic()
            if rows or left_s <= 0.0:
                return 200, {"rows": rows} | self._now()
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
