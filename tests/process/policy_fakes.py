from boragedeck.connection.messages import Fact
from boragedeck.ids import RouterId
from boragedeck.interfaces import Wanted
from boragedeck.version.tables import Config, Pool, Route, Upstream


class FakeConfig:
    def __init__(self, cfg):
        self.cfg = cfg
        self.callbacks = []

    def current(self):
        return self.cfg

    def subscribe(self, callback):
        self.callbacks.append(callback)

    def put(self, cfg):
        self.cfg = cfg
        for callback in self.callbacks:
            callback(cfg)


class FakeBoards:
    def __init__(self):
        self.boards = []

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

    def publish(self, topic, key, body, *, ttl_s=60.0):
        self._number += 1
        fact = Fact(topic, key, self.own, self._number, body, ttl_s)
        for board in self._boards.boards:
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


def make_wanted(pool, organisation="a", route=None, **fields):
    defaults = {
        "version": None,
        "prompt_tokens": 100,
        "prefix_hash": 1,
        "fingerprint": "f",
    }
    route = route or Route("chat", pool.name)
    return Wanted(route, pool, organisation, **{**defaults, **fields})
