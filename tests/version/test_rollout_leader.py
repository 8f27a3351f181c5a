import unittest

from boragedeck.connection.store import Table
from boragedeck.version.rollout_row import Cause, State, StopRow, decode_row, stop_write
from tests.version.rollout_parts import Fleet, config


class TestRolloutLeader(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(2)

    def stored(self):
        rows = self.fleet.platform.scan(Table.ROLLOUTS, "attempt/").unwrap()
        return [decode_row(row) for row in rows]

    def test_first_version_is_in_force_without_a_move(self):
        self.fleet.lead(0, 1)
        self.fleet.tick()
        self.assertEqual(self.fleet.row().cause, Cause.FIRST_VERSION)
        self.assertEqual(self.fleet.choose(1), "A")

    def test_edit_starts_a_rollout_on_both_routers(self):
        row = self.fleet.start_move()
        self.assertEqual((row.state, row.old, row.new), (State.RUNNING, "A", "B"))
        self.assertEqual(self.fleet.row(1), row)
        self.assertTrue(row.reason)
        self.assertTrue(row.action)

    def test_no_rollout_starts_without_a_lease(self):
        self.fleet.edit(config(2, "B", self.fleet.timers.wall() + 600))
        self.fleet.tick(5)
        self.assertEqual(self.stored(), [])
        self.assertEqual(self.fleet.choose(), "A")

    def test_unsafe_lease_writes_nothing(self):
        self.fleet.start_move()
        self.fleet.leases["r0"].safe = False
        self.fleet.edit(config(3, "A"))
        self.fleet.tick(5)
        self.assertEqual(self.fleet.row().state, State.RUNNING)

    def test_paused_leader_can_not_overwrite_its_successor(self):
        self.fleet.start_move()
        self.fleet.lead(1, 2)
        self.fleet.edit(config(3, "A"))
        self.fleet.leaders[0].tick()
        self.assertEqual(self.fleet.row().state, State.RUNNING)
        self.fleet.tick(2)
        self.assertEqual([row.token for row in self.stored()], [1, 2])
        self.assertEqual(self.fleet.row(0).cause, Cause.SUPERSEDED)

    def test_lost_answers_are_resolved_by_reading_the_head(self):
        for faults in ("lose_answers", "lose_requests"):
            with self.subTest(faults):
                fleet = Fleet(1)
                setattr(fleet.platform.faults, faults, 1)
                fleet.lead(0, 1)
                fleet.tick(3)
                setattr(fleet.platform.faults, faults, 1)
                fleet.edit(config(2, "B", fleet.timers.wall() + 600))
                fleet.tick(3)
                stored = fleet.platform.get(Table.ROLLOUTS, "head/chat").unwrap()
                self.assertEqual(decode_row(stored), fleet.row())
                self.assertEqual(fleet.row().number, 1)

    def test_new_edit_ends_the_running_attempt_first(self):
        first = self.fleet.start_move()
        deadline = self.fleet.timers.wall() + 900
        self.fleet.edit(config(3, "C", deadline))
        self.fleet.tick(3)
        states = [(row.number, row.new, row.state) for row in self.stored()]
        self.assertEqual(
            states,
            [
                (0, "A", State.DONE),
                (1, "B", State.ROLLED_BACK),
                (2, "C", State.RUNNING),
            ],
        )
        self.assertEqual(self.fleet.row().old, first.old)

    def test_ended_attempt_is_not_repeated(self):
        row = self.fleet.start_move()
        self.fleet.followers[1].stop(row, "fault")
        self.fleet.tick(5)
        self.assertEqual(self.fleet.row().state, State.ROLLED_BACK)
        self.assertIn("fault", self.fleet.row().reason)
        self.assertEqual(len(self.stored()), 2)
        self.fleet.edit(config(3, "B", self.fleet.timers.wall() + 900))
        self.fleet.tick(2)
        self.assertEqual(self.fleet.row().number, 2)

    def test_leader_with_an_old_configuration_does_not_act(self):
        self.fleet.start_move()
        self.fleet.sources[1].put(config(1, "A"))
        self.fleet.lead(1, 2)
        self.fleet.tick(3)
        self.assertEqual(self.fleet.row().state, State.RUNNING)

    def test_lack_of_capacity_is_refused_with_the_reason(self):
        self.fleet.lead(0, 1)
        self.fleet.tick()
        deadline = self.fleet.timers.wall() + 600
        self.fleet.edit(config(2, "B", deadline, leaving=("B",)))
        self.fleet.tick(2)
        row = self.fleet.row()
        self.assertEqual((row.state, row.cause), (State.ROLLED_BACK, Cause.NO_CAPACITY))
        self.assertIn("leaving", row.reason)
        self.assertIn("pool", row.action)

    def test_short_deadline_is_refused(self):
        row = self.fleet.start_move(length_s=30.0)
        self.assertEqual((row.state, row.cause), (State.ROLLED_BACK, Cause.DEADLINE))

    def test_recorded_stop_excludes_a_raise_and_done(self):
        row = self.fleet.start_move()
        stop = StopRow("r9", self.fleet.timers.wall(), "seen by r9 alone")
        self.fleet.platform.commit([stop_write(row, stop)]).unwrap()
        leader = self.fleet.leaders[0]
        leader._raise_share(row, "evidence", self.fleet.timers.wall())
        leader._end_attempt(row, State.DONE, Cause.EVIDENCE, "evidence")
        self.assertEqual(self.fleet.row().step, row.step)
        self.fleet.tick(2)
        self.assertEqual(self.fleet.row().state, State.ROLLED_BACK)
        self.assertIn("r9", self.fleet.row().reason)

    def test_store_down_over_the_deadline_ends_in_a_rollback(self):
        row = self.fleet.start_move(length_s=120.0)
        self.fleet.platform.faults.down = True
        self.fleet.tick(130)
        self.assertEqual(self.fleet.choose(), "A")
        self.assertEqual(self.fleet.choose(1), "A")
        self.fleet.platform.faults.down = False
        self.fleet.tick(2)
        self.assertGreater(self.fleet.timers.wall(), row.deadline)
        self.assertEqual(self.fleet.row().cause, Cause.DEADLINE)

    def test_rollback_to_leaving_replicas_is_refused_with_the_reason(self):
        row = self.fleet.start_move()
        leader = self.fleet.leaders[0]
        leader._end_attempt(row, State.DONE, Cause.EVIDENCE, "evidence")
        deadline = self.fleet.timers.wall() + 600
        self.fleet.edit(config(3, "A", deadline, leaving=("A",)))
        self.fleet.tick(2)
        self.assertEqual(self.fleet.row().cause, Cause.NO_CAPACITY)
        self.assertEqual(self.fleet.choose(), "B")
        self.fleet.edit(config(4, "A", deadline + 1))
        self.fleet.tick(2)
        self.assertEqual(
            (self.fleet.row().state, self.fleet.row().old), (State.RUNNING, "B")
        )

    def test_write_on_an_outdated_head_changes_nothing(self):
        # A write whose answer was lost may take effect later, under the same lease.
        row = self.fleet.start_move()
        late = row.with_note(row.started, reason="late")
        self.fleet.platform.commit(late.writes(expect=None)).unwrap()
        leader = self.fleet.leaders[0]
        leader._end_attempt(row, State.ROLLED_BACK, Cause.FAULT, "on the outdated head")
        self.assertEqual(self.fleet.row(), late)
        self.assertEqual(self.stored()[-1], late)
