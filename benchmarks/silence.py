"""Measures the time until a silent stream is suspected, and false alarms.

Eight streams run on one engine; some connections fall silent for good, and the engine
has occasional stalls and slow periods. Compared on the same generated gaps are a fixed
timeout, the stream's own history, and that history with the other streams' activity.
"""

import random

from benchmarks.figures import percentile
from boragedeck.process.membership.pulse import UpstreamActivity
from boragedeck.request.silence import GapEstimator

SEED = 9
STREAMS = 8
HOURS = 1.0
GAP_S = 0.03
FIXED_TIMEOUT_S = 1.0
STALL_EVERY_S = 20.0
STALL_S = (0.2, 1.3)
SLOW_EVERY_S = 120.0
SLOW_FOR_S = 15.0
SLOW_FACTOR = 12.0
SILENCE_EVERY_S = 30.0


def generate_outputs(seed: int) -> list[tuple[float, int, bool]]:
    """Return each output's time and stream, and whether silence follows it."""
    rng = random.Random(seed)
    outputs = []
    next_stall = rng.expovariate(1.0 / STALL_EVERY_S)
    next_silence = rng.expovariate(1.0 / SILENCE_EVERY_S)
    now = 0.0
    while now < HOURS * 3600.0:
        is_slow = now % SLOW_EVERY_S > SLOW_EVERY_S - SLOW_FOR_S
        now += GAP_S * (SLOW_FACTOR if is_slow else 1.0) * rng.uniform(0.8, 1.3)
        if now > next_stall:
            now += rng.uniform(*STALL_S)
            next_stall = now + rng.expovariate(1.0 / STALL_EVERY_S)
        silent = None
        if now > next_silence:
            silent = rng.randrange(STREAMS)
            next_silence = now + rng.expovariate(1.0 / SILENCE_EVERY_S)
        outputs += [
            (now + index * 1e-4, index, index == silent) for index in range(STREAMS)
        ]
    return outputs


class _FixedTimeout:
    def note(self, now: float) -> None:
        pass

    def suspect_after_s(self) -> float:
        return FIXED_TIMEOUT_S


def replay(outputs, make_stream) -> tuple[list[float], int]:
    """Return the times until silences were suspected, and the count of false alarms."""
    streams = [make_stream() for _ in range(STREAMS)]
    last_output_at: dict[int, float] = {}
    silent: dict[int, float] = {}
    waits, false_alarms = [], 0
    for now, index, falls_silent in outputs:
        for other, since in list(silent.items()):
            limit = streams[other].suspect_after_s()
            if now - since >= limit:
                waits.append(limit)
                del silent[other]
                streams[other] = make_stream()
                last_output_at.pop(other, None)
        if index in silent:
            continue
        if (
            index in last_output_at
            and now - last_output_at[index] > streams[index].suspect_after_s()
        ):
            false_alarms += 1
        streams[index].note(now)
        last_output_at[index] = now
        if falls_silent:
            silent[index] = now
    return waits, false_alarms


def main() -> None:
    """Print a line for each detector."""
    outputs = generate_outputs(SEED)
    activity = UpstreamActivity()

    def make_following_stream() -> GapEstimator:
        stream = GapEstimator()
        stream.compare_with(activity)
        return stream

    detectors = {
        "fixed": _FixedTimeout,
        "own history": GapEstimator,
        "with the others": make_following_stream,
    }
    for name, make_stream in detectors.items():
        waits, false_alarms = replay(outputs, make_stream)
        rate = false_alarms / (STREAMS * HOURS)
        print(
            f"{name:16} suspected after p50 {percentile(waits, 0.5):5.2f}"
            f" p95 {percentile(waits, 0.95):5.2f} s of {len(waits)} silences"
            f"  false alarms {rate:7.1f} a stream and hour"
        )


if __name__ == "__main__":
    main()
