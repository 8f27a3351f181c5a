import unittest

import eventlet
import msgspec
from prometheus_client import CollectorRegistry

from boragedeck.connection.store import Delete, Table
from boragedeck.exceptions import TableError
from boragedeck.process.timers import ManualTimers
from boragedeck.version.config_in_force import ConfigInForce, Source
from boragedeck.version.config_messages import ConfigContent
from boragedeck.version.config_metrics import register_config_metrics
from boragedeck.version.config_store import pack
from boragedeck.version.config_watch import poll_interval
from boragedeck.version.tables import Config
from tests.version.fleet import Fleet, config

MAX_IN_FORCE_S = 5.0
GOSSIP_S = 1.5
MAX_FLEET_ROUTERS = 370
MAX_FLEET_IN_FORCE_S = 15.0
STORE_READS_PER_S = 2000.0


class ConfigWatchTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(9)
        self.fleet.timers.advance(2.0)

    def apply(self, *versions):
        return self.fleet.apply(config(*versions)).unwrap().revision

    def assert_in_force(self, revision, after_s=MAX_IN_FORCE_S):
        self.fleet.timers.advance(after_s)
        self.assertEqual(set(self.fleet.revisions()), {revision})

    def test_accepted_config_is_in_force_everywhere(self):
        for number in (1, 2, 3):
            self.apply(f"v{number}")
            self.assert_in_force(number)
        for router in self.fleet.routers:
            self.assertEqual(router.seen_revisions, [1, 2, 3])

    def test_polling_alone_is_enough(self):
        self.fleet.is_gossip_on = False
        self.assert_in_force(self.apply("v1"))

    def test_slow_platform(self):
        self.apply("v1")
        self.fleet.platform.faults.delay_s = 1.5
        eventlet.spawn_n(self.apply, "v2")
        self.fleet.timers.advance(3.0)
        self.assert_in_force(2)

    def test_one_router_that_reaches_the_platform_is_enough(self):
        self.fleet.routers_without_platform |= set(range(1, 9))
        self.assert_in_force(self.apply("v1"))
        status = self.fleet.routers[8].watch.status()
        self.assertEqual(status.source, Source.PEER)
        self.assertIn("cut off", status.platform_error)

    def test_restart_while_the_platform_is_down(self):
        self.apply("v1")
        self.assert_in_force(1)
        self.fleet.platform.faults.down = True
        for router in self.fleet.routers[:8]:
            router.stop()
            self.fleet.timers.advance(2.0)
            router.start()
        self.assert_in_force(1, after_s=2.0)

    def test_restart_while_the_platform_hangs(self):
        self.apply("v1")
        self.assert_in_force(1)
        self.fleet.platform.faults.delay_s = 1_000.0
        self.fleet.routers[3].stop()
        self.fleet.routers[3].start()
        self.assert_in_force(1, after_s=1.0)

    def test_stale_router_does_not_spread_its_revision_and_catches_up(self):
        self.apply("v1")
        self.assert_in_force(1)
        self.fleet.isolate_router(0)
        self.apply("v2")
        self.fleet.timers.advance(300.0)
        self.assertEqual(self.fleet.revisions(), [1] + [2] * 8)
        self.fleet.platform.faults.down = True
        self.fleet.heal()
        self.assert_in_force(2)
        self.assertTrue(all(r.seen_revisions == [1, 2] for r in self.fleet.routers))

    def test_partition_without_platform_keeps_its_revision(self):
        self.apply("v1")
        self.assert_in_force(1)
        partition = range(4)
        self.fleet.cut_links |= {
            frozenset((a, b)) for a in partition for b in range(4, 9)
        }
        self.fleet.routers_without_platform |= set(partition)
        self.apply("v2")
        self.fleet.timers.advance(60.0)
        self.assertEqual(self.fleet.revisions(), [1] * 4 + [2] * 5)
        self.fleet.heal()
        self.assert_in_force(2)

    def test_platform_that_lost_its_tables(self):
        for version in ("v1", "v2", "v3"):
            self.apply(version)
        self.assert_in_force(3)
        writes = [
            Delete(table, row.key)
            for table in (Table.CONFIG, Table.HISTORY)
            for row in self.fleet.platform.scan(table).unwrap()
        ]
        self.fleet.platform.commit(writes).unwrap()
        self.apply("v4")
        self.assert_in_force(3)
        base = self.fleet.store.read().unwrap()
        change = self.fleet.store.apply(
            base, config("v5"), author="ana", min_revision=4
        )
        self.assertEqual(change.unwrap().revision, 4)
        self.assert_in_force(4)
        self.assertEqual(
            {r.watch.current().route("r0").version for r in self.fleet.routers}, {"v5"}
        )

    def test_poll_interval_meets_read_and_time_limits_of_the_largest_fleet(self):
        interval = poll_interval(MAX_FLEET_ROUTERS)
        self.assertLess(1.2 * interval, MAX_FLEET_IN_FORCE_S)
        self.assertLess(MAX_FLEET_ROUTERS / interval, STORE_READS_PER_S / 20)

    def test_facts_do_not_grow_with_the_fleet(self):
        counts = []
        for size in (30, 120):
            fleet = Fleet(size, gossip_s=GOSSIP_S)
            fleet.timers.advance(5.0)
            fleet.apply(config("v1")).unwrap()
            fleet.timers.advance(MAX_IN_FORCE_S)
            self.assertEqual(set(fleet.revisions()), {1})
            counts.append(sum(len(r.board.own_facts) for r in fleet.routers))
            self.assertGreater(counts[-1], 0)
        self.assertLessEqual(counts[1], 2 * counts[0])

    def test_revision_held_by_one_router_is_eventually_published(self):
        fleet = Fleet(60)
        fleet.timers.advance(2.0)
        fleet.routers_without_platform |= set(range(1, 60))
        for router in fleet.routers:
            router.watch._fetch_from_any = lambda: None
        fleet.apply(config("v1")).unwrap()
        fleet.timers.advance(MAX_IN_FORCE_S)
        self.assertEqual(set(fleet.revisions()), {1})

    def test_metrics_report_the_revision_and_its_age(self):
        registry = CollectorRegistry()
        register_config_metrics(registry, self.fleet.routers[0].watch)
        self.apply("v1")
        self.assert_in_force(1)
        self.fleet.platform.faults.down = True
        self.fleet.timers.advance(100.0)

        def value(name):
            return registry.get_sample_value(f"boragedeck_config_{name}")

        self.assertEqual(value("revision"), 1)
        self.assertEqual(value("platform_readable"), 0)
        self.assertGreater(value("confirmed_seconds"), 99)
        self.assertGreater(value("in_force_seconds"), value("confirmed_seconds"))

    def test_failing_subscriber_does_not_affect_others(self):
        seen_revisions = []
        watch = self.fleet.routers[0].watch
        watch.subscribe(lambda cfg: 1 / 0)
        watch.subscribe(lambda cfg: seen_revisions.append(cfg.revision))
        self.apply("v1")
        self.assert_in_force(1)
        self.assertEqual(seen_revisions, [1])


class ConfigInForceTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(0)
        self.in_force = ConfigInForce(ManualTimers())
        self.changes = []
        for number in range(1, 5):
            change = self.fleet.apply(config(f"v{number}", f"w{number // 2}"))
            self.changes.append(change.unwrap())
        self.stored = self.fleet.store.read().unwrap()

    def test_changes_give_the_full_config(self):
        self.assertTrue(self.in_force.install_changes(self.changes, Source.PLATFORM))
        self.assertEqual(self.in_force.current, self.stored.config)

    def test_gap_or_wrong_digest_changes_nothing(self):
        other = msgspec.structs.replace(self.changes[2], digest="0")
        for changes in (
            self.changes[1:],
            [self.changes[0], self.changes[2]],
            [*self.changes[:2], other],
        ):
            self.assertFalse(self.in_force.install_changes(changes, Source.PLATFORM))
            self.assertEqual(self.in_force.current, Config())

    def test_older_content_is_ignored(self):
        self.in_force.install_config(self.stored.config, Source.PLATFORM)
        old = msgspec.structs.replace(self.stored.config, revision=3)
        self.in_force.install_config(old, Source.PEER)
        self.in_force.install_content(ConfigContent(3, full_config=pack(old)))
        self.assertTrue(self.in_force.install_changes(self.changes[:3], Source.PEER))
        self.assertEqual(self.in_force.current.revision, 4)

    def test_content_is_changes_while_they_are_kept(self):
        self.in_force.install_changes(self.changes, Source.PLATFORM)
        for after in range(5):
            follower = ConfigInForce(ManualTimers())
            follower.install_changes(self.changes[:after], Source.PLATFORM)
            content = self.in_force.content(after)
            self.assertEqual(content.full_config, b"")
            follower.install_content(content)
            self.assertEqual(follower.current, self.stored.config)

    def test_invalid_content_is_refused(self):
        for content in (
            ConfigContent(9, (b"{}",)),
            ConfigContent(9, full_config=b"\x78\x9c"),
            ConfigContent(9, (pack(self.changes[3]),)),
        ):
            with self.assertRaises(TableError):
                self.in_force.install_content(content)
        self.assertEqual(self.in_force.current, Config())
