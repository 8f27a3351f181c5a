"""Strata in which the versions of a pool are compared: failure domains by route."""

from boragedeck.ids import FailureDomain
from boragedeck.version.evidence import Cell, Cells, Evidence

__all__ = ["merge_routes", "stratum_of"]

SEPARATOR = " "
"""Between the failure domain and the route; neither name contains it."""


def stratum_of(domain: FailureDomain, route: str) -> FailureDomain:
    """Return the key under which evidence of a route in a failure domain is counted."""
    return FailureDomain(f"{domain}{SEPARATOR}{route}")


def merge_routes(evidence: Evidence) -> Evidence:
    """Return the evidence by failure domain, summed over its routes."""
    return Evidence(
        new=_merge_cells(evidence.new),
        old=_merge_cells(evidence.old),
        late_new=_merge_cells(evidence.late_new),
        late_old=_merge_cells(evidence.late_old),
    )


def _merge_cells(cells: Cells) -> Cells:
    merged: Cells = {}
    for stratum, cell in cells.items():
        domain = FailureDomain(stratum.partition(SEPARATOR)[0])
        merged.setdefault(domain, Cell()).merge(cell)
    return merged
