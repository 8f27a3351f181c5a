"""Hints about which upstreams have a prompt prefix in their cache."""

from collections import OrderedDict

import msgspec

from boragedeck.process.placing.upstreams import UpstreamKey

__all__ = ["CacheHints"]

MAX_HINTS = 20_000
HINT_TTL_S = 180.0
MAX_TRUST = 0.8
"""Expected share of the hinted tokens that are still cached, for a new hint."""


class _HintKey(msgspec.Struct, frozen=True):
    prefix_hash: int
    upstream: UpstreamKey


class _Hint(msgspec.Struct, frozen=True):
    at: float
    tokens: int


class CacheHints:
    """Records which upstreams recently prefilled which prefixes.

    Notes
    -----
    A hint may be wrong, since the block may have been evicted, and hints may be
    missing, since another router may have prefilled the prefix. A hint only lowers a
    cost and decides nothing by itself. State: at most `MAX_HINTS` hints, whose trust
    decreases with age and is zero after `HINT_TTL_S`.
    """

    def __init__(self):
        self._hints: OrderedDict[_HintKey, _Hint] = OrderedDict()

    def stored(
        self, prefix_hash: int, upstream: UpstreamKey, tokens: int, now: float
    ) -> None:
        """Record that an upstream has prefilled a prompt with this prefix."""
        key = _HintKey(prefix_hash, upstream)
        self._hints[key] = _Hint(now, tokens)
        self._hints.move_to_end(key)
        if len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)

    def removed(self, prefix_hash: int, upstream: UpstreamKey) -> None:
        """Record that an upstream has evicted a prefix."""
        self._hints.pop(_HintKey(prefix_hash, upstream), None)

    def forget(self, upstream: UpstreamKey) -> None:
        """Drop all hints about an upstream that has restarted."""
        for key in [key for key in self._hints if key.upstream == upstream]:
            del self._hints[key]

    def cached_tokens(
        self, prefix_hash: int, upstream: UpstreamKey, tokens: int, now: float
    ) -> float:
        """Return the expected number of a prompt's tokens in an upstream's cache."""
        hint = self._hints.get(_HintKey(prefix_hash, upstream))
        if hint is None:
            return 0.0
        trust = MAX_TRUST * (1.0 - (now - hint.at) / HINT_TTL_S)
        return max(0.0, trust) * min(tokens, hint.tokens)
