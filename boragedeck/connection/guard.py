"""Authentication of connections between routers.

See Also
--------
boragedeck.connection.tls : Authentication by certificates.
"""

import hashlib
import hmac
import secrets
from pathlib import Path
from typing import Protocol

import msgspec
from eventlet.green import socket

from boragedeck.connection.messages import Message
from boragedeck.decoding import DECODE_ERRORS

__all__ = [
    "Guard",
    "GuardChain",
    "GuardError",
    "OpenGuard",
    "SecretGuard",
    "read_secrets",
]

NONCE_BYTES = 32
KEY_ID_BYTES = 8
MAX_SECRETS = 2
MIN_SECRET_BYTES = 16
MAX_SECRET_FILE_BYTES = 4096
LENGTH_BYTES = 2
MAX_HANDSHAKE_BYTES = 512


class GuardError(ConnectionError):
    """The peer did not prove that it is a router of this fleet."""


class Guard(Protocol):
    """Authenticates the peer of a new connection before any frame is read.

    The code that uses a guard sets the timeout of both methods.
    """

    def accept(self, sock: socket.socket) -> socket.socket:
        """Authenticate a peer that connected; return the socket to use from now on.

        Raises
        ------
        OSError
            `GuardError` if the peer isn't admitted.
        """

    def connect(self, sock: socket.socket) -> socket.socket:
        """Authenticate a peer that we connected to; returns and raises as `accept`."""


class OpenGuard:
    """Admits every peer without authentication; for loopback only."""

    def accept(self, sock: socket.socket) -> socket.socket:
        """Return the socket as it is."""
        return sock

    def connect(self, sock: socket.socket) -> socket.socket:
        """Return the socket as it is."""
        return sock


class GuardChain:
    """Admits a peer that all its guards admit.

    They are called in their order, each with the socket that the one before returned.

    Parameters
    ----------
    *guards : Guard
        The first one is closest to the network.
    """

    def __init__(self, *guards: Guard):
        self._guards = guards

    def accept(self, sock: socket.socket) -> socket.socket:
        """Authenticate a peer that connected; see `Guard.accept`."""
        for guard in self._guards:
            sock = guard.accept(sock)
        return sock

    def connect(self, sock: socket.socket) -> socket.socket:
        """Authenticate a peer that we connected to; see `Guard.connect`."""
        for guard in self._guards:
            sock = guard.connect(sock)
        return sock


class Hello(Message, frozen=True):
    """Starts the handshake with the ids of the secrets that the caller has."""

    nonce: bytes
    key_ids: tuple[bytes, ...]


class Challenge(Message, frozen=True):
    """Names the secret that both sides have and proves that the listener has it."""

    nonce: bytes
    key_id: bytes
    proof: bytes


class Response(Message, frozen=True):
    """Proves that the caller has the secret."""

    proof: bytes


class SecretGuard:
    """Admits a peer that proves that it has one of the secrets, without sending it.

    Each side sends a nonce and proves, by HMAC-SHA256 over both nonces and its own
    role, that it has a secret that the other side also has. The caller is the side that
    opened the connection, the listener the one that accepted it. Since a proof contains
    the role, it can't be sent back as the proof of the other side.

    Parameters
    ----------
    path : Path
        See `read_secrets`. The file is read again for each connection, so that a
        secret can be replaced without a restart. While the file can't be read, the
        secrets that were last read stay valid.

    Raises
    ------
    ValueError, OSError
        If the file can't be read at the start.
    """

    def __init__(self, path: Path):
        self._path = path
        self._secrets = read_secrets(path)

    def accept(self, sock: socket.socket) -> socket.socket:
        """Authenticate a peer that connected; see `Guard.accept`."""
        hello = _receive(sock, Hello)
        if len(hello.nonce) != NONCE_BYTES:
            raise GuardError("the nonce has a wrong size")
        secret = self._shared_secret(hello.key_ids)
        nonce = secrets.token_bytes(NONCE_BYTES)
        nonces = hello.nonce + nonce
        proof = _proof(secret, b"listener", nonces)
        _send(sock, Challenge(nonce, _key_id(secret), proof))
        _check_proof(_receive(sock, Response).proof, _proof(secret, b"caller", nonces))
        return sock

    def connect(self, sock: socket.socket) -> socket.socket:
        """Authenticate a peer that we connected to; see `Guard.connect`."""
        nonce = secrets.token_bytes(NONCE_BYTES)
        key_ids = tuple(_key_id(secret) for secret in self._current_secrets())
        _send(sock, Hello(nonce, key_ids))
        challenge = _receive(sock, Challenge)
        if len(challenge.nonce) != NONCE_BYTES:
            raise GuardError("the nonce has a wrong size")
        secret = self._shared_secret((challenge.key_id,))
        nonces = nonce + challenge.nonce
        _check_proof(challenge.proof, _proof(secret, b"listener", nonces))
        _send(sock, Response(_proof(secret, b"caller", nonces)))
        return sock

    def _current_secrets(self) -> tuple[bytes, ...]:
        try:
            self._secrets = read_secrets(self._path)
        except (OSError, ValueError):
            # The file may be half-written during a replacement: keep the last secrets.
            pass
        return self._secrets

    def _shared_secret(self, key_ids: tuple[bytes, ...]) -> bytes:
        for secret in self._current_secrets():
            if _key_id(secret) in key_ids:
                return secret
        raise GuardError("the peer has none of our secrets")


def read_secrets(path: Path) -> tuple[bytes, ...]:
    """Read the current secret and, below it, the previous one.

    Parameters
    ----------
    path : Path
        A file with one secret per line; empty lines are skipped.

    Returns
    -------
    tuple of bytes
        One or two secrets; a peer that has any of them is admitted.

    Raises
    ------
    ValueError
        If there is none, more than two, or one shorter than `MIN_SECRET_BYTES`.
    OSError
        If the file can't be read.
    """
    with path.open("rb") as file:
        data = file.read(MAX_SECRET_FILE_BYTES + 1)
    if len(data) > MAX_SECRET_FILE_BYTES:
        raise ValueError(f"the file is longer than {MAX_SECRET_FILE_BYTES} bytes")
    lines = tuple(line.strip() for line in data.splitlines() if line.strip())
    if not lines:
        raise ValueError("the file is empty")
    if len(lines) > MAX_SECRETS:
        raise ValueError(f"the file has more than {MAX_SECRETS} secrets")
    if min(map(len, lines)) < MIN_SECRET_BYTES:
        raise ValueError(f"a secret is shorter than {MIN_SECRET_BYTES} bytes")
    return lines


def _key_id(secret: bytes) -> bytes:
    return hmac.digest(secret, b"boragedeck key id", "sha256")[:KEY_ID_BYTES]


def _proof(secret: bytes, role: bytes, nonces: bytes) -> bytes:
    return hmac.new(secret, b"boragedeck " + role + nonces, hashlib.sha256).digest()


def _check_proof(got: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(got, expected):
        raise GuardError("the peer did not prove that it has our secret")


def _send(sock: socket.socket, message: Message) -> None:
    body = msgspec.msgpack.encode(message)
    sock.sendall(len(body).to_bytes(LENGTH_BYTES, "big") + body)


def _receive(sock: socket.socket, message_type: type):
    size = int.from_bytes(_receive_exactly(sock, LENGTH_BYTES), "big")
    if size > MAX_HANDSHAKE_BYTES:
        raise GuardError(
            f"a handshake message of {size} bytes is over {MAX_HANDSHAKE_BYTES} bytes"
        )
    body = _receive_exactly(sock, size)
    try:
        return msgspec.msgpack.decode(body, type=message_type)
    except DECODE_ERRORS as exc:
        raise GuardError(f"expected a valid {message_type.__name__}") from exc


def _receive_exactly(sock: socket.socket, size: int) -> bytes:
    data = b""
    while len(data) < size:
        read = sock.recv(size - len(data))
        if not read:
            raise GuardError("the connection ended during the handshake")
        data += read
    return data
