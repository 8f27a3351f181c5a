"""Seeded defects in waits for connections, each with its test."""

from boragedeck.request import relay_attempt
from tests.support.method_defects import MethodDefect

__all__ = ["DROPPED_CONNECT_DEFECTS"]

TESTS = "tests.request.test_dropped_connects.DroppedConnectTest"
LONG_S = 60.0

DROPPED_CONNECT_DEFECTS = tuple(
    MethodDefect(
        f"a connection is waited for without a limit: {name}",
        f"{TESTS}.{name}",
        relay_attempt,
        "CONNECT_TIMEOUT_S",
        LONG_S,
    )
    for name in (
        "test_call_that_may_run_once_waits_for_a_dropped_connect",
        "test_stream_waits_for_a_dropped_connect",
    )
)
