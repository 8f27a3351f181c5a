"""Ports on loopback for the processes of a test."""

import random
import socket

__all__ = ["PortBlock"]

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 15_000, 32_000
"""Ports below those that the system gives to outgoing connections, one of which could
take a port before its process listens there."""
BLOCK_PORTS = 500


class PortBlock:
    """Successive ports that are given out once each.

    Notes
    -----
    A process that is replaced doesn't listen for a while, and its ports must stay its
    own. So a block belongs to whoever listens at its first port.
    """

    def __init__(self):
        self._guard = _claim_block()
        first = self._guard.getsockname()[1]
        self._ports = iter(range(first + 1, first + BLOCK_PORTS))

    def take(self, count: int = 1) -> int:
        """Return the first of some successive ports that are free.

        Parameters
        ----------
        count : int, optional
            The number of ports.

        Raises
        ------
        StopIteration
            If the block has too few ports left.
        """
        ports: list[int] = []
        while len(ports) < count:
            port = next(self._ports)
            ports = [*ports, port] if _is_free(port) else []
        return ports[0]

    def close(self) -> None:
        """Give the block up."""
        self._guard.close()


def _claim_block() -> socket.socket:
    """Return a socket that listens at the first port of a block."""
    while True:
        guard = socket.socket()
        try:
            guard.bind((HOST, random.randrange(FIRST_PORT, LAST_PORT, BLOCK_PORTS)))
            guard.listen()
        except OSError:
            # The block belongs to another process.
            guard.close()
        else:
            return guard


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            # Another process listens there.
            return False
    return True
