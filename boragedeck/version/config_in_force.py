"""The one configuration in force in a process, which never steps back."""

import enum
from collections import deque
from collections.abc import Callable, Sequence

import eventlet

from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import TableError
from boragedeck.ids import Revision
from boragedeck.process.logs import PartLog
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
    """Where a configuration came from."""

    NONE = "none"
    PLATFORM = "platform"
    PEER = "peer"


class ConfigInForce:
    """Holds the newest accepted configuration that has reached this process.

    Parameters
    ----------
    timers : TimerService
        The source of time.

    Attributes
    ----------
    current : Config
        The configuration in force; revision 0 before the first.
    digest : str
        Its hash.
    source : Source
        Where it came from.
    since : float
        When it came into force, on the timer service's monotonic clock.
    """

    def __init__(self, timers: TimerService):
        self._timers = timers
        self.current = Config()
        self.digest = digest(self.current)
        self.source = Source.NONE
        self.since = timers.now()
        self._subscribers: list[_Subscriber] = []
        self._recent: deque[tuple[Revision, bytes]] = deque(maxlen=MAX_KEPT_CHANGES)
        self._whole = b""

    def subscribe(self, callback: Callable[[Config], None]) -> None:
        """Call with each configuration that comes into force, in order.

        Revisions that were never in force here are left out, also those that
        come and go while the callback runs. A slow callback delays no other.
        """
        self._subscribers.append(_Subscriber(callback, self.current.revision))

    def take_whole(self, cfg: Config, source: Source) -> None:
        """Put an accepted configuration in force where it's newer."""
        if cfg.revision <= self.current.revision:
            return
        self._recent.clear()
        self._put(canonical(cfg), source)

    def take_changes(self, changes: Sequence[Change], source: Source) -> bool:
        """Put accepted changes in force, one after the other as one step.

        Returns
        -------
        bool
            False where one doesn't follow on the one before, or leads to
            another configuration than was accepted; nothing is changed then.
        """
        cfg = self.current
        packed = []
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
            packed.append((change.revision, pack(change)))
        # Another green thread can't have come between: nothing above waits.
        if cfg.revision > self.current.revision:
            self._keep(packed)
            self._put(cfg, source)
        return True

    def take_content(self, content: ConfigContent) -> None:
        """Put in force what a peer sent.

        Raises
        ------
        TableError
            Where it can't be read or doesn't lead to what was accepted.
        """
        try:
            changes = [unpack(body, Change) for body in content.changes]
            whole = unpack(content.whole, Config) if content.whole else None
        except DECODE_ERRORS as exc:
            raise TableError(str(exc), step="fetch configuration") from exc
        if whole is not None:
            self.take_whole(whole, Source.PEER)
        elif not self.take_changes(changes, Source.PEER):
            raise TableError("changes don't fit", step="fetch configuration")

    def content(self, after: Revision) -> ConfigContent:
        """Return what leads from a revision to the one in force."""
        revision = self.current.revision
        if after >= revision:
            return ConfigContent(revision)
        changes = tuple(body for number, body in self._recent if number > after)
        if len(changes) == revision - after:
            return ConfigContent(revision, changes)
        if not self._whole:
            self._whole = pack(self.current)
        return ConfigContent(revision, whole=self._whole)

    def _keep(self, packed: list[tuple[Revision, bytes]]) -> None:
        self._recent.extend(packed)
        while sum(len(body) for _, body in self._recent) > MAX_KEPT_BYTES:
            self._recent.popleft()

    def _put(self, cfg: Config, source: Source) -> None:
        self.current = cfg
        self.digest = digest(cfg)
        self.source = source
        self.since = self._timers.now()
        self._whole = b""
        _log.write("In force.", revision=cfg.revision, source=source.value)
        for subscriber in self._subscribers:
            if not subscriber.is_running:
                subscriber.is_running = True
                eventlet.spawn_n(self._tell, subscriber)

    def _tell(self, subscriber: "_Subscriber") -> None:
        """Call a subscriber with the newest until it has seen it."""
        while subscriber.told < self.current.revision:
            cfg = self.current
            subscriber.told = cfg.revision
            try:
                subscriber.callback(cfg)
            except Exception as exc:
                _log.write("Subscriber failed.", revision=cfg.revision, error=repr(exc))
        subscriber.is_running = False


class _Subscriber:
    """A callback and how far it has been told."""

    def __init__(self, callback: Callable[[Config], None], told: Revision):
        self.callback = callback
        self.told = told
        self.is_running = False
