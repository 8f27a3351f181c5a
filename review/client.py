"""Stand-in for requesters, over kept or new connections."""

import asyncio

from review.http_text import Head, read_body, read_head

__all__ = ["Channel", "Reply"]


class Reply:
    """What a requester got for one request.

    Parameters
    ----------
    status : int or None
        The status; None if the channel ended without a head.
    headers : dict of str to str
        The headers by their names in lower case.
    body : bytes
        The body as far as it arrived.
    is_complete : bool
        Whether the answer is complete.
    """

    def __init__(
        self,
        status: int | None,
        headers: dict[str, str],
        body: bytes,
        is_complete: bool,
    ):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    def __str__(self) -> str:
        what = "no answer" if self.status is None else f"status {self.status}"
        return what if self.is_complete else f"{what}, incomplete"


class Channel:
    """A requester's connection to a router, kept between requests.

    Parameters
    ----------
    address : tuple of str and int
        Where the router listens for requesters.
    """

    def __init__(self, address: tuple[str, int]):
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        on_part=None,
    ) -> Reply:
        """Send a request and read its answer; open the connection if needed."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self._address)
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        try:
            self._writer.write("\r\n".join(lines).encode() + body)
            await self._writer.drain()
            head = await read_head(self._reader)
        except OSError:
            head = None
        if head is None:
            self.close()
            return Reply(None, {}, b"", False)
        reply = await self._read_answer(head, on_part)
        is_last = head.headers.get("connection", "").lower() == "close"
        if is_last or not reply.is_complete:
            self.close()
        return reply

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._reader = self._writer = None

    async def _read_answer(self, head: Head, on_part) -> Reply:
        if "chunked" not in head.headers.get("transfer-encoding", "").lower():
            try:
                body = await read_body(self._reader, head)
            except (OSError, asyncio.IncompleteReadError) as exc:
                return Reply(head.status, head.headers, _part(exc), False)
            return Reply(head.status, head.headers, body, True)
        body = b""
        try:
            while True:
                line = await self._reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                part = await self._reader.readexactly(size + 2)
                if size == 0:
                    return Reply(head.status, head.headers, body, True)
                body += part[:-2]
                if on_part is not None:
                    on_part(part[:-2])
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return Reply(head.status, head.headers, body, False)


def _part(exc: Exception) -> bytes:
    return getattr(exc, "partial", b"")
