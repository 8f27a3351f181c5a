"""Callers on kept and new connections, who note what they send and get."""

import http.client
import itertools
import random
import re
import time
from collections.abc import Iterator

import eventlet
import msgspec

from scripts.table_changes import KEY
from soak.history import Call, History
from soak.operator import EXTRA_ROUTE, GUEST_KEY
from soak.release import RELEASE_EVENTS
from soak.rules import (
    NOT_FOUND,
    OK,
    RESUMABLE_ROUTE,
    STREAM_ROUTES,
    UNAUTHORIZED,
    events_of,
)

__all__ = ["Callers", "Habits"]

STREAM_WEIGHTS = {"stream": 1.0, "resume": 1.0}
CALL_WEIGHTS = {"once": 1.0, "again": 1.0, EXTRA_ROUTE: 0.5}
EVENTS = 10, 30, 60
KEEP_SHARE = 0.7
"""Share of the requests that are sent on a connection that was kept."""
CHUNKED_SHARE = 0.5
GUEST_SHARE = 0.15
BODY_PARTS = 5
SMALL_BYTES = 70, 560
LARGE_BYTES = 2_000, 100_000
TOKEN_BYTES = 12
MIN_TOKENS = 100
MAX_BODY_S = 1.5
DEADLINES_S = 9.0, 25.0
PATIENCE_S = MAX_BODY_S + 1.0
"""How long after its time limit a caller still waits, to see the end."""
MAX_PAUSE_S = 0.3
MAX_RESUMPTIONS = 5
RESUME_SHARE = 0.8
"""Share of the callers, of those that leave a stream, that resume it."""
RESUME_PAUSE_S = 0.02, 0.6
FINAL = {OK, UNAUTHORIZED, NOT_FOUND}
"""Statuses after which no caller repeats a request."""
MIN_RESUME_S = 1.0
"""A caller that has less time left doesn't resume."""
WHOLE_EVENT = re.compile(rb"id: (\d+)\n[^\n]*\n\n")


class Habits(msgspec.Struct):
    """What callers do, as shares of their requests.

    Parameters
    ----------
    slow_body : float
        The body is sent over up to `MAX_BODY_S`.
    short_time : float
        The time limit is short.
    leaves : float
        The caller closes the connection before the answer is whole.
    large_body : float
        The body, and so the prompt of a stream, is large.
    cuts : float
        The caller closes the connection of a stream that may be resumed, and resumes.
    """

    slow_body: float = 0.2
    short_time: float = 0.05
    leaves: float = 0.05
    large_body: float = 0.15
    cuts: float = 0.3


class Callers:
    """Sends requests to routers until told to end.

    Parameters
    ----------
    addresses : list of str
        The routers' addresses.
    history : History
        Where requests are noted.
    habits : Habits
        What callers do at first.
    rng : random.Random
        Draws the requests.

    Attributes
    ----------
    habits : Habits
        What callers do for now.
    """

    def __init__(
        self,
        addresses: list[str],
        history: History,
        habits: Habits,
        rng: random.Random,
    ):
        self.habits = habits
        self._addresses = addresses
        self._history = history
        self._rng = rng
        self._numbers = itertools.count(1)

    def address(self) -> str:
        """Return the address of a router, which is drawn."""
        return self._rng.choice(self._addresses)

    def run(self, number: int, weights: dict[str, float], until: float) -> None:
        """Send requests as one caller, who keeps to one router."""
        router = number % len(self._addresses)
        host, _, port = self._addresses[router].rpartition(":")
        conn = http.client.HTTPConnection(host, int(port))
        while time.monotonic() < until:
            eventlet.sleep(self._rng.uniform(0.02, MAX_PAUSE_S))
            if self._rng.random() > KEEP_SHARE:
                conn.close()
            is_kept = conn.sock is not None
            try:
                if not is_kept:
                    conn.connect()
            except OSError:
                # The router is away; nothing was sent.
                continue
            call = self._draw_call(router, weights, is_kept)
            self._history.calls[call.name] = call
            self._send(conn, call)
            self._resume(call)
        conn.close()

    def send_held(self, router: int) -> None:
        """Send a short stream that its replica may hold back; see `Release`."""
        call = self._draw_call(router, {RESUMABLE_ROUTE: 1.0}, is_kept=False)
        call.path = f"/{RESUMABLE_ROUTE}/{call.name}/{self._rng.choice(RELEASE_EVENTS)}"
        call.body = call.body[: SMALL_BYTES[1]]
        call.deadline_s = max(DEADLINES_S)
        call.key = KEY
        call.is_held = True
        if self._send_anew(call):
            self._resume(call)

    def _resume(self, call: Call) -> None:
        """Go on with a stream that broke off, at any router, until it is whole."""
        over = call.sent + call.deadline_s
        for _ in range(MAX_RESUMPTIONS):
            is_final = call.status in FINAL or not call.resumes
            if call.route != RESUMABLE_ROUTE or (call.is_complete and is_final):
                return
            if call.has_left and self._rng.random() > RESUME_SHARE:
                return
            eventlet.sleep(self._rng.uniform(*RESUME_PAUSE_S))
            left_s = over - time.monotonic()
            if left_s < MIN_RESUME_S:
                return
            resumption = self._resumption(call, left_s)
            if self._send_anew(resumption):
                call = resumption

    def _resumption(self, call: Call, left_s: float) -> Call:
        """Return the request that goes on after another one, at any router."""
        numbers = WHOLE_EVENT.findall(call.answer) if call.status == OK else []
        return Call(
            name=f"id-{next(self._numbers)}",
            router=self._rng.randrange(len(self._addresses)),
            route=call.route,
            path=call.path,
            key=call.key,
            body=call.body,
            deadline_s=round(left_s, 3),
            is_kept=False,
            sent=time.monotonic(),
            resumes=call.name,
            after=int(numbers[-1]) if numbers else call.after,
        )

    def _send_anew(self, call: Call) -> bool:
        """Send a request on a new connection; return whether there is one."""
        host, _, port = self._addresses[call.router].rpartition(":")
        conn = http.client.HTTPConnection(host, int(port))
        try:
            conn.connect()
        except OSError:
            return False
        call.sent = time.monotonic()
        self._history.calls[call.name] = call
        self._send(conn, call)
        conn.close()
        return True

    def _draw_call(self, router: int, weights: dict[str, float], is_kept: bool) -> Call:
        rng = self._rng
        route = rng.choices(list(weights), list(weights.values()))[0]
        name = f"id-{next(self._numbers)}"
        deadline_s = rng.choice(DEADLINES_S)
        if rng.random() < self.habits.short_time:
            deadline_s = round(rng.uniform(1.0, 4.0), 3)
        return Call(
            name=name,
            router=router,
            route=route,
            path=f"/{route}/{name}/{rng.choice(EVENTS)}",
            key=GUEST_KEY if rng.random() < GUEST_SHARE else KEY,
            body=self._draw_body(name),
            deadline_s=deadline_s,
            is_kept=is_kept,
            sent=time.monotonic(),
        )

    def _draw_body(self, name: str) -> bytes:
        is_large = self._rng.random() < self.habits.large_body
        size = self._rng.randint(*(LARGE_BYTES if is_large else SMALL_BYTES))
        text = f"body of {name} ".encode()
        return (text * (size // len(text) + 1))[:size]

    def _send(self, conn: http.client.HTTPConnection, call: Call) -> None:
        limit_s = call.deadline_s + PATIENCE_S
        may_cut = call.route == RESUMABLE_ROUTE and not call.is_held
        share = max(self.habits.leaves, self.habits.cuts if may_cut else 0.0)
        leaves = self._rng.random() < share
        patience_s = self._rng.uniform(0.1, 3.0) if leaves else limit_s
        try:
            with eventlet.Timeout(min(patience_s, limit_s)):
                self._exchange(conn, call)
        except eventlet.Timeout:
            call.has_left = leaves
            call.detail = "the caller left" if leaves else "no end in time"
            conn.close()
        except http.client.IncompleteRead as exc:
            call.answer += exc.partial
            call.detail = "incomplete"
            conn.close()
        except (OSError, http.client.HTTPException) as exc:
            call.detail = repr(exc)[:80]
            conn.close()
        call.ended = time.monotonic()

    def _exchange(self, conn: http.client.HTTPConnection, call: Call) -> None:
        is_chunked = self._rng.random() < CHUNKED_SHARE
        is_slow = self._rng.random() < self.habits.slow_body
        body_s = self._rng.uniform(0.2, MAX_BODY_S) if is_slow else 0.0
        headers = {
            "Host": "demo.example",
            "Api-Key": call.key,
            "Deadline-Ms": str(round(call.deadline_s * 1e3)),
            "Request-Id": call.name,
        }
        if not is_chunked:
            headers["Content-Length"] = str(len(call.body))
        if call.route in STREAM_ROUTES:
            tokens = max(MIN_TOKENS, len(call.body) // TOKEN_BYTES)
            headers |= {"Token-Counts": f"{tokens},{events_of(call.path)}"}
            number = call.path.split("/")[2].partition("-")[2]
            headers |= {"Model": "m", "Prompt-Prefix": f"{number}:{tokens}"}
        if call.after:
            headers["Last-Event-Id"] = str(call.after)
        parts = _parts(call, body_s)
        conn.request("POST", call.path, parts, headers, encode_chunked=is_chunked)
        call.sent_whole = time.monotonic()
        answer = conn.getresponse()
        call.status = answer.status
        call.seal = answer.headers.get("Response-Seal", "")
        call.echo = answer.headers.get("Request-Id", "")
        while data := answer.read1():
            call.answer += data
        # Without a length, a close can't be told from an early end.
        call.is_complete = bool(answer.chunked) or answer.length == 0
        answer.read()


def _parts(call: Call, seconds: float) -> Iterator[bytes]:
    size = -(-len(call.body) // BODY_PARTS)
    for begin in range(0, len(call.body), size):
        eventlet.sleep(seconds / BODY_PARTS)
        call.last_sent = time.monotonic()
        yield call.body[begin : begin + size]
