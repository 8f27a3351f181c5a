"""Tokens of the stand-in engine, each computed from the previous one.

The text of token ``i`` is ``"i-xxxxxxxx "``, where ``x`` is the start of the SHA-256
of the previous ``x`` and ``i``. A client that reads an answer can therefore detect
tokens that are missing, repeated or from another generation.
"""

import hashlib
import random
from collections.abc import Sequence

import xxhash

__all__ = [
    "find_break",
    "contains",
    "first_token",
    "is_generated",
    "next_token",
    "position",
    "prompt_ids",
    "text",
]

GENERATED_FLAG = 1 << 52
POSITION_SHIFT = 32
POSITION_MASK = (1 << 20) - 1
DIGEST_MASK = (1 << 32) - 1
PROMPT_MASK = (1 << 24) - 1


def first_token(rng: random.Random) -> int:
    """Return the first token of a new generation, chosen at random."""
    return GENERATED_FLAG | rng.getrandbits(32)


def next_token(token: int) -> int:
    """Return the token that follows a generated token."""
    number = position(token) + 1
    digest = hashlib.sha256(b"%08x:%d" % (token & DIGEST_MASK, number)).digest()
    return GENERATED_FLAG | number << POSITION_SHIFT | int.from_bytes(digest[:4], "big")


def is_generated(token: int) -> bool:
    """Return whether a token was generated, as opposed to part of a prompt."""
    return token >= GENERATED_FLAG


def position(token: int) -> int:
    """Return the position of a generated token in its answer."""
    return token >> POSITION_SHIFT & POSITION_MASK


def text(token: int) -> str:
    """Return the text of a generated token."""
    return f"{position(token)}-{token & DIGEST_MASK:08x} "


def prompt_ids(prompt: str) -> list[int]:
    """Return the tokens of a prompt's text, one per word."""
    return [
        xxhash.xxh32_intdigest(word.encode()) & PROMPT_MASK for word in prompt.split()
    ]


def contains(tokens: Sequence[int], part: Sequence[int]) -> bool:
    """Return whether `part` occurs in `tokens` as a contiguous sequence."""
    size = len(part)
    starts = range(len(tokens) - size + 1)
    return any(list(tokens[start : start + size]) == list(part) for start in starts)


def find_break(answer: str) -> int | None:
    """Return the position of the first wrong token; None if all follow correctly.

    Parameters
    ----------
    answer : str
        The text of an answer, starting with its first token.
    """
    previous = None
    for number, word in enumerate(answer.split()):
        if previous is not None and word != text(next_token(previous)).strip():
            return number
        head, _, digest = word.partition("-")
        if head != str(number) or len(digest) != 8:
            return number
        previous = GENERATED_FLAG | number << POSITION_SHIFT | int(digest, 16)
    return None
