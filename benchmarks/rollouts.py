"""Runs the matrix of rollout scenarios, with a timer baseline, and prints a table.

Usage: ``python -m benchmarks.rollouts [--seeds 20] [--processes 4] [--only TEXT]``.
The exit status is 1 if a target is missed.
"""

import argparse
import statistics
import subprocess
import sys

import eventlet
import msgspec

from benchmarks.rollout_faults import SCENARIOS, EventKind, Fault, Scenario, scenario
from benchmarks.rollout_model import Model, Report

__all__ = ["main"]

MAX_EARLY_SHARE = 0.05
MAX_LAG_S = 2.0
MAX_LAG_PARTITION_S = 5.0
MAX_SPOILED_WITHOUT_STOP = 20
"""Without a stop, a run must spoil fewer requests than this.

A version may also be rolled back without a stop, for lack of evidence.
"""
RAMP_END = 0.6
DONE_AT = 0.85


class Summary(msgspec.Struct):
    """Results of one scenario over its seeds."""

    name: str
    reports: list[Report]
    baseline: list[Report]
    missed_targets: list[str]


def timer_share(progress: float) -> float:
    """Return the baseline's share of the new version, a ramp that ignores evidence."""
    if progress < 0.0:
        return 0.0
    return 1.0 if progress >= DONE_AT else min(1.0, progress / RAMP_END)


class Task(msgspec.Struct, frozen=True):
    """One run of one scenario, in a process of its own."""

    name: str
    seed: int
    is_baseline: bool


def run_task(task: Task) -> list[Report]:
    """Run a task in this process."""
    baseline_share = timer_share if task.is_baseline else None
    return Model(scenario(task.name), task.seed, baseline_share).run()


def run_in_subprocess(task: Task) -> list[Report]:
    """Run a task in another process.

    Raises
    ------
    subprocess.CalledProcessError
        If the run fails.
    """
    argument = msgspec.json.encode(task).decode()
    command = [sys.executable, "-m", "benchmarks.rollouts", "--task", argument]
    done = subprocess.run(command, check=True, stdout=subprocess.PIPE)
    return msgspec.json.decode(done.stdout, type=list[Report])


def missed_targets(item: Scenario, report: Report) -> list[str]:
    """Return the targets that a run missed."""
    found = []
    is_partitioned = any(event.kind is EventKind.PARTITION for event in item.events)
    limit = MAX_LAG_PARTITION_S if is_partitioned else MAX_LAG_S
    if report.early_share >= MAX_EARLY_SHARE:
        found.append(f"{report.early_share:.1%} sent before evidence")
    if report.is_bad and report.is_done:
        found.append("a bad version was finished")
    if report.stop_lag_s is not None and report.stop_lag_s > limit:
        found.append(f"sent {report.stop_lag_s} s after the stop")
    if report.stop_lag_s is None and report.spoiled >= MAX_SPOILED_WITHOUT_STOP:
        found.append(f"{report.spoiled} requests were spoiled without a stop")
    if not report.outcomes:
        found.append("the attempt has no outcome")
    if not report.is_bad and item.must_finish:
        if not report.is_done or report.done_at > report.deadline:
            found.append(f"a good version was not done in time: {report.reason}")
    if not report.is_bad and report.stop_lag_s is not None:
        found.append(f"a good version was stopped: {report.reason}")
    if report.late_new:
        found.append(f"{report.late_new} sent after the deadline without an outcome")
    return found


def summarise(item: Scenario, runs: list[list[Report]], base: list[list[Report]]):
    """Return the summary of a scenario's runs."""
    reports = [report for run in runs for report in run]
    baseline = [report for run in base for report in run]
    found = [
        f"seed {seed}, {report.route}: {text}"
        for seed, run in enumerate(runs)
        for report in run
        for text in missed_targets(item, report)
    ]
    return Summary(item.name, reports, baseline, found)


def row(summary: Summary) -> str:
    """Return a scenario's row of the table."""
    bad = [report for report in summary.reports if report.is_bad]
    good = [report for report in summary.reports if not report.is_bad]
    base = [report for report in summary.baseline if report.is_bad]
    in_time = sum(r.is_done and r.done_at <= r.deadline for r in good)
    cells = [
        summary.name,
        _spoiled(bad),
        _spoiled(base),
        _median_and_max(
            [r.last_sent_new - r.first_spoiled for r in bad if r.first_spoiled]
        ),
        _median_and_max([r.stop_lag_s for r in bad if r.stop_lag_s is not None]),
        f"{sum(r.is_done for r in bad)}/{len(bad)}" if bad else "-",
        f"{in_time}/{len(good)}" if good else "-",
        f"{max(report.early_share for report in summary.reports):.1%}",
        str(len(summary.missed_targets)),
    ]
    return "| " + " | ".join(cells) + " |"


def main() -> int:
    """Run the matrix."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--only", default="")
    parser.add_argument("--task", default="", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.task:
        reports = run_task(msgspec.json.decode(args.task, type=Task))
        sys.stdout.write(msgspec.json.encode(reports).decode())
        return 0
    items = [item for item in SCENARIOS if args.only in item.name]
    print(
        "| scenario | spoiled: mean, max, share | baseline on a timer "
        "| first fault to none sent, s: median, max | stop to none sent, s "
        "| bad finished | good done in time | before evidence, max | misses |"
    )
    print("|" + " --- |" * 9)
    failed = []
    pool = eventlet.GreenPool(args.processes)
    for item in items:
        seeds = range(args.seeds)
        runs = list(
            pool.imap(run_in_subprocess, [Task(item.name, s, False) for s in seeds])
        )
        base = []
        if item.fault is not Fault.NONE:
            base = list(
                pool.imap(run_in_subprocess, [Task(item.name, s, True) for s in seeds])
            )
        summary = summarise(item, runs, base)
        print(row(summary), flush=True)
        failed += [f"{item.name}: {text}" for text in summary.missed_targets]
    for text in failed:
        print(text)
    return 1 if failed else 0


def _spoiled(reports: list[Report]) -> str:
    if not reports:
        return "-"
    counts = [report.spoiled for report in reports]
    share = statistics.mean(r.spoiled / max(1, r.requests) for r in reports)
    return f"{statistics.mean(counts):.0f}, {max(counts)}, {share:.2%}"


def _median_and_max(values: list[float]) -> str:
    if not values:
        return "-"
    return f"{statistics.median(values):.1f}, {max(values):.1f}"


if __name__ == "__main__":
    sys.exit(main())
