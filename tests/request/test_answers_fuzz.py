"""Stateful fuzz tests of the answer path, with the token chain as the oracle.

These guarantees are checked after every step:

- No token of an answer is missing or repeated (`chain_holds`).
- Two generations are never mixed in one answer. `chain_holds` checks this because the
  first value of the chain is random in each generation, and `prefix_holds` because each
  token must follow from the prefix of its run and the run's own output; two
  continuations of one prefix don't do so if they are mixed.
- Each caller gets its own answer (`answers_are_distinct`).
- A request that is reported as not run has not run (`did_not_run_is_true`).
"""

import os
import unittest

import eventlet
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from boragedeck.ids import ExecutionStatus
from boragedeck.process.timers import ManualTimers
from standins.tokens import find_break
from tests.support.engines import FakeEngines
from tests.support.network import FakeNetwork
from tests.support.routers import FakeCaller, FakeCluster

ROUTERS = 4
ENGINES = 4
MAX_DEAD_ROUTERS = 2
MAX_CALLERS = 5
TOKENS = 120
STEP_S = 0.05
MAX_CALL_S = 60.0
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "40"))
ERROR_CODES = {
    "answer_lost",
    "answer_not_found",
    "answer_unreachable",
    "deadline",
    "no_upstream",
    "upstreams_failed",
}

router = st.integers(0, ROUTERS - 1)
engine = st.integers(0, ENGINES - 1)
number = st.integers(0, MAX_CALLERS - 1)


class AnswerMachine(RuleBasedStateMachine):
    """Runs callers, routers and engines with all kinds of faults, in any order."""

    steps = 0

    def __init__(self):
        super().__init__()
        AnswerMachine.steps = 0
        self.timers = ManualTimers()
        self.engines = FakeEngines(self.timers, ENGINES)
        self.network = FakeNetwork(self.timers)
        self.cluster = FakeCluster(self.timers, self.engines, self.network, ROUTERS)
        self.callers = []

    def run_in_time(self, function, *args):
        thread = eventlet.spawn(function, *args)
        end = self.timers.now() + MAX_CALL_S
        while not thread.dead:
            assert self.timers.now() < end, f"{function.__qualname__} hangs"
            self.timers.advance(STEP_S)
        return thread.wait()

    def alive(self, i):
        routers = [r for r in self.cluster.routers if not r.is_dead]
        return routers[i % len(routers)]

    def caller(self, i):
        return self.callers[i % len(self.callers)]

    def address(self, i):
        return self.cluster.routers[i].own.address

    @precondition(lambda self: len(self.callers) < MAX_CALLERS)
    @rule(i=router, is_keyed=st.booleans())
    def start(self, i, is_keyed):
        key = f"k{len(self.callers)}"
        caller = FakeCaller(self.cluster, key, TOKENS, is_keyed=is_keyed)
        self.callers.append(caller)
        self.run_in_time(caller.start, self.alive(i))

    @precondition(lambda self: len(self.callers) < MAX_CALLERS)
    @rule(i=router, is_dead=st.booleans())
    def start_and_lose_all_engines(self, i, is_dead):
        self.start(i, True)
        caller = self.callers[-1]
        self.run_in_time(caller.read)
        self.fail_all_engines_for(is_dead, 10.0)

    @precondition(lambda self: len(self.callers) < MAX_CALLERS)
    @rule(i=router, j=router, parts=st.integers(1, 12))
    def start_and_isolate_router(self, i, j, parts):
        self.start(i, True)
        self.run_in_time(self.callers[-1].read)
        self.isolate_router_of_caller(len(self.callers) - 1, j, parts)

    @precondition(lambda self: self.callers)
    @rule(n=number, i=router)
    def resend(self, n, i):
        caller = self.caller(n)
        if caller.is_keyed and not caller.finish:
            caller.close()
            caller.texts, caller.token_ids = [], []
            caller.last_event_id = None
            self.run_in_time(caller.start, self.alive(i))

    @precondition(lambda self: self.callers)
    @rule(n=number, parts=st.integers(1, 5))
    def read(self, n, parts):
        for _ in range(parts):
            self.run_in_time(self.caller(n).read)

    @precondition(lambda self: self.callers)
    @rule(n=number)
    def drop(self, n):
        self.caller(n).close()

    @precondition(lambda self: self.callers)
    @rule(n=number, i=router)
    def reattach(self, n, i):
        caller = self.caller(n)
        if not caller.finish:
            self.run_in_time(caller.reattach, self.alive(i))

    @precondition(lambda self: self.callers)
    @rule(n=number, i=router)
    def cancel(self, n, i):
        self.run_in_time(self.alive(i).service.cancel, self.caller(n).key)

    @rule(
        i=engine,
        dead=st.booleans(),
        silent=st.booleans(),
        refuses=st.booleans(),
    )
    def set_engine_faults(self, i, dead, silent, refuses):
        self.engines.all[i].set_faults(is_dead=dead, is_silent=silent, refuses=refuses)

    @rule(dead=st.booleans(), seconds=st.sampled_from([0.5, 3.0, 10.0]))
    def fail_all_engines_for(self, dead, seconds):
        for one in self.engines.all:
            one.set_faults(is_dead=dead, refuses=not dead)
        self.timers.advance(seconds)
        for one in self.engines.all:
            one.set_faults(is_dead=False, refuses=False)
        for caller in self.callers:
            self.run_in_time(caller.read)

    @rule(seconds=st.sampled_from([0.4, 0.5, 0.8, 1.5]))
    def silence_running_engines(self, seconds):
        silent = {run.engine for run in self.engines.running()}
        for one in silent:
            one.set_faults(is_silent=True)
        self.timers.advance(seconds)
        for one in silent:
            one.set_faults(is_silent=False)

    @precondition(lambda self: sum(r.is_dead for r in self.cluster.routers) < 2)
    @rule(i=router)
    def kill_router(self, i):
        self.alive(i).kill()

    @rule(i=router)
    def isolate_router(self, i):
        self.network.isolate(self.address(i))

    @precondition(lambda self: self.callers)
    @rule(n=number, i=router, parts=st.integers(1, 12))
    def isolate_router_of_caller(self, n, i, parts):
        """Isolate the router that a caller reads from; it reattaches to another one."""
        caller = self.caller(n)
        if caller.finish or caller.router is None or caller.router.is_dead:
            return
        self.network.isolate(caller.router.own.address)
        for _ in range(parts):
            self.run_in_time(caller.read)
        if not caller.finish:
            self.run_in_time(caller.reattach, self.alive(i))

    @rule(i=router, j=router)
    def cut_one_way(self, i, j):
        self.network.blocked_pairs.add((self.address(i), self.address(j)))

    @rule(i=router, j=router)
    def lose_answers(self, i, j):
        self.network.answer_loss_pairs.add((self.address(i), self.address(j)))

    @rule(i=router, j=router)
    def deliver_twice(self, i, j):
        self.network.duplicated_pairs.add((self.address(i), self.address(j)))

    @rule()
    def deliver_all_twice(self):
        addresses = [router.own.address for router in self.cluster.routers]
        self.network.duplicated_pairs = {(a, b) for a in addresses for b in addresses}

    @precondition(lambda self: sum(r.is_dead for r in self.cluster.routers) < 2)
    @precondition(lambda self: self.callers)
    @rule(n=number, i=router)
    def kill_router_of_caller(self, n, i):
        """Kill the router that a caller reads from; it reattaches to another one."""
        caller = self.caller(n)
        if caller.finish is None and caller.router and not caller.router.is_dead:
            caller.router.kill()
            self.run_in_time(caller.reattach, self.alive(i))

    @rule()
    def heal(self):
        self.network.heal()

    @rule(i=router)
    def hand_over(self, i):
        self.run_in_time(self.alive(i).service.hand_over_all)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 40.0]))
    def pass_time(self, seconds):
        self.timers.advance(seconds)

    @invariant()
    def count_steps(self):
        AnswerMachine.steps += 1

    @invariant()
    def chain_holds(self):
        for caller in self.callers:
            assert find_break(caller.text) is None, caller.text

    @invariant()
    def prefix_holds(self):
        for caller in self.callers:
            assert self.engines.prefixes_match(caller.token_ids), caller.text

    @invariant()
    def finished_answers_are_complete(self):
        for caller in self.callers:
            tokens = len(caller.text.split())
            if caller.finish and caller.finish.reason == "length":
                assert tokens == caller.max_tokens, tokens

    @invariant()
    def answers_are_distinct(self):
        texts = [c.text.split()[0] for c in self.callers if c.text]
        assert len(texts) == len(set(texts))

    @invariant()
    def errors_are_typed(self):
        for caller in self.callers:
            if caller.error is not None:
                assert caller.error.code in ERROR_CODES, caller.error

    @invariant()
    def did_not_run_is_true(self):
        for caller in self.callers:
            info = caller.finish.error if caller.finish else None
            if info is not None and info.ran is ExecutionStatus.NO:
                prefix = caller.key.answer_id + "-"
                assert not any(
                    run.sent
                    for e in self.engines.all
                    for run in e.runs
                    if run.request.run_id.startswith(prefix)
                )

    def teardown(self):
        """Remove all faults; each answer must end completely or with a known error."""
        self.network.heal()
        for one in self.engines.all:
            one.set_faults(is_dead=False, is_silent=False, refuses=False)
        self.timers.advance(5.0)
        for caller in self.callers:
            if caller.finish is None:
                self.run_in_time(caller.reattach, self.alive(0))
            for _ in range(4 * TOKENS):
                if caller.finish or caller.error:
                    break
                self.run_in_time(caller.read)
            assert caller.finish or caller.error, "the answer does not end"
        self.chain_holds()
        self.prefix_holds()
        self.finished_answers_are_complete()
        self.errors_are_typed()


class AnswerFuzzTest(unittest.TestCase):
    def test_guarantees_hold_under_faults(self):
        run_state_machine_as_test(
            AnswerMachine,
            settings=settings(max_examples=EXAMPLES, stateful_step_count=25),
        )
