"""Child process of `benchmarks.control_cost`: complete routers on loopback."""

import json
import os
import random
import subprocess
import sys
import time

from boragedeck.patching import patch_all

patch_all()

import eventlet
import msgspec

from benchmarks.control_cost import Cost
from boragedeck.connection import peer
from boragedeck.connection.peer import Address
from boragedeck.connection.platform import HttpPlatform
from boragedeck.ids import FailureDomain, OrganisationName, VmName
from boragedeck.process.composition import Router
from boragedeck.process.observing.logs import open_log
from boragedeck.process.settings import Settings
from boragedeck.process.timers import RealTimers
from boragedeck.version.config_store import ConfigStore
from boragedeck.version.tables import Config, Organisation

SETTLE_S = 10.0
IDLE_S = 20.0
CHANGE_INTERVAL_S = 86_400 / 6_300
CHANGE_S = 2 * CHANGE_INTERVAL_S
SEGMENT_HEADERS_BYTES = 2 * 52
"""Headers of the segment of a frame and of its acknowledgement."""
HTTP_HEADERS_BYTES = 500
"""Start lines and headers of a request to the platform and of its response."""


class ByteCounter:
    """Counts the bytes that all routers of the process send and receive."""

    def __init__(self):
        self.total = 0
        self._write_frame = peer._write_frame
        self._request = HttpPlatform._request

    def install(self) -> None:
        """Start counting, by replacing the methods that send frames and requests."""
        peer._write_frame = self._count_frame
        count = self

        def request(platform, method, path, body):
            result = count._request(platform, method, path, body)
            answer = result.ok() if result.is_ok() else b""
            count.total += len(body or b"") + len(answer) + HTTP_HEADERS_BYTES
            return result

        HttpPlatform._request = request

    def _count_frame(self, sock, number, is_answer, message) -> None:
        size = len(msgspec.msgpack.encode(message)) + 10 + SEGMENT_HEADERS_BYTES
        # Both the sending and the receiving router are counted.
        self.total += 2 * size
        self._write_frame(sock, number, is_answer, message)


class WindowCost(msgspec.Struct, frozen=True):
    """Cost of all routers during an interval."""

    core_percent: float
    kb_s: float


def main(routers: int) -> None:
    """Measure and print a `Cost` in JSON."""
    open_log(os.devnull, vm="vm", pid=os.getpid())
    command = [sys.executable, "-W", "ignore", "-m", "standins.platform"]
    platform = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        url = json.loads(platform.stdout.readline())["url"]
        print(msgspec.json.encode(_measure(routers, url)).decode())
    finally:
        platform.kill()


def _measure(routers: int, url: str) -> Cost:
    count = ByteCounter()
    count.install()
    base_mb = _resident_mb()
    fleet = [Router(_settings(number, url)) for number in range(routers)]
    for router in fleet:
        router.start()
    eventlet.sleep(SETTLE_S)
    idle = _measure_window(count, IDLE_S)
    changes = eventlet.spawn(_apply_changes, url)
    change = _measure_window(count, CHANGE_S)
    changes.kill()
    return Cost(
        routers,
        idle.core_percent / routers,
        change.core_percent / routers,
        base_mb,
        (_resident_mb() - base_mb) / routers,
        idle.kb_s / routers,
        change.kb_s / routers,
    )


def _measure_window(count: ByteCounter, seconds: float) -> WindowCost:
    cpu_start_s, sent, start = time.process_time(), count.total, time.monotonic()
    eventlet.sleep(seconds)
    elapsed_s = time.monotonic() - start
    core = 100.0 * (time.process_time() - cpu_start_s) / elapsed_s
    return WindowCost(core, (count.total - sent) / elapsed_s / 1024)


def _apply_changes(url: str) -> None:
    """Apply a new configuration at each interval."""
    store = ConfigStore(HttpPlatform(url), RealTimers())
    rng = random.Random(1)
    while True:
        stored = store.read().unwrap()
        name = OrganisationName(f"organisation-{rng.random()}")
        cfg = Config(organisations=(Organisation(name),))
        apply_id = str(rng.random())
        store.apply(stored, cfg, author="benchmark", apply_id=apply_id).unwrap()
        eventlet.sleep(CHANGE_INTERVAL_S)


def _settings(number: int, url: str) -> Settings:
    any_port = Address("127.0.0.1", 0)
    return Settings(
        listen=any_port,
        peer_listen=any_port,
        advertise="127.0.0.1",
        peer_advertise="127.0.0.1",
        vm=VmName(f"vm-{number}"),
        failure_domain=FailureDomain(f"fd-{number % 3}"),
        platform_url=url,
    )


def _resident_mb() -> float:
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1024**2


if __name__ == "__main__":
    main(int(sys.argv[1]))
