"""A replica repeats a rejection late; the request that it rejected runs twice.

The routers send a rejected call to the same replica again, on the same connection. They
take the late copy of the first rejection for the answer to the second sending.
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
ROUTERS = 6
CALLERS_PER_ROUTER = 1
SLOTS = 2
QUEUED_CALLS = 1
BURST_INTERVAL_S = 0.1
DURATION_S = 36.0
TROUBLE_AT_S = (4.0, 14.0, 24.0)
"""When the trouble begins, in seconds from the first call."""
TROUBLE_S = 5.0
"""Length of each trouble, as `fleetbench kinds` gives it for `garble`."""
REPEATED_SHARE = 0.03
"""Share of the answers that are repeated; the largest share in the site file."""
DEADLINE_MS = 1500
MAX_ATTEMPTS = 3


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
        "maxAttempts": MAX_ATTEMPTS,
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": SERVICE, "maxConns": 110}],
        "limits": {},
        "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
    }


async def play(folder: Path, record: Record) -> bool:
    """Send bursts of calls; return whether the rules held."""
    store = Store()
    await store.start("127.0.7.100")
    store.put("op", "config", manifest())
    replica = CallReplica(
        "i-7f3a91c2", SERVICE, "muscat-a", record, slots=SLOTS, queue=QUEUED_CALLS
    )
    await replica.start("127.0.7.101")
    store.put("servers", replica.name, replica.entry())
    routers = [
        Router(number, "muscat-a", store.address, folder, [host_of(1)])
        for number in range(1, ROUTERS + 1)
    ]
    try:
        for router in routers:
            await router.start()
        for router in routers:
            await router.wait_ready()
        await asyncio.sleep(3.0)
        return await send_bursts(routers, replica, record)
    finally:
        for router in routers:
            await router.stop()
        replica.stop()
        store.stop()


async def send_bursts(
    routers: list[Router], replica: CallReplica, record: Record
) -> bool:
    """Send the calls and check what ran and what was answered."""
    loop, rng = asyncio.get_running_loop(), random.Random(1)
    began = loop.time()

    def may_repeat_answer() -> bool:
        now = loop.time() - began
        is_on = any(at <= now < at + TROUBLE_S for at in TROUBLE_AT_S)
        return has_trouble() and is_on and rng.random() < REPEATED_SHARE

    replica.may_repeat_answer = may_repeat_answer
    refused: set[str] = set()

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
        if reply.status in (408, 421, 429, 503):
            refused.add(request_id)

    channels = [
        Channel(router.front) for router in routers for _ in range(CALLERS_PER_ROUTER)
    ]
    number = 0
    while loop.time() - began < DURATION_S:
        calls = []
        for channel in channels:
            number += 1
            calls.append(send(channel, f"{number:016x}"))
        await asyncio.gather(*calls, asyncio.sleep(BURST_INTERVAL_S))
    await asyncio.sleep(1.0)
    twice = [each for each, runs in replica.runs.items() if runs > 1]
    broken = sorted(refused & set(replica.runs))
    record.write(
        f"calls {number}, rejections {replica.rejected},"
        f" repeated answers {replica.repeated_answers}"
    )
    record.write(f"run twice: {twice}; refused and run: {broken}")
    print(
        f"{number} calls, {replica.rejected} rejections, {replica.repeated_answers}"
        f" repeated; run twice: {len(twice)}; refused and run: {len(broken)}"
    )
    for channel in channels:
        channel.close()
    return not twice and not broken


async def main() -> bool:
    """Run the case in a temporary folder."""
    record = Record(Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        return await play(Path(folder), record)


if __name__ == "__main__":
    run_case(main(), "A call that must run at most once ran twice, or after a refusal.")
