"""Changes of the operators' configuration that `whole_answers` makes under requests."""

import enum

__all__ = ["CALLS", "DENIALS", "ENGINES", "NEW_VERSION", "SPARES", "Change", "changed"]

ENGINES = "engines"
SPARES = "spares"
CALLS = "calls"
NEW_VERSION = "v2"
HOST = "demo.example"
KEY = "demo-key"
TIMEOUT_MS = 12_000
SHORT_TIMEOUT_MS = 2_500
SHORT_IDLE_MS = 300


class Change(enum.Enum):
    """What is changed while requests run."""

    NONE = "nothing"
    IDLE = "idle timeout lowered"
    TIMEOUT = "timeouts of routes lowered"
    ADDED = "route added"
    REMOVED = "routes removed"
    MOVED = "routes moved to other services"
    KEY_ADDED = "tenant added"
    KEY_REVOKED = "key revoked"
    LIMITS = "limits of callers lowered"
    ATTEMPTS = "attempts and resumability changed"
    WEIGHTS = "weights of routes changed"
    ROLLOUT = "rollout ordered"
    SETTINGS = "settings changed, SIGHUP"


DENIALS = {
    Change.REMOVED: {404},
    Change.KEY_REVOKED: {401},
    Change.LIMITS: {408, 413, 431},
}
"""The answers by which a changed table may refuse a request."""


def changed(version: int, change: Change) -> dict:
    """Return the configuration after a change.

    Parameters
    ----------
    version : int
        Its version.
    change : Change
        The change; the first configuration is that of `Change.NONE`.
    """
    cfg = _first(version)
    match change:
        case Change.IDLE:
            cfg["limits"]["idleTimeoutMs"] = SHORT_IDLE_MS
        case Change.TIMEOUT:
            for route in cfg["routes"]:
                route["timeoutMs"] = SHORT_TIMEOUT_MS
        case Change.ADDED:
            cfg["routes"].append(_route("added", "idempotent", CALLS))
        case Change.REMOVED:
            cfg["routes"] = [_route("kept", "idempotent", CALLS)]
        case Change.MOVED:
            for route in cfg["routes"]:
                route["service"] = SPARES if route["service"] == ENGINES else "others"
        case Change.KEY_ADDED:
            cfg["tenants"].append({"name": "new", "apiKeys": ["new-key"]})
        case Change.KEY_REVOKED:
            cfg["tenants"] = [{"name": "demo", "apiKeys": ["new-key"]}]
        case Change.LIMITS:
            limits = {"maxHeaderBytes": 600, "maxBodyBytes": 64}
            cfg["limits"] |= limits | {"headerTimeoutMs": 500}
        case Change.ATTEMPTS:
            for route in cfg["routes"]:
                route["maxAttempts"] = 6 - route["maxAttempts"]
                route["resumable"] = not route["resumable"]
        case Change.WEIGHTS:
            for route in cfg["routes"]:
                _share(route)
    return cfg


def _first(version: int) -> dict:
    engine = {"slots": 8, "kvCapacity": 88_000, "backups": True}
    engine["models"] = [{"name": "m"}]
    services = [{"name": CALLS}, {"name": "others"}]
    return {
        "version": version,
        "routes": [
            _route("once", "non_idempotent", CALLS, 1),
            _route("again", "idempotent", CALLS, 3),
            _route("stream", "streaming", ENGINES, 1),
            _route("resume", "streaming", ENGINES, 5) | {"resumable": True},
        ],
        "services": [
            *services,
            *({"name": name, "engine": engine} for name in (ENGINES, SPARES)),
        ],
        "limits": {"idleTimeoutMs": 15_000},
        "tenants": [{"name": "demo", "apiKeys": [KEY]}],
    }


def _route(name: str, kind: str, service: str, attempts: int = 3) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": TIMEOUT_MS,
        "latencyGoalMs": 2_000,
        "service": service,
        "maxAttempts": attempts,
        "resumable": False,
        "targetGapMs": 700,
    }


def _share(route: dict) -> None:
    first = route.pop("service")
    second = SPARES if first == ENGINES else "others"
    route["backends"] = [
        {"service": first, "weight": 0.3},
        {"service": second, "weight": 0.7},
    ]
