"""Intent rows: the record that lets a command run at most once.

Notes
-----
A row goes from absent to `INTENDED`, under one attempt's own id, before the
command's first byte is sent; and from there to one of the final states, written
by the attempt's router alone. Only an `ABANDONED` row may be replaced by another
attempt. No router takes over an `INTENDED` row: its holder may have sent it.
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
"""A larger body of a response goes to the object store."""


class IntentState(enum.Enum):
    """What is known of a command."""

    INTENDED = "intended"
    """It may have been sent, or may be sent at any time."""
    DONE = "done"
    """The service answered."""
    UNKNOWN = "unknown"
    """It was sent, and no answer will come."""
    ABANDONED = "abandoned"
    """It was not sent and never will be under this attempt."""


class CommandKey(msgspec.Struct, frozen=True):
    """Names a command, and what it asks for.

    Parameters
    ----------
    row_key : str
        Key of the intent's row: a hash of organisation, route and key.
    request_hash : str
        Hash of method, path and body.
    is_minted : bool
        Whether this router made the key up, so that no earlier request has it.
    """

    row_key: str
    request_hash: str
    is_minted: bool = False


class StoredResponse(msgspec.Struct, frozen=True):
    """A service's response, kept for callers who ask again.

    Parameters
    ----------
    status : int
        The HTTP status.
    headers : tuple of (str, str)
        The headers that callers get.
    body : bytes or None
        The body; None where it is in the object store.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class IntentRow(msgspec.Struct, frozen=True):
    """Content of an intent's row.

    Parameters
    ----------
    attempt : str
        Unique id of the attempt, so that its router knows its own row again.
    router : RouterId
        The router that made the attempt.
    request_hash : str
        Hash of what was asked.
    created_at : float
        When the attempt was made, in Unix seconds; for pruning only.
    state : IntentState
        What is known of the command.
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
        """Where a body goes that is too large for the row."""
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
        Whose command it is; one's keys never meet another's.
    route : RouteName
        The route that it takes.
    key : str
        The caller's key, or a minted one.
    """
    return _digest(organisation.encode(), route.encode(), key.encode())


def request_hash(method: str, path: str, body: bytes) -> str:
    """Return a hash of all that makes two requests of one key the same."""
    return _digest(method.encode(), path.encode(), body)


def encode_row(row: IntentRow) -> bytes:
    """Return a row's value."""
    return msgspec.msgpack.encode(row)


def decode_row(value: bytes) -> IntentRow:
    """Return the row of a value.

    Raises
    ------
    msgspec.MsgspecError
        If the value is no intent.
    """
    return msgspec.msgpack.decode(value, type=IntentRow)


def _digest(*parts: bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
