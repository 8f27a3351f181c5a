"""Measures engine tokens generated per token read when 70 % of callers abandon.

Callers leave at a random point of the answer; some come back. Compared are running
every answer to its end, stopping it at once, a fixed grace period and the learned one,
for the same generated callers.
"""

import random

import msgspec

from boragedeck.ids import PoolName, RouteName
from boragedeck.process.answering.grace import LearnedGrace
from boragedeck.version.tables import Config, Route, RouteLimits

CALLERS = 20_000
SEED = 5
TOKENS_PER_S = 30.0
ABANDONING_SHARE = 0.7
FIXED_GRACE_S = 5.0
MAX_GRACE_S = 10.0
ROUTES = {"kiosk": (0.02, 1.0), "phone": (0.35, 0.8), "night": (0.25, 3.0)}


class Caller(msgspec.Struct, frozen=True):
    """One caller.

    Parameters
    ----------
    route : RouteName
        The caller's route.
    tokens : int
        Length of the answer.
    leaves_at : int or None
        Tokens read when the caller leaves; None if it stays.
    returns_after_s : float or None
        Time from leaving to coming back; None if the caller doesn't come back.
    """

    route: RouteName
    tokens: int
    leaves_at: int | None
    returns_after_s: float | None


class _FixedConfig:
    def __init__(self):
        limits = RouteLimits(grace_s=MAX_GRACE_S)
        pool = PoolName("models")
        routes = tuple(Route(RouteName(name), pool, limits=limits) for name in ROUTES)
        self._cfg = Config(routes=routes)

    def current(self) -> Config:
        return self._cfg


def generate_callers(seed: int) -> list[Caller]:
    """Return random callers of three routes."""
    rng = random.Random(seed)
    callers = []
    for _ in range(CALLERS):
        route = rng.choice(list(ROUTES))
        return_share, mean_s = ROUTES[route]
        tokens = rng.randint(800, 1600) if rng.random() < 0.12 else rng.randint(40, 240)
        leaves = rng.random() < ABANDONING_SHARE
        returns = rng.random() < return_share
        callers.append(
            Caller(
                RouteName(route),
                tokens,
                rng.randrange(tokens) if leaves else None,
                rng.lognormvariate(0.0, 0.7) * mean_s if returns else None,
            )
        )
    return callers


def simulate(callers: list[Caller], grace_s, note_return, note_no_return) -> str:
    """Return a line of figures for a policy."""
    spent = read = came_back = lost = 0
    for caller in callers:
        if caller.leaves_at is None:
            spent += caller.tokens
            read += caller.tokens
            continue
        tokens_left = caller.tokens - caller.leaves_at
        grace = grace_s(caller.route)
        returns_after_s = caller.returns_after_s
        finishes_in_grace = tokens_left / TOKENS_PER_S <= grace
        if returns_after_s is None:
            spent += caller.leaves_at + min(tokens_left, int(grace * TOKENS_PER_S))
            read += caller.leaves_at
            note_no_return(caller.route)
            continue
        came_back += 1
        # A finished answer is stored, so a caller that returns late can still read it.
        if returns_after_s <= grace or finishes_in_grace:
            spent += caller.tokens
            read += caller.tokens
            note_return(caller.route, returns_after_s)
        else:
            spent += caller.leaves_at + int(grace * TOKENS_PER_S)
            read += caller.leaves_at
            lost += 1
            note_no_return(caller.route)
    return (
        f"tokens spent per token read {spent / read:5.3f}  lost {lost / came_back:5.1%}"
    )


def main() -> None:
    """Print a line for each policy."""
    callers = generate_callers(SEED)
    learned = LearnedGrace(_FixedConfig(), random.Random(SEED))
    policies = {
        "to the end": lambda route: float("inf"),
        "stop at once": lambda route: 0.0,
        "fixed": lambda route: FIXED_GRACE_S,
    }
    for name, grace_s in policies.items():
        line = simulate(
            callers, _capped(grace_s), lambda route, after_s: None, lambda route: None
        )
        print(f"{name:13} {line}")
    line = simulate(
        callers, learned.grace_s, learned.note_return, learned.note_no_return
    )
    print(f"{'learned':13} {line}")
    for route in ROUTES:
        print(f"  {route:6} grace {learned.learned_s(RouteName(route)):5.2f} s")


def _capped(grace_s):
    return lambda route: min(grace_s(route), 1e6)


if __name__ == "__main__":
    main()
