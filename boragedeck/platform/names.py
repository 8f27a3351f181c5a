"""Names of headers and paths on the wire."""

__all__ = [
    "API_KEY",
    "BACKUP",
    "COPY_SOURCE",
    "DEADLINE_MS",
    "EXPECTED_REPLICA",
    "HOP_BY_HOP",
    "LAST_EVENT_ID",
    "LEAVING",
    "LENGTH_HINT",
    "NOT_RUN",
    "ORGANISATION",
    "PROMPT_PARTS",
    "READY_PATH",
    "REJECTION_LIMIT",
    "REPLICA_ID",
    "REPORT_PATH",
    "REQUEST_ID",
    "REQUEST_PRIORITY",
    "RATE_LIMIT",
    "RETRY_AFTER",
    "SEAL",
    "SET_BY_ROUTER",
    "TOKEN_COUNTS",
]

API_KEY = b"Api-Key"
BACKUP = b"Kv-Backup"
COPY_SOURCE = b"Kv-From"
DEADLINE_MS = b"Deadline-Ms"
"""Time that the sender still waits, not a point in time."""
EXPECTED_REPLICA = b"Expect-Instance"
LAST_EVENT_ID = b"Last-Event-Id"
LEAVING = b"Server-Leaving"
"""In answers, of any status, of a replica that accepts no further requests."""
LENGTH_HINT = b"Length-Hint"
NOT_RUN = b"Not-Executed"
ORGANISATION = b"Tenant"
PROMPT_PARTS = b"Prompt-Prefix"
"""The parts of a prompt in order, as ID:TOKENS, separated by commas."""
READY_PATH = b"/boragedeck/readyz"
RATE_LIMIT = b"Server-Limit"
"""In answers, of any status, of a replica that is overloaded: the requests per second
that it takes from all routers together."""
REJECTION_LIMIT = b"Server-Brittle"
"""In answers, of any status, of a replica that falls over if it has to reject more
requests than this in a second."""
REPLICA_ID = b"Instance-Id"
REPORT_PATH = b"/boragedeck/report"
REQUEST_ID = b"Request-Id"
REQUEST_PRIORITY = b"Request-Priority"
"""In requests to engines: 0 to 9, 0 is the most urgent; 5 if absent."""
RETRY_AFTER = b"Retry-After"
SEAL = b"Response-Seal"
"""The replica's proof that it ran the request."""
TOKEN_COUNTS = b"Token-Counts"

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to one connection only, so they aren't forwarded."""

SET_BY_ROUTER = frozenset(
    {
        b"api-key",
        b"deadline-ms",
        b"expect-instance",
        b"expect-version",
        b"hold",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
        b"last-event-id",
        b"pin-ms",
        b"request-priority",
        b"tenant",
    }
)
"""Headers of a caller that the router replaces or drops."""
