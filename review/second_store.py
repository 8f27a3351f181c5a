"""Stand-in of the platform's store: rows, conditional writes and a change feed."""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

__all__ = ["Store"]

PAGE_ROWS = 500
READ_ONLY_TABLES = ("op", "servers")


class Store:
    """The store, which the harness itself writes as the operator and the replicas do.

    Parameters
    ----------
    host : str, optional
        The loopback address on which it listens.
    """

    def __init__(self, host: str = "127.0.0.1"):
        self._rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._log: list[tuple[int, str, str, str, str | None]] = []
        self._ver = 0
        self._changed = threading.Condition()
        self._server = _Server((host, 0), _make_handler(self))
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """The address as the settings name it."""
        host, port = self._server.server_address[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, table: str, key: str, value: dict) -> None:
        """Write a row with a JSON value."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._write([(table, "", key, text)])

    def drop(self, table: str, key: str) -> None:
        """Delete a row."""
        with self._changed:
            if (table, "", key) in self._rows:
                self._write([(table, "", key, None)])

    def _write(self, changes: list[tuple[str, str, str, str | None]]) -> int:
        self._ver += 1
        for table, part, key, value in changes:
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[table, part, key] = value, self._ver
            self._log.append((self._ver, table, part, key, value))
        self._changed.notify_all()
        return self._ver

    def transact(self, body: dict) -> tuple[int, dict]:
        """Apply a conditional transaction."""
        refs = body.get("expectedRev", [])
        changes = [
            (each["table"], each.get("part", ""), each["key"], each["value"])
            for each in body.get("setKeys", [])
        ]
        changes += [
            (each["table"], each.get("part", ""), each["key"], None)
            for each in body.get("drop", [])
        ]
        if any(change[0] in READ_ONLY_TABLES for change in changes):
            return 403, {}
        with self._changed:
            for ref in refs:
                key = ref["table"], ref.get("part", ""), ref["key"]
                if self._rows.get(key, ("", 0))[1] != ref["ver"]:
                    rows = [self._row(key)] if key in self._rows else []
                    return 412, self._stamped({"rows": rows})
            ver = self._write(changes) if changes else self._ver
            return 200, self._stamped({}) | {"ver": ver}

    def read(self, query: dict) -> tuple[int, dict]:
        """Return rows of a table, in the order of their keys."""
        table, part = query["table"], query.get("part", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        with self._changed:
            keys = sorted(key for key in self._rows if key[:2] == (table, part))
            keys = [key for key in keys if key[2] >= query.get("from", "")]
            if "to" in query:
                keys = [key for key in keys if key[2] < query["to"]]
            rows = [self._row(key) for key in keys[:limit]]
            return 200, self._stamped({"rows": rows, "truncated": len(keys) > limit})

    def feed(self, query: dict) -> tuple[int, dict]:
        """Return the changes of a table after a version; wait for one."""
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(30.0, int(query.get("waitMs", 0)) / 1000.0)
        with self._changed:
            while True:
                rows = [each for each in self._log if each[0] > after]
                rows = [each for each in rows if each[1] == table]
                left_s = until - time.monotonic()
                if rows or left_s <= 0.0:
                    return 200, self._stamped({"rows": list(map(_changed_row, rows))})
                self._changed.wait(left_s)

    def parts(self, query: dict) -> tuple[int, dict]:
        """Return the parts of a table."""
        with self._changed:
            names = sorted({key[1] for key in self._rows if key[0] == query["table"]})
            return 200, self._stamped({"parts": names})

    def _row(self, key: tuple[str, str, str]) -> dict:
        value, ver = self._rows[key]
        table, part, name = key
        return {"table": table, "part": part, "key": name, "value": value, "ver": ver}

    def _stamped(self, body: dict) -> dict:
        return body | {"ver": self._ver, "nowMs": int(time.monotonic() * 1000.0)}


def _changed_row(change: tuple[int, str, str, str, str | None]) -> dict:
    ver, table, part, key, value = change
    row = {"table": table, "part": part, "key": key, "ver": ver}
    return row | ({"tombstone": True} if value is None else {"value": value})


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: object, client_address: object) -> None:
        """Log nothing: a client that is killed resets its connections."""


def _make_handler(store: Store) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:
            url = urlsplit(self.path)
            query = dict(parse_qsl(url.query, keep_blank_values=True))
            match url.path.rpartition("/")[2]:
                case "rows-get":
                    self._send(*store.read(query))
                case "rows-feed":
                    self._send(*store.feed(query))
                case "rows-parts":
                    self._send(*store.parts(query))
                case _:
                    self._send(404, {})

        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            self._send(*store.transact(json.loads(body)))

        def _send(self, status: int, body: dict) -> None:
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *args: object) -> None:
            """Log nothing."""

    return Handler
