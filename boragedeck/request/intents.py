"""Intent rows, which ensure that a command runs at most once.

Notes
-----
A router writes a row in state `INTENDED`, with the attempt's own id, before it sends
the command's first byte. Later it changes the row to one of the final states; no
other router does. Only an `ABANDONED` row may be replaced by another attempt. No
router takes over an `INTENDED` row, since its owner may have sent the command.
"""

import enum
import hashlib

import msgspec

from boragedeck.ids import OrganisationName, RouteName, RouterId

__all__ = [
    "CommandKey",
    "IntentRow",
    "IntentState",
    "StoredResponse",
    "command_key",
    "decode_row",
    "encode_row",
    "request_hash",
]

MAX_INLINE_BODY_BYTES = 4096
"""Larger response bodies are kept in the object store."""


class IntentState(enum.Enum):
    """The recorded state of a command."""

    INTENDED = "intended"
    """It may have been sent, or may be sent at any time."""
    DONE = "done"
    """The service answered."""
    UNKNOWN = "unknown"
    """It was sent, and no answer will be received."""
    ABANDONED = "abandoned"
    """It was not sent and never will be under this attempt."""


class CommandKey(msgspec.Struct, frozen=True):
    """Identifies a command and its content.

    Parameters
    ----------
    row_key : str
        Key of the intent's row: a hash of organisation, route and idempotency key.
    request_hash : str
        Hash of method, path and body.
    is_minted : bool
        Whether this router generated the key, so that no earlier request has it.
    """

    row_key: str
    request_hash: str
    is_minted: bool = False


class StoredResponse(msgspec.Struct, frozen=True):
    """A service's response, kept for callers that retry.

    Parameters
    ----------
    status : int
        The HTTP status.
    headers : tuple of (str, str)
        The headers that are passed to callers.
    body : bytes or None
        The body; None if it is in the object store.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class IntentRow(msgspec.Struct, frozen=True):
    """Content of an intent's row.

    Parameters
    ----------
    attempt : str
        Unique id of the attempt, by which its router recognises its own row.
    router : RouterId
        The router that made the attempt.
    request_hash : str
        Hash of the request's content.
    created_at : float
        When the attempt was made, in Unix seconds; used only for pruning.
    state : IntentState
        The state of the command.
    response : StoredResponse or None
        The response, in state `DONE`.
    """

    attempt: str
    router: RouterId
    request_hash: str
    created_at: float
    state: IntentState = IntentState.INTENDED
    response: StoredResponse | None = None

    @property
    def object_key(self) -> str:
        """The key in the object store of a body that is too large for the row."""
        return f"intents/{self.attempt}"

    @property
    def has_object(self) -> bool:
        """Whether the response's body is in the object store."""
        return self.response is not None and self.response.body is None


def command_key(organisation: OrganisationName, route: RouteName, key: str) -> str:
    """Return the key of a command's row.

    Parameters
    ----------
    organisation : OrganisationName
        The caller's organisation; keys of different organisations never collide.
    route : RouteName
        The route of the command.
    key : str
        The caller's key, or a generated one.
    """
    return _digest(organisation.encode(), route.encode(), key.encode())


def request_hash(method: str, path: str, body: bytes) -> str:
    """Return a hash of everything that must be equal in two requests with one key."""
    return _digest(method.encode(), path.encode(), body)


def encode_row(row: IntentRow) -> bytes:
    """Encode a row."""
    return msgspec.msgpack.encode(row)


def decode_row(value: bytes) -> IntentRow:
    """Decode a row.

    Raises
    ------
    msgspec.MsgspecError
        If the value is not an intent.
    """
    return msgspec.msgpack.decode(value, type=IntentRow)


def _digest(*parts: bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
