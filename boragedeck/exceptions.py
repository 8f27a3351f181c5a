"""Errors of the package, with the step and the peer at which they occurred."""

from boragedeck.ids import ExecutionStatus

__all__ = [
    "AnswerRoomError",
    "AnswerUnreadError",
    "AttemptDefectError",
    "BoragedeckError",
    "ForwardDeclinedError",
    "PeerError",
    "PeerGoneError",
    "PeerRefusedError",
    "PeerUnreachableError",
    "RefusedError",
    "RequestEndedError",
    "SettingsError",
    "StaleEpochError",
    "StoreConflictError",
    "StoreError",
    "StoreHistoryLostError",
    "StoreUnavailableError",
    "StoreUnknownOutcomeError",
    "TableError",
    "UpstreamConnectTimeoutError",
    "UpstreamError",
    "UpstreamFailedError",
    "UpstreamRefusedError",
    "UpstreamSilentError",
    "UpstreamUnreachedError",
    "UpstreamNotAcceptingError",
    "UpstreamWithdrawnError",
]


class BoragedeckError(Exception):
    """Base class of all errors of the package.

    Parameters
    ----------
    message : str
        What went wrong, as a sentence without a full stop.
    step : str
        The step at which the error occurred, such as ``"open copy"``.
    peer : str
        The other side of the step: an address, an upstream's name or a file's path.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = ""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        context = " ".join(
            part
            for part in (
                f"at step {self.step!r}" if self.step else "",
                f"with {self.peer}" if self.peer else "",
            )
            if part
        )
        return f"{self.message} ({context})" if context else self.message


class SettingsError(BoragedeckError):
    """A flag, an environment variable or the settings file is missing or invalid."""


class TableError(BoragedeckError):
    """A table or entry that an operator or another program wrote is invalid."""


class RequestEndedError(BoragedeckError):
    """Something was asked of a request that has ended, whose body was released."""


class StoreError(BoragedeckError):
    """The platform's table service or object store failed to serve a call."""


class StoreHistoryLostError(StoreError):
    """The store no longer has all the requested changes; a snapshot must be read."""


class StoreUnavailableError(StoreError):
    """The call did not take effect, and the store is unavailable."""


class StoreUnknownOutcomeError(StoreError):
    """The call may have taken effect, since no usable answer arrived."""


class StoreConflictError(StoreError):
    """A condition of the transaction was not met, so nothing was written."""


class PeerError(BoragedeckError):
    """A call to another router failed.

    Unless a subclass says that the call has not run, it may have run.
    """


class PeerUnreachableError(PeerError):
    """The other router is unreachable or did not answer in time."""


class PeerGoneError(PeerUnreachableError):
    """No process listens at the other router's address, so its soft state is lost.

    The call has not run.
    """


class PeerRefusedError(PeerError):
    """The other router refused the call, or gave no valid answer to it.

    A handler of a call raises it to refuse the call.
    """


class StaleEpochError(BoragedeckError):
    """Another router has taken the answer over, in a later epoch."""


class UpstreamError(BoragedeckError):
    """An upstream failed while it served a call.

    Unless a subclass says that the call did not run or was not sent, it may have run.
    """


class UpstreamRefusedError(UpstreamError):
    """The upstream was not reached, or answered that it did not run the call."""


class UpstreamConnectTimeoutError(UpstreamRefusedError):
    """The upstream did not answer the request for a connection in time."""


class UpstreamUnreachedError(UpstreamRefusedError):
    """Several other routers don't reach the upstream, either."""


class ForwardDeclinedError(UpstreamError):
    """Another router did not forward a request, so nothing was sent."""


class UpstreamNotAcceptingError(UpstreamError):
    """The upstream accepts no requests at present, so nothing was sent."""


class UpstreamFailedError(UpstreamError):
    """The upstream answered with an error, so it is alive."""


class UpstreamAnswerTooLargeError(UpstreamError):
    """The upstream sent more than the limit for an answer, perhaps without end."""


class UpstreamSilentError(UpstreamError):
    """The upstream sent nothing for longer than the time that was allowed."""


class UpstreamWithdrawnError(UpstreamError):
    """The router withdrew the call before its answer had begun."""


class AttemptDefectError(UpstreamWithdrawnError):
    """An attempt ended by an unexpected exception in this router."""


class AnswerUnreadError(UpstreamWithdrawnError):
    """An answer was lost after its replica wasn't read for lack of memory."""


class AnswerRoomError(UpstreamWithdrawnError):
    """An answer found no room in this router within the request's time."""


class StreamOrderError(BoragedeckError):
    """What is to be written of a stream doesn't follow what the caller has."""


class RouterStoppingError(BoragedeckError):
    """A request is given up because this router stops."""


class RefusedError(BoragedeckError):
    """A request is refused, or has failed, with an HTTP status for its caller.

    Parameters
    ----------
    message : str
        The error message for the caller.
    status : int
        The HTTP status.
    kind : str
        The ``type`` of the error object, such as ``"invalid_request_error"``.
    code : str
        The ``code`` of the error object, for programs.
    ran : ExecutionStatus
        Whether the request ran on an upstream.
    retry_after_s : float or None
        Time after which the caller may retry, in seconds; None to name no time.
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
