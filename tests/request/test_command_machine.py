"""Stateful fuzz tests of commands and leases with a simple oracle."""

import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from boragedeck.connection.store import Put, Table
from boragedeck.ids import RouterId
from boragedeck.process.leasing.leases import LeaseTable
from boragedeck.process.timers import ManualTimers
from standins.memory import Faults, MemoryPlatform
from tests.request.test_fault_matrix import FAULTS, STEPS
from tests.request.world import World

ROUTERS = st.integers(0, 2)
KEYS = st.sampled_from(["a", "b", "c"])
STORE_FAULTS = st.builds(
    Faults,
    down=st.booleans(),
    delay_s=st.sampled_from([0.0, 0.0, 1.0, 4.0]),
    lose_answers=st.integers(0, 3),
    lose_requests=st.integers(0, 3),
)
SERVICE_FAULTS = st.sampled_from(
    ["refuse", "crash before run", "crash after run", "late"]
)


class CommandMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World()
        self.sent_keys = set()

    @rule(number=ROUTERS, key=KEYS, seconds=st.sampled_from([0.0, 0.5, 9.0]))
    def send_request(self, number, key, seconds):
        self.sent_keys.add(key)
        self.world.send_request(number, key)
        self.world.timers.advance(seconds)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 9.0]))
    def advance(self, seconds):
        self.world.timers.advance(seconds)

    @rule(faults=STORE_FAULTS)
    def break_store(self, faults):
        self.world.platform.faults = faults

    @rule(down=st.booleans())
    def stop_or_mend_store(self, down):
        self.world.platform.faults = Faults(down=down)

    @rule(step=st.sampled_from(STEPS), fault=st.sampled_from(sorted(FAULTS)))
    def fault_at_step(self, step, fault):
        self.world.fault_at = (step, FAULTS[fault])

    @rule(service_fault=SERVICE_FAULTS, times=st.integers(1, 3))
    def break_service(self, service_fault, times):
        self.world.service_faults[service_fault] += times

    @rule(number=ROUTERS)
    def restart(self, number):
        self.world.restart(number)

    @rule(number=ROUTERS)
    def pause(self, number):
        self.world.routers[number].pause()

    @rule(number=ROUTERS)
    def resume(self, number):
        self.world.routers[number].resume()

    @rule(number=ROUTERS, is_cut=st.booleans())
    def partition(self, number, is_cut):
        self.world.routers[number].partitioned = is_cut

    @invariant()
    def no_violations(self):
        assert not self.world.violations, self.world.violations

    def teardown(self):
        self.world.heal()
        for number in range(3):
            if self.world.routers[number].dead:
                self.world.restart(number)
        for key in sorted(self.sent_keys):
            self.world.final_answer(0, key)
        self.no_violations()


class LeaseMachine(RuleBasedStateMachine):
    """Three routers and one lease; each fenced write stores its fencing token."""

    def __init__(self):
        super().__init__()
        self.timers = ManualTimers()
        self.store = MemoryPlatform(sleep=self.timers.sleep)
        self.tables = [
            LeaseTable(self.store, self.timers, RouterId(f"r{number}"))
            for number in range(3)
        ]
        self.leases = [[], [], []]
        self.last_token = 0

    @rule(number=ROUTERS)
    def acquire(self, number):
        lease = self.tables[number].acquire("x").unwrap_or(None)
        if lease is not None:
            self.leases[number].append(lease)

    @rule(number=ROUTERS)
    def renew(self, number):
        for lease in self.leases[number][-1:]:
            self.tables[number].renew(lease)

    @rule(number=ROUTERS)
    def release(self, number):
        for lease in self.leases[number][-1:]:
            self.tables[number].release(lease)

    @rule(number=ROUTERS, back=st.integers(1, 3))
    def write(self, number, back):
        # This includes a lease that the router has already lost.
        for lease in self.leases[number][-back:][:1]:
            value = b"%d" % lease.token
            put = Put(Table.ROLLOUTS, "row", value)
            self.tables[number].commit(lease, [put])

    @rule(seconds=st.sampled_from([1.0, 4.0, 11.0]))
    def advance(self, seconds):
        self.timers.advance(seconds)

    @rule(answers=st.integers(0, 3), requests=st.integers(0, 3), down=st.booleans())
    def break_store(self, answers, requests, down):
        self.store.faults = Faults(down, 0.0, answers, requests)

    @rule()
    def mend_store(self):
        self.store.faults = Faults()

    @invariant()
    def at_most_one_safe_holder(self):
        safe = [
            number
            for number, leases in enumerate(self.leases)
            if any(lease.is_safe() for lease in leases)
        ]
        assert len(safe) <= 1, f"two routers hold a safe lease: {safe}"

    @invariant()
    def write_tokens_never_decrease(self):
        row = self.store._tables[Table.ROLLOUTS].get("row")
        token = 0 if row is None else int(row.value)
        assert token >= self.last_token, f"fencing token decreased to {token}"
        self.last_token = token


class UnfencedTable(LeaseTable):
    def commit(self, lease, writes):
        return self._store.commit(writes) if writes else super().commit(lease, writes)


class EarlyTakeoverTable(LeaseTable):
    def _is_free(self, name, row):
        return super()._is_free(name, row) or random.Random(row.version).random() < 0.5


def machine_with(table):
    class Machine(LeaseMachine):
        def __init__(self):
            super().__init__()
            self.tables = [
                table(self.store, self.timers, RouterId(f"r{number}"))
                for number in range(3)
            ]

    return Machine


class LeaseDefectTest(unittest.TestCase):
    def test_each_defect_is_caught(self):
        for table, check in (
            (UnfencedTable, "fencing token decreased"),
            (EarlyTakeoverTable, "two routers hold a safe lease"),
        ):
            test = machine_with(table).TestCase
            test.settings = settings(LEASE_SETTINGS, report_multiple_bugs=False)
            with self.subTest(table=table.__name__):
                with self.assertRaisesRegex(AssertionError, check):
                    test("runTest").debug()


LEASE_SETTINGS = settings(max_examples=400, stateful_step_count=40, deadline=None)
CommandMachineTest = CommandMachine.TestCase
CommandMachineTest.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
LeaseMachineTest = LeaseMachine.TestCase
LeaseMachineTest.settings = LEASE_SETTINGS
