"""Decides to which request on a connection an answer belongs.

An answer names its request by an id, and a replica may repeat an answer later, where
the answer to the next request is expected. The id tells the two apart only if no
connection carries an id twice. So this holds, and requests without an id count as
requests with one more id:

- A connection carries each id at most once.
- An answer belongs to the request that was sent last if it has that request's id.
- An answer with the id of another request is a late one, and is skipped.
- An answer from which its request can't be told says nothing about a request, also
  not that it hasn't run.
"""

import enum

__all__ = ["MAX_REQUESTS_PER_CONNECTION", "AnswerMatch", "SentRequests"]

MAX_REQUESTS_PER_CONNECTION = 256
"""Number of requests after which a connection is closed, so that the ids that it has
carried take little memory."""


class AnswerMatch(enum.Enum):
    """Whether an answer belongs to the request that was sent last."""

    OWN = "own"
    """It does."""
    OTHER = "other"
    """It belongs to another request."""
    UNPROVEN = "unproven"
    """It has the id of the request, but may belong to an earlier sending of it."""
    UNKNOWN = "unknown"
    """It names no request, or several."""


class SentRequests:
    """The ids of the requests that a connection has carried.

    Notes
    -----
    Hashes are kept, since a caller's id may be long. If two ids have the same hash, the
    second one needs another connection, which does no harm.
    """

    def __init__(self):
        self._hashes: set[int] = set()
        self._last: bytes | None = None
        self._has_carried_nameless = False

    @property
    def is_full(self) -> bool:
        """Whether the connection may carry no further request."""
        return len(self._hashes) >= MAX_REQUESTS_PER_CONNECTION

    def may_send(self, request_id: bytes | None) -> bool:
        """Return whether the connection may carry a request.

        Parameters
        ----------
        request_id : bytes or None
            The id of the request; None if it has none.
        """
        return not self.is_full and hash(request_id) not in self._hashes

    def note_sent(self, request_id: bytes | None) -> None:
        """Record that a request is sent, which `may_send` has allowed."""
        self._hashes.add(hash(request_id))
        self._last = request_id
        self._has_carried_nameless |= request_id is None

    def match(self, answer_id: bytes | None) -> AnswerMatch:
        """Return whether an answer belongs to the request that was sent last.

        Parameters
        ----------
        answer_id : bytes or None
            The request's id in the answer; None if the answer has none.
        """
        if answer_id == self._last:
            return AnswerMatch.OWN
        if answer_id is None and not self._has_carried_nameless:
            return AnswerMatch.UNKNOWN
        return AnswerMatch.OTHER
