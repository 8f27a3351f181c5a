"""Plays cases in which requests that crash replicas come again and again."""

import asyncio
import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from review.third_budget import MOST_RETRIES, late_retries
from review.third_http import Request
from review.third_replica import Work
from review.third_world import World

__all__ = ["IS_TROUBLED", "CrashCase", "make_config", "run_case"]

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
HOST, KEY = "desk.example", "key-of-the-tenant"
DISCOVERY_S = 4.0
"""The routers find each other, and are in touch."""
TIME_LIMIT_S = 110.0


def make_config(services: Sequence[str], *, timeout_ms: int = 4000) -> dict:
    """Return a manifest with one route to some services in equal parts."""
    route = {
        "name": "orders",
        "host": HOST,
        "prefix": "/orders/",
        "kind": "non_idempotent",
        "timeoutMs": timeout_ms,
        "latencyGoalMs": 400,
        "priority": 2,
        "maxAttempts": 1,
        "public": False,
        "sessionAffinity": False,
        "resumable": False,
    }
    if len(services) == 1:
        route["service"] = services[0]
    else:
        route["backends"] = [{"service": name, "weight": 1} for name in services]
    return {
        "version": 3,
        "routes": [route],
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1}],
    }


class CrashCase:
    """What differs between the cases.

    Parameters
    ----------
    services : sequence of str
        The services of the route.
    replica_zones : sequence of str
        The zones of each service's replicas.
    router_zones : sequence of str
        The zones of the routers.
    deadly : sequence of bytes
        Bodies of the requests that crash replicas, which come together.
    work_for : callable
        Returns how a replica serves a request.
    retries : int
        How often they come.
    retry_every_s : float
        Time between.
    sound_every_s : float
        Time between the requests of other callers.
    """

    def __init__(
        self,
        services: Sequence[str],
        replica_zones: Sequence[str],
        router_zones: Sequence[str],
        deadly: Sequence[bytes],
        work_for: Callable[[Request], Work],
        *,
        retries: int,
        retry_every_s: float,
        sound_every_s: float,
    ):
        self.services = services
        self.replica_zones = replica_zones
        self.router_zones = router_zones
        self.deadly = deadly
        self.work_for = work_for
        self.retries = retries
        self.retry_every_s = retry_every_s
        self.sound_every_s = sound_every_s

    async def play(self, world: World) -> int:
        """Play the case; return the exit status."""
        await world.store.start()
        world.store.put("op", "config", make_config(self.services))
        for service in self.services:
            for zone in self.replica_zones:
                await world.add_replica(service, zone, self.work_for)
        for zone in self.router_zones:
            await world.add_router(zone)
        await asyncio.sleep(DISCOVERY_S)
        sound = asyncio.ensure_future(self._send_sound(world))
        await asyncio.sleep(1.0)
        statuses = []
        for number in range(self.retries):
            router = world.routers[number % len(world.routers)]
            together = [_send(world, router, body, "again") for body in self.deadly]
            statuses += [each.status for each in await asyncio.gather(*together)]
            await asyncio.sleep(self.retry_every_s)
        sound.cancel()
        world.note("statuses of the retries", statuses=statuses)
        if not IS_TROUBLED:
            return 0 if set(statuses) == {200} else 1
        return self._judge(world)

    def _judge(self, world: World) -> int:
        worst = 0
        for body in self.deadly:
            late = late_retries(world, body)
            if late is None:
                world.note("fewer than three crashes", body=body)
                return 2
            world.note("late retries", body=body, count=len(late), ids=late)
            worst = max(worst, len(late))
        return 1 if worst > MOST_RETRIES else 0

    async def _send_sound(self, world: World) -> None:
        """Send other callers' requests on the same route to one router each."""
        number = 0
        tasks = set()
        while True:
            number += 1
            router = world.routers[number % len(world.routers)]
            body = b"order %d" % (1000 + number)
            task = asyncio.ensure_future(_send(world, router, body, "sound"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.sound_every_s)


async def _send(world: World, router: dict, body: bytes, what: str):
    return await world.request(
        router,
        "POST",
        "/orders/new",
        host=HOST,
        key=KEY,
        deadline_ms=4000,
        body=body,
        what=what,
    )


async def _main(case: CrashCase, record: Path) -> int:
    world = World(record)
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            return await case.play(world)
    except Exception as exc:
        world.note("couldn't run", error=repr(exc))
        return 2
    finally:
        world.stop()


def run_case(case: CrashCase, folder: Path) -> None:
    """Run a case, write its record into its folder, and exit with its status."""
    sys.exit(asyncio.run(_main(case, folder / "record.txt")))
