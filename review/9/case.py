"""A request that crashes its replicas isn't found out if its path serves others, too.

A service is asked with one path and many queries, as for the records of accounts. One
query crashes each replica that begins to run it, and comes again. The others are sound.
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
MAX_CRASHES = 3
MAX_RETRIES = 3
LAST_S = 30.0
"""How long the request comes again."""
WORK_S = 0.02
SOUND_PER_S = 10.0
SOUND_QUERIES = 500
ZONES = ["za", "zb", "zc"]
REPLICAS_PER_ZONE = 2
HEADERS = {"Host": "shop.example", "Api-Key": "key-one", "Deadline-Ms": "4000"}
PATH = "/accounts/record"
POISON_TARGET = f"{PATH}?account=666"


def play(world: World) -> list[str]:
    """Play the case; return the broken rules."""
    world.write_manifest(
        [
            {
                "name": "accounts",
                "host": "shop.example",
                "prefix": "/accounts/",
                "kind": "idempotent",
                "timeoutMs": 2000,
                "latencyGoalMs": 300,
                "priority": 2,
                "service": "accounts",
                "maxAttempts": 2,
                "public": False,
            }
        ],
        [{"name": "accounts", "healthPath": "/healthz", "maxConns": 110}],
    )

    def work(replica, req, conn) -> None:
        if HAS_TROUBLE and req.target == POISON_TARGET:
            world.record.write("runs", request=req.request_id, replica=replica.name)
            timer = threading.Timer(RETURN_S, add, (replica.zone,))
            timer.daemon = True
            timer.start()
            raise Crash
        time.sleep(WORK_S)
        if not replica.is_crashed:
            answer_call(replica, req, conn)

    def add(zone: str) -> None:
        world.add_replica("accounts", zone, work)

    for zone in ZONES * REPLICAS_PER_ZONE:
        add(zone)
    world.start_routers(ZONES)
    time.sleep(CONTACT_S + 0.5)
    threading.Thread(target=_send_sound, args=(world,), daemon=True).start()
    until = world.record.now() + LAST_S
    while world.record.now() < until:
        name = f"poison-{next(_poisons)}"
        _send(world, POISON_TARGET, name, next(_poison_routers))
        time.sleep(RETRY_S)
    if HAS_TROUBLE and len(world.record.all("replica crashes")) < MAX_CRASHES:
        raise CannotRunError("the replicas don't crash")
    return _broken(world)


_routers = itertools.cycle(range(len(ZONES)))
_poison_routers = itertools.cycle(range(len(ZONES)))
_poisons = itertools.count(1)
_sound = itertools.count(1)


def _send_sound(world: World) -> None:
    """Send sound requests with the same path all the time."""
    while True:
        number = next(_sound)
        target = f"{PATH}?account={1000 + number % SOUND_QUERIES}"
        args = world, target, f"sound-{number}", next(_routers)
        threading.Thread(target=_send, args=args, daemon=True).start()
        time.sleep(1.0 / SOUND_PER_S)


def _send(world: World, target: str, name: str, router: int) -> None:
    world.record.write("sent", request=name, router=router, target=target)
    headers = HEADERS | {"Request-Id": name}
    answer = ask(world.fleet.front(router), "GET", target, headers)
    took_s = round(answer.took_s, 3)
    world.record.write("got", request=name, status=answer.status, took_s=took_s)


def _broken(world: World) -> list[str]:
    crashes = world.record.all("replica crashes")
    if len(crashes) < MAX_CRASHES:
        return []
    third_at = crashes[MAX_CRASHES - 1][0]
    late = {
        fields["request"]
        for at, fields in world.record.all("runs")
        if fields["request"].startswith("poison") and at > third_at + CONTACT_S
    }
    world.record.write("retries that reached replicas", count=len(late))
    if len(late) <= MAX_RETRIES:
        return []
    return [
        f"BUDGET: {len(late)} retries of a request that crashes replicas reached"
        f" replicas later than contactMs after its third crash, of {len(crashes)}"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
