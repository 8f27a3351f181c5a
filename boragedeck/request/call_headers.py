"""Filters and adds headers of requests to services and of their responses."""

from collections.abc import Iterable

from boragedeck.ids import OrganisationName

__all__ = ["is_valid_header", "request_headers", "response_headers"]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
REPLACED_HEADERS = frozenset(
    {
        "authorization",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "x-organisation",
        "x-request-id",
    }
)
"""Headers that the router replaces; the caller's API key is not passed on."""

Headers = tuple[tuple[str, str], ...]


def is_valid_header(name: str, value: str) -> bool:
    """Return whether a header can be sent without escaping."""
    is_name = name.isascii() and name.replace("-", "").replace("_", "").isalnum()
    return is_name and value.isprintable() and value.isascii()


def request_headers(
    headers: Iterable[tuple[str, str]], organisation: OrganisationName, key: str
) -> Headers:
    """Return the headers that are sent to a service.

    Parameters
    ----------
    headers : iterable of (str, str)
        The caller's headers.
    organisation : OrganisationName
        The caller's organisation.
    key : str
        The request's id.
    """
    headers = list(headers)
    dropped_names = HOP_BY_HOP | REPLACED_HEADERS | _connection_options(headers)
    kept = [
        (name, value) for name, value in headers if name.lower() not in dropped_names
    ]
    added = [
        ("X-Organisation", organisation),
        ("Idempotency-Key", key),
        ("X-Request-Id", key),
        ("Connection", "close"),
    ]
    return (*kept, *added)


def response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a service's response that are passed to the caller."""
    headers = list(headers)
    dropped_names = HOP_BY_HOP | {"content-length", "x-request-id"}
    dropped_names |= _connection_options(headers)
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped_names
    )


def _connection_options(headers: list[tuple[str, str]]) -> set[str]:
    """Return the header names that a ``Connection`` header lists as hop-by-hop."""
    return {
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    }
