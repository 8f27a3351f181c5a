"""Runs a local cluster until SIGINT or SIGTERM."""

import json
import os
import signal
import sys
import threading

from scripts.local_cluster import (
    ENGINE_POOL,
    SERVICE_POOL,
    ClusterOptions,
    LocalCluster,
)

__all__ = ["describe", "main", "options_from_environment"]

EXIT_FAILED = 1
EXIT_USAGE = 2


def options_from_environment() -> ClusterOptions:
    """Return the options set by ROUTERS, ENGINES and TOKEN_INTERVAL_MS.

    Raises
    ------
    ValueError
        If a variable is not a number within its bounds.
    """
    options = ClusterOptions()
    return ClusterOptions(
        routers=_read_number("ROUTERS", options.routers, 1, 100),
        engines=_read_number("ENGINES", options.engines, 1, 100),
        token_interval_ms=_read_number(
            "TOKEN_INTERVAL_MS", options.token_interval_ms, 0.1, 60_000
        ),
    )


def describe(cluster: LocalCluster) -> dict:
    """Return the addresses and pids of all processes, the routes and the API keys."""
    routers = [
        {key: router.ready[key] for key in ("url", "pid", "vm", "failure_domain")}
        for router in cluster.routers
    ]
    engines = [
        {
            "url": engine.url,
            "pid": engine.pid,
            "pool": ENGINE_POOL,
            "version": cluster.engine_version(i),
            "failure_domain": cluster.failure_domain(i),
        }
        for i, engine in enumerate(cluster.engines)
    ]
    services = [
        {
            "url": service.url,
            "pid": service.pid,
            "pool": SERVICE_POOL,
            "failure_domain": cluster.failure_domain(i),
        }
        for i, service in enumerate(cluster.services)
    ]
    routes = [
        {"name": r.name, "kind": r.kind.value, "repeatable": r.repeatable}
        for r in cluster.config().routes
    ]
    return {
        "platform": {"url": cluster.platform.url, "pid": cluster.platform.pid},
        "routers": routers,
        "engines": engines,
        "services": services,
        "routes": routes,
        "api_keys": cluster.api_keys,
    }


def main() -> None:
    """Start the cluster, print its description, and stop it on a signal."""
    try:
        options = options_from_environment()
    except ValueError as exc:
        print(f"serve: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    cluster = LocalCluster(options)
    try:
        cluster.start()
        print(json.dumps(describe(cluster)), flush=True)
        print(f"logs are in {cluster.log_dir}", file=sys.stderr)
        stop.wait()
    except RuntimeError as exc:
        print(f"serve: {exc}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    finally:
        cluster.stop()


def _read_number(name: str, default, low, high):
    text = os.environ.get(name, "")
    if not text:
        return default
    try:
        value = type(default)(text)
    except ValueError:
        value = None
    if value is None or not low <= value <= high:
        raise ValueError(f"{name} got {text!r}; expected a number from {low} to {high}")
    return value


if __name__ == "__main__":
    main()
