import unittest

from tests.support.successor_fleet import SuccessorFleet, small_bounds

ROUTERS = 24
ENGINES = 40
PER_S = 12.0
DOWN_S = 1.2
AFTER_S = 5.3
BOUNDS = small_bounds(0.2, 20.0)


class SuccessorFleetTest(unittest.TestCase):
    """A failure domain restarts under new ids while the store is away."""

    def play(self, seed=1, **fields):
        """Crash a domain and then another one, and serve streams meanwhile."""
        fleet = SuccessorFleet(ROUTERS, ENGINES, seed, bounds=BOUNDS, **fields)
        self.prepare(fleet)
        fleet.run(3.0, PER_S)
        for domain in ("d0", "d1"):
            fleet.crash(fleet.domain(domain), DOWN_S, PER_S)
            fleet.run(AFTER_S, PER_S)
        fleet.run(5.0)
        return fleet

    def prepare(self, fleet):
        """Set faults before the streams arrive."""

    def check(self, fleet, most_misdirected):
        """Check the number of answers 421, and that no other pool ran a request."""
        self.assertLessEqual(fleet.misdirected, most_misdirected)
        self.assertEqual(sum(each.misplaced for each in fleet.engines.values()), 0)

    def test_each_router_learns_each_successor_by_a_request(self):
        restarted = ENGINES // 2
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                alone = self.play(seed, tells=False)
                self.assertGreater(alone.misdirected, 3 * restarted)
                told = self.play(seed)
                # One finds it; few send in the time that the fact takes.
                self.check(told, 1.5 * restarted)
                self.assertLess(told.ends["not_taken"], alone.ends["not_taken"] / 3)
                self.assertGreater(told.ends["served"], 1.3 * alone.ends["served"])

    def test_lost_messages_leave_routers_without_most_successors(self):
        def prepare(fleet):
            fleet.network.loss = 0.3

        self.prepare = prepare
        self.check(self.play(), ENGINES)

    def test_split_network_uses_successors_of_the_other_side_wrongly(self):
        def prepare(fleet):
            addresses = [router.address for router in fleet.routers]
            fleet.network.part(addresses[::2], addresses[1::2])

        self.prepare = prepare
        # Each side learns for itself.
        self.check(self.play(), 1.5 * ENGINES)


class ReusedAddressTest(unittest.TestCase):
    def test_request_runs_at_a_replica_of_another_pool(self):
        fleet = SuccessorFleet(ROUTERS, ENGINES, bounds=BOUNDS)
        engines = fleet.domain("d0")
        fleet.crash(engines, DOWN_S, PER_S)
        fleet.run(1.0, PER_S)
        for engine in engines:
            engine.crash()
        # The addresses have changed hands again while the facts still spread.
        for engine in engines[::2]:
            engine.restart(pool="q")
        for engine in engines[1::2]:
            engine.restart()
        fleet.run(AFTER_S, PER_S)
        fleet.run(5.0)
        self.assertEqual([each.misplaced for each in engines], [0] * len(engines))
        self.assertGreater(fleet.ends["served"], 0)


class ConfirmedListTest(unittest.TestCase):
    def test_fact_is_believed_against_a_list_that_was_read_since(self):
        fleet = SuccessorFleet(ROUTERS, ENGINES, bounds=BOUNDS)
        (engine, *_) = fleet.domain("d0")
        before = engine.replica
        fleet.crash([engine], DOWN_S, 0.0)
        finder = fleet.routers[0]
        fleet.network.part(
            [finder.address], [router.address for router in fleet.routers[1:]]
        )
        state = finder.registry.get(before)
        finder.successors.note_moved(state, engine.replica, lambda: frozenset({"m"}))
        fleet.run(1.0)
        fleet.network.blocked_links.clear()
        fleet.confirmed_at = fleet.timers.now()
        fleet.run(5.0)
        for router in fleet.routers[1:]:
            self.assertIsNone(router.registry.get(engine.replica))
        ignored = [
            router.metrics.successors.labels("outdated")._value.get()
            for router in fleet.routers[1:]
        ]
        self.assertEqual(ignored, [1] * len(ignored))


if __name__ == "__main__":
    unittest.main()
