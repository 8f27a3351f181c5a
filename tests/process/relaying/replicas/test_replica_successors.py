import unittest

import msgspec
from prometheus_client import CollectorRegistry

from boragedeck.connection.messages import FactTopic
from boragedeck.process.membership.fact_store import MAX_BODY_BYTES, FactStore
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.replicas.registry import ReplicaRegistry
from boragedeck.process.relaying.replicas.replica_successors import (
    FACT_TTL_S,
    MAX_DISPLACED,
    MAX_MODELS,
    MAX_WAITING,
    RETRY_INTERVAL_S,
    ReplicaSuccessors,
)
from boragedeck.process.timers import ManualTimers
from boragedeck.version.routing import EngineProfile, RelayPool, RoutingTable
from tests.process.relaying.placing.test_admission import replica
from tests.support.replicas import FakeFactBoard

MODELS = frozenset({"m"})
OTHER_MODELS = frozenset({"n"})


def table(**models):
    """Return a routing table with a pool of engines for each set of models."""
    pools = {
        name: RelayPool(name, 100, EngineProfile(6, 88_000, False, models=each))
        for name, each in models.items()
    }
    return RoutingTable(version=1, routes={}, pools=pools)


class Router:
    """The parts of one router that know which replica is at an address."""

    def __init__(self, timers, name, shared):
        self.timers = timers
        self.registry = ReplicaRegistry(timers)
        self.board = FakeFactBoard(name, shared)
        self.metrics = RelayMetrics(CollectorRegistry())
        self.table = table(p=MODELS, q=OTHER_MODELS)
        self.list_age_s = 100.0
        self.reports = 0
        self.successors = ReplicaSuccessors(
            timers,
            self.registry,
            self.board,
            lambda: self.table,
            lambda: self.list_age_s,
            self.metrics,
        )

    def put(self, name="one", **fields):
        """Add an entry of the list, always with the same address."""
        values = {"replica": name, "born_ms": 1} | fields
        self.registry.put(msgspec.structs.replace(replica("one"), **values))
        return self.registry.get(name)

    def find(self, name="two", before="one", models=MODELS):
        """Handle a 421 that names a replica, which reports its models."""

        def fetch_models():
            self.reports += 1
            return models

        state = self.registry.get(before)
        self.successors.note_moved(state, name, fetch_models)

    def ids(self):
        """Return the replicas that get requests."""
        return [state.replica.replica for state in self.registry.of_pool("p")]

    def count(self, outcome):
        """Return the number of successors by outcome."""
        return self.metrics.successors.labels(outcome)._value.get()


class SuccessorCase(unittest.TestCase):
    def setUp(self):
        self.timers = ManualTimers()
        self.shared = {}
        self.finder, self.other = (
            Router(self.timers, name, self.shared) for name in ("r-1", "r-2")
        )
        for router in (self.finder, self.other):
            router.put()

    def facts(self):
        return self.finder.board.facts(FactTopic.REPLICA_SUCCESSOR)


class FoundTest(SuccessorCase):
    def test_successor_of_the_pool_is_not_told_to_the_others(self):
        self.finder.find()
        self.assertEqual(self.finder.ids(), ["two"])
        self.assertEqual(self.other.ids(), ["two"])
        self.assertEqual(self.other.reports, 0)
        self.assertEqual((self.finder.count("found"), self.other.count("told")), (1, 1))

    def test_replica_of_another_pool_is_told_to_the_others(self):
        self.finder.find(models=OTHER_MODELS)
        self.assertEqual((self.finder.ids(), self.facts()), ([], []))
        self.assertEqual(self.finder.count("other_pool"), 1)

    def test_replica_without_a_report_is_told_to_the_others(self):
        self.finder.find(models=None)
        self.assertEqual((self.finder.ids(), self.facts()), ([], []))

    def test_known_successor_is_asked_for_a_report(self):
        old = self.other.registry.get("one")
        ended = []
        old.on_lost.add(lambda: ended.append("one"))
        self.finder.find()
        self.assertEqual(ended, [])
        self.other.successors.note_moved(old, "two", self.fail)
        self.assertEqual(ended, ["one"])
        self.assertEqual(len(self.facts()), 1)

    def test_listed_replica_of_another_address_counts_as_known(self):
        elsewhere = msgspec.structs.replace(replica("elsewhere"), replica="two")
        self.finder.registry.put(elsewhere)
        self.finder.find()
        self.assertEqual(self.finder.reports, 1)
        self.assertEqual((self.finder.ids(), self.facts()), (["two"], []))

    def test_replica_with_very_many_models_is_told_to_the_others(self):
        models = frozenset(f"m{n}" for n in range(MAX_MODELS)) | MODELS
        self.finder.find(models=models)
        self.assertEqual((self.finder.ids(), self.facts()), (["two"], []))

    def test_fact_that_exceeds_the_size_of_a_fact_fails_the_request(self):
        store = FactStore("r-1", self.timers)

        def publish(topic, key, body, *, ttl_s):
            return store.publish(topic, key, body, ttl_s)

        self.finder.board.publish = publish
        self.finder.find(models=MODELS | {"m" * MAX_BODY_BYTES})
        self.assertEqual((self.finder.ids(), self.facts()), (["two"], []))

    def test_address_that_is_listed_anew_during_the_report_is_overwritten(self):
        state = self.finder.registry.get("one")

        def fetch_models():
            self.finder.put("three", born_ms=3)
            return MODELS

        ended = []
        state.on_lost.add(lambda: ended.append("one"))
        self.finder.successors.note_moved(state, "two", fetch_models)
        self.assertEqual((self.finder.ids(), self.facts()), (["three"], []))
        self.assertEqual(ended, ["one"])


class ToldTest(SuccessorCase):
    def check_ignored(self, ids=("one",), outcome="outdated"):
        self.finder.find()
        self.assertEqual(self.other.ids(), list(ids))
        self.assertEqual(self.other.count(outcome), 1)

    def publish(self, listed, name, *, age_s=0.0, models=("m",), address=None):
        key = str(address or replica("one").address)
        body = msgspec.msgpack.encode([listed, name, models, age_s])
        self.finder.board.publish(FactTopic.REPLICA_SUCCESSOR, key, body)

    def test_fact_older_than_the_list_is_used(self):
        self.other.list_age_s = 0.0
        self.check_ignored()

    def test_fact_is_not_used_by_a_router_whose_list_was_never_confirmed(self):
        self.other.list_age_s = None
        self.finder.find()
        self.assertEqual(self.other.ids(), ["two"])

    def test_late_fact_replaces_a_replica_that_has_answered_since(self):
        self.timers.advance(10.0)
        self.other.board.fact_age_s = 5.0
        answered_at = self.timers.now() - 4.0
        self.other.registry.get("one").note_answer(True, answered_at)
        self.check_ignored()

    def test_fact_replaces_a_replica_that_a_newer_list_names(self):
        self.other.put("three", born_ms=3)
        self.check_ignored(["three"])

    def test_entry_of_another_service_keeps_a_successor_from_being_used(self):
        self.other.put("foreign", pool="no-such-service", born_ms=9)
        self.finder.find()
        self.assertEqual(self.other.ids(), ["two"])

    def test_each_router_judges_the_pool_by_the_table_of_the_finder(self):
        self.other.table = table(p=OTHER_MODELS, q=MODELS)
        self.check_ignored(outcome="other_pool")

    def test_fact_of_a_router_with_another_list_is_used(self):
        self.publish("zero", "three", age_s=1.0)
        self.assertEqual(self.other.ids(), ["one"])
        self.assertEqual(self.other.count("outdated"), 1)

    def test_second_restart_is_not_used_by_a_router_that_missed_the_first(self):
        self.finder.find()
        late = Router(self.timers, "r-3", self.shared)
        late.put()
        self.timers.advance(1.0)
        self.finder.find("three", before="two")
        self.assertEqual(self.other.ids(), ["three"])
        self.assertEqual(late.ids(), ["three"])

    def test_fact_of_a_router_that_missed_a_successor_is_not_used(self):
        self.publish("one", "two", age_s=2.0)
        self.publish("one", "three", age_s=1.0)
        self.assertEqual(self.other.ids(), ["three"])
        self.publish("one", "two-again", age_s=1.5)
        self.assertEqual(self.other.ids(), ["three"])

    def test_requests_under_way_are_ended_by_the_word_of_another_router(self):
        state, ended = self.other.registry.get("one"), []
        state.on_lost.add(lambda: ended.append("one"))
        asked = []
        self.other.registry.on_claimed = asked.append
        self.finder.find()
        self.assertEqual((ended, asked), ([], [state]))

    def test_entry_of_the_successor_does_not_replace_what_was_told(self):
        self.finder.find()
        state = self.other.registry.get("two")
        self.assertTrue(state.is_told)
        self.other.put("two", slots=3, born_ms=2)
        self.assertIs(self.other.registry.get("two"), state)
        self.assertEqual((state.is_provisional, state.is_told), (False, False))
        self.assertEqual(state.replica.slots, 3)

    def test_wrong_fact_keeps_the_replica_from_being_used_again(self):
        self.publish("one", "two")
        self.timers.advance(1.0)
        self.other.find("one", before="two")
        self.assertEqual(self.other.ids(), ["one"])

    def test_router_without_a_report_does_not_use_the_word_of_another(self):
        self.other.find(models=None)
        self.assertEqual(self.other.ids(), [])
        self.timers.advance(1.0)
        self.finder.find()
        self.assertEqual(self.other.ids(), ["two"])

    def test_older_fact_is_used_for_an_address_lost_to_another_replica(self):
        self.other.find("three", models=None)
        self.publish("one", "two", age_s=1.0)
        self.assertEqual(self.other.ids(), [])

    def test_fact_is_lost_if_it_arrives_before_the_list(self):
        late = Router(self.timers, "r-3", self.shared)
        self.finder.find()
        self.timers.advance(2.0)
        late.put()
        self.timers.advance(1.0)
        self.assertEqual(late.ids(), ["two"])

    def test_fact_that_arrived_before_a_newer_list_is_used(self):
        late = Router(self.timers, "r-3", self.shared)
        self.finder.find()
        self.timers.advance(2.0)
        late.put()
        late.list_age_s = 1.0
        self.timers.advance(0.5)
        self.assertEqual(late.ids(), ["one"])

    def test_fact_without_a_replica_is_kept_for_good(self):
        self.publish("x", "y", address="10.0.0.9:1")
        self.assertEqual(len(self.other.successors._waiting), 1)
        self.timers.advance(FACT_TTL_S + 1.0)
        self.assertEqual(len(self.other.successors._waiting), 0)

    def test_state_grows_without_bound(self):
        for number in range(2 * MAX_WAITING):
            self.publish("x", f"y{number}", address=f"10.0.0.9:{number}")
        for number in range(2 * MAX_DISPLACED):
            self.other.registry.put(replica(f"r{number}"))
            self.other.find("x", before=f"r{number}", models=None)
        successors = self.other.successors
        self.assertEqual(len(successors._waiting), MAX_WAITING)
        self.assertLessEqual(len(successors._displaced), MAX_DISPLACED)

    def test_fact_that_cannot_be_parsed_ends_the_subscription(self):
        key = str(replica("one").address)
        for body in (b"?", msgspec.msgpack.encode(["one"]), b""):
            self.finder.board.publish(FactTopic.REPLICA_SUCCESSOR, key, body)
        self.finder.find()
        self.assertEqual(self.other.ids(), ["two"])

    def test_newer_fact_that_waits_is_replaced_by_an_older_one(self):
        late = Router(self.timers, "r-3", self.shared)
        self.publish("one", "three", age_s=1.0)
        self.publish("one", "two", age_s=2.0)
        late.put()
        self.timers.advance(RETRY_INTERVAL_S)
        self.assertEqual(late.ids(), ["three"])

    def test_older_fact_about_the_same_successor_is_not_used_for_a_lost_replica(self):
        self.other.find(models=None)
        self.publish("one", "two", age_s=1.0)
        self.assertEqual(self.other.ids(), ["two"])

    def test_lost_replica_is_replaced_by_a_finder_with_another_list(self):
        self.other.find(models=None)
        self.timers.advance(1.0)
        self.publish("zero", "three")
        self.assertEqual(self.other.ids(), [])

    def test_listed_replica_is_moved_by_the_word_of_another_router(self):
        elsewhere = msgspec.structs.replace(replica("elsewhere"), replica="two")
        self.other.registry.put(elsewhere)
        state = self.other.registry.get("two")
        self.publish("one", "two")
        self.assertEqual(self.other.ids(), ["one", "two"])
        self.assertEqual(state.replica, elsewhere)

    def test_fact_with_a_negative_age_is_used_against_later_ones(self):
        self.publish("one", "two", age_s=-100.0)
        self.timers.advance(1.0)
        self.publish("one", "three")
        self.assertEqual(self.other.ids(), ["three"])

    def test_time_of_the_report_does_not_count_to_the_age_of_a_fact(self):
        state = self.finder.registry.get("one")

        def fetch_models():
            self.timers.advance(0.1)
            now = self.timers.now()
            self.other.registry.get("one").note_answer(True, now)
            self.timers.advance(0.1)
            return MODELS

        self.finder.successors.note_moved(state, "two", fetch_models)
        self.assertEqual(self.finder.ids(), ["two"])
        self.assertEqual(self.other.ids(), ["one"])

    def test_successor_of_a_listed_successor_is_not_used(self):
        self.finder.find()
        for router in (self.finder, self.other):
            router.put("two", born_ms=2)
        self.timers.advance(1.0)
        self.finder.find("three", before="two")
        self.assertEqual(self.other.ids(), ["three"])
        late = Router(self.timers, "r-3", self.shared)
        late.put("two", born_ms=2)
        self.timers.advance(1.0)
        self.publish("two", "four")
        self.assertEqual((self.other.ids(), late.ids()), (["four"], ["four"]))

    def test_each_waiting_fact_searches_all_replicas(self):
        for number in range(MAX_WAITING):
            self.publish("x", f"y{number}", address=f"10.0.0.9:{number}")
        searches = []
        find_all = self.other.registry.all
        self.other.registry.all = lambda: searches.append(1) or find_all()
        self.timers.advance(RETRY_INTERVAL_S)
        self.assertEqual(searches, [])
        self.assertEqual(len(self.other.successors._waiting), MAX_WAITING)

    def test_lost_replica_is_replaced_though_the_list_was_read_since(self):
        self.other.find(models=None)
        self.timers.advance(1.0)
        self.other.list_age_s = 0.5
        self.timers.advance(0.25)
        self.assertEqual(len(self.other.successors._displaced), 0)
        # The outage begins, and a finder still has the list from before.
        self.other.list_age_s = 1.5
        self.timers.advance(1.0)
        self.finder.find()
        self.assertEqual(self.other.ids(), [])

    def test_id_that_is_no_header_value_is_sent_to_the_replica(self):
        # An empty id could count as none, and a line break would end the header.
        for name in ("", " two", "two ", "two\r\nA: b", "two\n", "two\x7f", "\x85"):
            with self.subTest(name=name):
                self.publish("one", name)
                self.assertEqual(self.other.ids(), ["one"])
        self.publish("one", "replica two, é")
        self.assertEqual(self.other.ids(), ["replica two, é"])


if __name__ == "__main__":
    unittest.main()
