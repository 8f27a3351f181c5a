import unittest

import msgspec

from boragedeck.platform.callers import decode_request, described_request
from boragedeck.process.relaying.replicas.replica_state import Load
from boragedeck.process.relaying.replicas.restraint import Reason
from boragedeck.request.explain import explain
from boragedeck.request.explanation import ExplainQuery
from boragedeck.version.routing import RelayPool
from tests.support.replicas import (
    ENGINE,
    RelayHarness,
    ScriptedReplica,
    call_rule,
    events,
    stream_rule,
)

POOL = RelayPool("engines", 100, ENGINE)
HEADERS = [("Token-Counts", "1000,100"), ("Deadline-Ms", "3000")]


class ExplainCase(unittest.TestCase):
    def start(self, rule=None, pool=POOL, replicas=("one", "two")):
        self.harness = RelayHarness(rule or stream_rule(), pool=pool)
        self.addCleanup(self.harness.close)
        self.replicas = [ScriptedReplica(name, events(1)) for name in replicas]
        for replica in self.replicas:
            self.harness.add(replica)

    def state(self, name):
        return self.harness.registry.get(name)

    def explain(self, path="/r/x", headers=HEADERS, key="key-1"):
        query = ExplainQuery(
            method="POST", path=path, host="here.example", headers=headers, key=key
        )
        parts = self.harness.parts
        raw = described_request(query, parts.timers.now())
        return explain(parts, "r-1", decode_request(raw))

    def excluded(self, found):
        return {view.replica: view.excluded for view in found.candidates}


class ChoiceTest(ExplainCase):
    def test_choice_differs_from_that_of_the_request(self):
        self.start()
        self.state("one").peers = Load(3, 4000, 5000)
        found = self.explain()
        self.assertEqual(found.choice, "two")
        costs = [view.cost for view in found.candidates]
        self.assertEqual([view.replica for view in found.candidates], ["two", "one"])
        self.assertLess(*costs)
        self.harness.fetch(b"Token-Counts: 1000,100")
        self.assertEqual([len(each.received) for each in self.replicas], [0, 1])

    def test_explanation_changes_something(self):
        self.start()
        noted = []
        self.harness.parts.rollouts._requests.note = noted.append
        self.harness.parts.retries.note_request = noted.append
        for _ in range(3):
            self.explain()
        self.assertEqual(noted, [])
        self.assertEqual(self.harness.admission.waiting(), 0)
        for name in ("one", "two"):
            self.assertEqual(self.state(name).own.running, 0)
        self.assertEqual([each.received for each in self.replicas], [[], []])

    def test_reason_why_a_replica_is_excluded_is_not_named(self):
        names = "free", "held", "leaving", "avoided", "full", "memory"
        self.start(replicas=names)
        until = self.harness.timers.now() + 5.0
        self.state("held").restraints.extend(Reason.HELD_OFF, until)
        self.state("leaving").restraints.extend(Reason.LEAVING, float("inf"))
        self.state("avoided").restraints.extend(Reason.AVOIDED, until)
        self.state("full").peers = Load(ENGINE.slots, 0, 0)
        self.state("memory").peers = Load(1, 0, ENGINE.memory_tokens)
        found = self.explain()
        self.assertEqual(found.choice, "free")
        expected = {
            "free": None,
            "held": "held_off",
            "leaving": "leaving",
            "avoided": "avoided",
            "full": "no_slot",
            "memory": "no_memory",
        }
        self.assertEqual(self.excluded(found), expected)
        lasting = {view.replica: view.excluded_s for view in found.candidates}
        self.assertAlmostEqual(lasting["held"], 5.0, delta=0.5)
        self.assertIsNone(lasting["leaving"])

    def test_replica_of_a_version_that_may_not_serve_it_is_named_as_candidate(self):
        self.start()
        self.harness.parts.rollouts.draw_filter = lambda pool: (
            lambda replica: replica.replica == "two"
        )
        found = self.explain()
        self.assertEqual(self.excluded(found), {"two": None, "one": "version"})


class WaitTest(ExplainCase):
    def fill(self):
        for name in ("one", "two"):
            self.state(name).peers = Load(ENGINE.slots, 0, 0)

    def test_expected_wait_is_not_named(self):
        self.start()
        self.fill()
        found = self.explain()
        self.assertEqual((found.choice, found.refusal), (None, None))
        self.assertGreater(found.expected_wait_s, 0.0)
        self.assertGreater(found.max_wait_s, found.expected_wait_s)

    def test_refusal_differs_from_that_of_the_request(self):
        self.start()
        self.fill()
        self.harness.admission._mean_service_s["engines"] = 1000.0
        found = self.explain()
        self.assertEqual((found.refusal.status, found.refusal.code), (503, "no_room"))
        self.assertGreater(found.refusal.retry_after_s, 0.0)
        self.assertIsNone(found.expected_wait_s)
        response = self.harness.fetch(b"Token-Counts: 1000,100")
        self.assertEqual(response.status, 503)
        self.assertEqual(response.body.decode(), found.refusal.message)


class RefusalTest(ExplainCase):
    def test_unknown_route_or_key_is_explained(self):
        self.start()
        self.assertEqual(self.explain(path="/other").refusal.code, "no_route")
        table = self.harness.table
        organisations = {"key-1": "org-1"}
        self.harness.table = msgspec.structs.replace(
            table, needs_keys=True, organisations=organisations
        )
        self.assertEqual(self.explain(key="key-2").refusal.code, "bad_key")
        found = self.explain(key="key-1")
        self.assertEqual((found.organisation, found.refusal), ("org-1", None))

    def test_refusal_of_a_router_that_stops_is_not_named(self):
        self.start(call_rule(), pool=None)
        self.harness.time_left_s = 0.0
        found = self.explain()
        self.assertEqual((found.refusal.code, found.choice), ("router_stopping", None))

    def test_pool_that_is_not_reached_is_explained_as_reached(self):
        self.start(call_rule(), pool=None)
        self.harness.parts.paths.are_lost = lambda addresses: True
        self.assertEqual(self.explain().refusal.code, "not_reached")

    def test_invalid_header_is_taken(self):
        self.start()
        found = self.explain(headers=[("Token-Counts", "x")])
        self.assertEqual((found.refusal.status, found.route), (400, None))

    def test_pool_without_replicas_has_a_choice(self):
        self.start(replicas=())
        found = self.explain()
        self.assertEqual((found.choice, found.candidates), (None, []))
