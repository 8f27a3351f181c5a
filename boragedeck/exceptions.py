"""Errors of the package, which carry the step and the peer where they arose."""

from boragedeck.ids import ExecutionStatus

__all__ = [
    "BoragedeckError",
    "PeerError",
    "PeerGoneError",
    "PeerRefusedError",
    "PeerUnreachableError",
    "RefusedError",
    "SettingsError",
    "StaleEpochError",
    "StoreConflictError",
    "StoreError",
    "StoreHistoryLostError",
    "StoreUnavailableError",
    "StoreUnknownOutcomeError",
    "TableError",
    "UpstreamError",
    "UpstreamFailedError",
    "UpstreamRefusedError",
    "UpstreamSilentError",
    "UpstreamNotAcceptingError",
]


class BoragedeckError(Exception):
    """Base class of all errors of the package.

    Parameters
    ----------
    message : str
        What went wrong, as a sentence without its full stop.
    step : str
        The step at which it arose, such as ``"open copy"``.
    peer : str
        The other side: an address, an upstream's name or a file's path.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = ""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(
            part
            for part in (
                f"at step {self.step!r}" if self.step else "",
                f"with {self.peer}" if self.peer else "",
            )
            if part
        )
        return f"{self.message} ({where})" if where else self.message


class SettingsError(BoragedeckError):
    """A flag or an environment variable is missing or wrong."""


class TableError(BoragedeckError):
    """A table that an operator wrote is wrong."""


class StoreError(BoragedeckError):
    """The platform's table service or object store did not serve a call."""


class StoreHistoryLostError(StoreError):
    """The store no longer has the changes that were asked for."""


class StoreUnavailableError(StoreError):
    """The call did not take effect, and the store can't be used now."""


class StoreUnknownOutcomeError(StoreError):
    """The call may have taken effect: its answer was lost."""


class StoreConflictError(StoreError):
    """A condition of the transaction did not hold, so nothing was written."""


class PeerError(BoragedeckError):
    """A call to another router failed."""


class PeerUnreachableError(PeerError):
    """The other router can't be reached or did not answer in time."""


class PeerGoneError(PeerUnreachableError):
    """Nobody listens at the other router's address, so its soft state is gone."""


class PeerRefusedError(PeerError):
    """The other router answered that it won't do what was asked."""


class StaleEpochError(BoragedeckError):
    """Another router owns the answer with a higher epoch."""


class UpstreamError(BoragedeckError):
    """An upstream failed while it served a call."""


class UpstreamRefusedError(UpstreamError):
    """The upstream was not reached, or said that it did not run the call."""


class UpstreamNotAcceptingError(UpstreamError):
    """The upstream wants no requests now, so nothing was sent."""


class UpstreamFailedError(UpstreamError):
    """The upstream answered with an error, so it is alive."""


class UpstreamAnswerTooLargeError(UpstreamError):
    """The upstream sent more than an answer may have, perhaps without end."""


class UpstreamSilentError(UpstreamError):
    """The upstream's stream went silent for longer than its history allows."""


class RefusedError(BoragedeckError):
    """A request is refused with a status for its caller.

    Parameters
    ----------
    message : str
        The sentence that the caller reads.
    status : int
        The HTTP status.
    kind : str
        The ``type`` of the error object, such as ``"invalid_request_error"``.
    code : str
        The ``code`` of the error object, for programs.
    ran : ExecutionStatus
        Whether the request ran on an upstream.
    retry_after_s : float or None
        When the caller may come back, in seconds.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        kind: str,
        code: str,
        ran: ExecutionStatus = ExecutionStatus.NO,
        retry_after_s: float | None = None,
        step: str = "",
        peer: str = "",
    ):
        super().__init__(message, step=step, peer=peer)
        self.status = status
        self.kind = kind
        self.code = code
        self.ran = ran
        self.retry_after_s = retry_after_s
