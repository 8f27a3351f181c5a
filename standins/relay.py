"""TCP relay that can go silent, as when connection state is lost on the path."""

import eventlet
from eventlet.green import socket

from boragedeck.connection.listening import close_listener

__all__ = ["Relay"]

READ_BYTES = 65_536


class Relay:
    """Forwards TCP connections to a target.

    Parameters
    ----------
    host : str
        The target's IP address.
    port : int
        The target's port.

    Attributes
    ----------
    url : str
        The base URL at which the relay listens.
    """

    def __init__(self, host: str, port: int):
        self._target = (host, port)
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self._connections: set[_Connection] = set()
        self.url = "http://{}:{}".format(*self._listener.getsockname())
        eventlet.spawn_n(self._accept)

    def silence(self) -> int:
        """Stop forwarding on the open connections; new connections work.

        Returns
        -------
        int
            Number of connections that became silent.
        """
        silent = [conn for conn in self._connections if not conn.is_silent]
        for conn in silent:
            conn.is_silent = True
        return len(silent)

    def close_connections(self) -> None:
        """Close the open connections."""
        for conn in list(self._connections):
            conn.close()

    def close(self) -> None:
        """Close the listener and the open connections."""
        close_listener(self._listener)
        self.close_connections()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, client_sock: socket.socket) -> None:
        try:
            server_sock = socket.create_connection(self._target)
        except OSError:
            client_sock.close()
            return
        conn = _Connection(client_sock, server_sock)
        self._connections.add(conn)
        to_server = eventlet.spawn(conn.copy, client_sock, server_sock)
        conn.copy(server_sock, client_sock)
        to_server.wait()
        self._connections.discard(conn)
        client_sock.close()
        server_sock.close()


class _Connection:
    def __init__(self, client_sock: socket.socket, server_sock: socket.socket):
        self._socks = (client_sock, server_sock)
        self.is_silent = False

    def copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if not self.is_silent:
                    sink.sendall(data)
        except (OSError, EOFError):
            pass
        if not self.is_silent:
            self.close()

    def close(self) -> None:
        for sock in self._socks:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
