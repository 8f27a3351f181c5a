"""The replicas of a play, which come, go and write their entries."""

import itertools
import random
import time

import eventlet
import msgspec

from scripts.platform_cluster import PlatformCluster
from soak.history import History, Impairment
from soak.release import Release
from soak.replica import Mood, Replica
from soak.room import Room

__all__ = ["ReplicaFleet"]

ZONES = "abc"
TABLE = "servers"
HEARTBEAT_S = 1.2
LAPSE_S = 1.0, 3.6
"""Time from a crash until the store drops the entry."""
RETURN_S = 0.3, 2.0
SERVE_ON_S = 4.0, 8.0
"""How long a replica that leaves serves at least."""
MAX_SERVE_ON_S = 12.0
POLL_S = 0.1
FOREIGN_S = 2.0
SILENT_SHARES = 0.3, 1.0


class ReplicaFleet:
    """Starts, disturbs and replaces replicas.

    Parameters
    ----------
    cluster : PlatformCluster
        The store.
    history : History
        Where the replicas' runs and ends are noted.
    room : Room
        How much room the replicas have.
    rng : random.Random
        Draws who is disturbed.

    Attributes
    ----------
    room : Room
        How much room the replicas have.
    """

    def __init__(
        self,
        cluster: PlatformCluster,
        history: History,
        room: Room,
        rng: random.Random,
    ):
        self._cluster = cluster
        self._history = history
        self.room = room
        self._rng = rng
        self._numbers = itertools.count(1)
        self._replicas: dict[str, Replica] = {}
        self._leaving: dict[str, Replica] = {}
        for service, size in room.sizes.items():
            for _ in range(size):
                self._add(service)
        self._writer = eventlet.spawn(self._renew_entries)

    def stop(self) -> None:
        """Stop all replicas."""
        self._writer.kill()
        for replica in (*self._replicas.values(), *self._leaving.values()):
            replica.crash()

    def crash(self) -> None:
        """Crash a replica; its entry lapses, and another takes its place."""
        replica = self._take()
        replica.crash()
        eventlet.sleep(self._rng.uniform(*LAPSE_S))
        self._drop_entry(replica)
        eventlet.sleep(self._rng.uniform(*RETURN_S))
        self._add(replica.service)

    def leave(self, says_so: bool) -> None:
        """Let a replica leave as planned; another takes its place.

        Parameters
        ----------
        says_so : bool
            Whether it reports that it drains; otherwise its entry is just removed.
        """
        replica = self._take()
        self._leaving[replica.name] = replica
        self._add(replica.service)
        if says_so:
            self._cluster.rows.put(TABLE, replica.name, replica.entry("draining"))
            self._history.left[replica.name] = time.monotonic()
        else:
            self._drop_entry(replica)
        began = time.monotonic()
        eventlet.sleep(self._rng.uniform(*SERVE_ON_S))
        while replica.active_runs() and time.monotonic() < began + MAX_SERVE_ON_S:
            eventlet.sleep(POLL_S)
        if says_so:
            self._cluster.rows.drop(TABLE, replica.name)
        replica.crash()
        del self._leaving[replica.name]

    def silence(self, seconds: float) -> None:
        """Let a share of the replicas stand still for a time."""
        count = max(1, round(self._rng.choice(SILENT_SHARES) * len(self._replicas)))
        names = self._rng.sample(sorted(self._replicas), count)
        noted = Impairment(time.monotonic(), what="replica-silent")
        self._silence(names, noted, seconds)

    def release(self, release: Release, silence_s: float, late_s: float) -> None:
        """Hold the streams of a router back, and then let their bytes come at once.

        Parameters
        ----------
        release : Release
            The router and the moment.
        silence_s : float
            How long before the moment all replicas fall silent.
        late_s : float
            How long after the moment they answer anything else.
        """
        for replica in self._replicas.values():
            replica.release = release
        eventlet.sleep(max(0.0, release.at - silence_s - time.monotonic()))
        noted = Impairment(time.monotonic(), what="replica-released")
        seconds = max(0.0, release.at + late_s - time.monotonic())
        self._silence(sorted(self._replicas), noted, seconds)

    def _silence(self, names: list[str], noted: Impairment, seconds: float) -> None:
        for name in names:
            self._history.silences.setdefault(name, []).append(noted)
            self._replicas[name].silence.begin_for(seconds)
        eventlet.sleep(seconds)
        noted.end = time.monotonic()

    def change_mood(self, mood: Mood, seconds: float) -> None:
        """Let some replicas misbehave for a time."""
        count = self._rng.randint(1, len(self._replicas))
        names = self._rng.sample(sorted(self._replicas), count)
        replicas = [self._replicas[name] for name in names]
        for replica in replicas:
            replica.mood = mood
        eventlet.sleep(seconds)
        for replica in replicas:
            replica.mood = Mood()

    def write_foreign_entry(self) -> None:
        """Let another writer name the address of a sound replica for a time."""
        replica = self._rng.choice(list(self._replicas.values()))
        fields = msgspec.json.decode(replica.entry())
        name = f"foreign-{next(self._numbers)}"
        bodies = (
            msgspec.json.encode(fields | {"service": "nobody's"}),
            msgspec.json.encode(fields | {"state": 7, "service": "nobody's"}),
            msgspec.json.encode({"address": fields["address"]}),
            b"\xff\x00 no entry",
        )
        self._cluster.rows.put(TABLE, name, self._rng.choice(bodies))
        eventlet.sleep(FOREIGN_S)
        self._cluster.rows.drop(TABLE, name)

    def _add(self, service: str) -> None:
        number = next(self._numbers)
        name, zone = f"{service}-{number}", ZONES[number % len(ZONES)]
        rng = random.Random(self._rng.random())
        port = self._cluster.take_port()
        replica = Replica(name, service, zone, self._history, self.room, rng, port)
        self._replicas[name] = replica
        self._cluster.rows.put(TABLE, name, replica.entry())

    def _take(self) -> Replica:
        """Return a replica that no longer counts as sound, of a service with others."""
        services = [replica.service for replica in self._replicas.values()]
        names = sorted(
            name
            for name, replica in self._replicas.items()
            if services.count(replica.service) > 1
        )
        return self._replicas.pop(self._rng.choice(names))

    def _drop_entry(self, replica: Replica) -> None:
        self._cluster.rows.drop(TABLE, replica.name)
        self._history.left[replica.name] = time.monotonic()

    def _renew_entries(self) -> None:
        while True:
            eventlet.sleep(HEARTBEAT_S)
            for name, replica in list(self._replicas.items()):
                if not replica.silence.is_on:
                    self._cluster.rows.put(TABLE, name, replica.entry())
