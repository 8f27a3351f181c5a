"""Measures how soon a stream is sent again after its replica is lost.

For each kind of loss, streams run one after the other on one of two replicas over
loopback; that one is lost in the middle. Printed are the median and the longest time
from the loss to the arrival of the second attempt at the other replica, and how many
streams were whole.
"""

from boragedeck.patching import patch_all

patch_all()

import enum
import statistics
import struct
import time
from functools import partial

import eventlet
import msgspec
from eventlet.green import socket

from boragedeck.connection.upstream_pool import UpstreamPool
from boragedeck.exceptions import UpstreamConnectTimeoutError
from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    event,
    head_of,
    report_model,
    send_chunk,
    stream_rule,
)

__all__ = ["Loss", "main"]

STREAMS = 24
EVENTS = 12
INTERVAL_S = 0.05
LOST_AFTER_S = 0.22
GAP_GOAL_S = 0.4
HANG_S = 20.0
DEADLINE_MS = 8000
TOKENS = b"Token-Counts: 1000,100"
ENGINES = RelayPool("engines", 100, msgspec.structs.replace(ENGINE, can_back_up=False))
RESET = struct.pack("ii", 1, 0)


class Loss(enum.Enum):
    """How a replica is lost."""

    RESET = "connections reset"
    HUNG = "hung for good, its host accepts connections"
    GONE = "host gone, connects time out"


class _LossyPool(UpstreamPool):
    """A pool to whose lost addresses connects time out."""

    gone = frozenset()

    def _open(self, address, timeout_s):
        if address in self.gone:
            eventlet.sleep(timeout_s)
            raise UpstreamConnectTimeoutError("gone", step="connect", peer=str(address))
        return super()._open(address, timeout_s)


class _Harness(RelayHarness):
    pool_type = _LossyPool


class _Run:
    """One stream, whose first replica is lost."""

    def __init__(self, loss: Loss):
        self._loss = loss
        self._first: str | None = None
        self.lost_at: float | None = None
        self.sent_again_at: float | None = None

    def run(self) -> bool:
        """Run the stream; return whether it was whole."""
        replicas = [
            ScriptedReplica(name, self._step(name), self._step(name))
            for name in ("one", "two")
        ]
        harness = _Harness(
            stream_rule(timeout_s=6.0, gap_goal_s=GAP_GOAL_S), pool=ENGINES
        )
        harness.add(replicas[0])
        harness.add(replicas[1], domain="b")
        self._lose = partial(self._lose_first, harness, replicas)
        try:
            response = harness.fetch(TOKENS, ms=DEADLINE_MS)
        finally:
            harness.close()
        return response.body == b"".join(map(event, range(1, EVENTS + 1)))

    def _lose_first(self, harness, replicas) -> None:
        self.lost_at = time.monotonic()
        [first] = [each for each in replicas if each.name == self._first]
        if self._loss is Loss.GONE:
            harness.upstreams.gone = {first.address}

    def _is_lost(self, name: str) -> bool:
        return self.lost_at is not None and name == self._first

    def _end(self, sock) -> bool:
        """Reset a connection of the lost replica, or leave it open for good."""
        if self._loss is not Loss.RESET:
            eventlet.sleep(HANG_S)
            return False
        if self.sent_again_at is None:
            self.lost_at = time.monotonic()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return False

    def _step(self, name: str):
        def step(sock, req):
            if self._is_lost(name):
                return self._end(sock)
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            if self._first is None:
                self._first = name
                eventlet.spawn_after(LOST_AFTER_S, self._lose)
            elif self.sent_again_at is None:
                self.sent_again_at = time.monotonic()
            sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
            done = int(req.headers.get(b"last-event-id", 0))
            for number in range(done + 1, EVENTS + 1):
                if self._is_lost(name):
                    return self._end(sock)
                send_chunk(sock, event(number))
                eventlet.sleep(INTERVAL_S)
            sock.sendall(b"0\r\n\r\n")
            return True

        return step


def main() -> None:
    """Measure all kinds of loss and print a line for each."""
    for loss in Loss:
        waits, whole = [], 0
        for _ in range(STREAMS):
            run = _Run(loss)
            whole += run.run()
            if run.sent_again_at is not None:
                waits.append(run.sent_again_at - run.lost_at)
        print(
            f"{loss.value}: sent again {len(waits)} of {STREAMS},"
            f" median {statistics.median(waits):.3f} s, longest {max(waits):.3f} s,"
            f" whole {whole}"
        )


if __name__ == "__main__":
    main()
