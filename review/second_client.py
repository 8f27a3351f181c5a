"""Stand-in of a requester: one request on a channel of its own."""

import socket
import time

__all__ = ["Answer", "ask", "request_bytes"]


class Answer:
    """What a requester got.

    Parameters
    ----------
    status : int
        The status; 0 if no answer came.
    headers : dict
        The headers, with names in lower case.
    body : bytes
        What came of the body.
    is_whole : bool
        Whether the answer is complete.
    took_s : float
        How long it took, in seconds.
    """

    def __init__(self, status=0, headers=None, body=b"", is_whole=False, took_s=0.0):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole
        self.took_s = took_s


def request_bytes(method: str, target: str, headers: dict, body: bytes = b"") -> bytes:
    """Return a request as it is sent."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in ({"Host": "h"} | headers).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Send a request on a new channel and read its answer."""
    began = time.monotonic()
    try:
        with socket.create_connection(address, timeout=min(1.0, timeout_s)) as sock:
            sock.settimeout(timeout_s)
            sock.sendall(request_bytes(method, target, headers, body))
            answer = _read(sock, began + timeout_s)
    except OSError:
        answer = Answer()
    answer.took_s = time.monotonic() - began
    return answer


def _read(sock: socket.socket, until: float) -> Answer:
    data = b""
    while b"\r\n\r\n" not in data:
        part = _receive(sock, until)
        if not part:
            return Answer()
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    answer = Answer(int(lines[0].split(" ")[1]), headers)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while not rest.endswith(b"0\r\n\r\n") and (part := _receive(sock, until)):
            rest += part
        answer.is_whole = rest.endswith(b"0\r\n\r\n")
        answer.body = _dechunk(rest)
        return answer
    length = int(headers.get("content-length", 0))
    while len(rest) < length and (part := _receive(sock, until)):
        rest += part
    answer.body, answer.is_whole = rest[:length], len(rest) >= length
    return answer


def _receive(sock: socket.socket, until: float) -> bytes:
    sock.settimeout(max(0.001, until - time.monotonic()))
    try:
        return sock.recv(65536)
    except OSError:
        return b""


def _dechunk(data: bytes) -> bytes:
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        count = int(size.split(b";")[0] or b"0", 16)
        if not count:
            break
        body += data[:count]
        data = data[count + 2 :]
    return body
