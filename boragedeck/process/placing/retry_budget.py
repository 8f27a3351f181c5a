"""Retry budget of each pool, proportional to its successful runs."""

import random

import msgspec
from result import Err, Ok, Result

from boragedeck.exceptions import RefusedError
from boragedeck.ids import PoolName
from boragedeck.process.timers import TimerService

__all__ = ["RetryBudget"]

EARNED_PER_SUCCESS = 0.125
EARNED_PER_S = 0.5
MAX_BALANCE = 50.0
RESUME_RESERVE = 200.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
RETRY_AFTER_S = 2.0


class _Account(msgspec.Struct):
    """Retries left for a pool, the reserve left for resumes, and when both were set."""

    balance: float
    resume_balance: float
    at: float


class RetryBudget:
    """Decides whether and when a failed request may be retried.

    Parameters
    ----------
    timers : TimerService
        Provides the time and timers.
    rng : random.Random
        The source of jitter.

    Notes
    -----
    Each successful run earns `EARNED_PER_SUCCESS` retries, and each second earns
    `EARNED_PER_S`, so that requests to an idle pool can be retried. The first resume
    of an answer is paid for from a separate reserve, large enough for all runs of a
    failure domain. Since a first resume is never caused by a retry, such resumes
    can't multiply. All further attempts draw on the budget. State: three numbers for
    each declared pool.
    """

    def __init__(self, timers: TimerService, rng: random.Random):
        self._timers = timers
        self._rng = rng
        self._accounts: dict[PoolName, _Account] = {}

    def record_success(self, pool: PoolName) -> None:
        """Record a successful run."""
        account = self._account(pool)
        account.balance = min(MAX_BALANCE, account.balance + EARNED_PER_SUCCESS)
        account.resume_balance = min(
            RESUME_RESERVE, account.resume_balance + EARNED_PER_SUCCESS
        )

    def spend(
        self, pool: PoolName, attempt: int, *, is_resume: bool = False
    ) -> Result[float, RefusedError]:
        """Spend one retry of a pool's budget.

        Parameters
        ----------
        pool : PoolName
            The pool in which the request is to run.
        attempt : int
            Number of attempts that have failed so far, at least 1.
        is_resume : bool
            Whether output has already reached the caller.

        Returns
        -------
        Result
            How long to wait before the attempt, in seconds, or
            ``Err(RefusedError)`` if the budget is spent.
        """
        account = self._account(pool)
        if is_resume and attempt == 1 and account.resume_balance >= 1.0:
            account.resume_balance -= 1.0
            return Ok(0.0)
        if account.balance < 1.0:
            return Err(_budget_spent_error(pool))
        account.balance -= 1.0
        return Ok(self.backoff_s(attempt))

    def backoff_s(self, attempt: int) -> float:
        """Return a random back-off before the next attempt, in seconds."""
        exponent = max(0, attempt - 1)
        longest_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(exponent, 16))
        return self._rng.uniform(0.0, longest_s)

    def apply_pools(self, pools: frozenset[PoolName]) -> None:
        """Drop the accounts of pools that are no longer declared."""
        for name in self._accounts.keys() - pools:
            del self._accounts[name]

    def _account(self, pool: PoolName) -> _Account:
        now = self._timers.now()
        account = self._accounts.get(pool)
        if account is None:
            account = self._accounts[pool] = _Account(MAX_BALANCE, RESUME_RESERVE, now)
        earned = (now - account.at) * EARNED_PER_S
        account.balance = min(MAX_BALANCE, account.balance + earned)
        account.resume_balance = min(RESUME_RESERVE, account.resume_balance + earned)
        account.at = now
        return account


def _budget_spent_error(pool: PoolName) -> RefusedError:
    return RefusedError(
        f"too many retries in pool {pool!r}",
        status=503,
        kind="server_error",
        code="retry_budget_spent",
        retry_after_s=RETRY_AFTER_S,
        step="retry",
    )
