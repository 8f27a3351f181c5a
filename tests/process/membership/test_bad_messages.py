import random
import unittest
from unittest import mock

import eventlet
import msgspec
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from result import Err

from boragedeck.connection.messages import Fact, FactTopic, Message, Refused
from boragedeck.connection.peer import Address
from boragedeck.connection.store import Put, Table
from boragedeck.exceptions import StoreConflictError, StoreUnknownOutcomeError
from boragedeck.ids import RouterId
from boragedeck.interfaces import Member
from boragedeck.process.answering.intent_log import IntentLog
from boragedeck.process.composition import Router
from boragedeck.process.crashes.quarantine import QUARANTINE_S
from boragedeck.process.crashes.quarantine_facts import CrashFact, QuarantineFact
from boragedeck.process.leasing.leases import TERM_S, LeaseTable
from boragedeck.process.membership.gossip_messages import AgedFact, FactPush
from boragedeck.process.membership.member_table import MemberTable
from boragedeck.process.membership.membership import Suspicion
from boragedeck.process.placing.leaving import LeavingFact
from boragedeck.process.placing.load_gossip import InFlightReport
from boragedeck.process.placing.polling import PolledLoads
from boragedeck.process.placing.shares import ShareReport
from boragedeck.process.settings import parse_settings
from boragedeck.process.timers import ManualTimers
from boragedeck.request.answer import Epoch
from boragedeck.request.copy_messages import CopyAppend, CopyImage, CopyItem
from boragedeck.request.intents import CommandKey
from boragedeck.version.config_messages import ConfigFact
from boragedeck.version.config_store import ConfigStore
from boragedeck.version.rollout_facts import KnownRow, SeenWindow, Stopped
from boragedeck.version.rollout_row import head_key
from boragedeck.version.rollout_row_cache import RolloutRowCache
from standins.memory import MemoryPlatform
from tests.support.values import DEEPLY_NESTED, bad_json, bad_msgpack

BODY_TYPES = (
    *(ConfigFact, CrashFact, InFlightReport, KnownRow, LeavingFact, Member),
    *(PolledLoads, QuarantineFact, SeenWindow, ShareReport, Stopped, Suspicion),
)
KEYS = ("poll", "load", "shares", "member", "suspect/r1", "router/r1", "vm/v", "x y")
HANG_TIMEOUT_S = 20


def encode_or_empty(value):
    try:
        return msgspec.msgpack.encode(value)
    except (OverflowError, TypeError):
        # An integer is too large, or Hypothesis doesn't know the default of a field.
        return b""


BODIES = st.sampled_from(BODY_TYPES).flatmap(st.from_type).map(encode_or_empty)


class BadMessagesTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        flags = ["--listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0", "--vm=vm-1"]
        flags += ["--failure-domain=fd-1", "--platform-url=http://127.0.0.1:1"]
        cls.router = Router(parse_settings(flags, {}).ok())
        cls.addClassCleanup(cls.router._listener.close)
        cls.addClassCleanup(cls.router._server.close)

    @settings(suppress_health_check=list(HealthCheck), max_examples=300)
    @given(st.data())
    def test_every_message_is_answered_whatever_its_values(self, data):
        kinds = sorted(self.router._server._handlers, key=lambda kind: kind.__name__)
        message = data.draw(st.sampled_from(kinds).flatmap(st.from_type))
        self.assert_answered(encode_or_empty(message))

    @settings(suppress_health_check=list(HealthCheck), max_examples=20)
    @given(st.from_type(CopyImage))
    def test_copy_without_an_epoch_is_refused(self, image):
        image = msgspec.structs.replace(image, lineage=())
        item = CopyItem(image.key, Epoch(0, 0, 0), 0, (), None)
        self.assert_answered(encode_or_empty(CopyAppend((image,), ())))
        self.assert_answered(encode_or_empty(CopyAppend((), (item,))))

    @given(bad_msgpack(b"\x91\xa4Ping"))
    @example(DEEPLY_NESTED[0])
    def test_bytes_that_are_no_message_are_refused(self, body):
        answer = self.assert_answered(body)
        if body != b"\x91\xa4Ping":
            self.assertIsInstance(answer, Refused)

    def assert_answered(self, body):
        with eventlet.Timeout(HANG_TIMEOUT_S):
            answer = self.router._server._handle(msgspec.Raw(body))
        self.assertIsInstance(answer, Message)
        if isinstance(answer, Refused):
            self.assertNotEqual(answer.code, "failed", answer.text)
        return answer

    @settings(suppress_health_check=list(HealthCheck), max_examples=300)
    @given(
        st.sampled_from(FactTopic),
        st.sampled_from(KEYS),
        BODIES | bad_msgpack(),
        st.integers(1, 2**32),
        st.floats(),
    )
    @example(FactTopic.QUARANTINE, "x y", DEEPLY_NESTED[0], 1, 0.0)
    def test_any_fact_leaves_the_router_working(self, topic, key, body, number, age_s):
        fact = Fact(topic, key, RouterId("r1"), number, body, 60.0)
        parts = FactPush((AgedFact(fact, age_s),))
        with eventlet.Timeout(HANG_TIMEOUT_S):
            self.router._board._on_push(parts)
            self.router._board._run_round()
            self.router.quarantine.is_quarantined(key)
            msgspec.json.encode(self.router._membership.members())
            self.router._chooser.registry.all()
        status = self.router.api._status()
        self.assertTrue(msgspec.json.decode(status))

    def test_quarantine_from_a_peer_has_a_bounded_duration(self):
        for until in (float("inf"), 1e300):
            key = f"fingerprint-{until}"
            fact = QuarantineFact("route", ("u",), ("v",), until)
            body = msgspec.msgpack.encode(fact)
            received = Fact(FactTopic.QUARANTINE, key, RouterId("r2"), 1, body, 60.0)
            self.router._board._on_push(FactPush((AgedFact(received, 0.0),)))
            self.assertTrue(self.router.quarantine.is_quarantined(key))
            refused = self.router.quarantine._quarantined_error(key)
            self.assertLess(refused.retry_after_s, 2 * QUARANTINE_S)


class BadRowsTest(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.store = MemoryPlatform(sleep=self.timers.sleep)

    def put(self, table, key, body):
        self.store.commit([Put(table, key, body)])

    @given(bad_json(b'{"holder":"r2","token":3,"term_s":10.0,"nonce":"a"}'))
    @example(DEEPLY_NESTED[2])
    def test_unreadable_lease_is_not_acquired(self, body):
        self.put(Table.LEASES, "a", body)
        table = LeaseTable(self.store, self.timers, RouterId("r1"))
        try:
            msgspec.json.decode(body)
        except Exception:
            table.acquire("a")
            self.timers.advance(TERM_S * 3)
            self.assertIsNone(table.acquire("a").ok())
            self.assertEqual(self.store.get(Table.LEASES, "a").ok().value, body)
        else:
            table.acquire("a")

    @given(bad_json(b'{"config":{},"change":{}}') | st.binary(max_size=50))
    @example(DEEPLY_NESTED[3])
    @example(b"x\x9c" + b"\xff" * 20)
    def test_unreadable_configuration_raises_no_exception(self, body):
        for row in ("current", "revision"):
            self.put(Table.CONFIG, row, body)
        ConfigStore(self.store, self.timers).read()

    @given(bad_json())
    @example(DEEPLY_NESTED[3])
    def test_unreadable_members_and_rollouts_are_ignored(self, body):
        self.put(Table.MEMBERS, "r9", body)
        self.put(Table.ROLLOUTS, head_key("route"), body)
        watcher = mock.Mock(**{"is_known.return_value": False})
        own = Member(RouterId("r1"), "vm", "fd", Address("10.0.0.1", 1))
        parts = own, own.address, self.store, self.timers, random.Random(1), watcher
        MemberTable(*parts).scan()
        watcher.on_rows.assert_called_once_with([])
        row_cache = RolloutRowCache(self.store, None)
        self.assertTrue(row_cache.refresh_route("route").is_ok())
        self.assertEqual(row_cache.rows(), [])

    @given(bad_msgpack())
    @example(DEEPLY_NESTED[0])
    def test_command_with_an_unreadable_intent_is_not_sent(self, body):
        self.put(Table.INTENTS, "row", body)
        settler = mock.Mock(**{"find.return_value": None})
        conflict = Err(StoreConflictError("it exists"))
        writer = mock.Mock(**{"write.return_value": conflict})
        parts = self.store, writer, settler, mock.Mock(), self.timers, RouterId("r1")
        log = IntentLog(*parts)
        begun = log.begin(CommandKey("row", "hash"), self.timers.now() + 1.0)
        self.assertIsInstance(begun.err(), StoreUnknownOutcomeError)
        self.assertIsInstance(log.read("row").err(), StoreUnknownOutcomeError)
        settler.settle.assert_not_called()


class TimersTest(unittest.TestCase):
    def test_exception_in_a_callback_does_not_stop_later_calls(self):
        timers, calls = ManualTimers(), []

        def fail():
            calls.append(1)
            raise KeyError("a fault")

        timers.subscribe(1.0, fail)
        timers.advance(5.0)
        self.assertEqual(len(calls), 5)
