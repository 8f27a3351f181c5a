"""Strategies for values and bytes that a faulty or hostile sender may send."""

import msgspec
from hypothesis import strategies as st

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=20)
)
JSON_VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
MSGPACK_VALUES = st.recursive(
    SCALARS | st.binary(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
DEEPLY_NESTED = (
    b"\x91" * 10_000,
    b"\x81\xa1a" * 10_000,
    b"[" * 10_000,
    b'{"a":' * 10_000,
)

DEEPLY_NESTED_BYTES = st.integers(0, len(DEEPLY_NESTED) - 1).map(
    DEEPLY_NESTED.__getitem__
)


def broken(valid):
    """Return a strategy that truncates, changes or extends valid bytes."""

    def change(parts):
        at, insert, cut = parts
        at = at % (len(valid) + 1)
        return valid[:at] + insert + valid[at + cut :]

    parts = st.tuples(st.integers(0, 10_000), st.binary(max_size=4), st.integers(0, 8))
    return parts.map(change)


def bad_msgpack(*valid):
    """Return a strategy for malformed input of a MessagePack decoder."""
    return _malformed(MSGPACK_VALUES.map(msgspec.msgpack.encode), valid)


def bad_json(*valid):
    """Return a strategy for malformed input of a JSON decoder."""
    return _malformed(JSON_VALUES.map(msgspec.json.encode), valid)


def _malformed(encoded_values, valid):
    return st.one_of(
        st.binary(max_size=200),
        encoded_values,
        DEEPLY_NESTED_BYTES,
        *(broken(one) for one in valid),
    )
