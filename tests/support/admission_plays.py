"""Plays a seeded sequence of arrivals at an admission, and records what they get."""

import random
import zlib

import eventlet

from boragedeck.connection.peer import Address
from boragedeck.process.relaying.placing.place import AdmissionRequest
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.timers import ManualTimers
from boragedeck.version.replicas import Replica, ReplicaStage
from boragedeck.version.routing import EngineProfile, RelayPool

ENGINES = RelayPool("engines", 100, EngineProfile(4, 1_000))
SERVICE = RelayPool("service", 100)
STEP_S = 0.01


def replica(name, pool, slots=4, domain="a"):
    """Return the entry of a replica."""
    return Replica(
        replica=name,
        pool=pool,
        address=Address("127.0.0.1", zlib.crc32(name.encode()) % 60_000 + 1),
        failure_domain=domain,
        version="v1",
        slots=slots,
        stage=ReplicaStage.READY,
    )


def play(admission_type, seed, fields=None, arrivals=240):
    """Return what each of a sequence of arrivals got, and when.

    Parameters
    ----------
    admission_type : callable
        Makes the admission from timers, registry and a random number generator.
    seed : int
        Seed of the arrivals and of the admission.
    fields : callable, optional
        Returns further fields of a request, given its number.
    arrivals : int, optional
        The number of arrivals.
    """
    timers = ManualTimers(0.0)
    registry = ReplicaRegistry(timers)
    for number in range(3):
        registry.put(replica(f"e{number}", "engines", domain=str(number % 2)))
        registry.put(replica(f"s{number}", "service", domain=str(number % 2)))
    admission = admission_type(timers, registry, random.Random(seed))
    rng = random.Random(seed + 1)
    events = []

    def ask(number):
        pool = rng.choice((ENGINES, SERVICE))
        took_s = rng.uniform(0.05, 0.5)
        req = AdmissionRequest(
            pool=pool,
            priority=rng.randrange(3),
            prompt_tokens=rng.choice((50, 100, 600)),
            tokens=rng.choice((100, 200, 700)),
            until=timers.now() + rng.uniform(0.0, 2.0),
            deadline=timers.now() + 5.0,
            has_begun=rng.random() < 0.1,
            **(fields(number) if fields else {}),
        )
        acquired = admission.acquire(req)
        at = round(timers.now(), 3)
        if acquired.is_err():
            error = acquired.err()
            said = error.status, error.code, round(error.retry_after_s, 6)
            events.append((number, at, *said))
            return
        place = acquired.ok()
        events.append((number, at, place.state.replica.replica))
        timers.sleep(took_s)
        place.release(True)

    for number in range(arrivals):
        eventlet.spawn_n(ask, number)
        timers.advance(rng.uniform(0.0, 2.5 * STEP_S))
    timers.advance(10.0)
    return events, admission, registry
