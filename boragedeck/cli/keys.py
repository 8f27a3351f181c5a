"""Command that hashes API keys for the tables."""

import hashlib
import secrets
import sys
from typing import Annotated

import msgspec
import typer

from boragedeck.cli.access import OutputOption
from boragedeck.cli.console import Console, ExitCode, Output

__all__ = ["hash_key"]

KEY_BYTES = 32
KEY_PREFIX = "bd-"
MAX_KEY_LENGTH = 1024


class KeyReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """A key's hash, and the key itself if the command generated it."""

    key_sha256: str
    key: str = ""


def hash_key(
    new: Annotated[
        bool, typer.Option("--new", help="Generate a key instead of reading one.")
    ] = False,
    output: OutputOption = Output.TABLE,
) -> None:
    """Print the SHA-256 of an API key, for an organisation's key_sha256.

    The key is read from standard input. With --new it is generated, and printed
    once.
    """
    console = Console(output)
    if new:
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
        console.text(f"key         {key}")
        console.text(f"key_sha256  {_sha256_hex(key)}")
        console.json(KeyReport(_sha256_hex(key), key))
        return
    if sys.stdin.isatty():
        console.note("Type the key, then press Enter:")
    key = sys.stdin.readline(MAX_KEY_LENGTH + 2).strip()
    if not key or len(key) > MAX_KEY_LENGTH:
        text = (
            f"standard input got {len(key)} characters; expected 1 to {MAX_KEY_LENGTH}"
        )
        console.fail(ExitCode.USAGE, text)
    console.text(_sha256_hex(key))
    console.json(KeyReport(_sha256_hex(key)))


def _sha256_hex(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
