"""Sums the evidence that one router has about an attempt, and judges it."""

from collections import deque

import msgspec

from boragedeck.ids import RouterId
from boragedeck.interfaces import Outcome, RunSample
from boragedeck.version.alarm import is_alarming
from boragedeck.version.evidence import (
    MAX_EARLY_AGE_S,
    MAX_LOSSES,
    Cell,
    Evidence,
    Loss,
    Window,
    hash_fingerprint,
    is_loss,
    trials,
)
from boragedeck.version.judgement import (
    SUSPICION_NATS,
    Rejection,
    Score,
    UpstreamCounts,
    group_score,
    is_rejected,
    make_rejection,
)
from boragedeck.version.losses import judge_losses
from boragedeck.version.rollout_plan import Progress
from boragedeck.version.rollout_row import RolloutRow

__all__ = ["ALARM_SHARE_CAP", "AttemptWatch"]

CLOSE_AFTER_WINDOWS = 2
"""Number of windows after which one is closed; later evidence for it is ignored."""
MAX_OPEN_WINDOWS = 4
"""Maximum number of windows that are kept of each router."""
MIN_CONTROL_TRIALS = 8
"""Trials of the old version from which a group of windows is complete."""
MAX_GROUP_WINDOWS = 6
"""Number of windows at which a group is complete in any case."""
MAX_QUARANTINED = 256
MAX_PUBLISHED_LOSSES = 64
MAX_PUBLISHED_QUARANTINED = 16
LOSS_PUBLISH_S = 60.0
"""How long losses and cleared requests are published, in seconds."""
LOSS_SETTLE_S = 1.5
"""Delay before a loss is judged.

Earlier, its report may lack the request that it has in common with another loss.
"""
MAX_ORIGINS = 1024
"""Maximum number of routers whose windows are kept."""
RECENT_WINDOWS = 3
"""Number of latest windows that count as recent."""
ALARM_SHARE_CAP = 0.10
"""Largest share during an alarm; it distinguishes versions with the fewest requests."""
ALARM_HOLD_S = 15.0
"""How long the share stays limited after the latest alarm."""


class AttemptWatch:
    """Sums the evidence of all routers about one attempt and judges it.

    Parameters
    ----------
    row : RolloutRow
        The attempt.
    own : RouterId
        This router.

    Attributes
    ----------
    nats : float
        Evidence against the new version at the latest judgement.

    Notes
    -----
    Windows are summed into groups that have enough runs of the old version. A group
    is added to the score when it is complete and old enough that the messages of other
    routers have arrived.
    """

    def __init__(self, row: RolloutRow, own: RouterId):
        self.row = row
        self.nats = 0.0
        self._own = own
        self._windows: dict[RouterId, dict[int, Window]] = {}
        self._unpublished_indices: set[int] = set()
        self._losses: set[Loss] = set()
        self._lost_fingerprints: set[int] = set()
        self._cleared: dict[int, float] = {}
        self._own_losses: deque[Loss] = deque(maxlen=MAX_PUBLISHED_LOSSES)
        self._quarantined: set[int] = set()
        self._last_closed_index = self._window_index(row.started) - 1
        self._group = Evidence()
        self._group_window_count = 0
        self._score = Score()
        self._closed_evidence = Evidence()
        self._old_reference = Cell()
        self._step_trials = 0
        self._step = row.step
        self._share_capped_until = float("-inf")

    def observe(self, sample: RunSample, wall: float) -> None:
        """Add a sample of a run at this router to the evidence."""
        fingerprint = hash_fingerprint(sample.fingerprint)
        if sample.is_quarantined:
            self._add_quarantined([fingerprint] if fingerprint else [])
            return
        is_new = sample.version == self.row.new
        if (
            sample.outcome is Outcome.COMPLETED
            and fingerprint in self._lost_fingerprints
        ):
            self._cleared[fingerprint] = wall
            _trim_cleared(self._cleared)
        if is_loss(sample):
            domain = sample.failure_domain
            loss = Loss(sample.upstream, domain, is_new, wall, fingerprint)
            self._own_losses.append(loss)
            self._add_losses([loss])
        if sample.route != self.row.route:
            return
        is_late = sample.age_s > MAX_EARLY_AGE_S
        window = self._own_window(wall if is_late else wall - sample.age_s)
        window.evidence.add(sample, is_new=is_new, is_late=is_late)
        self._unpublished_indices.add(window.index)

    def add_peer_window(self, origin: RouterId, window: Window) -> None:
        """Store a window of another router; it replaces an earlier version of it."""
        if window.number != self.row.number or window.index <= self._last_closed_index:
            return
        if origin not in self._windows and len(self._windows) >= MAX_ORIGINS:
            return
        windows_by_index = self._windows.setdefault(origin, {})
        windows_by_index[window.index] = window
        _prune_windows(windows_by_index)
        self._add_losses(window.losses)
        self._add_quarantined(window.quarantined)
        self._cleared.update(dict.fromkeys(window.cleared, float("-inf")))
        _trim_cleared(self._cleared)

    def update_row(self, row: RolloutRow) -> None:
        """Replace the row by a later one of the same attempt."""
        if row.step != self._step:
            self._step = row.step
            self._step_trials = 0
        self.row = row

    def changed_windows(self, wall: float) -> list[Window]:
        """Return this router's windows that have changed since the last call."""
        current = self._own_window(wall)
        indices = self._unpublished_indices | {current.index}
        self._unpublished_indices = set()
        windows_by_index = self._windows[self._own]
        windows = [
            windows_by_index[index]
            for index in sorted(indices)
            if index in windows_by_index
        ]
        if not windows:
            # The wall clock was set back by more than the retained windows.
            return []
        windows[-1] = msgspec.structs.replace(
            windows[-1],
            losses=[
                loss for loss in self._own_losses if wall - loss.at < LOSS_PUBLISH_S
            ],
            cleared=self._recently_cleared(wall),
            quarantined=sorted(self._quarantined)[:MAX_PUBLISHED_QUARANTINED],
        )
        return windows

    def judge(self, wall: float, upstream_counts: UpstreamCounts) -> Rejection | None:
        """Return a rejection if the evidence suffices to reject the new version."""
        self._close_windows(
            self._window_index(wall) - CLOSE_AFTER_WINDOWS, upstream_counts
        )
        by_index = self._open_evidence_by_index()
        open_evidence = _merge_evidence([self._group, *by_index.values()])
        score = self._score.after(group_score(open_evidence, upstream_counts))
        _, self.nats = score.strongest_evidence()
        self._check_alarm(wall, by_index)
        if is_rejected(score):
            return make_rejection(score, self._total_evidence())
        return judge_losses(
            [loss for loss in self._losses if loss.at <= wall - LOSS_SETTLE_S],
            self._cleared.keys(),
            self._quarantined,
            upstream_counts.new_upstreams,
            upstream_counts.old_upstreams,
            max(1.0, wall - self.row.started),
            upstream_counts.old_domains,
        )

    def is_share_capped(self, wall: float) -> bool:
        """Return whether an alarm limits the share."""
        return wall < self._share_capped_until

    def recent_reporters(self, wall: float) -> set[RouterId]:
        """Return the routers whose evidence of recent windows has been received."""
        oldest = self._window_index(wall) - RECENT_WINDOWS
        return {
            origin
            for origin, windows_by_index in self._windows.items()
            if windows_by_index and max(windows_by_index) >= oldest
        }

    def progress(self, wall: float) -> Progress:
        """Return a summary of the evidence.

        The step's trials are those of closed windows, so they started at least
        `MAX_EARLY_AGE_S` ago.
        """
        total = self._total_evidence()
        new, old = total.total(is_new=True), total.total(is_new=False)
        elapsed = max(self.row.window_s, wall - self.row.started)
        return Progress(
            trials=self._step_trials,
            long_trials=new.long_trials,
            old_trials=old.trials,
            old_long_trials=old.long_trials,
            nats=self.nats,
            rate=_trial_count(total) / elapsed,
            is_share_capped=self.is_share_capped(wall),
        )

    def _window_index(self, wall: float) -> int:
        return int(wall // self.row.window_s)

    def _own_window(self, wall: float) -> Window:
        windows_by_index = self._windows.setdefault(self._own, {})
        index = max(self._window_index(wall), self._last_closed_index + 1)
        if index not in windows_by_index:
            windows_by_index[index] = Window(self.row.number, index)
            _prune_windows(windows_by_index)
        return windows_by_index.get(index) or Window(self.row.number, index)

    def _close_windows(self, last: int, upstream_counts: UpstreamCounts) -> None:
        for index in range(
            max(self._last_closed_index + 1, last - MAX_OPEN_WINDOWS), last + 1
        ):
            self._close_window(index, upstream_counts)
        self._last_closed_index = max(self._last_closed_index, last)

    def _close_window(self, index: int, upstream_counts: UpstreamCounts) -> None:
        for windows_by_index in self._windows.values():
            window = windows_by_index.pop(index, None)
            if window is None:
                continue
            self._group.merge(window.evidence)
            self._closed_evidence.merge(window.evidence)
            self._old_reference.merge(window.evidence.total(is_new=False))
            if index * self.row.window_s >= self.row.step_since - self.row.window_s:
                self._step_trials += trials(window.evidence.new)
        self._group_window_count += 1
        is_full = trials(self._group.old) >= MIN_CONTROL_TRIALS and self._group.new
        if is_full or self._group_window_count >= MAX_GROUP_WINDOWS:
            self._score = self._score.after(group_score(self._group, upstream_counts))
            self._group = Evidence()
            self._group_window_count = 0

    def _check_alarm(self, wall: float, by_index: dict[int, Evidence]) -> None:
        if self.row.share <= ALARM_SHARE_CAP:
            return
        newest = self._window_index(wall)
        recent = Cell()
        for index in range(newest, newest - RECENT_WINDOWS, -1):
            if index in by_index:
                recent.merge(by_index[index].total(is_new=True))
            if is_alarming(recent, self._old_reference):
                self._share_capped_until = wall + ALARM_HOLD_S
        if self.is_share_capped(wall) and self.nats >= SUSPICION_NATS:
            self._share_capped_until = wall + ALARM_HOLD_S

    def _open_evidence_by_index(self) -> dict[int, Evidence]:
        by_index: dict[int, Evidence] = {}
        for windows_by_index in self._windows.values():
            for index, window in windows_by_index.items():
                by_index.setdefault(index, Evidence()).merge(window.evidence)
        return by_index

    def _total_evidence(self) -> Evidence:
        return _merge_evidence(
            [self._closed_evidence, *self._open_evidence_by_index().values()]
        )

    def _add_losses(self, losses: list[Loss]) -> None:
        self._losses.update(losses)
        if len(self._losses) > MAX_LOSSES:
            latest = sorted(self._losses, key=lambda loss: loss.at)[-MAX_LOSSES:]
            self._losses = set(latest)
        if losses:
            self._lost_fingerprints = {loss.fingerprint for loss in self._losses} - {0}

    def _recently_cleared(self, wall: float) -> list[int]:
        fingerprints = [
            fingerprint
            for fingerprint, at in self._cleared.items()
            if wall - at < LOSS_PUBLISH_S
        ]
        return fingerprints[-MAX_PUBLISHED_LOSSES:]

    def _add_quarantined(self, fingerprints: list[int]) -> None:
        room = MAX_QUARANTINED - len(self._quarantined)
        self._quarantined.update(fingerprints[: max(0, room)])


def _merge_evidence(parts: list[Evidence]) -> Evidence:
    evidence = Evidence()
    for part in parts:
        evidence.merge(part)
    return evidence


def _trim_cleared(cleared: dict[int, float]) -> None:
    while len(cleared) > MAX_LOSSES:
        del cleared[next(iter(cleared))]


def _prune_windows(windows_by_index: dict[int, Window]) -> None:
    for index in sorted(windows_by_index)[:-MAX_OPEN_WINDOWS]:
        del windows_by_index[index]


def _trial_count(evidence: Evidence) -> int:
    return trials(evidence.new) + trials(evidence.old)
