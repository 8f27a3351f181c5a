"""A proxy whose open connections can fall silent for good, while new ones work."""

import socket
import threading

__all__ = ["SilencingProxy"]


class SilencingProxy:
    """Passes connections on to an address, byte for byte.

    Parameters
    ----------
    target : str
        The address, as IP:PORT.
    host : str, optional
        The loopback address on which it listens.
    """

    def __init__(self, target: str, host: str = "127.0.0.1"):
        name, _, port = target.rpartition(":")
        self._target = name, int(port)
        self._listener = socket.create_server((host, 0), backlog=128)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        # The number of the present generation; connections of earlier ones are silent.
        self._generation = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Pass nothing more on over the open connections, and don't close them."""
        self._generation += 1

    def close(self) -> None:
        """Accept no further connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target, timeout=5.0)
            except OSError:
                near.close()
                continue
            for sock in (near, far):
                sock.settimeout(None)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for pair in ((near, far), (far, near)):
                args = *pair, self._generation
                threading.Thread(target=self._pass_on, args=args, daemon=True).start()

    def _pass_on(
        self, source: socket.socket, sink: socket.socket, generation: int
    ) -> None:
        try:
            while data := source.recv(65536):
                if generation == self._generation:
                    sink.sendall(data)
        except OSError:
            # The other direction has ended already.
            pass
        if generation != self._generation:
            return
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # It is closed.
            pass
