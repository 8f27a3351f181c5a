"""Memory of a stand-in engine: blocks of tokens, shared between equal prefixes."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Sequence
from typing import Literal

import msgspec
import xxhash

__all__ = ["BLOCK_TOKENS", "Block", "CacheEvent", "PrefixCache", "blocks_of"]

BLOCK_TOKENS = 16
MAX_EVENTS = 10_000


class Block(msgspec.Struct, frozen=True):
    """A full block of tokens behind a prefix.

    Parameters
    ----------
    hash : int
        Identifies the prefix up to the end of the block.
    parent : int or None
        The hash of the block before; None at the start.
    tokens : tuple of int
        The block's own tokens.
    """

    hash: int
    parent: int | None
    tokens: tuple[int, ...]


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the cache, as engines publish it."""

    seq: int
    type: Literal["stored", "removed"]
    block_hashes: list[int]
    parent_block_hash: int | None = None
    token_ids: list[int] = []
    block_size: int = BLOCK_TOKENS


def blocks_of(
    version: str, tokens: Sequence[int], *, parent: Block | None = None
) -> list[Block]:
    """Return the full blocks of some tokens.

    Parameters
    ----------
    version : str
        The model version; versions share no blocks.
    tokens : sequence of int
        The tokens; those behind the last full block are left out.
    parent : Block, optional
        The block before the tokens.
    """
    blocks = []
    for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
        own = tuple(tokens[end - BLOCK_TOKENS : end])
        parent_hash = None if parent is None else parent.hash
        digest = xxhash.xxh3_64_intdigest(f"{version}:{parent_hash}:{own}".encode())
        parent = Block(digest, parent_hash, own)
        blocks.append(parent)
    return blocks


class PrefixCache:
    """A bounded number of blocks; those in use stay, the others go by age.

    Parameters
    ----------
    capacity : int
        Number of blocks.
    now : callable
        Returns the time in seconds, which events are stamped with.
    """

    def __init__(self, capacity: int, now: Callable[[], float]):
        self.capacity = capacity
        self._now = now
        self._in_use: Counter[int] = Counter()
        self._idle: OrderedDict[int, None] = OrderedDict()
        self._private = 0
        self._seq = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)

    @property
    def used(self) -> int:
        """Number of blocks that runs hold."""
        return len(self._in_use) + self._private

    def matched(self, blocks: Sequence[Block]) -> int:
        """Return how many leading blocks are in the cache."""
        count = 0
        for block in blocks:
            if block.hash not in self._in_use and block.hash not in self._idle:
                break
            count += 1
        return count

    def hold(self, block: Block) -> bool:
        """Keep a block for a run; False where there is no room."""
        if block.hash in self._in_use:
            self._in_use[block.hash] += 1
            return True
        if block.hash in self._idle:
            del self._idle[block.hash]
        elif self._make_room():
            self._record("stored", block.hash, block.parent, block.tokens)
        else:
            return False
        self._in_use[block.hash] = 1
        return True

    def release(self, block: Block) -> None:
        """Give a block back, which stays in the cache until its room is needed."""
        self._in_use[block.hash] -= 1
        if self._in_use[block.hash] == 0:
            del self._in_use[block.hash]
            self._idle[block.hash] = None

    def hold_private(self) -> bool:
        """Keep room for a run's last, unfilled block; False where there is none."""
        if not self._make_room():
            return False
        self._private += 1
        return True

    def release_private(self) -> None:
        """Give the room of an unfilled block back."""
        self._private -= 1

    def events(self, after: int, *, until: float) -> list[CacheEvent]:
        """Return the events behind a sequence number that are old enough.

        Parameters
        ----------
        after : int
            The last sequence number that the caller has.
        until : float
            The latest time of the events, on the clock given.
        """
        found = []
        for stamp, event in self._events:
            if event.seq > after and stamp <= until:
                found.append(event)
        return found

    def _make_room(self) -> bool:
        if self.used + len(self._idle) < self.capacity:
            return True
        if not self._idle:
            return False
        oldest, _ = self._idle.popitem(last=False)
        self._record("removed", oldest, None, ())
        return True

    def _record(
        self,
        kind: Literal["stored", "removed"],
        block_hash: int,
        parent: int | None,
        tokens: Sequence[int],
    ) -> None:
        self._seq += 1
        event = CacheEvent(self._seq, kind, [block_hash], parent, list(tokens))
        self._events.append((self._now(), event))
