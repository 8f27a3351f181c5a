"""Shows that an answer stays complete if its engine and router are killed."""

import http.client
import itertools
import signal
import sys
import time

from scripts.caller import Caller, CallerError, Stream
from scripts.engine_metrics import busy_engine
from scripts.local_cluster import ClusterOptions, LocalCluster
from standins.tokens import find_break

__all__ = ["main"]

TOKENS = 160
KILL_ENGINE_AT_TOKEN = 40
KILL_ROUTER_AT_TOKEN = 90
REATTACH_TIMEOUT_S = 8.0
ORDER = (
    "Kindergarten Mavrica, Ljubljana: please refill 12 litres of bubble solution "
    "for Thursday, and 40 small wands. The children ran out during the festival."
)
RECIPE = (
    "Batch sheet 114, frankincense and rose: 400 g hojari resin, 60 g makko powder, "
    "12 ml rose oil. Scale it to 25 kg and write the batch note for Salalah."
)


class Answer:
    """An answer as the caller receives it, over all its connections."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.last_event_id = ""
        self.is_done = False
        self.arrivals: list[float] = []

    @property
    def tokens(self) -> int:
        """Number of tokens received."""
        return len("".join(self.texts).split())

    def read(self, stream: Stream, until: int = sys.maxsize) -> None:
        """Read events until the answer ends or has `until` tokens."""
        for event in stream:
            text = event.text()
            if text:
                self.texts.append(text)
                self.arrivals.append(time.monotonic())
                print(text, end="", flush=True)
            if stream.last_event_id:
                self.last_event_id = stream.last_event_id
            self.is_done = stream.is_done
            if self.is_done or self.tokens >= until:
                return

    def longest_gap_s(self, after: int) -> float:
        """Return the longest wait between two events, in seconds.

        Parameters
        ----------
        after : int
            Number of events after which waits count.
        """
        times = self.arrivals[max(0, after - 1) :]
        return max((b - a for a, b in itertools.pairwise(times)), default=0)


def main() -> None:
    """Run the demonstration; exit with 1 if an answer is incomplete or damaged."""
    started = time.monotonic()
    cluster = LocalCluster(ClusterOptions(token_interval_ms=15.0))
    try:
        cluster.start()
        took_s = time.monotonic() - started
        print(f"Started 3 routers, 6 engines and 3 services in {took_s:.1f} s.")
        print(f"Logs are in {cluster.log_dir}.")
        results = [
            _run_answer(cluster, "orders", ORDER, kill_router=True),
            _run_answer(cluster, "recipes", RECIPE, kill_router=False),
        ]
    finally:
        cluster.stop()
    sys.exit(0 if all(results) else 1)


def _run_answer(
    cluster: LocalCluster, route: str, text: str, *, kill_router: bool
) -> bool:
    print(f"\n--- {route}: {text}\n")
    key = cluster.api_keys["mehurcek"]
    router = cluster.routers[0]
    answer = Answer()
    stream = Caller(router.url, key).chat(route, text, TOKENS)
    answer.read(stream, KILL_ENGINE_AT_TOKEN)
    engine = busy_engine(cluster.engines)
    print(f"\n\n*** killing the engine that runs the answer (pid {engine.pid})\n")
    engine.stop()
    cluster.engines.remove(engine)
    at = len(answer.arrivals)
    answer.read(stream, KILL_ROUTER_AT_TOKEN)
    print(f"\n\n*** longest wait since then: {answer.longest_gap_s(at) * 1e3:.0f} ms")
    if kill_router:
        print(f"*** killing the router that serves the caller (pid {router.pid})\n")
        at = len(answer.arrivals)
        router.signal(signal.SIGKILL)
        _read_until_disconnected(answer, stream)
        stream = _reattach(cluster, answer, stream.answer_id, key)
        cluster.routers.remove(router)
        router.stop()
        answer.read(stream)
        print(
            f"\n\n*** longest wait since then: {answer.longest_gap_s(at) * 1e3:.0f} ms"
        )
    else:
        answer.read(stream)
    return _check_answer(answer)


def _read_until_disconnected(answer: Answer, stream: Stream) -> None:
    try:
        answer.read(stream)
    except (OSError, http.client.HTTPException):
        pass
    stream.close()


def _reattach(cluster: LocalCluster, answer: Answer, answer_id: str, key: str):
    until = time.monotonic() + REATTACH_TIMEOUT_S
    router = cluster.routers[1]
    while True:
        try:
            caller = Caller(router.url, key)
            return caller.reattach(answer_id, answer.last_event_id)
        except (OSError, CallerError) as exc:
            if time.monotonic() > until:
                raise RuntimeError(f"can't reattach to the answer: {exc}") from exc
            time.sleep(0.1)


def _check_answer(answer: Answer) -> bool:
    text = "".join(answer.texts)
    broken = find_break(text)
    is_intact = answer.is_done and answer.tokens == TOKENS and broken is None
    if is_intact:
        print(f"\n*** complete: {TOKENS} tokens, none missing or repeated")
    else:
        print(
            f"\n*** INCOMPLETE OR DAMAGED: {answer.tokens} of {TOKENS} tokens, "
            f"done={answer.is_done}, chain broken at {broken}"
        )
    return is_intact


if __name__ == "__main__":
    main()
