"""Answers operators who ask where a request would go, beside the metrics."""

from collections.abc import Callable

import msgspec

from boragedeck.connection.edge import read_body
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import RefusedError
from boragedeck.platform.callers import decode_request, described_request
from boragedeck.request.explain import explain
from boragedeck.request.explanation import EXPLAIN_PATH, ExplainQuery
from boragedeck.request.relay_components import RelayComponents

__all__ = ["make_explain_app"]

MAX_QUERY_BYTES = 64 * 1024
JSON_HEADERS = [("Content-Type", "application/json")]


def make_explain_app(
    parts: RelayComponents, router: str, metrics_app: Callable
) -> Callable:
    """Return the WSGI application of the operators' address.

    Parameters
    ----------
    parts : RelayComponents
        The components of the process that relaying uses.
    router : str
        The id of this router.
    metrics_app : callable
        Answers all other paths.
    """

    def answer(environ, start_response):
        if environ["PATH_INFO"] != EXPLAIN_PATH:
            return metrics_app(environ, start_response)
        query = _read_query(environ)
        if query is None:
            start_response("400 Bad Request", [("Content-Type", "text/plain")])
            return [b"expected a POST with a request as JSON\n"]
        raw = described_request(query, parts.timers.now())
        explanation = explain(parts, router, decode_request(raw))
        start_response("200 OK", JSON_HEADERS)
        return [msgspec.json.encode(explanation)]

    return answer


def _read_query(environ: dict) -> ExplainQuery | None:
    length = environ.get("CONTENT_LENGTH") or ""
    is_valid = length.isdigit() and int(length) <= MAX_QUERY_BYTES
    if environ["REQUEST_METHOD"] != "POST" or not is_valid:
        return None
    try:
        return msgspec.json.decode(read_body(environ), type=ExplainQuery)
    except (RefusedError, *DECODE_ERRORS):
        # The body is cut off or too slow, or no such query.
        return None
