"""Measures the control plane's cost for a router: processor time, memory and bytes.

Complete routers run on loopback links, 3, 9 and 27 in a process, with a stand-in
platform in a separate process; the costs of 370 routers are extrapolated. Gossip and
membership of 370 routers also run on in-memory links with a fake timer, which gives
their bytes and how fast facts spread.

    python -m benchmarks.control_cost
"""

import subprocess
import sys

import msgspec

from benchmarks.figures import Figure, print_table

__all__ = ["Cost", "main"]

SIZES = (3, 9, 27)
TARGET_ROUTERS = 370
CHILD_TIMEOUT_S = 540.0
LIMIT_CORE_PERCENT = 3.2
LIMIT_MEMORY_MB = 64.0
LIMIT_BYTES_KB = 16.0


class Cost(msgspec.Struct, frozen=True):
    """Cost of one router.

    Parameters
    ----------
    routers : int
        Size of the fleet.
    idle_core_percent, change_core_percent : float
        Processor time, in percent of a core.
    base_mb : float
        Resident memory of a process with no router yet, in MB.
    router_mb : float
        Resident memory of each additional router, in MB.
    idle_kb_s, change_kb_s : float
        Bytes sent and received, in KB/s.
    """

    routers: int
    idle_core_percent: float
    change_core_percent: float
    base_mb: float
    router_mb: float
    idle_kb_s: float
    change_kb_s: float


def extrapolate(costs: list[Cost], name: str, routers: int) -> float:
    """Return a cost at another fleet size, on the least-squares line.

    Parameters
    ----------
    costs : list of Cost
        The measured costs.
    name : str
        The field of `Cost`.
    routers : int
        The fleet size.
    """
    xs = [cost.routers for cost in costs]
    ys = [getattr(cost, name) for cost in costs]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    product = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    return mean_y + product / spread * (routers - mean_x)


def main() -> None:
    """Run the measurements one after the other and print them."""
    costs = []
    for size in SIZES:
        cost = msgspec.json.decode(
            _run_child("benchmarks.control_routers", size), type=Cost
        )
        costs.append(cost)
        print_table(f"{size} routers", _cost_figures(cost))
    names = msgspec.structs.fields(Cost)[1:]
    values = (extrapolate(costs, field.name, TARGET_ROUTERS) for field in names)
    print_table("370 routers, by slope", _cost_figures(Cost(TARGET_ROUTERS, *values)))
    print(_run_child("benchmarks.control_gossip", TARGET_ROUTERS).decode(), end="")


def _cost_figures(cost: Cost) -> list[Figure]:
    core = f"under {LIMIT_CORE_PERCENT} %"
    memory = f"under {LIMIT_MEMORY_MB} MB in all"
    rate = f"under {LIMIT_BYTES_KB} KB/s"
    return [
        Figure("processor, idle", cost.idle_core_percent, "% core", target=core),
        Figure("processor, change", cost.change_core_percent, "% core", target=core),
        Figure("memory, process", cost.base_mb, "MB", target=memory),
        Figure("memory, each router", cost.router_mb, "MB", target=memory),
        Figure("sent and received, idle", cost.idle_kb_s, "KB/s", target=rate),
        Figure("sent and received, change", cost.change_kb_s, "KB/s", target=rate),
    ]


def _run_child(module: str, routers: int) -> bytes:
    command = [sys.executable, "-W", "ignore", "-m", module, str(routers)]
    done = subprocess.run(
        command, stdout=subprocess.PIPE, timeout=CHILD_TIMEOUT_S, check=True
    )
    return done.stdout


if __name__ == "__main__":
    main()
