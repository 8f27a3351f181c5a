"""The configuration in force in a process; its revision never decreases."""

import enum
from collections import deque
from collections.abc import Callable, Sequence

import eventlet

from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import TableError
from boragedeck.ids import Revision
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.timers import TimerService
from boragedeck.version.config_messages import ConfigContent
from boragedeck.version.config_store import Change, pack, unpack
from boragedeck.version.delta import canonical, digest, patch
from boragedeck.version.tables import Config

__all__ = ["ConfigInForce", "Source"]

MAX_KEPT_CHANGES = 64
MAX_KEPT_BYTES = 256 * 1024

_log = PartLog("config")


class Source(enum.Enum):
    """The source of a configuration."""

    NONE = "none"
    PLATFORM = "platform"
    PEER = "peer"


class ConfigInForce:
    """Holds the newest accepted configuration that this process has received.

    Parameters
    ----------
    timers : TimerService
        The source of time.

    Attributes
    ----------
    current : Config
        The configuration in force; revision 0 before the first is received.
    digest : str
        The hash of the configuration in force.
    source : Source
        The source of the configuration in force.
    since : float
        When the configuration came into force, on the timer service's monotonic
        clock.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self.current = Config()
        self.digest = digest(self.current)
        self.source = Source.NONE
        self.since = timers.now()
        self._subscribers: list[_Subscriber] = []
        self._recent_changes: deque[tuple[Revision, bytes]] = deque(
            maxlen=MAX_KEPT_CHANGES
        )
        self._packed_full_config = b""

    def subscribe(self, callback: Callable[[Config], None]) -> None:
        """Register a callback for each configuration that comes into force.

        Calls are in order of revisions. Revisions that were never in force here are
        skipped, as are those that are superseded while the callback runs. A slow
        callback does not delay the others.
        """
        self._subscribers.append(_Subscriber(callback, self.current.revision))

    def install_config(self, cfg: Config, source: Source) -> None:
        """Put an accepted configuration in force if it is newer."""
        if cfg.revision <= self.current.revision:
            return
        self._recent_changes.clear()
        self._set_current(canonical(cfg), source)

    def install_changes(self, changes: Sequence[Change], source: Source) -> bool:
        """Apply accepted changes in order and put the result in force in one step.

        Returns
        -------
        bool
            False if a change does not follow the previous revision or its result
            has another digest than the accepted one; nothing is changed then.
        """
        cfg = self.current
        packed_changes = []
        for change in changes:
            if change.revision <= cfg.revision:
                continue
            if change.revision != cfg.revision + 1 or change.delta is None:
                return False
            try:
                cfg = patch(cfg, change.delta, change.revision)
            except KeyError:
                return False
            if digest(cfg) != change.digest:
                return False
            packed_changes.append((change.revision, pack(change)))
        # No other green thread can have run in between, since nothing above yields.
        if cfg.revision > self.current.revision:
            self._keep_recent(packed_changes)
            self._set_current(cfg, source)
        return True

    def install_content(self, content: ConfigContent) -> None:
        """Put the configuration or the changes that a peer sent in force.

        Raises
        ------
        TableError
            If the content can't be decoded, or if its changes don't follow the
            revision in force or give another digest than the accepted one.
        """
        try:
            changes = [unpack(body, Change) for body in content.changes]
            full_config = (
                unpack(content.full_config, Config) if content.full_config else None
            )
        except DECODE_ERRORS as exc:
            raise TableError(str(exc), step="fetch configuration") from exc
        if full_config is not None:
            self.install_config(full_config, Source.PEER)
        elif not self.install_changes(changes, Source.PEER):
            raise TableError(
                "changes don't follow the revision in force, or give another digest",
                step="fetch configuration",
            )

    def content(self, after: Revision) -> ConfigContent:
        """Return the changes or the configuration that a router at a revision lacks."""
        revision = self.current.revision
        if after >= revision:
            return ConfigContent(revision)
        changes = tuple(body for number, body in self._recent_changes if number > after)
        if len(changes) == revision - after:
            return ConfigContent(revision, changes)
        if not self._packed_full_config:
            self._packed_full_config = pack(self.current)
        return ConfigContent(revision, full_config=self._packed_full_config)

    def _keep_recent(self, packed_changes: list[tuple[Revision, bytes]]) -> None:
        self._recent_changes.extend(packed_changes)
        while sum(len(body) for _, body in self._recent_changes) > MAX_KEPT_BYTES:
            self._recent_changes.popleft()

    def _set_current(self, cfg: Config, source: Source) -> None:
        self.current = cfg
        self.digest = digest(cfg)
        self.source = source
        self.since = self._timers.now()
        self._packed_full_config = b""
        _log.write("In force.", revision=cfg.revision, source=source.value)
        for subscriber in self._subscribers:
            if not subscriber.is_running:
                subscriber.is_running = True
                eventlet.spawn_n(self._notify, subscriber)

    def _notify(self, subscriber: "_Subscriber") -> None:
        """Call a subscriber until it has received the newest configuration."""
        while subscriber.notified_revision < self.current.revision:
            cfg = self.current
            subscriber.notified_revision = cfg.revision
            try:
                subscriber.callback(cfg)
            except Exception as exc:
                _log.write("Subscriber failed.", revision=cfg.revision, error=repr(exc))
        subscriber.is_running = False


class _Subscriber:
    """A callback and the last revision with which it was called."""

    def __init__(self, callback: Callable[[Config], None], notified_revision: Revision):
        self.callback = callback
        self.notified_revision = notified_revision
        self.is_running = False
