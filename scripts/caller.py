"""HTTP client for callers: sends requests and reads streams over blocking sockets."""

import http.client
import json
import urllib.parse
from collections.abc import Iterator

import msgspec

__all__ = ["Caller", "CallerError", "Event", "Stream"]

TIMEOUT_S = 30.0


class CallerError(Exception):
    """The server answered with an error.

    Parameters
    ----------
    status : int
        The HTTP status; 0 for an error within a stream.
    body : dict
        The error object.
    """

    def __init__(self, status: int, body: dict):
        super().__init__(f"{status}: {body}")
        self.status = status
        self.body = body


class Event(msgspec.Struct, frozen=True):
    """One server-sent event.

    Parameters
    ----------
    event_id : str
        Id of the event; empty if it has none.
    data : str
        Data of the event.
    """

    event_id: str
    data: str

    def text(self) -> str:
        """Return the part of the answer's text in the event; may be empty."""
        if self.data == "[DONE]":
            return ""
        body = json.loads(self.data)
        if "error" in body:
            raise CallerError(0, body["error"])
        if not body["choices"]:
            return ""
        choice = body["choices"][0]
        return choice.get("text") or choice.get("delta", {}).get("content") or ""


class Stream:
    """A streamed answer.

    Parameters
    ----------
    conn : http.client.HTTPConnection
        The connection, used only for this stream.
    response : http.client.HTTPResponse
        The response.
    """

    def __init__(
        self, conn: http.client.HTTPConnection, response: http.client.HTTPResponse
    ):
        self._conn = conn
        self._response = response
        self.answer_id = response.headers.get("X-Request-Id", "")
        self.last_event_id = ""
        self.is_done = False

    def __iter__(self) -> Iterator[Event]:
        """Read events until the stream ends.

        Raises
        ------
        OSError or http.client.HTTPException
            If the connection breaks.
        """
        event_id, data = "", []
        while line := self._response.readline():
            line = line.rstrip(b"\r\n").decode()
            if line.startswith("id: "):
                event_id = line[4:]
            elif line.startswith("data: "):
                data.append(line[6:])
            elif not line:
                if event_id:
                    self.last_event_id = event_id
                if data:
                    self.is_done = data == ["[DONE]"]
                    yield Event(event_id, "\n".join(data))
                event_id, data = "", []

    def close(self) -> None:
        """Close the connection."""
        self._response.close()
        self._conn.close()


class Caller:
    """Sends requests to one router.

    Parameters
    ----------
    url : str
        The router's URL.
    api_key : str
        The organisation's key.
    timeout_s : float
        Timeout of each socket operation, in seconds.
    """

    def __init__(self, url: str, api_key: str, timeout_s: float = TIMEOUT_S):
        parsed = urllib.parse.urlsplit(url)
        self._address = (parsed.hostname, parsed.port)
        self._headers = {"Authorization": f"Bearer {api_key}"}
        self._timeout_s = timeout_s

    def chat(self, model: str, text: str, max_tokens: int, **headers: str) -> Stream:
        """Start a streamed chat answer.

        Parameters
        ----------
        model : str
            The route.
        text : str
            The user's message.
        max_tokens : int
            Maximum number of tokens to generate.
        **headers
            Additional headers; underscores in names become hyphens.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": True,
        }
        return self._open_stream("POST", "/v1/chat/completions", body, headers)

    def reattach(self, answer_id: str, last_event_id: str) -> Stream:
        """Stream an answer after an event, or from its start if the id is empty."""
        headers = {"Accept": "text/event-stream"}
        if last_event_id:
            headers["Last_Event_ID"] = last_event_id
        return self._open_stream("GET", f"/v1/answers/{answer_id}", None, headers)

    def cancel(self, answer_id: str) -> dict:
        """Cancel an answer."""
        return self.request("DELETE", f"/v1/answers/{answer_id}")

    def request(
        self, method: str, path: str, body: dict | None = None, **headers: str
    ) -> dict:
        """Send a request and return the JSON of its response.

        Raises
        ------
        CallerError
            If the status is not 200.
        """
        conn, response = self._send_request(method, path, body, headers)
        try:
            return json.loads(response.read())
        finally:
            conn.close()

    def _open_stream(self, method: str, path: str, body, headers) -> Stream:
        return Stream(*self._send_request(method, path, body, headers))

    def _send_request(self, method: str, path: str, body, headers):
        conn = http.client.HTTPConnection(*self._address, timeout=self._timeout_s)
        extra_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        data = None if body is None else json.dumps(body).encode()
        conn.request(method, path, data, {**self._headers, **extra_headers})
        response = conn.getresponse()
        if response.status != 200:
            text = response.read()
            conn.close()
            try:
                raise CallerError(response.status, json.loads(text)["error"])
            except (ValueError, KeyError):
                raise CallerError(
                    response.status, {"message": text.decode(errors="replace")}
                ) from None
        return conn, response
