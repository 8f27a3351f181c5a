"""Runs the measurements one after the other and writes their tables and plots."""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import time

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
import msgspec

__all__ = ["Measurement", "main"]

OUTPUT_DIR = pathlib.Path("build/bench")
QUICK_NAMES = ("answers", "peer_transport", "timeline", "silence", "leases")
MAX_LABEL = 34


class Measurement(msgspec.Struct, frozen=True):
    """One benchmark program.

    Parameters
    ----------
    name : str
        Its module in this package.
    flags : tuple of str
        Its command-line flags.
    limit_s : float
        Maximum run time, in seconds.
    """

    name: str
    flags: tuple[str, ...] = ()
    limit_s: float = 240.0


MEASUREMENTS = (
    Measurement("peer_transport"),
    Measurement("answers", ("--rounds", "4")),
    Measurement("timeline"),
    Measurement("silence"),
    Measurement("leases"),
    Measurement("choice"),
    Measurement("limits"),
    Measurement("failures"),
    Measurement("quarantine"),
    Measurement("grace"),
    Measurement("commands"),
    Measurement("config_in_force"),
    Measurement("rollouts", ("--seeds", "3")),
    Measurement("control_cost"),
    Measurement("load_messages"),
    Measurement("replica_limits", ("9", "80")),
    Measurement("deadly_parts", ("9", "80")),
)


def main() -> None:
    """Run the measurements; exit with 1 if one fails or takes too long."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="only the short ones")
    parser.add_argument("--only", help="the name of one measurement")
    arguments = parser.parse_args()
    OUTPUT_DIR.mkdir(parents=True, exist_ok=True)
    failed = []
    for measurement in MEASUREMENTS:
        if arguments.only and measurement.name != arguments.only:
            continue
        if arguments.quick and measurement.name not in QUICK_NAMES:
            continue
        if not _run_measurement(measurement):
            failed.append(measurement.name)
    if failed:
        print(f"failed: {', '.join(failed)}", file=sys.stderr)
        sys.exit(1)


def _run_measurement(measurement: Measurement) -> bool:
    figures = OUTPUT_DIR / f"{measurement.name}.jsonl"
    figures.unlink(missing_ok=True)
    environ = dict(os.environ, BORAGEDECK_BENCH_FIGURES=str(figures))
    command = [sys.executable, "-W", "ignore", "-m", f"benchmarks.{measurement.name}"]
    started = time.monotonic()
    print(f"--- {measurement.name}", flush=True)
    try:
        done = subprocess.run(
            [*command, *measurement.flags],
            stdout=subprocess.PIPE,
            text=True,
            timeout=measurement.limit_s,
            env=environ,
        )
    except subprocess.TimeoutExpired:
        print(
            f"{measurement.name} took over {measurement.limit_s:.0f} s", file=sys.stderr
        )
        return False
    (OUTPUT_DIR / f"{measurement.name}.txt").write_text(done.stdout)
    print(done.stdout, end="")
    print(f"({time.monotonic() - started:.0f} s)", flush=True)
    if figures.exists():
        _plot(measurement.name, figures)
    return done.returncode == 0


def _plot(name: str, path: pathlib.Path) -> None:
    """Draw the values of each table as bars next to those of its baseline."""
    tables = [json.loads(line) for line in path.read_text().splitlines()]
    fig, axes = plt.subplots(
        len(tables), 1, figsize=(9, 3.2 * len(tables)), squeeze=False
    )
    for axis, table in zip(axes[:, 0], tables, strict=True):
        rows = [row for row in table["figures"] if row["unit"] != "share"]
        places = range(len(rows))
        axis.barh(
            [p - 0.2 for p in places],
            [row["value"] for row in rows],
            height=0.4,
            label="measured",
        )
        axis.barh(
            [p + 0.2 for p in places],
            [row["baseline"] or 0.0 for row in rows],
            height=0.4,
            label="baseline",
        )
        axis.set_yticks(
            list(places), [row["name"][:MAX_LABEL] for row in rows], fontsize=8
        )
        axis.invert_yaxis()
        axis.set_xlabel(rows[0]["unit"] if rows else "")
        axis.set_title(table["title"], fontsize=10)
        axis.legend(fontsize=8)
    fig.tight_layout()
    fig.savefig(OUTPUT_DIR / f"{name}.svg")
    fig.savefig(OUTPUT_DIR / f"{name}.png", dpi=100)
    plt.close(fig)


if __name__ == "__main__":
    main()
