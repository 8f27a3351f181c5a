"""Authentication of connections between routers by mutual TLS."""

from pathlib import Path

import msgspec
from eventlet.green import socket, ssl

from boragedeck.connection.frames import close_socket

__all__ = ["TlsGuard"]


class _TlsContexts(msgspec.Struct, frozen=True):
    """TLS contexts for both directions.

    The stamp holds the modification time and inode number of each of their files.
    """

    stamp: tuple[tuple[int, int], ...]
    accept: ssl.SSLContext
    connect: ssl.SSLContext


class TlsGuard:
    """Admits a peer whose certificate is signed by our certificate authority.

    Parameters
    ----------
    cert, key, ca : Path
        PEM files with this router's certificate and key, and the certificate of the
        authority of all routers. Renewed files are used from the next connection on,
        without a restart. While they can't be read, the last ones stay in use.

    Raises
    ------
    OSError
        If the files can't be read at the start; `ssl.SSLError` is an `OSError`.

    Notes
    -----
    Names aren't checked, because routers are added and removed under changing
    addresses. The authority must therefore sign only certificates of routers.
    """

    def __init__(self, cert: Path, key: Path, ca: Path):
        self._files = (cert, key, ca)
        self._contexts = self._load(self._read_stamp())

    def accept(self, sock: socket.socket) -> socket.socket:
        """Authenticate a peer that connected; see `Guard.accept`."""
        return _handshake(self._current_contexts().accept, sock, server_side=True)

    def connect(self, sock: socket.socket) -> socket.socket:
        """Authenticate a peer that we connected to; see `Guard.connect`."""
        return _handshake(self._current_contexts().connect, sock, server_side=False)

    def _current_contexts(self) -> _TlsContexts:
        try:
            stamp = self._read_stamp()
            if stamp != self._contexts.stamp:
                self._contexts = self._load(stamp)
        except OSError:
            # The certificate and key may not match while they are being replaced.
            pass
        return self._contexts

    def _read_stamp(self) -> tuple[tuple[int, int], ...]:
        stats = [path.stat() for path in self._files]
        return tuple((stat.st_mtime_ns, stat.st_ino) for stat in stats)

    def _load(self, stamp: tuple[tuple[int, int], ...]) -> _TlsContexts:
        server = self._context(ssl.PROTOCOL_TLS_SERVER)
        return _TlsContexts(stamp, server, self._context(ssl.PROTOCOL_TLS_CLIENT))

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
    # The wrapped socket takes over the descriptor, so that one has to be closed.
    wrapped = context.wrap_socket(
        sock, server_side=server_side, do_handshake_on_connect=False
    )
    try:
        wrapped.do_handshake()
    except BaseException:
        close_socket(wrapped)
        raise
    return wrapped
