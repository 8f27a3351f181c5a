"""Compares guards of links between routers: calls, and opening a link.

Prints, for each guard, the time of a call and of opening a link with its first call,
as ratios to the times without a guard, in one run on loopback.
"""

import subprocess
import tempfile
import time
from pathlib import Path

from boragedeck.patching import patch_all

patch_all()

import eventlet

from boragedeck.connection.guard import Guard, OpenGuard, SecretGuard
from boragedeck.connection.messages import Accepted, Ping
from boragedeck.connection.peer import Address, PeerLink, PeerServer
from boragedeck.connection.tls import TlsGuard
from boragedeck.process.timers import RealTimers

CALLS = 3000
OPENINGS = 200
CONCURRENCY = 20
TIMEOUT_S = 10.0
KEY = ("-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes")


def main() -> None:
    """Run all guards and print their table."""
    with tempfile.TemporaryDirectory() as folder:
        guards = {"none": OpenGuard(), **_guards(Path(folder))}
        _measure(OpenGuard())
        figures = {name: _measure(guard) for name, guard in guards.items()}
    call, opening = figures["none"]
    print(f"none    call {call * 1e6:6.0f} us   opening {opening * 1e6:6.0f} us")
    for name, (each_call, each_opening) in figures.items():
        ratios = each_call / call, each_opening / opening
        print(f"{name:7} call {ratios[0]:6.2f} x    opening {ratios[1]:6.2f} x")


def _guards(folder: Path) -> dict[str, Guard]:
    secret = folder / "secret"
    secret.write_text("s" * 64)
    cert, key = folder / "cert.pem", folder / "key.pem"
    command = ["openssl", "req", "-x509", *KEY, "-subj", "/CN=router", "-days", "2"]
    command += ["-keyout", key, "-out", cert]
    subprocess.run(command, check=True, capture_output=True)
    return {"secret": SecretGuard(secret), "tls": TlsGuard(cert, key, cert)}


def _measure(guard: Guard) -> tuple[float, float]:
    listener = eventlet.listen(("127.0.0.1", 0))
    server = PeerServer(listener, guard)
    eventlet.spawn_n(server.serve)
    address = Address(*listener.getsockname())
    link = PeerLink(address, RealTimers(), guard)
    _call(link)
    pool = eventlet.GreenPool(CONCURRENCY)
    start = time.perf_counter()
    for _ in pool.imap(_call, [link] * CALLS):
        pass
    calls = time.perf_counter() - start
    start = time.perf_counter()
    for _ in range(OPENINGS):
        link.close()
        _call(link)
    openings = time.perf_counter() - start
    link.close()
    server.close()
    return calls / CALLS, openings / OPENINGS


def _call(link: PeerLink) -> None:
    link.call(Ping(), Accepted, timeout_s=TIMEOUT_S).unwrap()


if __name__ == "__main__":
    main()
