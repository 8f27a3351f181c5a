"""A frozen router wakes and ends a rollout that it has never heard of.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from review.third_crash_case import HOST, KEY, make_config
from review.third_http import Request
from review.third_replica import Arrival, Replica, Work
from review.third_world import World

HERE = Path(__file__).resolve().parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("z1", "z2")
REPLICAS = 4
SLOTS = 12
WORK_S = 0.1
CALL_EVERY_S = 1 / 80
DURATION_S = 14.0
STARTS_AFTER_S = 0.5
BAD_AFTER_S = 8.7
"""How long after its start a replica of the new version begins to fail."""
FREEZE_AT_S = 9.0
FREEZE_S = 4.0
OUT_AFTER_S = 2.0
"""How long after the freeze the platform sends a router no callers any more."""
ORDER_AGAIN_AFTER_S = 0.7
"""How long after the roll-back the operator orders the version again."""
ORDER_AGAIN_UNTIL_S = 12.2
DRAIN_S = 2.2
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0
MANY_BAD = 50
ORDER = {"service": "desk", "to": "v2", "durationS": DURATION_S}


class Fleet:
    """The replicas of the service, and what the platform does with them.

    Parameters
    ----------
    world : World
        The deployment.
    """

    def __init__(self, world: World):
        self._world = world
        self._asked = 0
        self.old: list[Replica] = []
        self.new: list[Replica] = []
        self.current: list[Replica] = []
        self.bad_at: list[float] = []

    async def start_old(self) -> None:
        """Start the replicas of the old version."""
        for number in range(REPLICAS):
            zone = ZONES[number % len(ZONES)]
            self.old.append(
                await self._world.add_replica(
                    "desk", zone, lambda req: Work(WORK_S), slots=SLOTS, version="v1"
                )
            )

    async def start_new(self) -> None:
        """Start replicas of the new version, which fail after some time."""
        bad_from = time.monotonic() + BAD_AFTER_S
        self.current = []
        for number in range(REPLICAS):
            replica = await self._world.add_replica(
                "desk",
                ZONES[number % len(ZONES)],
                lambda req: self._work(req, bad_from),
                slots=SLOTS,
                version="v2",
            )
            self.current.append(replica)
        self.new += self.current

    def _work(self, req: Request, bad_from: float) -> Work:
        now = time.monotonic()
        self._asked += 1
        if now < bad_from or not self._asked % 4:
            return Work(WORK_S)
        self.bad_at.append(now)
        return Work(WORK_S, status=500)

    async def end_new(self) -> None:
        """Drain the replicas of the new version some time after a roll-back."""
        ended, self.current = self.current, []
        await asyncio.sleep(1.0)
        for replica in ended:
            replica.drain()
        await asyncio.sleep(DRAIN_S)
        for replica in ended:
            replica.leave()

    def end_old(self) -> None:
        """Stop the replicas of the old version at once."""
        for replica in self.old:
            replica.leave()


def arrived(replicas: list[Replica], since: float, until: float) -> list[Arrival]:
    """Return the requests that reached some replicas in a time."""
    return [
        each
        for replica in replicas
        for each in replica.arrivals
        if since <= each.at <= until
    ]


class Traffic:
    """Calls at a steady rate, to the routers that the platform sends callers to."""

    def __init__(self, world: World):
        self._world = world
        self.routers = list(world.routers)

    async def run(self) -> None:
        """Send calls until cancelled."""
        number, tasks = 0, set()
        since = time.monotonic()
        while True:
            router = self.routers[number % len(self.routers)]
            number += 1
            call = self._world.request(
                router,
                "POST",
                "/orders/new",
                host=HOST,
                key=KEY,
                deadline_ms=4000,
                body=b"order %d" % number,
            )
            task = asyncio.ensure_future(call)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due = since + number * CALL_EVERY_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))


async def watch_status(world: World, fleet: Fleet) -> None:
    """Act on the status of the rollout, as the platform does."""
    seen, tasks = None, set()
    while True:
        status = world.store.read("status", "rollout/desk")
        if status != seen:
            seen = status
            world.note("status of the rollout", status=status)
            if status["to"] == ORDER["to"] and status["state"] == "completed":
                fleet.end_old()
            elif status["to"] == ORDER["to"] and status["state"] == "rolled_back":
                tasks.add(asyncio.ensure_future(fleet.end_new()))
        await asyncio.sleep(0.02)


async def freeze(world: World, traffic: Traffic) -> None:
    """Stop one router for some seconds, and let it go on."""
    router = world.routers[0]
    router["process"].send_signal(signal.SIGSTOP)
    world.note("router frozen", router=router["node"])
    await asyncio.sleep(OUT_AFTER_S)
    traffic.routers = world.routers[1:]
    await asyncio.sleep(FREEZE_S - OUT_AFTER_S)
    router["process"].send_signal(signal.SIGCONT)
    world.note("router goes on", router=router["node"])
    await asyncio.sleep(1.0)
    traffic.routers = list(world.routers)


async def order(world: World, fleet: Fleet) -> float:
    """Order the rollout, start the new replicas, and return when it was ordered."""
    world.store.put("op", "rollout/desk", ORDER)
    at = time.monotonic()
    world.note("rollout is ordered", order=ORDER)
    await asyncio.sleep(STARTS_AFTER_S)
    await fleet.start_new()
    return at


async def wait_rolled_back(world: World, until: float) -> bool:
    """Wait until the version may be ordered again; return False if that is too late."""
    while time.monotonic() < until - ORDER_AGAIN_AFTER_S:
        status = world.store.read("status", "rollout/desk") or {}
        if status.get("state") == "rolled_back":
            await asyncio.sleep(ORDER_AGAIN_AFTER_S)
            return True
        await asyncio.sleep(0.02)
    return False


async def play(world: World) -> int:
    """Play the case; return the exit status."""
    await world.store.start()
    world.store.put("op", "config", make_config(["desk"]))
    fleet = Fleet(world)
    await fleet.start_old()
    for zone in ("z1", "z2", "z1"):
        await world.add_router(zone)
    await asyncio.sleep(4.0)
    traffic = Traffic(world)
    tasks = [asyncio.ensure_future(traffic.run())]
    await asyncio.sleep(4.0)
    tasks.append(asyncio.ensure_future(watch_status(world, fleet)))
    first = await order(world, fleet)
    await asyncio.sleep(first + FREEZE_AT_S - time.monotonic())
    if IS_TROUBLED:
        tasks.append(asyncio.ensure_future(freeze(world, traffic)))
    if not await wait_rolled_back(world, first + ORDER_AGAIN_UNTIL_S):
        world.note("the first rollout wasn't rolled back in time")
        return 2
    second = await order(world, fleet)
    await asyncio.sleep(second + DURATION_S + ROLLBACK_S - time.monotonic())
    for task in tasks:
        task.cancel()
    return judge(world, fleet, second)


def judge(world: World, fleet: Fleet, ordered_at: float) -> int:
    """Return the exit status, by what the second rollout has brought.

    Notes
    -----
    What the frozen router sent isn't counted against the rule, as it isn't in touch for
    some seconds.
    """
    until = ordered_at + DURATION_S
    new = arrived(fleet.new, ordered_at, until)
    frozen = world.routers[0]["node"]
    got = sum(world.sent_to[each.request_id] != frozen for each in new)
    reached = len(new) + len(arrived(fleet.old, ordered_at, until))
    most = EXPOSURE_SHARE * reached + EXPOSURE_SLACK
    bad = [at for at in fleet.bad_at if at >= ordered_at]
    late = 0
    if len(bad) >= MANY_BAD:
        since = bad[MANY_BAD - 1] + ROLLBACK_S
        later = arrived(fleet.new, since, float("inf"))
        late = sum(world.sent_to[each.request_id] != frozen for each in later)
    world.note(
        "new version, since the second order",
        got_from_others=got,
        got=len(new),
        of=reached,
        most=most,
        bad=len(bad),
        later_than_roll_back=late,
    )
    return 1 if got > most else 0


async def main() -> int:
    """Run the case within its time."""
    world = World(HERE / "record.txt")
    try:
        async with asyncio.timeout(110):
            return await play(world)
    except Exception as exc:
        world.note("couldn't run", error=repr(exc))
        return 2
    finally:
        world.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
