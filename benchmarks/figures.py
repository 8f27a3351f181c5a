"""Percentiles and tables of results."""

import math
import os

import msgspec

__all__ = ["Figure", "percentile", "print_table"]


class Figure(msgspec.Struct, frozen=True):
    """One line of a table of results.

    Parameters
    ----------
    name : str
        What was measured.
    value : float
        The measured value.
    unit : str
        Its unit.
    baseline : float or None
        The value of the baseline in the same run.
    target : str
        The target, as text.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None
    target: str = ""


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies.

    Parameters
    ----------
    values : list of float
        If empty, the result is NaN.
    share : float
        From 0 to 1.
    """
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _append_to_file(title: str, figures: list[Figure]) -> None:
    path = os.environ.get("BORAGEDECK_BENCH_FIGURES")
    if path:
        line = msgspec.json.encode({"title": title, "figures": figures})
        with open(path, "ab") as file:
            file.write(line + b"\n")


def print_table(title: str, figures: list[Figure]) -> None:
    """Print figures in columns."""
    _append_to_file(title, figures)
    print(f"\n{title}")
    width = max(len(figure.name) for figure in figures)
    for figure in figures:
        baseline = ""
        if figure.baseline is not None:
            baseline = f"baseline {figure.baseline:10.2f}"
        print(
            f"  {figure.name:{width}}  {figure.value:10.2f} {figure.unit:9}"
            f"  {baseline:20}  {figure.target}"
        )
