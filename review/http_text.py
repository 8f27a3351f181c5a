"""Minimal HTTP/1.1 framing for the stand-ins: heads, bodies and chunks."""

import asyncio

__all__ = ["Head", "answer_bytes", "read_body", "read_head"]

MAX_HEAD_BYTES = 64 * 1024


class Head:
    """The start line and headers of a message.

    Parameters
    ----------
    start_line : str
        The request line or status line.
    headers : dict of str to str
        The headers by their names in lower case.
    """

    def __init__(self, start_line: str, headers: dict[str, str]):
        self.start_line = start_line
        self.headers = headers

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start_line.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start_line.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the head of the next message; None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("utf-8", "replace")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    start_line, *lines = text[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(start_line, headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return the whole body of a message that has a length or chunks.

    Raises
    ------
    asyncio.IncompleteReadError
        If the connection ends before the body does.
    """
    if "chunked" in head.headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


def answer_bytes(
    status: int, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
