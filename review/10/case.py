"""A stream that crashes its replicas after its first events isn't found out.

The request begins to run, a few events of its answer arrive, and its replica crashes.
It comes again at any router, as the pages say.
"""

import itertools
import socket
import threading
import time
from pathlib import Path

from review.second.client import ask
from review.second.replica import Crash, Replica, Request
from review.second.world import CannotRunError, World, run_case

CONTACT_S = 3.0
RETURN_S = 3.0
"""How long after its crash a replica is back, with a new id and address."""
RETRY_S = 4.0
"""How often the request comes again."""
MAX_CRASHES = 3
MAX_RETRIES = 3
LAST_S = 36.0
"""How long the request comes again."""
EVENTS = 60
"""More than the runs that a retry may have bring together."""
EVENT_S = 0.1
EVENTS_TO_CRASH = 6
"""The replica crashes at this event of its run, after half a second."""
SOUND_PER_S = 2.0
ZONES = ["za", "zb", "zc"]
REPLICAS_PER_ZONE = 4
POISON_PATH = "/letters/poison"
HEADERS = {
    "Host": "desk.example",
    "Api-Key": "key-one",
    "Deadline-Ms": "25000",
    "Model": "m",
    "Token-Counts": "100,40",
}


def play(world: World) -> list[str]:
    """Play the case; return the broken rules."""
    engine = {"slots": 64, "kvCapacity": 88000, "backups": False}
    engine |= {"models": [{"name": "m"}]}
    world.write_manifest(
        [
            {
                "name": "letters",
                "host": "desk.example",
                "prefix": "/letters/",
                "kind": "streaming",
                "timeoutMs": 25000,
                "latencyGoalMs": 4500,
                "priority": 1,
                "service": "llm",
                "maxAttempts": 5,
                "public": False,
                "sessionAffinity": True,
                "resumable": True,
                "targetGapMs": 700,
            }
        ],
        [{"name": "llm", "healthPath": "/healthz", "maxConns": 370, "engine": engine}],
    )

    def work(replica: Replica, req: Request, conn: socket.socket) -> None:
        is_poison = world.has_trouble and req.target == POISON_PATH
        world.record.write("runs", request=req.request_id, replica=replica.name)
        _send_head(replica, req, conn)
        first = int(req.headers.get("last-event-id", 0)) + 1
        for count, number in enumerate(range(first, EVENTS + 1), 1):
            if is_poison and count == EVENTS_TO_CRASH:
                timer = threading.Timer(RETURN_S, add, (replica.zone,))
                timer.daemon = True
                timer.start()
                raise Crash
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            conn.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_S)
        conn.sendall(b"0\r\n\r\n")

    def add(zone: str) -> None:
        world.add_replica("llm", zone, work, engine=True, slots=64)

    for zone in ZONES * REPLICAS_PER_ZONE:
        add(zone)
    world.start_routers(ZONES)
    time.sleep(CONTACT_S + 0.5)
    threading.Thread(target=_send_sound, args=(world,), daemon=True).start()
    until = world.record.now() + LAST_S
    while world.record.now() < until:
        name = f"poison-{next(_poisons)}"
        args = world, POISON_PATH, name, next(_poison_routers)
        threading.Thread(target=_send, args=args, daemon=True).start()
        time.sleep(RETRY_S)
    if world.has_trouble and len(world.record.all("replica crashes")) < MAX_CRASHES:
        raise CannotRunError("the replicas don't crash")
    return _broken(world)


def _send_head(replica: Replica, req: Request, conn: socket.socket) -> None:
    conn.sendall(
        (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {req.request_id}\r\n"
            f"Response-Seal: seal-{replica.name}\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
    )


_routers = itertools.cycle(range(len(ZONES)))
_poison_routers = itertools.cycle(range(len(ZONES)))
_poisons = itertools.count(1)
_sound = itertools.count(1)


def _send_sound(world: World) -> None:
    """Send sound streams all the time."""
    while True:
        name = f"sound-{next(_sound)}"
        args = world, f"/letters/{name}", name, next(_routers)
        threading.Thread(target=_send, args=args, daemon=True).start()
        time.sleep(1.0 / SOUND_PER_S)


def _send(world: World, target: str, name: str, router: int) -> None:
    world.record.write("sent", request=name, router=router)
    headers = HEADERS | {"Request-Id": name}
    front = world.fleet.front(router)
    answer = ask(front, "POST", target, headers, b"letter", timeout_s=25.0)
    took_s = round(answer.took_s, 3)
    world.record.write(
        "got", request=name, status=answer.status, whole=answer.is_whole, took_s=took_s
    )


def _broken(world: World) -> list[str]:
    crashes = world.record.all("replica crashes")
    if len(crashes) < MAX_CRASHES:
        return []
    third_at = crashes[MAX_CRASHES - 1][0]
    late = {
        fields["request"]
        for at, fields in world.record.all("sent")
        if fields["request"].startswith("poison") and at > third_at + CONTACT_S
    }
    run = {fields["request"] for _, fields in world.record.all("runs")}
    reached = late & run
    world.record.write("retries that reached replicas", count=len(reached))
    if len(reached) <= MAX_RETRIES:
        return []
    return [
        f"BUDGET: {len(reached)} retries of a request that crashes replicas, sent later"
        f" than contactMs after its third crash, reached replicas; it crashed"
        f" {len(crashes)}"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
