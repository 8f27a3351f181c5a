"""Random sequences of edits, leases, store faults, stops and partitions."""

import unittest
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from boragedeck.connection.store import Table
from boragedeck.version.rollout_follower import RolloutFollower
from boragedeck.version.rollout_plan import Progress, finish_by
from boragedeck.version.rollout_row import State, decode_row, stop_key
from tests.version.rollout_parts import Fleet, config

ROUTERS = 2
AMPLE_PROGRESS = Progress(
    trials=10_000, long_trials=100, old_trials=10_000, old_long_trials=1_000
)
routers = st.integers(0, ROUTERS - 1)


class RolloutMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        # There is always enough evidence, so that attempts reach their outcome.
        self.patch = mock.patch.object(
            RolloutFollower, "progress", lambda self, row: AMPLE_PROGRESS
        )
        self.patch.start()
        self.fleet = Fleet(ROUTERS)
        self.revision = 1
        self.token = 0
        self.outcomes = {}
        self.stopped = set()

    def teardown(self):
        self.patch.stop()

    @rule(seconds=st.integers(1, 120))
    def wait(self, seconds):
        for _ in range(seconds // 10 + 1):
            self.fleet.timers.advance(10.0)
            self.fleet.tick()

    @rule(version=st.sampled_from("ABC"), length_s=st.integers(100, 400))
    def edit(self, version, length_s):
        self.revision += 1
        deadline = self.fleet.timers.wall() + length_s
        self.fleet.edit(config(self.revision, version, deadline))

    @rule(index=routers, version=st.sampled_from("ABC"))
    def edit_reaches_one_router(self, index, version):
        self.revision += 1
        deadline = self.fleet.timers.wall() + 300.0
        self.fleet.sources[index].put(config(self.revision, version, deadline))

    @rule(index=routers)
    def lead(self, index):
        # The previous holder still assumes that it has the lease.
        self.token += 1
        self.fleet.lead(index, self.token)

    @rule(fault=st.sampled_from(["lose_answers", "lose_requests"]))
    def lose(self, fault):
        setattr(self.fleet.platform.faults, fault, 1)

    @rule(down=st.booleans())
    def store(self, down):
        self.fleet.platform.faults.down = down

    @rule(index=routers)
    def stop(self, index):
        known_row = self.fleet.followers[index].row_cache.get("chat")
        if known_row is not None and known_row.row.is_running:
            self.fleet.followers[index].stop(known_row.row, "fault")

    @rule(is_cut=st.booleans())
    def partition(self, is_cut):
        if is_cut:
            self.fleet.network.partition({"r0"})
        else:
            self.fleet.network.heal()

    @invariant()
    def one_outcome_for_each_attempt(self):
        stored = self.fleet.platform._tables[Table.ROLLOUTS]
        rows = [decode_row(stored[key]) for key in sorted(stored) if "attempt/" in key]
        assert [row.number for row in rows] == list(range(len(rows)))
        for row in rows[:-1]:
            assert not row.is_running
        for row in rows:
            if row.is_running:
                if stop_key(row.route, row.number) in stored:
                    self.stopped.add(row.number)
                continue
            assert self.outcomes.setdefault(row.number, row) == row
            if row.state is State.DONE and row.number:
                assert row.number not in self.stopped
                assert row.notes[-1].at <= finish_by(row)

    @invariant()
    def routers_use_the_old_version_after_a_stop_or_the_deadline(self):
        for index, follower in enumerate(self.fleet.followers):
            known_row = follower.row_cache.get("chat")
            if known_row is None or not known_row.row.is_running:
                continue
            row = known_row.row
            is_late = self.fleet.timers.wall() >= row.deadline
            if is_late or follower.stopped(row):
                assert all(self.fleet.choose(index) == row.old for _ in range(5))


RolloutMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None
)
TestRolloutMachine = RolloutMachine.TestCase


class TestMachineItself(unittest.TestCase):
    def test_attempts_reach_done(self):
        machine = RolloutMachine()
        machine.lead(0)
        machine.wait(1)
        machine.edit("B", 300)
        for _ in range(4):
            machine.wait(100)
            machine.one_outcome_for_each_attempt()
        machine.teardown()
        self.assertEqual(machine.outcomes[1].state, State.DONE)
