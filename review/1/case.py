"""A restarted replica repeats a 421 late; the next call on that connection runs twice.

A replica starts again at its address under a new id. Calls that were sent to the old id
get 421. A late copy of such an answer names another request, but the routers look at
the status first and take it for the answer to the call that they have just sent.
"""

import asyncio
import random
import tempfile
from pathlib import Path

from review.client import Channel
from review.fleet import Record, Router, has_trouble, host_of, run_case
from review.replica import CallReplica
from review.store import Store

SERVICE = "workshop-api"
HOST = "calls.example"
KEY = "n2ctnfzs989anu6wsjnb"
ROUTERS = 4
REPLICAS = 2
CALLERS_PER_ROUTER = 6
BURST_INTERVAL_S = 0.12
RESTARTS = 12
RESTART_INTERVAL_S = 5.0
LISTED_AFTER_S = 0.8
"""How long after its start a replica's entry is in the store."""
LAPSE_S = 3.6
"""When the entry of the run that has ended is removed: three status intervals."""
REPEATED_SHARE = 0.03
"""Share of the answers that are repeated; the largest share in the site file."""
DEADLINE_MS = 1500


def manifest() -> dict:
    """Return the configuration: one route whose calls run at most once."""
    route = {
        "name": "confirm",
        "host": HOST,
        "prefix": "/confirm/",
        "kind": "non_idempotent",
        "timeoutMs": DEADLINE_MS,
        "latencyGoalMs": 200,
        "service": SERVICE,
        "priority": 0,
        "maxAttempts": 1,
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": SERVICE, "maxConns": 110}],
        "limits": {},
        "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
    }


class Replicas:
    """The replicas of the service, which are restarted in turn.

    Parameters
    ----------
    store : Store
        The store.
    record : Record
        Where starts are written.
    """

    def __init__(self, store: Store, record: Record):
        self.all: list[CallReplica] = []
        self._running: list[CallReplica] = []
        self._store = store
        self._record = record
        self._rng = random.Random(1)

    async def start(self, port: int = 0) -> CallReplica:
        """Start a replica under a new id."""
        name = f"i-{len(self.all):08x}"
        replica = CallReplica(
            name, SERVICE, "muscat-a", self._record, slots=12, queue=24, work_s=0.04
        )
        replica.may_repeat_answer = self._may_repeat_answer
        await replica.start("127.0.7.101", port)
        self.all.append(replica)
        self._running.append(replica)
        self._record.write(f"{name} starts at {replica.address}")
        return replica

    def list_entry(self, replica: CallReplica) -> None:
        """Write a replica's entry."""
        self._store.put("servers", replica.name, replica.entry())

    async def restart_in_turn(self) -> None:
        """Restart one replica after the other, each under a new id."""
        for _ in range(RESTARTS):
            old = self._running.pop(0)
            old.abort()
            new = await self.start(int(old.address.rpartition(":")[2]))
            await asyncio.sleep(LISTED_AFTER_S)
            self.list_entry(new)
            await asyncio.sleep(LAPSE_S - LISTED_AFTER_S)
            self._store.drop("servers", old.name)
            await asyncio.sleep(RESTART_INTERVAL_S - LAPSE_S)

    def stop(self) -> None:
        """Stop all replicas."""
        for replica in self.all:
            replica.stop()

    def _may_repeat_answer(self) -> bool:
        return has_trouble() and self._rng.random() < REPEATED_SHARE


async def play(folder: Path, record: Record) -> bool:
    """Send bursts of calls while replicas restart; return whether none ran twice."""
    store = Store()
    await store.start("127.0.7.100")
    store.put("op", "config", manifest())
    replicas = Replicas(store, record)
    for _ in range(REPLICAS):
        replicas.list_entry(await replicas.start())
    routers = [
        Router(number, "muscat-a", store.address, folder, [host_of(1)])
        for number in range(1, ROUTERS + 1)
    ]
    try:
        for router in routers:
            await router.start()
        for router in routers:
            await router.wait_ready()
        await asyncio.sleep(4.0)
        return await send_bursts(routers, replicas, record)
    finally:
        for router in routers:
            await router.stop()
        replicas.stop()
        store.stop()


async def send_bursts(
    routers: list[Router], replicas: Replicas, record: Record
) -> bool:
    """Send calls until the last restart, and check what ran."""

    async def send(channel: Channel, request_id: str) -> None:
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Api-Key": KEY,
        }
        record.write(f"sent {request_id}")
        reply = await channel.send("POST", "/confirm/2f", headers, b"pay")
        record.write(f"answered {request_id}: {reply}")

    channels = [
        Channel(router.front) for router in routers for _ in range(CALLERS_PER_ROUTER)
    ]
    restarts = asyncio.create_task(replicas.restart_in_turn())
    number = 0
    while not restarts.done():
        calls = []
        for channel in channels:
            number += 1
            calls.append(send(channel, f"{number:016x}"))
        await asyncio.gather(*calls, asyncio.sleep(BURST_INTERVAL_S))
    restarts.result()
    await asyncio.sleep(1.0)
    runs: dict[str, int] = {}
    for replica in replicas.all:
        for request_id, count in replica.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    twice = [each for each, count in runs.items() if count > 1]
    misdirected = sum(each.misdirected for each in replicas.all)
    repeated = sum(each.repeated_answers for each in replicas.all)
    text = (
        f"{number} calls, {misdirected} answers 421, {repeated} answers repeated;"
        f" run twice: {len(twice)} {twice}"
    )
    record.write(text)
    print(text)
    for channel in channels:
        channel.close()
    return not twice


async def main() -> bool:
    """Run the case in a temporary folder."""
    record = Record(Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        return await play(Path(folder), record)


if __name__ == "__main__":
    run_case(main(), "A call that must run at most once ran twice.")
