"""A server in its own process that sends bytes without end.

``python -m tests.support.flood MODE PACE`` prints its port. After the head of a
request, each connection is sent the bytes of the mode until the client closes it: with
the pace `fast` as fast as loopback accepts them, with `slow` byte by byte with a pause.
"""

import socket
import subprocess
import sys
import threading
import time

SLOW_PAUSE_S = 0.05
BLOCK_BYTES = 64 * 1024

CHUNKED_HEAD = b"HTTP/1.1 200 X\r\nRequest-Id: id-1\r\nTransfer-Encoding: chunked\r\n"
SEAL = b"Response-Seal: seal\r\n"
HEAD_WITHOUT_FRAMING = b"HTTP/1.1 200 X\r\nRequest-Id: id-1\r\nResponse-Seal: seal\r\n"
MODES = {
    "status_line": (b"HTTP/1.1 200 ", b"x"),
    "header": (HEAD_WITHOUT_FRAMING + b"X-Long: ", b"x"),
    "headers": (HEAD_WITHOUT_FRAMING, b"X-More: 1\r\n"),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "no_http": (b"", b"\x00\x01garbage"),
    "body": (HEAD_WITHOUT_FRAMING + b"\r\n", b"x"),
    "chunk_size": (CHUNKED_HEAD + SEAL + b"\r\n", b"0"),
    "chunk_extension": (CHUNKED_HEAD + SEAL + b"\r\n5;", b"x"),
    "chunks": (CHUNKED_HEAD + SEAL + b"\r\n", b"4\r\nxxxx\r\n"),
    "trailers": (CHUNKED_HEAD + SEAL + b"\r\n0\r\n", b"X-More: 1\r\n"),
    "junk": (HEAD_WITHOUT_FRAMING + b"Content-Length: 5\r\n\r\nwhole", b"junk"),
    "stray": (b"HTTP/1.1 200 X\r\nRequest-Id: other\r\n\r\n", b"x"),
    "event": (CHUNKED_HEAD + SEAL + b"\r\n", b"5\r\ndata:\r\n"),
    "empty_events": (CHUNKED_HEAD + SEAL + b"\r\n", b"2\r\n\n\n\r\n"),
}
"""For each mode, the bytes that are sent once and the bytes that are then repeated."""


class Flood:
    """Context manager that runs the server.

    Parameters
    ----------
    mode : str
        One of `MODES`.
    pace : str
        `fast` or `slow`.
    """

    def __init__(self, mode, pace="fast"):
        self._command = [sys.executable, "-m", "tests.support.flood", mode, pace]

    def __enter__(self):
        self._process = subprocess.Popen(self._command, stdout=subprocess.PIPE)
        self.port = int(self._process.stdout.readline())
        return self

    def __exit__(self, *exc_info):
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()


def _serve(sock, mode, pace):
    head, repeated_part = MODES[mode]
    try:
        request = b""
        while b"\r\n\r\n" not in request:
            request += sock.recv(65_536)
        sock.sendall(head)
        while True:
            if pace == "fast":
                sock.sendall(repeated_part * (BLOCK_BYTES // len(repeated_part)))
            for byte in repeated_part if pace == "slow" else b"":
                sock.sendall(bytes([byte]))
                time.sleep(SLOW_PAUSE_S)
    except OSError:
        # The client has closed the connection, which ends the flood.
        sock.close()


def _main(mode, pace):
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        thread = threading.Thread(target=_serve, args=(sock, mode, pace), daemon=True)
        thread.start()


if __name__ == "__main__":
    _main(*sys.argv[1:])
