"""HTTP/1.1 for the stand-ins of the third review; uses Python's own modules only."""

import asyncio

__all__ = ["Request", "Response", "get", "read_request", "read_response"]

MAX_HEAD_BYTES = 64 * 1024

Headers = list[tuple[str, str]]


class Request:
    """A request as it was read.

    Parameters
    ----------
    method, target : str
        The request line.
    headers : list of tuple of str
        Names and values.
    body : bytes
        The whole body.
    """

    def __init__(self, method: str, target: str, headers: Headers, body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class Response:
    """A response as far as it was received.

    Parameters
    ----------
    status : int
        The status; 0 if the connection ended without one.
    headers : list of tuple of str
        Names and values.
    body : bytes
        What was received of the body.
    is_complete : bool
        Whether the response ended as complete.
    error : str
        How the connection ended, if the response isn't complete.
    """

    def __init__(
        self,
        status: int = 0,
        headers: Headers | None = None,
        body: bytes = b"",
        is_complete: bool = False,
        error: str = "",
    ):
        self.status = status
        self.headers = headers or []
        self.body = body
        self.is_complete = is_complete
        self.error = error


def get(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None."""
    wanted = name.lower()
    return next((value for key, value in headers if key.lower() == wanted), None)


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return lines[0], headers


async def _read_chunks(reader: asyncio.StreamReader, parts: list[bytes]) -> None:
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            while (await reader.readline()) not in (b"\r\n", b""):
                pass
            return
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request; return None if the connection ended before one."""
    try:
        line, headers = await _read_head(reader)
        method, target, _ = line.split(" ", 2)
        parts: list[bytes] = []
        if (get(headers, "Transfer-Encoding") or "").lower() == "chunked":
            await _read_chunks(reader, parts)
        else:
            length = int(get(headers, "Content-Length") or 0)
            parts.append(await reader.readexactly(length))
    except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
        return None
    return Request(method, target, headers, b"".join(parts))


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a final response; how it ended is in the result."""
    found = Response()
    parts: list[bytes] = []
    try:
        while True:
            line, found.headers = await _read_head(reader)
            status = int(line.split(" ")[1])
            if status >= 200:
                found.status = status
                break
        length = get(found.headers, "Content-Length")
        if (get(found.headers, "Transfer-Encoding") or "").lower() == "chunked":
            await _read_chunks(reader, parts)
        elif length is not None:
            parts.append(await reader.readexactly(int(length)))
        else:
            parts.append(await reader.read())
        found.is_complete = True
    except asyncio.IncompleteReadError as exc:
        parts.append(exc.partial)
        found.error = "ended early"
    except (OSError, EOFError, ValueError, IndexError) as exc:
        found.error = f"{type(exc).__name__}: {exc}"
    found.body = b"".join(parts)
    return found
