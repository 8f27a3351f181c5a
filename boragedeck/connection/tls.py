"""The guard of links by certificates: mutual TLS."""

from pathlib import Path

import msgspec
from eventlet.green import socket, ssl

from boragedeck.connection.frames import close_socket

__all__ = ["TlsGuard"]


class _Contexts(msgspec.Struct, frozen=True):
    """Contexts of both directions, and the state of the files they're made of."""

    stamp: tuple[tuple[int, int], ...]
    accept: ssl.SSLContext
    connect: ssl.SSLContext


class TlsGuard:
    """Admits who shows a certificate that our authority signed.

    Parameters
    ----------
    cert, key, ca : Path
        This router's certificate and key, and the authority of all routers, in
        PEM. Renewed files are taken for the next connection, without a restart;
        while they can't be read, the last ones hold.

    Raises
    ------
    OSError
        Where the files can't be read at the start; `ssl.SSLError` is one.

    Notes
    -----
    Names aren't checked, since routers come and go by address: the authority must
    sign routers only.
    """

    def __init__(self, cert: Path, key: Path, ca: Path):
        self._files = (cert, key, ca)
        self._contexts = self._load(self._read_stamp())

    def accept(self, sock: socket.socket) -> socket.socket:
        """Admit who connected; see `Guard.accept`."""
        return _handshake(self._current_contexts().accept, sock, server_side=True)

    def connect(self, sock: socket.socket) -> socket.socket:
        """Admit whom we connected to; see `Guard.connect`."""
        return _handshake(self._current_contexts().connect, sock, server_side=False)

    def _current_contexts(self) -> _Contexts:
        try:
            stamp = self._read_stamp()
            if stamp != self._contexts.stamp:
                self._contexts = self._load(stamp)
        except OSError:
            # Certificate and key are replaced one after the other.
            pass
        return self._contexts

    def _read_stamp(self) -> tuple[tuple[int, int], ...]:
        stats = [path.stat() for path in self._files]
        return tuple((stat.st_mtime_ns, stat.st_ino) for stat in stats)

    def _load(self, stamp: tuple[tuple[int, int], ...]) -> _Contexts:
        server = self._context(ssl.PROTOCOL_TLS_SERVER)
        return _Contexts(stamp, server, self._context(ssl.PROTOCOL_TLS_CLIENT))

    def _context(self, protocol: int) -> ssl.SSLContext:
        cert, key, ca = self._files
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(cert, key)
        context.load_verify_locations(ca)
        return context


def _handshake(
    context: ssl.SSLContext, sock: socket.socket, *, server_side: bool
) -> socket.socket:
    # The wrapped socket takes over the descriptor, so it's the one to close.
    wrapped = context.wrap_socket(
        sock, server_side=server_side, do_handshake_on_connect=False
    )
    try:
        wrapped.do_handshake()
    except BaseException:
        close_socket(wrapped)
        raise
    return wrapped
