"""The row of the platform's store that outlives the routers: verdicts and crashes."""

import msgspec
from result import Err, Ok, Result

from boragedeck.decoding import DECODE_ERRORS
from boragedeck.ids import FailureDomain, PoolName, Version
from boragedeck.process.relaying.crashes.crash_cases import CrashCase
from boragedeck.process.relaying.crashes.crash_messages import CrashSuspect, Signature
from boragedeck.process.relaying.replicas.replica_state import Run

__all__ = [
    "EMPTY_ROW",
    "ROW_KEY",
    "CrashRow",
    "StoredCrash",
    "StoredVerdict",
    "decode_row",
    "encode_row",
    "stored_crash",
]

ROW_KEY = "judge"
MAX_ROW_BYTES = 32_768
MAX_VERDICTS = 128
MAX_CRASHES = 32
MAX_SUSPECTS = 8
"""Maximum number of requests that are kept for one crash."""


class StoredVerdict(msgspec.Struct, frozen=True, array_like=True):
    """A verdict by which requests are refused.

    Parameters
    ----------
    signature : Signature
        What is blamed.
    trials : int
        Number of trials that it has had.
    trial_after_s : float
        Seconds from the decision to the next trial.
    decided_at : float
        When it was decided, in Unix seconds.
    """

    signature: Signature
    trials: int
    trial_after_s: float
    decided_at: float


class StoredCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash that counts, with the requests that nothing has cleared.

    Parameters
    ----------
    run, pool, domain, version, is_only_version
        See `ReportCrash`.
    at : float
        When the connections broke, in Unix seconds.
    suspects : tuple of CrashSuspect
        The prime suspects, with the parts and families that are suspicious.
    """

    run: Run
    pool: PoolName
    domain: FailureDomain
    version: Version
    is_only_version: bool
    at: float
    suspects: tuple[CrashSuspect, ...]


class CrashRow(msgspec.Struct, frozen=True):
    """What the judge of crashes knows, as it is stored.

    Parameters
    ----------
    verdicts : tuple of StoredVerdict
        The verdicts that blame, the newest last.
    crashes : tuple of StoredCrash
        The crashes that count, the newest last.
    """

    verdicts: tuple[StoredVerdict, ...] = ()
    crashes: tuple[StoredCrash, ...] = ()

    def has_news_for(self, stored: "CrashRow") -> bool:
        """Return whether it says more than a stored row than that time has passed."""
        if self._decisions() != stored._decisions():
            return True
        return not self._suspicions() <= stored._suspicions()

    def _decisions(self) -> set[tuple[Signature, int]]:
        return {(each.signature, each.trials) for each in self.verdicts}

    def _suspicions(self) -> set[tuple[Run, str]]:
        return {
            (crash.run, each.fingerprint)
            for crash in self.crashes
            for each in crash.suspects
        }


EMPTY_ROW = CrashRow()


def stored_crash(case: CrashCase, at: float) -> StoredCrash:
    """Return a crash as it is stored.

    Parameters
    ----------
    case : CrashCase
        The crash with its prime suspects.
    at : float
        When the connections broke, in Unix seconds.
    """
    crash = case.crash
    suspects = [
        msgspec.structs.replace(
            each,
            shared_parts=tuple(sorted(parts)),
            family=each.family if each.family in case.families else "",
        )
        for each, parts in zip(case.suspects, case.suspicious_parts, strict=True)
    ]
    return StoredCrash(
        crash.run,
        crash.pool,
        crash.domain,
        crash.version,
        crash.is_only_version,
        at,
        tuple(suspects[:MAX_SUSPECTS]),
    )


def encode_row(row: CrashRow) -> bytes:
    """Return the content of a row, without what is oldest if there is too much."""
    row = CrashRow(row.verdicts[-MAX_VERDICTS:], row.crashes[-MAX_CRASHES:])
    body = msgspec.json.encode(row)
    while len(body) > MAX_ROW_BYTES:
        row = _newer_half(row)
        body = msgspec.json.encode(row)
    return body


def decode_row(body: bytes) -> Result[CrashRow, str]:
    """Return a row; an error if another program has written it."""
    try:
        return Ok(msgspec.json.decode(body, type=CrashRow))
    except DECODE_ERRORS as exc:
        return Err(str(exc))


def _newer_half(row: CrashRow) -> CrashRow:
    """Return a row without the older half of the crashes, or else of the verdicts."""
    if row.crashes:
        crashes = row.crashes[(len(row.crashes) + 1) // 2 :]
        return CrashRow(row.verdicts, crashes)
    return CrashRow(row.verdicts[(len(row.verdicts) + 1) // 2 :])
