"""A manifest isn't in force when machines are in touch again after a silence.

Manifests come in quick succession. Amid them the open channels to the store go silent
for good, without a reset, while new ones work; then one more manifest comes.
"""

import threading
import time
from pathlib import Path

from review.second.client import ask
from review.second.fleet import BOUNDS, Fleet
from review.second.proxy import SilencingProxy
from review.second.replica import answer_call
from review.second.world import CannotRunError, World, run_case

CONTACT_S = BOUNDS["contactMs"] / 1000.0
APPLY_S = BOUNDS["configApplyMs"] / 1000.0
MARGIN_S = 0.1
"""Requests that are sent so shortly after both bounds don't count."""
FIRST_VERSION = 7
MANIFESTS = 5
MANIFEST_S = 0.33
"""The manifests come so quickly one after the other."""
SILENCE_S = 0.1
"""When the channels go silent, before the last manifest."""
PROBE_S = 0.03
PROBED_S = 7.0
ZONES = ["za", "zb", "zc"]
HEADERS = {"Host": "shop.example", "Api-Key": "key-one", "Deadline-Ms": "4000"}
STATUS_OK = 200
STATUS_NO_ROUTE = 404


class ProxiedFleet(Fleet):
    """Routers that reach the store through a proxy each."""

    def __init__(self, *args, proxies: list[SilencingProxy]):
        super().__init__(*args)
        self._proxies = proxies

    def _settings(self, number: int) -> dict:
        settings = super()._settings(number)
        settings["platform"]["address"] = self._proxies[number].address
        return settings


def play(world: World) -> list[str]:
    """Play the case; return the broken rules."""
    _write_manifest(world, FIRST_VERSION)
    for zone in ZONES:
        world.add_replica("orders", zone, answer_call)
    proxies = [SilencingProxy(world.store.address) for _ in ZONES]
    world.fleet = ProxiedFleet(
        world.store, world.record, world.directory, ZONES, proxies=proxies
    )
    world.fleet.start_all()
    world.await_ready()
    time.sleep(2.0 * CONTACT_S)
    last = FIRST_VERSION + MANIFESTS
    for version in range(FIRST_VERSION + 1, last):
        _write_manifest(world, version)
        time.sleep(MANIFEST_S)
    silent_at = world.record.now()
    if world.has_trouble:
        for proxy in proxies:
            proxy.silence()
        world.record.write("channels to the store are silent")
    time.sleep(SILENCE_S)
    _write_manifest(world, last)
    acked_at = world.record.now()
    world.record.write("acked", version=last)
    threads = [
        threading.Thread(target=_probe, args=(world, number, last), daemon=True)
        for number in range(len(ZONES))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _broken(world, max(silent_at + CONTACT_S, acked_at + APPLY_S) + MARGIN_S)


def _write_manifest(world: World, version: int) -> None:
    """Write a manifest with one route that no other one has."""
    route = {
        "host": "shop.example",
        "kind": "idempotent",
        "timeoutMs": 2000,
        "latencyGoalMs": 300,
        "priority": 2,
        "service": "orders",
        "maxAttempts": 2,
        "public": False,
    }
    routes = [
        route | {"name": "orders", "prefix": "/orders/"},
        route | {"name": f"new-{version}", "prefix": f"/new-{version}/"},
    ]
    services = [{"name": "orders", "healthPath": "/healthz", "maxConns": 110}]
    world.write_manifest(routes, services, version)
    world.record.write("manifest", version=version)


def _probe(world: World, router: int, version: int) -> None:
    """Ask a router for the newest route, again and again."""
    until, count = time.monotonic() + PROBED_S, 0
    while time.monotonic() < until:
        count += 1
        name = f"p{router}-{count}"
        sent_at = world.record.now()
        answer = ask(
            world.fleet.front(router),
            "GET",
            f"/new-{version}/x",
            HEADERS | {"Request-Id": name},
        )
        fields = {"request": name, "router": router, "sent_at": round(sent_at, 3)}
        world.record.write("got", **fields, status=answer.status)
        time.sleep(PROBE_S)


def _broken(world: World, due_at: float) -> list[str]:
    answers = [fields for _, fields in world.record.all("got")]
    old = [each for each in answers if each["status"] == STATUS_NO_ROUTE]
    if not any(each["status"] == STATUS_OK for each in answers):
        raise CannotRunError("no router serves the newest route")
    late = [each for each in old if each["sent_at"] > due_at]
    world.record.write("refused as by an older version", all=len(old), late=len(late))
    if not late:
        return []
    routers = sorted({each["router"] for each in late})
    over_s = max(each["sent_at"] for each in late) - due_at + MARGIN_S
    return [
        f"CONFIG: {len(late)} requests to {len(routers)} machines in touch, sent later"
        f" than configApplyMs after the ack, up to {over_s:.2f} s too late, got 404"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
