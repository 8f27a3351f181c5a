"""The plays of `scarce_answers`: how scarce room is, and the sizes of requests."""

import random

import msgspec

__all__ = ["PLAYS", "Play", "Size", "document"]

LIMIT_MS = 25_000
GOAL_MS = 4_500
KV_TOKENS = 88_000
SLOTS = 64
OUTPUT_TOKENS = 1_300
LONG_TOKENS = 5_700, 10_700
SHORT_TOKENS = 500, 2_300
LARGE_BYTES = 8_000, 100_000
SMALL_BYTES = 2_000, 2_300


class Size(msgspec.Struct, frozen=True):
    """A kind of request.

    Parameters
    ----------
    name : str
        Its name.
    tokens : tuple of int
        The smallest and the largest prompt, in tokens.
    body_bytes : tuple of int
        The smallest and the largest body.
    """

    name: str
    tokens: tuple[int, int]
    body_bytes: tuple[int, int]

    def draw(self, rng: random.Random) -> tuple[int, int]:
        """Return the tokens of a prompt and the bytes of its body."""
        return rng.randint(*self.tokens), rng.randint(*self.body_bytes)


MIXED = Size("draft", LONG_TOKENS, LARGE_BYTES), Size("note", SHORT_TOKENS, SMALL_BYTES)
EQUAL = Size("draft", LONG_TOKENS, LARGE_BYTES), Size("note", LONG_TOKENS, SMALL_BYTES)
SWAPPED = (
    Size("draft", SHORT_TOKENS, LARGE_BYTES),
    Size("note", LONG_TOKENS, SMALL_BYTES),
)
BODIES = tuple(
    Size(f"{size // 1000} KB", SHORT_TOKENS, (size, size))
    for size in (2_000, 8_000, 64_000, 100_000, 200_000)
)


class Play(msgspec.Struct, frozen=True):
    """One play.

    Parameters
    ----------
    sizes : tuple of Size
        The kinds of request, which are sent equally often.
    replicas : int
        Number of replicas.
    slots : int
        How many requests an engine serves at once, by the configuration.
    memory_tokens : int
        An engine's memory by the configuration.
    own_tokens : int
        A replica's real memory; less than the configured one lets requests wait there.
    has_habits : bool
        Whether callers read slowly, expect 100, or send a request behind another.
    receive_bytes : int
        Size of the replicas' receive buffers; 0 for the usual one.
    """

    sizes: tuple[Size, ...]
    replicas: int = 2
    slots: int = SLOTS
    memory_tokens: int = KV_TOKENS
    own_tokens: int = KV_TOKENS
    has_habits: bool = False
    receive_bytes: int = 0


PLAYS = {
    "slots": Play(MIXED, slots=4),
    "mixed": Play(MIXED, replicas=1),
    "pair": Play(MIXED),
    "equal": Play(EQUAL, replicas=1),
    "swapped": Play(SWAPPED, replicas=1),
    "replica": Play(EQUAL, own_tokens=44_000),
    "queued": Play(EQUAL, memory_tokens=10 * KV_TOKENS),
    "room": Play(BODIES, replicas=10),
    "habits": Play(BODIES, replicas=10, has_habits=True),
    "buffers": Play(BODIES, replicas=10, has_habits=True, receive_bytes=4096),
}


def document(version: int, play: Play) -> dict:
    """Return the configuration of a play; its versions differ by a route."""
    engine = {"slots": play.slots, "kvCapacity": play.memory_tokens, "backups": True}
    engine["models"] = [{"name": "m"}]
    return {
        "version": version,
        "routes": [_route("stream"), _route(f"added-{version}")],
        "services": [{"name": "engines", "engine": engine}],
        "limits": {"idleTimeoutMs": 15_000},
        "tenants": [{"name": "demo", "apiKeys": ["demo-key"]}],
    }


def _route(name: str) -> dict:
    return {
        "name": name,
        "host": "demo.example",
        "prefix": f"/{name}/",
        "kind": "streaming",
        "timeoutMs": LIMIT_MS,
        "latencyGoalMs": GOAL_MS,
        "service": "engines",
        "maxAttempts": 5,
        "resumable": True,
        "targetGapMs": 700,
    }
