"""Compares ways to find out which part of a prompt crashes replicas.

Routers on a manual clock send requests to engines. Some requests have a part that
crashes each engine at which their answer begins; sound ones share their first part, and
engines crash for other reasons, too. For each way it prints how many engines the part
crashed, when the first request was refused after the first of them, and what became of
sound requests: refused, and begun at the first attempt as a share of the same before.
Last it prints the calls between routers for each crash.
"""

from boragedeck.patching import patch_all

patch_all()

import enum
import itertools
import sys

import msgspec

from tests.support.crash_fleet import CrashFleet

__all__ = ["Way", "main"]

ROUTERS = (9, 80, 300)
DEADLY_PER_S = (0.5, 3.0)
SOUND_PER_S = 6.0
OTHER_CRASH_INTERVAL_S = 4.0
BEFORE_S = 10.0
DEADLY_S = 20.0
AFTER_S = 4.0
SEEDS = (1, 2, 3)


class Way(enum.Enum):
    """How the routers find out."""

    NEVER = "not at all"
    REQUESTS = "crashes counted for whole requests"
    ALONE = "each router judges alone"
    ALL_WAITING = "all requests without output are suspects"
    SENT = "the begun ones are; those being read stay"
    ADOPTED = "adopted"


class Figures(msgspec.Struct):
    """What one play showed."""

    lost: int
    refused_after_s: float | None
    sound_refused: int
    sound: int
    begun_share: float
    calls_per_crash: float


def play(way: Way, routers: int, deadly_per_s: float, seed: int) -> Figures:
    """Play a fleet for one way."""
    fleet = CrashFleet(routers, 24 if routers < 20 else 100, seed)
    _adjust(fleet, way)
    numbers = itertools.count()
    fleet.timers.subscribe(
        OTHER_CRASH_INTERVAL_S, lambda: fleet.crash(fleet.choose_engine())
    )
    before, during, refused_at = [], [], []

    def send_deadly() -> None:
        fleet.send("a", "x")
        if fleet.refused and not refused_at:
            refused_at.append(fleet.timers.now())

    def send_sound(sent: list) -> None:
        sent.append(fleet.send("a", f"b{next(numbers) % 5}"))

    fleet.run(BEFORE_S, (SOUND_PER_S, lambda: send_sound(before)))
    fleet.deadly = {"x"}
    fleet.run(
        DEADLY_S,
        (deadly_per_s, send_deadly),
        (SOUND_PER_S, lambda: send_sound(during)),
    )
    fleet.run(AFTER_S)
    crashes = [each.crashed_at for each in fleet.crashes]
    begun = {each.number for each in fleet.begun_first}
    share = _share(during, begun) / _share(before, begun)
    return Figures(
        len(crashes),
        refused_at[0] - crashes[0] if refused_at and crashes else None,
        sum("x" not in req.parts for req in fleet.refused),
        len(during),
        share,
        fleet.net.calls / max(1, len(crashes)),
    )


def _share(reqs: list, numbers: set[int]) -> float:
    return sum(req.number in numbers for req in reqs) / len(reqs)


def _adjust(fleet: CrashFleet, way: Way) -> None:
    """Make the routers of a fleet act in one way."""
    match way:
        case Way.NEVER:
            for router in fleet.routers:
                router.blame.note_broken = lambda suspect, state: None
        case Way.REQUESTS:
            fleet.uses_parts = False
        case Way.ALONE:
            for router in fleet.routers:
                router.owners.owner_of = lambda task, router=router: router.member
                router.board.publish = router.board.publish_alone
        case Way.ALL_WAITING:
            fleet.sees_begin = False
        case Way.SENT:
            fleet.withdraws = False


def main() -> None:
    """Print a table of all ways; the arguments are numbers of routers."""
    sizes = [int(text) for text in sys.argv[1:]] or ROUTERS
    print(
        "| way | routers | deadly a second | engines lost, by seed | refused after "
        "| sound refused | begun, as a share of before | calls a crash |",
        flush=True,
    )
    for way in Way:
        for routers in sizes:
            for per_s in DEADLY_PER_S:
                got = [play(way, routers, per_s, seed) for seed in SEEDS]
                print(_row(way, routers, per_s, got), flush=True)


def _row(way: Way, routers: int, per_s: float, got: list[Figures]) -> str:
    lost = ", ".join(str(each.lost) for each in got)
    waits = [each.refused_after_s for each in got if each.refused_after_s is not None]
    wait = f"{max(waits):.1f} s" if waits else "-"
    refused = sum(each.sound_refused for each in got)
    sound = sum(each.sound for each in got)
    share = min(each.begun_share for each in got)
    calls = max(each.calls_per_crash for each in got)
    return (
        f"| {way.value} | {routers} | {per_s} | {lost} | {wait} "
        f"| {refused} of {sound} | {share:.2f} | {calls:.0f} |"
    )


if __name__ == "__main__":
    main()
