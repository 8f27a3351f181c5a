"""What a decoder may raise for bytes from outside."""

import msgspec

__all__ = ["DECODE_ERRORS"]

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Errors of msgspec for bytes that make no sense, deep nesting among them."""
