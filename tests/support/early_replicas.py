"""Replicas that answer a request before they have read its body."""

import struct

import eventlet
import h11
from eventlet.green import socket

from tests.support.replicas import ReceivedRequest, ScriptedReplica, head_of

__all__ = ["EarlyReplica", "closing", "finishing", "resetting", "without_length"]

READ_BYTES = 8192


class EarlyReplica(ScriptedReplica):
    """Answers at the head of a request, and reads the body later.

    The body that it has read is the `body` of a received request.

    Parameters
    ----------
    name : str
        The replica's id.
    *steps : callable
        See `ScriptedReplica`.
    pause_s : float, optional
        How long it reads nothing after an answer, in seconds.
    buffer_bytes : int, optional
        Size of its receive buffers; None for that of the system.
    """

    def __init__(self, name, *steps, pause_s=0.0, buffer_bytes=None):
        super().__init__(name, *steps)
        self._pause_s = pause_s
        if buffer_bytes:
            option = socket.SOL_SOCKET, socket.SO_RCVBUF
            self._listener.setsockopt(*option, buffer_bytes)

    def _serve(self, sock, connection):
        parser = h11.Connection(h11.SERVER)
        try:
            while req := self._read_head(sock, parser, connection):
                self.received.append(req)
                step = self._steps.pop(0) if len(self._steps) > 1 else self._steps[0]
                if not step(sock, req):
                    return
                eventlet.sleep(self._pause_s)
                if not _read_body(sock, parser, req):
                    return
                rest = parser.trailing_data[0]
                parser = h11.Connection(h11.SERVER)
                if rest:
                    parser.receive_data(rest)
        except OSError:
            # The router has closed the connection.
            pass
        finally:
            sock.close()

    def _read_head(self, sock, parser, connection):
        head = _next_event(sock, parser)
        if head is None:
            return None
        headers = {bytes(name): bytes(value) for name, value in head.headers}
        number = len(self.received)
        return ReceivedRequest(
            head.method, head.target, headers, b"", number, connection
        )


def closing(step, after_s=0.0):
    """Return a step that closes the connection after another one."""

    def answer_and_close(sock, req):
        step(sock, req)
        eventlet.sleep(after_s)
        return False

    return answer_and_close


def without_length(sock, req):
    """Answer without a length."""
    sock.sendall(head_of(req) + b"\r\nwhole")


def resetting(step, after_s=0.0, before=lambda: None):
    """Return a step that resets the connection some time after another step.

    It calls `before` as soon as the connection is reset. Timers that are due then run
    before the router sees the reset.
    """

    def answer_and_reset(sock, req):
        step(sock, req)
        _sleep_behind_timers(after_s)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        before()
        return False

    return answer_and_reset


def _sleep_behind_timers(seconds):
    """Sleep, and wake where the hub handles sockets, which it does after timers."""
    waiting, waking = socket.socketpair()
    eventlet.spawn_after(seconds, waking.sendall, b"x")
    waiting.recv(1)
    waiting.close()
    waking.close()


def finishing(step, after_s):
    """Return a step that ends its side after another step, and reads the body later."""

    def answer_and_finish(sock, req):
        step(sock, req)
        sock.shutdown(socket.SHUT_WR)
        eventlet.sleep(after_s)
        return True

    return answer_and_finish


def _read_body(sock, parser, req):
    """Read a body, as far as it comes; return whether it is whole."""
    while isinstance(event := _next_event(sock, parser), h11.Data):
        req.body += event.data
    return isinstance(event, h11.EndOfMessage)


def _next_event(sock, parser):
    """Return the next event; None at the end of the connection."""
    while (event := parser.next_event()) is h11.NEED_DATA:
        data = sock.recv(READ_BYTES)
        if not data:
            return None
        parser.receive_data(data)
    return None if isinstance(event, h11.ConnectionClosed) else event
