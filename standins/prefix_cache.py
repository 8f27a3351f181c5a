"""Prefix cache of a stand-in engine: blocks shared by runs with equal prefixes."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Sequence
from typing import Literal

import msgspec
import xxhash

__all__ = ["BLOCK_TOKENS", "Block", "CacheEvent", "PrefixCache", "split_into_blocks"]

BLOCK_TOKENS = 16
MAX_EVENTS = 10_000


class Block(msgspec.Struct, frozen=True):
    """A full block of tokens, identified together with all tokens before it.

    Parameters
    ----------
    hash : int
        Identifies the prefix up to the end of the block.
    parent : int or None
        The hash of the preceding block; None for the first block.
    tokens : tuple of int
        The tokens of this block.
    """

    hash: int
    parent: int | None
    tokens: tuple[int, ...]


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of the cache, in the format that engines publish."""

    seq: int
    type: Literal["stored", "removed"]
    block_hashes: list[int]
    parent_block_hash: int | None = None
    token_ids: list[int] = []
    block_size: int = BLOCK_TOKENS


def split_into_blocks(
    version: str, tokens: Sequence[int], *, parent: Block | None = None
) -> list[Block]:
    """Split tokens into full blocks.

    Parameters
    ----------
    version : str
        The model version; different versions share no blocks.
    tokens : sequence of int
        The tokens; those after the last full block are left out.
    parent : Block, optional
        The block that precedes the tokens.
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
    """A bounded number of blocks; unused blocks are evicted, the oldest first.

    Parameters
    ----------
    capacity : int
        Number of blocks.
    now : callable
        Returns the time in seconds, used as the timestamp of events.
    """

    def __init__(self, capacity: int, now: Callable[[], float]):
        self.capacity = capacity
        self._now = now
        self._use_counts: Counter[int] = Counter()
        self._idle_hashes: OrderedDict[int, None] = OrderedDict()
        self._partial_count = 0
        self._seq = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)

    @property
    def used_blocks(self) -> int:
        """Number of blocks that runs hold, including partial ones."""
        return len(self._use_counts) + self._partial_count

    def count_cached(self, blocks: Sequence[Block]) -> int:
        """Return how many of the leading blocks are in the cache."""
        count = 0
        for block in blocks:
            if (
                block.hash not in self._use_counts
                and block.hash not in self._idle_hashes
            ):
                break
            count += 1
        return count

    def hold(self, block: Block) -> bool:
        """Hold a block for a run; return False if the cache is full."""
        if block.hash in self._use_counts:
            self._use_counts[block.hash] += 1
            return True
        if block.hash in self._idle_hashes:
            del self._idle_hashes[block.hash]
        elif self._make_room():
            self._record("stored", block.hash, block.parent, block.tokens)
        else:
            return False
        self._use_counts[block.hash] = 1
        return True

    def release(self, block: Block) -> None:
        """Release a block, which stays cached until its room is needed."""
        self._use_counts[block.hash] -= 1
        if self._use_counts[block.hash] == 0:
            del self._use_counts[block.hash]
            self._idle_hashes[block.hash] = None

    def hold_partial(self) -> bool:
        """Reserve room for a run's partial last block; return False if full."""
        if not self._make_room():
            return False
        self._partial_count += 1
        return True

    def release_partial(self) -> None:
        """Release the room of a partial block."""
        self._partial_count -= 1

    def events(self, after: int, *, until: float) -> list[CacheEvent]:
        """Return the events after a sequence number, up to a given time.

        Parameters
        ----------
        after : int
            The last sequence number that the caller has received.
        until : float
            The latest time of the events, on the clock of `now`.
        """
        found = []
        for stamp, event in self._events:
            if event.seq > after and stamp <= until:
                found.append(event)
        return found

    def _make_room(self) -> bool:
        if self.used_blocks + len(self._idle_hashes) < self.capacity:
            return True
        if not self._idle_hashes:
            return False
        oldest, _ = self._idle_hashes.popitem(last=False)
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
