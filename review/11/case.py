"""One caller sends a body of legal size in many small chunks.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

from review.third_crash_case import HOST, KEY, make_config
from review.third_http import Response, read_response
from review.third_replica import Work
from review.third_world import World

HERE = Path(__file__).resolve().parent
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("z1", "z2", "z3")
BODY_BYTES = 2_000_000
"""Less than half of the manifest's `maxBodyBytes`."""
CHUNK_BYTES = 6
TIMEOUT_S = 0.6
"""The `timeoutMs` of the route of the other callers."""
ANSWER_SLACK_S = 0.5
CALL_EVERY_S = 0.1
CALLS_S = 14.0
UPLOAD_AT_S = 3.0
MIN_UNANSWERED = 8


def config() -> dict:
    """Return the manifest: a route of short calls, and one of long requests."""
    found = make_config(["desk"], timeout_ms=int(TIMEOUT_S * 1000))
    long_route = {"name": "drafts", "prefix": "/drafts/", "timeoutMs": 25_000}
    found["routes"].append(found["routes"][0] | long_route)
    return found


class Call:
    """A call of another caller.

    Parameters
    ----------
    router : str
        The router that it was sent to.
    sent_at : float
        When it was sent, in monotonic seconds.
    """

    def __init__(self, router: str, sent_at: float):
        self.router = router
        self.sent_at = sent_at
        self.answered_at = float("inf")

    def is_open_after(self, seconds: float) -> bool:
        """Return whether it had no final answer some time after it was sent."""
        return self.answered_at > self.sent_at + seconds


async def send_call(world: World, router: dict, calls: list[Call]) -> None:
    """Send one short call, and wait for its answer for some seconds."""
    call = Call(router["node"], time.monotonic())
    calls.append(call)
    request_id = f"call-{len(calls):05d}"
    world.note("sent", request=request_id, router=router["node"])
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(int(TIMEOUT_S * 1000)),
        "Api-Key": KEY,
    }
    found = await world.exchange(
        router["front"], "POST", "/orders/new", headers, b"order", timeout_s=3.0
    )
    if found.status:
        call.answered_at = time.monotonic()
    after_s = round(time.monotonic() - call.sent_at, 3)
    world.note("answered", request=request_id, status=found.status, after_s=after_s)


def upload() -> bytes:
    """Return the request with the long body."""
    head = (
        "POST /drafts/new HTTP/1.1\r\n"
        f"Host: {HOST}\r\n"
        "Request-Id: upload-1\r\n"
        "Deadline-Ms: 25000\r\n"
        f"Api-Key: {KEY}\r\n"
    )
    piece = b"x" * CHUNK_BYTES
    count = BODY_BYTES // CHUNK_BYTES
    if not IS_TROUBLED:
        length = f"Content-Length: {count * CHUNK_BYTES}\r\n\r\n"
        return (head + length).encode() + piece * count
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, piece)
    head += "Transfer-Encoding: chunked\r\n\r\n"
    return head.encode() + chunk * count + b"0\r\n\r\n"


async def send_upload(world: World, router: dict) -> Response:
    """Send the long request, and return its answer."""
    data = upload()
    world.note("upload begins", router=router["node"], bytes=len(data))
    reader, writer = await asyncio.open_connection(*router["front"])
    try:
        writer.write(data)
        await writer.drain()
        world.note("upload is sent")
        found = await read_response(reader)
        world.note("upload answered", status=found.status)
        return found
    finally:
        writer.close()


async def ask_ready(world: World, router: dict) -> None:
    """Ask a router once a second whether it is ready, as the platform does."""
    while True:
        found = await world.exchange(
            router["ready"], "GET", "/boragedeck/readyz", timeout_s=1.0
        )
        world.note("ready", router=router["node"], status=found.status)
        await asyncio.sleep(1.0)


async def play(world: World) -> int:
    """Play the case; return the exit status."""
    await world.store.start()
    world.store.put("op", "config", config())
    for zone in ZONES:
        await world.add_replica("desk", zone, lambda req: Work(0.03))
    for zone in ZONES:
        await world.add_router(zone)
    # The routers find each other, and are in touch.
    await asyncio.sleep(4.0)
    asked = [asyncio.ensure_future(ask_ready(world, each)) for each in world.routers]
    calls: list[Call] = []
    tasks = []
    sending = None
    began = time.monotonic()
    while time.monotonic() < began + CALLS_S:
        tasks += [
            asyncio.ensure_future(send_call(world, each, calls))
            for each in world.routers
        ]
        if sending is None and time.monotonic() >= began + UPLOAD_AT_S:
            sending = asyncio.ensure_future(send_upload(world, world.routers[0]))
        await asyncio.sleep(CALL_EVERY_S)
    await asyncio.gather(*tasks)
    for each in asked:
        each.cancel()
    answer = await sending
    return judge(world, calls, answer)


def judge(world: World, calls: list[Call], answer: Response) -> int:
    """Return the exit status."""
    late = [each for each in calls if each.is_open_after(TIMEOUT_S)]
    unanswered = [
        each for each in late if each.is_open_after(TIMEOUT_S + ANSWER_SLACK_S)
    ]
    world.note(
        "calls",
        sent=len(calls),
        open_at_timeout=len(late),
        open_half_a_second_later=len(unanswered),
        upload_status=answer.status,
    )
    is_broken = len(unanswered) >= MIN_UNANSWERED and 2 * len(unanswered) > len(late)
    return 1 if is_broken else 0


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
