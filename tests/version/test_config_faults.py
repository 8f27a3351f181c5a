"""Random faults, changes and restarts, checked against the committed configurations."""

import unittest

import eventlet
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from boragedeck.exceptions import StoreUnavailableError
from boragedeck.version import config_store
from boragedeck.version.config_store import ConfigConflictError, StoredConfig, unpack
from boragedeck.version.delta import canonical
from boragedeck.version.tables import Config
from standins.memory import MemoryPlatform
from tests.version.fleet import Fleet, config

ROUTERS = 4
MAX_IN_FORCE_S = 5.0
SETTLE_S = 30.0
routers = st.integers(0, ROUTERS - 1)


class RecordingPlatform(MemoryPlatform):
    """Records each committed configuration, even if its caller gets no answer."""

    def __init__(self, sleep):
        super().__init__(sleep)
        self.committed = {0: StoredConfig()}

    def _apply(self, write):
        if write.key == config_store.CURRENT_KEY:
            stored = unpack(write.value, StoredConfig)
            assert stored.config.revision not in self.committed
            self.committed[stored.config.revision] = stored
        return super()._apply(write)


class Attempt:
    """An operator who reads the configuration, edits it for a while and applies it."""

    def __init__(self, fleet, versions, editing_s, apply_id):
        self.fleet = fleet
        self.config = config(*versions)
        self.editing_s = editing_s
        self.apply_id = apply_id
        self.result = None
        eventlet.spawn_n(self.run)

    def run(self):
        base = self.fleet.store.read()
        if base.is_err():
            self.result = base
            return
        self.fleet.timers.sleep(self.editing_s)
        self.result = self.fleet.store.apply(
            base.ok(), self.config, author="ana", apply_id=self.apply_id
        )


class ConfigMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.fleet = Fleet(ROUTERS, platform_type=RecordingPlatform)
        self.platform = self.fleet.platform
        self.faults = self.platform.faults
        self.attempts = []

    @rule(
        versions=st.lists(st.sampled_from(["v1", "v2", "v3"]), max_size=3),
        editing_s=st.sampled_from([0.0, 0.5, 3.0]),
    )
    def apply(self, versions, editing_s):
        apply_id = f"a{len(self.attempts)}"
        self.attempts.append(Attempt(self.fleet, versions, editing_s, apply_id))
        self.fleet.timers.advance(0.0)

    @rule(seconds=st.sampled_from([0.1, 1.0, 7.0, 120.0]))
    def wait(self, seconds):
        self.fleet.timers.advance(seconds)

    @rule(down=st.booleans(), delay_s=st.sampled_from([0.0, 0.0, 0.7, 4.0]))
    def disturb_platform(self, down, delay_s):
        self.faults.down = down
        self.faults.delay_s = delay_s

    @rule(answers=st.integers(0, 2), requests=st.integers(0, 2))
    def lose(self, answers, requests):
        self.faults.lose_answers = answers
        self.faults.lose_requests = requests

    @rule(number=routers, platform=st.booleans())
    def isolate_router(self, number, platform):
        self.fleet.isolate_router(number, platform=platform)

    @rule(one=routers, other=routers, is_gossip_on=st.booleans())
    def cut_links(self, one, other, is_gossip_on):
        self.fleet.cut_links.add(frozenset((one, other)))
        self.fleet.is_gossip_on = is_gossip_on

    @rule()
    def heal(self):
        self.fleet.is_gossip_on = True
        self.fleet.heal()

    @rule(number=routers)
    def restart(self, number):
        self.fleet.routers[number].stop()
        self.fleet.routers[number].start()

    @invariant()
    def routers_hold_only_committed_configs_and_never_go_back(self):
        for router in self.fleet.routers:
            cfg = router.watch.current()
            stored = self.platform.committed[cfg.revision]
            assert cfg == stored.config, (cfg, stored)
            assert router.seen_revisions == sorted(set(router.seen_revisions)), (
                router.seen_revisions
            )

    @invariant()
    def reports_to_operators_are_true(self):
        ids = {stored.apply_id: stored for stored in self.platform.committed.values()}
        for attempt in self.attempts:
            if attempt.result is None:
                continue
            error = attempt.result.err()
            if error is None:
                change = attempt.result.ok()
                expected = canonical(
                    Config(change.revision, (), *_routes_and_pools(attempt.config))
                )
                assert ids[attempt.apply_id].config == expected
            elif isinstance(error, ConfigConflictError | StoreUnavailableError):
                assert attempt.apply_id not in ids

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.faults.down, self.faults.delay_s = False, 0.0
        self.faults.lose_answers = self.faults.lose_requests = 0
        self.heal()
        self.fleet.timers.advance(SETTLE_S)
        assert all(attempt.result is not None for attempt in self.attempts)
        self.fleet.timers.advance(MAX_IN_FORCE_S)
        newest = max(self.platform.committed)
        assert set(self.fleet.revisions()) == {newest}, self.fleet.revisions()
        self.reports_to_operators_are_true()
        for router in self.fleet.routers:
            router.stop()


def _routes_and_pools(cfg):
    return cfg.routes, cfg.pools


ConfigFaultsTest = ConfigMachine.TestCase
ConfigFaultsTest.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None
)


class OracleTest(unittest.TestCase):
    """The state machine must fail if an invariant is violated."""

    def test_uncommitted_content_is_noticed(self):
        machine = ConfigMachine()
        machine.start()
        machine.fleet.timers.advance(1.0)
        machine.fleet.routers[0].watch._in_force.current = Config(revision=1)
        with self.assertRaises(KeyError):
            machine.routers_hold_only_committed_configs_and_never_go_back()
