import heapq
import itertools
import random
import unittest
from collections import Counter

from boragedeck.process.relaying.placing.placement import (
    PlacementRequest,
    choose_backup,
    choose_replica,
    has_room,
    most_free_tokens,
    sample_size,
)
from boragedeck.process.relaying.replicas.replica_state import Load, ReplicaState
from boragedeck.process.relaying.replicas.restraint import Reason
from boragedeck.version.replicas import Replica, ReplicaStage
from boragedeck.version.routing import EngineProfile

ENGINE = EngineProfile(slots=64, memory_tokens=88_000, can_back_up=True)


def state(name, domain="a", load=None, **fields):
    replica = Replica(
        replica=name,
        pool="p",
        address=None,
        failure_domain=domain,
        version="v1",
        slots=6,
        stage=ReplicaStage.READY,
    )
    made = ReplicaState(replica)
    made.own = load or Load()
    for key, value in fields.items():
        setattr(made, key, value)
    return made


def request(tokens=9_000, engine=ENGINE, **fields):
    values = {"tokens": tokens, "now": 10.0} | fields
    return PlacementRequest(engine=engine, **values)


class PlacementTest(unittest.TestCase):
    def choose(self, states, **fields):
        chosen = choose_replica(states, request(**fields), random.Random(1))
        return None if chosen is None else chosen.replica.replica

    def test_unread_prompts_weigh_more_than_running_streams(self):
        reading = state("reading", load=Load(1, 8_000, 9_000))
        running = state("running", load=Load(4, 0, 36_000))
        self.assertEqual(self.choose([reading, running]), "running")

    def test_memory_limits_before_slots(self):
        full = state("full", load=Load(8, 0, 80_000))
        self.assertFalse(has_room(full, request()))
        self.assertIsNone(self.choose([full]))

    def test_most_free_tokens_are_those_up_to_which_a_replica_has_room(self):
        """Guards against a waiting request that is passed over although it fits."""
        rng = random.Random(3)
        for _ in range(500):
            engine = rng.choice([ENGINE, EngineProfile(4, 1_000), None])
            states = [
                state("e", load=Load(rng.randrange(7), 0, rng.randrange(1_100)))
                for _ in range(rng.randrange(3))
            ]
            req = request(rng.randrange(1_100), engine)
            fits = any(has_room(each, req) for each in states)
            self.assertEqual(req.tokens <= most_free_tokens(states, req), fits)

    def test_stale_loads_of_other_routers_do_not_refuse_calls(self):
        reported = state("reported", peers=Load(6, 0, 0))
        self.assertFalse(has_room(reported, request(engine=None)))
        self.assertTrue(has_room(reported, request(engine=None, is_fresh=False)))
        own = state("own", load=Load(6, 0, 0))
        self.assertFalse(has_room(own, request(engine=None, is_fresh=False)))

    def test_request_larger_than_an_engine_goes_to_an_empty_one(self):
        self.assertEqual(self.choose([state("empty")], tokens=100_000), "empty")

    def test_work_of_other_routers_counts(self):
        busy = state("busy", peers=Load(3, 16_000, 27_000))
        self.assertEqual(self.choose([busy, state("idle", "b")]), "idle")

    def test_limited_replica_is_chosen_before_its_turn_though_another_has_room(self):
        limited, later = state("limited"), state("later")
        limited.restraints.extend(Reason.LIMITED, 10.5)
        later.restraints.extend(Reason.LIMITED, 10.9)
        busy = state("busy", load=Load(3, 8_000, 27_000))
        self.assertEqual(self.choose([later, limited, busy]), "busy")
        self.assertEqual(self.choose([later, limited]), "limited")
        self.assertEqual(self.choose([busy, later], now=11.0), "later")

    def test_avoided_replica_is_chosen_before_one_that_waits_for_its_turn(self):
        limited, bad = state("limited"), state("bad")
        limited.restraints.extend(Reason.LIMITED, 10.5)
        bad.restraints.extend(Reason.AVOIDED, 11.0)
        self.assertEqual(self.choose([bad, limited]), "limited")
        self.assertEqual(self.choose([bad]), "bad")

    def test_avoided_replica_comes_last(self):
        bad = state("bad")
        bad.restraints.extend(Reason.AVOIDED, 11.0)
        busy = state("busy", load=Load(4, 8_000, 36_000))
        self.assertEqual(self.choose([bad, busy]), "busy")
        self.assertEqual(self.choose([bad]), "bad")

    def test_replica_with_the_larger_failure_share_is_not_chosen(self):
        failing = state("failing", failure_share=0.5)
        healthy = state("healthy", "b", failure_share=0.1)
        self.assertEqual(self.choose([failing, healthy], engine=None), "healthy")

    def test_equal_replicas_share_requests(self):
        states = [state(name) for name in "abc"]
        rng = random.Random(2)
        counts = Counter(
            choose_replica(states, request(), rng).replica.replica for _ in range(900)
        )
        self.assertGreater(min(counts.values()), 200)

    def test_copy_is_kept_in_another_failure_domain(self):
        states = [state("one"), state("two"), state("three", "b")]
        rng = random.Random(3)
        backup = choose_backup(states, states[0], request(), rng)
        self.assertEqual(backup.replica.replica, "three")
        self.assertIsNone(choose_backup(states[:2], states[0], request(), rng))

    def test_copy_is_not_placed_in_a_domain_that_may_be_down(self):
        chosen = state("one")
        down = state("down", "b", missed_at=9.5, answered_at=9.0)
        neighbour = state("neighbour", "b", answered_at=9.2)
        busy = state("busy", "c", load=Load(2, 0, 18_000))
        rng = random.Random(3)

        def backup(*others, **fields):
            found = choose_backup([chosen, *others], chosen, request(**fields), rng)
            return found.replica.replica

        self.assertEqual(backup(down, neighbour, busy), "busy")
        # A later answer from the domain ends the suspicion, and so does time.
        alive = state("alive", "b", answered_at=9.8, load=Load(1, 0, 9_000))
        self.assertIn(backup(down, neighbour, alive, busy), ("down", "neighbour"))
        self.assertIn(backup(down, neighbour, busy, now=12.0), ("down", "neighbour"))
        # If there is no other domain, a copy in a suspect one is better than none.
        self.assertIn(backup(down, neighbour), ("down", "neighbour"))
        lost = {"lost_domains": frozenset("b"), "now": 12.0}
        self.assertEqual(backup(neighbour, busy, **lost), "busy")

    def test_request_that_was_lost_goes_to_another_failure_domain(self):
        states = [state("near"), state("far", "b", load=Load(3, 4_000, 27_000))]
        self.assertEqual(self.choose(states), "near")
        lost = {"lost_domains": frozenset("a")}
        self.assertEqual(self.choose(states, **lost), "far")
        self.assertEqual(self.choose(states[:1], **lost), "near")
        states = [state("near"), state("far", "b", load=Load(1))]
        self.assertEqual(self.choose(states, engine=None), "near")
        self.assertEqual(self.choose(states, engine=None, **lost), "far")


class SpeedTest(unittest.TestCase):
    """Engines of different speed."""

    def chosen(self, states, seed=1, **fields):
        return choose_replica(states, request(**fields), random.Random(seed))

    def test_idle_slow_engine_is_not_preferred_to_a_busier_normal_one(self):
        slow, normal = state("slow", speed=0.5), state("normal", load=Load(2, 8_000))
        work = {"work_tokens": 40_000.0}
        self.assertIs(self.chosen([slow, normal], **work), normal)

    def test_slow_engine_is_chosen_if_the_others_have_more_work(self):
        slow = state("slow", speed=0.5)
        normal = state("normal", load=Load(7, 48_000, 56_000))
        self.assertIs(self.chosen([slow, normal], work_tokens=40_000.0), slow)

    def test_fast_engine_is_preferred(self):
        fast, normal = state("fast", speed=2.0), state("normal")
        self.assertIs(self.chosen([normal, fast], work_tokens=40_000.0), fast)

    def test_choice_is_as_before_if_no_speed_is_known(self):
        # The cost as it was computed before speeds were known, to the last bit.
        def former(state, req):
            ahead = state.unread_tokens + 400 * state.running
            ahead += 8000 * (state.replica.failure_domain in req.lost_domains)
            return 2.0 * state.failure_share + ahead / req.engine.memory_tokens

        rng = random.Random(17)
        for seed in range(500):
            states = [
                state(
                    f"e{number}",
                    rng.choice("abc"),
                    load=Load(rng.randrange(6), 800 * rng.randrange(30), 0),
                    failure_share=rng.choice((0.0, 0.2, 0.36)),
                )
                for number in range(8)
            ]
            fields = {
                "work_tokens": rng.uniform(0.0, 60_000.0),
                "lost_domains": frozenset(rng.choice(("", "a", "b"))),
            }
            lowest = min(state.failure_share for state in states)
            for each in states:
                each.failure_share -= lowest
            req, draws = request(**fields), random.Random(seed)
            compared = draws.sample(states, len(states))
            expected = min(compared, key=lambda s: (former(s, req), draws.random()))
            self.assertIs(self.chosen(states, seed, **fields), expected)


class CopyLoadTest(unittest.TestCase):
    """Simulates 80 routers that place copies by the same, outdated loads."""

    ROUTERS = 80
    ENGINES = 60
    COPY_TOKENS = 9_000

    def max_copies_at_one_engine(self, choose):
        """Return the maximum number of copies at one engine."""
        rng = random.Random(11)
        held = Counter()
        for _ in range(self.ROUTERS):
            engines = [state(f"e{i}", "abcde"[i % 5]) for i in range(self.ENGINES)]
            held[choose(engines, rng).replica.replica] += 1
        return max(held.values())

    def test_copies_do_not_overfill_one_engine(self):
        def emptiest(engines, rng):
            others = [e for e in engines if e.replica.failure_domain != "a"]
            return min(others, key=lambda engine: engine.tokens)

        def chosen(engines, rng):
            req = request(routers=self.ROUTERS)
            return choose_backup(engines, engines[0], req, rng)

        fits = int(ENGINE.memory_tokens / self.COPY_TOKENS)
        self.assertGreater(self.max_copies_at_one_engine(emptiest), fits)
        self.assertLessEqual(self.max_copies_at_one_engine(chosen), fits)


class LossLoadTest(unittest.TestCase):
    """Simulates prompts that 40 routers place again when a failure domain is lost.

    The routers know the same loads, and none learns of the others' choices in time.
    """

    ROUTERS = 40
    ENGINES = 48

    def longest_queue(self, choose):
        rng = random.Random(13)
        loads = [Load(count, 0, 9_000 * count) for count in (0, 1, 1, 2, 2, 3)]
        taken = Counter()
        for _ in range(self.ROUTERS):
            engines = [
                state(f"e{i}", "abcd"[i % 4], load=loads[i % len(loads)])
                for i in range(self.ENGINES)
            ]
            taken[choose(engines, rng).replica.replica] += 1
        return max(taken.values())

    def test_prompts_do_not_pile_up_at_the_emptiest_engines(self):
        def emptiest(engines, rng):
            return min(engines, key=lambda engine: (engine.running, rng.random()))

        def chosen(engines, rng):
            return choose_replica(engines, request(routers=self.ROUTERS), rng)

        baseline = self.longest_queue(emptiest)
        self.assertLess(self.longest_queue(chosen), baseline)


class SampleSizeTest(unittest.TestCase):
    def test_few_routers_compare_all(self):
        self.assertEqual(sample_size(24, 9), 24)

    def test_large_fleets_compare_few_and_never_one(self):
        self.assertEqual(sample_size(60, 80), 4)
        self.assertEqual(sample_size(60, 1000), 4)
        self.assertEqual(sample_size(1, 1000), 1)


class LoadTest(unittest.TestCase):
    """Simulates prompts that arrive at engines, compared with round robin.

    The model of an engine reads prompts one after the other at 8 tokens a millisecond;
    a stream takes five seconds after that, and memory is bounded.
    """

    READ_TOKENS_PER_S = 8_000.0
    STREAM_S = 5.0

    def simulate(self, choose):
        rng = random.Random(7)
        engines = [state(f"e{i}", "abc"[i % 3]) for i in range(12)]
        free_at = dict.fromkeys(range(12), 0.0)
        ends, firsts, now = [], [], 0.0
        for number in range(600):
            now += rng.expovariate(8.0)
            tokens = int(rng.choice((2_000, 4_000, 8_000, 16_000)))
            for end, index, size in [e for e in ends if e[0] <= now]:
                ends.remove((end, index, size))
                engines[index].own.running -= 1
                engines[index].own.tokens -= size
            for index, engine in enumerate(engines):
                left_s = max(0.0, free_at[index] - now)
                engine.own.unread_tokens = int(left_s * self.READ_TOKENS_PER_S)
            index = choose(engines, tokens, number, now)
            begins = max(now, free_at[index])
            free_at[index] = begins + tokens / self.READ_TOKENS_PER_S
            firsts.append(free_at[index] - now)
            engines[index].own.running += 1
            engines[index].own.tokens += tokens
            ends.append((free_at[index] + self.STREAM_S, index, tokens))
        return sorted(firsts)[int(0.95 * len(firsts))]

    def test_first_events_come_sooner_than_with_round_robin(self):
        rng = random.Random(3)

        def placed(engines, tokens, number, now):
            req = request(tokens=tokens, now=now)
            chosen = choose_replica(engines, req, rng)
            return number % 12 if chosen is None else engines.index(chosen)

        round_robin = self.simulate(lambda engines, tokens, number, now: number % 12)
        self.assertLess(self.simulate(placed), 0.8 * round_robin)


if __name__ == "__main__":
    unittest.main()


class LargeFleetLoadTest(unittest.TestCase):
    """Simulates streams of hundreds of routers that learn of others' choices late.

    An engine reads one prompt after the other; a stream's first output comes when its
    prompt has been read.
    """

    ENGINES = 99
    STREAMS_PER_S = 26.0
    REPORT_DELAY_S = 0.1
    """Maximum age of a hub's load report about another failure domain's streams."""
    READ_S = (0.5, 1.6)
    DECODE_S = 4.3
    SIMULATED_S = 60.0

    def first_outputs(self, routers, seed):
        """Return how long callers waited for their first output, sorted."""
        rng, now, waits = random.Random(seed), 0.0, []
        states = [state(f"e{n}", domain=f"d{n % 5}") for n in range(self.ENGINES)]
        free_at = dict.fromkeys((s.replica.replica for s in states), 0.0)
        updates, numbers = [], itertools.count()
        while now < self.SIMULATED_S:
            now += rng.expovariate(self.STREAMS_PER_S)
            while updates and updates[0][0] <= now:
                _, _, chosen, load, sign = heapq.heappop(updates)
                chosen.peers.add(load, sign)
            req = request(now=now, routers=routers)
            chosen = choose_replica(states, req, rng)
            name = chosen.replica.replica
            free_at[name] = max(now, free_at[name]) + rng.uniform(*self.READ_S)
            waits.append(free_at[name] - now)
            reading, running = Load(0, 8_000, 0), Load(1, 0, 9_000)
            for at, load, sign in (
                (now + self.REPORT_DELAY_S, reading, 1),
                (now + self.REPORT_DELAY_S, running, 1),
                (free_at[name] + self.REPORT_DELAY_S, reading, -1),
                (free_at[name] + self.DECODE_S + self.REPORT_DELAY_S, running, -1),
            ):
                heapq.heappush(updates, (at, next(numbers), chosen, load, sign))
        return sorted(waits)

    def slow_share(self, routers):
        """Return the share of callers that waited longer than any prompt takes."""
        longest_s = self.READ_S[1]
        waits = [w for seed in range(3) for w in self.first_outputs(routers, seed)]
        return sum(wait > longest_s for wait in waits) / len(waits)

    def test_few_callers_wait_behind_another_prompt(self):
        few, all_engines = self.slow_share(195), self.slow_share(1)
        self.assertLess(few, 0.1)
        self.assertLess(few, all_engines / 3)
