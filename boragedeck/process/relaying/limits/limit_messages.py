"""Messages by which routers keep the limits that replicas name."""

from boragedeck.connection.messages import Message
from boragedeck.process.relaying.replicas.replica_state import Run

__all__ = ["ReportLimit", "ReturnSend", "SendDecision", "TakeSend"]


class ReportLimit(Message, frozen=True):
    """Tells the limit owner of a replica that its limit has changed.

    Parameters
    ----------
    run : Run
        The run of the replica.
    per_s : float or None
        The limit in requests per second; None if the replica names none any more.
    age_s : float
        Seconds since the replica's answer was read.
    """

    run: Run
    per_s: float | None
    age_s: float


class TakeSend(Message, frozen=True):
    """Requests one send to a limited replica; answered with `SendDecision`.

    Parameters
    ----------
    run, per_s, age_s
        What the sender knows of the replica's limit, as in `ReportLimit`.
    max_wait_s : float
        The longest time that the request can wait, in seconds.
    is_forwarded : bool
        Whether the message comes from a router that isn't the limit owner itself.
    """

    run: Run
    per_s: float | None
    age_s: float
    max_wait_s: float
    is_forwarded: bool = False


class ReturnSend(Message, frozen=True):
    """Returns a granted send of a request that ended while it waited for its turn.

    Parameters
    ----------
    run : Run
        The run of the replica.
    wait_s : float
        Seconds until the request might have been sent.
    """

    run: Run
    wait_s: float


class SendDecision(Message, frozen=True):
    """Grants or denies a send.

    Parameters
    ----------
    is_granted : bool
        Whether the request may be sent after `wait_s`.
    wait_s : float
        Seconds until the request may be sent or, if it is denied, until the next one
        may be sent.
    per_s : float or None
        The newest limit that the owner knows; None if the replica names none any more.
    age_s : float
        Seconds since the replica's answer that names it was read.
    """

    is_granted: bool
    wait_s: float
    per_s: float | None
    age_s: float
