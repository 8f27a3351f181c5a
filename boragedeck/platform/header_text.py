"""Texts of the configuration and of entries, as values of headers."""

__all__ = ["check_header_text", "decode_header_text", "encode_header_text"]

ENCODING = "utf-8"
FIRST_PRINTABLE = 0x20
CONTROLS_FROM, CONTROLS_TO = 0x7F, 0x9F
"""Code points of DEL and of the second block of control characters."""


def check_header_text(text: str, what: str) -> str:
    """Return a text that can be sent as the value of a header.

    Parameters
    ----------
    text : str
        The text.
    what : str
        What it is, for the error.

    Raises
    ------
    ValueError
        If the text has control characters, lone surrogates, or blanks at its ends.
    """
    has_controls = any(_is_control(ord(char)) for char in text)
    if has_controls or text != text.strip(" "):
        raise ValueError(
            f"{what} got {text!r}; expected no control characters and no blanks at"
            " the ends"
        )
    try:
        text.encode(ENCODING)
    except UnicodeEncodeError as exc:
        raise ValueError(f"{what} got {text!r}; expected valid Unicode") from exc
    return text


def encode_header_text(text: str) -> bytes:
    """Return the bytes of a text that `check_header_text` has accepted."""
    return text.encode(ENCODING)


def decode_header_text(value: bytes) -> str | None:
    """Return the text of a header; None if it isn't one that could be configured."""
    try:
        return value.decode(ENCODING)
    except UnicodeDecodeError:
        # No text of the configuration or of an entry has these bytes.
        return None


def _is_control(code: int) -> bool:
    return code < FIRST_PRINTABLE or CONTROLS_FROM <= code <= CONTROLS_TO
