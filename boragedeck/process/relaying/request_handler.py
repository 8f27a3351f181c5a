"""Answers what callers send to a router that relays, whatever happens inside."""

from collections.abc import Callable

import eventlet

from boragedeck.connection.caller_channel import CallerChannel, RawRequest
from boragedeck.connection.caller_ends import CallerDisconnectedError
from boragedeck.exceptions import RefusedError
from boragedeck.ids import ExecutionStatus
from boragedeck.platform.callers import decode_request
from boragedeck.process.observing.logs import PartLog
from boragedeck.request.relay import relay
from boragedeck.request.relay_components import RelayComponents, respond_refusal
from boragedeck.request.relay_request import RelayRequest

__all__ = ["handle_request"]

_log = PartLog("daemon")

Relay = Callable[[RelayComponents, RelayRequest, CallerChannel], None]


def handle_request(
    parts: RelayComponents,
    raw: RawRequest,
    channel: CallerChannel,
    relay_one: Relay = relay,
) -> None:
    """Answer one request as received from a caller.

    Parameters
    ----------
    parts : RelayComponents
        The components of the process that relaying uses.
    raw : RawRequest
        The request.
    channel : CallerChannel
        The channel on which the caller is answered.
    relay_one : callable, optional
        Relays a decoded request.

    Raises
    ------
    CallerDisconnectedError
        If the caller has left.
    """
    decoded = decode_request(raw)
    if decoded.is_err():
        _log.write("Refused.", reason=decoded.err().message, status=400)
        respond_refusal(parts, None, decoded.err(), channel)
        return
    req = decoded.ok()
    channel.request_id = req.request_id
    try:
        relay_one(parts, req, channel)
    except CallerDisconnectedError:
        raise
    except (Exception, eventlet.Timeout) as exc:
        _answer_defect(parts, req, channel, exc)


def _answer_defect(
    parts: RelayComponents,
    req: RelayRequest,
    channel: CallerChannel,
    exc: BaseException,
) -> None:
    """Log an unexpected exception; answer if nothing was sent.

    Notes
    -----
    The request may have run, so the answer doesn't invite to send it again.
    """
    _log.write(
        "Request failed.",
        request=req.request_id,
        error=repr(exc),
        has_begun=channel.has_begun,
        age_s=round(parts.timers.now() - req.arrived, 3),
    )
    parts.metrics.requests.labels("none", "defect").inc()
    if channel.has_begun:
        return
    error = RefusedError(
        "this router failed; the request may have run",
        status=500,
        kind="server_error",
        code="defect",
        ran=ExecutionStatus.UNKNOWN,
        step="relay",
    )
    respond_refusal(parts, req.request_id, error, channel)
