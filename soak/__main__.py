"""Plays seeds and prints one line: requests, disruptions by row, violations."""

import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from boragedeck.patching import patch_all

patch_all()

import msgspec
import typer

from soak.play import Outcome, play

__all__ = ["main"]

PLAY_S = 12.0
KEPT = Path("run")
EXIT_BROKEN = 1


def main(
    seeds: int = typer.Option(1, help="How many seeds to play, from 1 on."),
    seed: int = typer.Option(0, help="The only or first seed; 0 for 1."),
    minutes: float = typer.Option(0.0, help="Play fresh seeds for so long."),
    seconds: float = typer.Option(PLAY_S, help="How long a play sends requests."),
    build: str = typer.Option("", help="Source folder of the routers; else this."),
    keep: bool = typer.Option(False, help="Keep the logs of sound plays, too."),
) -> None:
    """Play, and exit with 1 if a rule was broken."""
    source = Path(build).resolve() if build else None
    first = seed or (random.randrange(1_000, 1_000_000) if minutes else 1)
    until = time.monotonic() + minutes * 60.0
    requests, violations = 0, 0
    rows: Counter[str] = Counter()
    played = 0
    while played < seeds or time.monotonic() < until:
        outcome = _play(first + played, seconds, source, keep)
        played += 1
        requests += len(outcome.history.calls)
        violations += len(outcome.violations)
        rows += Counter(outcome.disruptions)
    text = ", ".join(f"{row} {count}" for row, count in sorted(rows.items()))
    print(
        f"soak: {played} seeds from {first}, {requests} requests, "
        f"{sum(rows.values())} disruptions ({text}), {violations} violations"
    )
    sys.exit(EXIT_BROKEN if violations else 0)


def _play(seed: int, seconds: float, build: Path | None, keep: bool) -> Outcome:
    with tempfile.TemporaryDirectory() as directory:
        outcome = play(seed, seconds, Path(directory), build)
        counts = dict(sorted(outcome.counts().items()))
        print(f"seed {seed}: {counts}, {len(outcome.violations)} violations")
        for each in outcome.violations:
            print(f"  {each.rule} {each.call}: {each.text}")
        sys.stdout.flush()
        if outcome.violations or keep:
            _keep(outcome, Path(directory))
    return outcome


def _keep(outcome: Outcome, directory: Path) -> None:
    """Keep the logs and the history of a play."""
    kept = KEPT / f"soak-{outcome.seed}-{int(time.time())}"
    shutil.copytree(directory, kept)
    (kept / "outcome.json").write_bytes(msgspec.json.encode(outcome))
    print(f"  kept in {kept}")


if __name__ == "__main__":
    typer.run(main)
