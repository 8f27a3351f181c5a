import eventlet
from result import Err, Ok

from boragedeck.connection.messages import Fact
from boragedeck.connection.peer import Address
from boragedeck.exceptions import PeerUnreachableError
from boragedeck.ids import RouterId
from boragedeck.interfaces import Member, SlotRequest
from boragedeck.process.crashes.claims import Claim, ClaimClient, ClaimTable
from boragedeck.process.crashes.quarantine import Quarantine
from boragedeck.process.timers import ManualTimers
from boragedeck.version.tables import Config, Pool, Route, Upstream
from tests.support.config import FakeConfigSource


class FakeBoards:
    def __init__(self):
        self.boards = []
        self.is_connected = True

    def board(self, own):
        board = FakeBoard(self, own)
        self.boards.append(board)
        return board


class FakeBoard:
    def __init__(self, boards, own):
        self.own = RouterId(own)
        self._boards = boards
        self._facts = {}
        self._callbacks = {}
        self._number = 0
        self.partition_id = 0

    def publish(self, topic, key, body, *, ttl_s=60.0):
        self._number += 1
        fact = Fact(topic, key, self.own, self._number, body, ttl_s)
        self.take(fact)
        for board in self._boards.boards:
            is_reachable = (
                self._boards.is_connected and board.partition_id == self.partition_id
            )
            if board is not self and is_reachable:
                board.take(fact)
        return fact

    def facts(self, topic):
        return [fact for fact in self._facts.values() if fact.topic is topic]

    def subscribe(self, topic, callback):
        self._callbacks.setdefault(topic, []).append(callback)

    def take(self, fact):
        self._facts[fact.topic, fact.key, fact.origin] = fact
        for callback in self._callbacks.get(fact.topic, ()):
            callback(fact)


def make_pool(count=3, name="models", **fields):
    return Pool(
        name,
        upstreams=tuple(
            Upstream(f"u{i}", f"http://127.0.0.1:{i + 1}", f"d{i % 3}", "v1", **fields)
            for i in range(count)
        ),
    )


def make_config(pool, *routes, organisations=()):
    return Config(1, organisations, routes or (Route("chat", pool.name),), (pool,))


def make_slot_request(pool, organisation="a", route=None, **fields):
    defaults = {
        "version": None,
        "prompt_tokens": 100,
        "prefix_hash": 1,
        "fingerprint": "f",
    }
    route = route or Route("chat", pool.name)
    return SlotRequest(route, pool, organisation, **{**defaults, **fields})


class FakeMembership:
    def __init__(self, own, others=()):
        self.own = own
        self.others = list(others)

    def members(self):
        return self.others

    def suspect(self, router):
        pass


class FakeLinks:
    """Links to the claim tables of routers by address; some may be unreachable."""

    def __init__(self, tables):
        self.tables = tables
        self.unreachable = set()

    def link(self, address):
        return _FakeLink(self, address)


class _FakeLink:
    def __init__(self, links, address):
        self._links = links
        self._address = address

    def call(self, message, answer_type, *, timeout_s):
        eventlet.sleep(0)
        if self._address in self._links.unreachable:
            return Err(PeerUnreachableError("unreachable"))
        table = self._links.tables[self._address]
        if isinstance(message, Claim):
            return Ok(table.claim(message))
        return Ok(table.release(message))


class FakeRouters:
    """Routers with one quarantine each, connected by facts and claims."""

    def __init__(self, count, cfg, timers=None):
        self.timers = timers or ManualTimers()
        self.cfg_source = FakeConfigSource(cfg)
        self.boards = FakeBoards()
        members = [
            Member(f"r{i}", f"vm{i}", f"d{i % 3}", Address("127.0.0.1", i + 1))
            for i in range(count)
        ]
        tables = {member.address: ClaimTable(self.timers) for member in members}
        self.links = [FakeLinks(tables) for _ in members]
        self.quarantines = [
            self._quarantine(member, members, links)
            for member, links in zip(members, self.links, strict=True)
        ]

    def partition(self, first):
        """Separate the first routers from the others by a network partition."""
        for i, links in enumerate(self.links):
            ports = range(first, len(self.links)) if i < first else range(first)
            links.unreachable = {Address("127.0.0.1", port + 1) for port in ports}
        for i, board in enumerate(self.boards.boards):
            board.partition_id = int(i < first)

    def stop(self, index):
        """Stop a router: no other router can reach it, and it can reach none."""
        for i, links in enumerate(self.links):
            if i == index:
                links.unreachable = set(links.tables)
            else:
                links.unreachable = links.unreachable | {
                    Address("127.0.0.1", index + 1)
                }

    def _quarantine(self, member, members, links):
        others = [other for other in members if other is not member]
        table = links.tables[member.address]
        claims = ClaimClient(FakeMembership(member, others), links, table)
        board = self.boards.board(member.router)
        return Quarantine(self.timers, board, self.cfg_source, claims)
