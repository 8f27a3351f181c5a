"""Measures how many engines a poison request crashes, and false quarantines.

Nine routers share twelve engines. A caller sends the same poison request again and
again through all routers under new ids, and engines also crash by themselves. Compared
are no quarantine, a quarantine after two crashes without isolation of suspects, and
`Quarantine`. Gossip takes 0.5 s; claims are answered at once.
"""

import random

import msgspec
from result import Ok

from benchmarks.simulation import FixedConfig, SimulatedBoards
from boragedeck.connection.peer import Address
from boragedeck.ids import PoolName, RouterId, UpstreamName, Version
from boragedeck.interfaces import Member, Outcome, SlotRequest
from boragedeck.patching import patch_all
from boragedeck.process.crashes.claims import Claim, ClaimClient, ClaimTable
from boragedeck.process.crashes.quarantine import Quarantine
from boragedeck.process.placing.upstreams import UpstreamKey
from boragedeck.process.timers import ManualTimers
from boragedeck.version.tables import Config, Pool, Route

ROUTERS = 9
ENGINES = 12
SLOTS_PER_ENGINE = 16
TICK_S = 0.25
TOKENS_PER_TICK = 8
DURATION_S = 100.0
ARRIVALS_PER_TICK = 3
POISON_FROM_S = 20.0
RESTART_S = 15.0
SEEDS = range(3)
POOL = PoolName("models")
POISON = "poison"
POISON_COPIES = 4


class Case(msgspec.Struct, frozen=True):
    """Causes of engine crashes.

    Parameters
    ----------
    name : str
        Its name in the table.
    poison_tokens : int or None
        Tokens after which each run of the poison crashes its engine; None for no
        poison.
    mean_death_interval_s : float
        Mean time between other crashes, over all engines, in seconds.
    """

    name: str
    poison_tokens: int | None
    mean_death_interval_s: float


CASES = (
    Case("poison at its prefill", 0, float("inf")),
    Case("poison after 24 tokens", 24, float("inf")),
    Case("poison after 200 tokens", 200, float("inf")),
    Case("engine deaths only", None, 30.0),
    Case("both", 24, 30.0),
)


class Request:
    """A request that waits or runs."""

    def __init__(self, fingerprint: str, tokens: int, router: int):
        self.fingerprint = fingerprint
        self.tokens = tokens
        self.router = router
        self.delivered_tokens = 0
        self.generated_tokens = 0
        self.guard = None


class _Links:
    def __init__(self, tables: dict[Address, ClaimTable]):
        self._tables = tables
        self._table: ClaimTable | None = None

    def link(self, address: Address):
        link = _Links(self._tables)
        link._table = self._tables[address]
        return link

    def call(self, message, answer_type, *, timeout_s):
        table = self._table
        is_claim = isinstance(message, Claim)
        return Ok(table.claim(message) if is_claim else table.release(message))


class _FixedMembership:
    def __init__(self, own: Member, members: list[Member]):
        self.own = own
        self._others = [member for member in members if member is not own]

    def members(self) -> list[Member]:
        return self._others

    def suspect(self, router: RouterId) -> None:
        pass


class Fleet:
    """Routers with a quarantine each, and engines that crash.

    Parameters
    ----------
    case : Case
        Causes of crashes.
    seed : int
        Seed of all random choices.
    has_quarantine : bool
        Whether requests pass through the quarantine at all.
    isolates_suspects : bool
        Whether suspects are isolated.
    """

    def __init__(
        self, case: Case, seed: int, *, has_quarantine: bool, isolates_suspects: bool
    ):
        self.case = case
        self.rng = random.Random(seed)
        self.timers = ManualTimers(0.0)
        self.has_quarantine = has_quarantine
        self.isolates_suspects = isolates_suspects
        self.pool = Pool(POOL)
        self.route = Route("chat", POOL)
        self.quarantines = self._make_quarantines()
        self.engines: list[list[Request]] = [[] for _ in range(ENGINES)]
        self.up_at = [0.0] * ENGINES
        self.waiting: list[Request] = []
        self.poison_crashes = 0
        self.other_crashes = 0
        self.suspects: set[str] = set()
        self.completed = 0

    def simulate(self) -> None:
        """Run the simulation for `DURATION_S`."""
        for tick in range(int(DURATION_S / TICK_S)):
            self._add_arrivals(tick)
            self._place_all()
            self.timers.advance(TICK_S)
            for engine in range(ENGINES):
                self._step_engine(engine)

    def quarantined_innocents(self) -> set[str]:
        """Return the quarantined fingerprints, over all routers, except the poison."""
        quarantined_innocents: set[str] = set()
        for quarantine in self.quarantines:
            quarantined_innocents |= set(quarantine.quarantined())
        return quarantined_innocents - {POISON}

    def _make_quarantines(self) -> list[Quarantine]:
        members = [
            Member(f"r{i}", f"vm{i}", f"d{i % 3}", Address("127.0.0.1", i + 1))
            for i in range(ROUTERS)
        ]
        tables = {member.address: ClaimTable(self.timers) for member in members}
        boards = SimulatedBoards(self.timers, delay_s=0.5)
        cfg_source = FixedConfig(Config(routes=(self.route,), pools=(self.pool,)))
        quarantines = []
        for member in members:
            links, table = _Links(tables), tables[member.address]
            claims = ClaimClient(_FixedMembership(member, members), links, table)
            board = boards.board(member.router)
            quarantines.append(Quarantine(self.timers, board, cfg_source, claims))
        return quarantines

    def _add_arrivals(self, tick: int) -> None:
        for index in range(ARRIVALS_PER_TICK):
            tokens = self.rng.choice((64, 128, 256, 1024))
            router = self.rng.randrange(ROUTERS)
            self.waiting.append(Request(f"f{tick}-{index}", tokens, router))
        is_poison_due = tick * TICK_S >= POISON_FROM_S
        if self.case.poison_tokens is not None and is_poison_due:
            waiting_copies = sum(
                request.fingerprint == POISON for request in self.waiting
            )
            for _ in range(POISON_COPIES - waiting_copies):
                self.waiting.append(Request(POISON, 512, self.rng.randrange(ROUTERS)))

    def _place_all(self) -> None:
        waiting, self.waiting = self.waiting, []
        waiting.sort(key=lambda request: -request.delivered_tokens)
        for request in waiting:
            if not self._place(request):
                self.waiting.append(request)

    def _place(self, request: Request) -> bool:
        """Return whether the request was started, or refused for good."""
        quarantine = self.quarantines[request.router]
        if self.has_quarantine:
            admission = quarantine.admit(self._slot_request(request), self.timers.now())
            if admission.is_err():
                return admission.err().code == "request_quarantined"
            request.guard = admission.ok()
        engines = [
            engine
            for engine in range(ENGINES)
            if self.up_at[engine] <= self.timers.now()
            and len(self.engines[engine]) < SLOTS_PER_ENGINE
        ]
        self.rng.shuffle(engines)
        engines.sort(key=lambda engine: len(self.engines[engine]))
        for engine in engines:
            if self._may_run(quarantine, request, _upstream_key(engine)):
                request.generated_tokens = 0
                self.engines[engine].append(request)
                return True
        if self.has_quarantine:
            quarantine.cancel(request.guard)
        return False

    def _may_run(
        self, quarantine: Quarantine, request: Request, key: UpstreamKey
    ) -> bool:
        if not self.has_quarantine:
            return True
        if not self.isolates_suspects:
            request.guard.upstream = key
            return True
        guard = request.guard
        return quarantine.may_place(guard, key) and quarantine.place(guard, key)

    def _slot_request(self, request: Request) -> SlotRequest:
        return SlotRequest(
            route=self.route,
            pool=self.pool,
            organisation="a",
            version=None,
            prompt_tokens=100,
            prefix_hash=1,
            fingerprint=request.fingerprint,
            is_resume=request.delivered_tokens > 0,
        )

    def _step_engine(self, engine: int) -> None:
        dies_by_itself = (
            self.rng.random() < TICK_S / self.case.mean_death_interval_s / ENGINES
        )
        is_poison_crash = any(map(self._crashes_engine, self.engines[engine]))
        if self.engines[engine] and (dies_by_itself or is_poison_crash):
            self.poison_crashes += is_poison_crash
            self.other_crashes += not is_poison_crash
            self._crash(engine)
            return
        for request in list(self.engines[engine]):
            request.generated_tokens += TOKENS_PER_TICK
            request.delivered_tokens += TOKENS_PER_TICK
            quarantine = self.quarantines[request.router]
            if self.has_quarantine:
                quarantine.note_tokens(request.guard, request.generated_tokens)
            if request.delivered_tokens >= request.tokens:
                self.engines[engine].remove(request)
                self.completed += 1
                self._finish(request, Outcome.COMPLETED)

    def _crashes_engine(self, request: Request) -> bool:
        if request.fingerprint != POISON:
            return False
        return request.generated_tokens >= self.case.poison_tokens

    def _crash(self, engine: int) -> None:
        self.up_at[engine] = self.timers.now() + RESTART_S
        lost, self.engines[engine] = self.engines[engine], []
        for request in lost:
            self.suspects.add(request.fingerprint)
            self._finish(request, Outcome.CRASHED)
            self.waiting.append(request)

    def _finish(self, request: Request, outcome: Outcome) -> None:
        if self.has_quarantine:
            quarantine = self.quarantines[request.router]
            version = Version("v1")
            quarantine.finish(request.guard, version, request.generated_tokens, outcome)


def _upstream_key(engine: int) -> UpstreamKey:
    return UpstreamKey(POOL, UpstreamName(f"engine-{engine}"))


def main() -> None:
    """Print a line for each case and policy."""
    patch_all()
    policies = {
        "none": {"has_quarantine": False, "isolates_suspects": False},
        "not apart": {"has_quarantine": True, "isolates_suspects": False},
        "ours": {"has_quarantine": True, "isolates_suspects": True},
    }
    for case in CASES:
        for name, options in policies.items():
            fleets = [Fleet(case, seed, **options) for seed in SEEDS]
            for fleet in fleets:
                fleet.simulate()
            poison_crashes = max(fleet.poison_crashes for fleet in fleets)
            suspects = sum(len(fleet.suspects - {POISON}) for fleet in fleets)
            quarantined_innocents = sum(
                len(fleet.quarantined_innocents()) for fleet in fleets
            )
            print(
                f"{case.name:24} {name:10} engines lost to the poison, at most"
                f" {poison_crashes:3}"
                f"  other deaths {sum(f.other_crashes for f in fleets):3}"
                f"  innocent suspects {suspects:4}"
                f"  quarantined {quarantined_innocents:3}"
                f" ({quarantined_innocents / max(1, suspects):5.1%})"
                f"  completed {sum(f.completed for f in fleets)}",
                flush=True,
            )


if __name__ == "__main__":
    main()
