"""A request that crashes its replicas does so again after all routers were killed.

The request comes again and again at any router, as the pages say. The routers find out
that it crashes replicas and refuse it; then the processes of all of them are killed at
the same moment and start again.
"""

import itertools
import os
import threading
import time
from pathlib import Path

from review.second_client import ask
from review.second_replica import Crash, answer_call
from review.second_world import CannotRunError, World, run_case

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Without it, all is the same but for the disruption."""
CONTACT_S = 3.0
RETURN_S = 3.0
"""How long after its crash a replica is back, with a new id and address."""
RETRY_S = 2.0
"""How often the request comes again."""
CRASHES_BEFORE = 3
MAX_RETRIES = 3
RESTART_S = 0.5
QUIET_S = 4.0
"""How long the request stays away after the routers are back, so that they are in
touch."""
LAST_S = 46.0
"""How long the request comes again after that."""
WORK_S = 0.1
ZONES = ["za", "zb", "zc"]
REPLICAS_PER_ZONE = 2
HEADERS = {"Host": "shop.example", "Api-Key": "key-one", "Deadline-Ms": "4000"}
POISON_PATH = "/orders/poison"


def play(world: World) -> list[str]:
    """Play the case; return the broken rules."""
    world.write_manifest(
        [
            {
                "name": "orders",
                "host": "shop.example",
                "prefix": "/orders/",
                "kind": "non_idempotent",
                "timeoutMs": 2000,
                "latencyGoalMs": 300,
                "priority": 2,
                "service": "orders",
                "maxAttempts": 1,
                "public": False,
            }
        ],
        [{"name": "orders", "healthPath": "/healthz", "maxConns": 110}],
    )

    def work(replica, req, conn) -> None:
        if req.target == POISON_PATH:
            world.record.write("runs", request=req.request_id, replica=replica.name)
            timer = threading.Timer(RETURN_S, add, (replica.zone,))
            timer.daemon = True
            timer.start()
            raise Crash
        time.sleep(WORK_S)
        if not replica.is_crashed:
            answer_call(replica, req, conn)

    def add(zone: str) -> None:
        world.add_replica("orders", zone, work)

    for zone in ZONES * REPLICAS_PER_ZONE:
        add(zone)
    fleet = world.start_routers(ZONES)
    time.sleep(CONTACT_S + 0.5)
    threading.Thread(target=_send_ordinary, args=(world,), daemon=True).start()
    numbers = itertools.count(1)
    while _crashes(world) < CRASHES_BEFORE:
        if next(numbers) > 3 * CRASHES_BEFORE:
            raise CannotRunError("the replicas don't crash")
        _send_poison(world)
        time.sleep(RETRY_S)
    third_at = world.record.all("replica crashes")[CRASHES_BEFORE - 1][0]
    time.sleep(max(0.0, third_at + CONTACT_S + 0.5 - world.record.now()))
    for _ in range(2):
        _send_poison(world)
        time.sleep(RETRY_S)
    if HAS_TROUBLE:
        for number in range(len(ZONES)):
            fleet.kill(number)
        for process in fleet.processes:
            process.wait()
        time.sleep(RESTART_S)
        for number in range(len(ZONES)):
            fleet.start(number)
    world.await_ready()
    time.sleep(QUIET_S)
    until = world.record.now() + LAST_S
    while world.record.now() < until:
        _send_poison(world)
        time.sleep(RETRY_S)
    return _broken(world, third_at)


def _crashes(world: World) -> int:
    return len(world.record.all("replica crashes"))


_routers = itertools.cycle(range(len(ZONES)))
_poison_routers = itertools.cycle(range(len(ZONES)))
_poisons = itertools.count(1)
_ordinary = itertools.count(1)


def _send_poison(world: World) -> None:
    """Send the request that crashes replicas, as a new attempt of its requester."""
    _send(world, POISON_PATH, f"poison-{next(_poisons)}", next(_poison_routers))


def _send_ordinary(world: World) -> None:
    """Send other calls all the time, each on a channel of its own."""
    while True:
        name = f"order-{next(_ordinary)}"
        args = world, f"/orders/{name}", name, next(_routers)
        threading.Thread(target=_send, args=args, daemon=True).start()
        time.sleep(0.1)


def _send(world: World, path: str, name: str, router: int) -> None:
    world.record.write("sent", request=name, router=router)
    headers = HEADERS | {"Request-Id": name}
    answer = ask(world.fleet.front(router), "POST", path, headers, b"body")
    took_s = round(answer.took_s, 3)
    world.record.write("got", request=name, status=answer.status, took_s=took_s)


def _broken(world: World, third_at: float) -> list[str]:
    late = [
        fields["request"]
        for at, fields in world.record.all("runs")
        if fields["request"].startswith("poison") and at > third_at + CONTACT_S
    ]
    retries = sorted(set(late))
    world.record.write("retries that reached replicas", count=len(retries))
    if len(retries) <= MAX_RETRIES:
        return []
    return [
        f"BUDGET: {len(retries)} retries of a request that crashes replicas reached"
        f" replicas later than contactMs after its third crash: {', '.join(retries)}"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
