"""Runs a router on a stand-in of the users' platform and crashes an engine mid-stream.

Everything except the router runs in this process. The exit status is 1 if the answer
is incomplete or damaged.
"""

import sys
import tempfile
from pathlib import Path

from boragedeck.patching import patch_all

patch_all()

import urllib3

from scripts.platform_cluster import EVENTS, ROUTE_HEADERS, PlatformCluster

__all__ = ["main"]


def main() -> None:
    """Run the demonstration."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = PlatformCluster(Path(directory))
        try:
            is_intact = _run_demo(cluster)
        finally:
            cluster.stop()
    print("The answer is complete." if is_intact else "The answer is damaged.")
    sys.exit(0 if is_intact else 1)


def _run_demo(cluster: PlatformCluster) -> bool:
    for name, zone in (("engine-1", "a"), ("engine-2", "b")):
        cluster.add_engine(name, zone)
    url = cluster.add_router("a")
    print(f"A router serves callers at {url}.")
    response = urllib3.PoolManager().request(
        "POST",
        f"{url}/answers/x",
        headers=ROUTE_HEADERS | {"Request-Id": "demo-1", "Token-Counts": "100,40"},
        preload_content=False,
    )
    body = b""
    while part := response.read1(65_536):
        body += part
        if b"id: 10\n" in body and len(cluster.engines) == 2:
            name = next(n for n, e in cluster.engines.items() if e[0].served_ids)
            print(f"After event 10 the engine of the stream, {name}, crashes.")
            cluster.crash_engine(name)
    expected = b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number)
        for number in range(1, EVENTS + 1)
    )
    print(f"{body.count(b'id: ')} events received.")
    return body == expected


if __name__ == "__main__":
    main()
