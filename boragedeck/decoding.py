"""Errors that a decoder may raise for input from other processes."""

import msgspec

__all__ = ["DECODE_ERRORS"]

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Errors of msgspec for invalid input, which includes too deep nesting."""
