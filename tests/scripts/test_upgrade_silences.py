import random
import tempfile
import unittest
from pathlib import Path

import eventlet

from scripts.upgrade_callers import BODY, PATHS, Callers
from scripts.upgrade_silences import (
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    STANDSTILL_S,
    EngineSilences,
)
from standins.web import listen, serve

block = eventlet.patcher.original("time").sleep

BEARING_MODULE = "boragedeck/request/stream_silence.py"


class SilentCluster:
    """Engines that a test doesn't need, and the builds of the routers."""

    def __init__(self, builds):
        self.builds = builds
        self.engines = dict.fromkeys(("engine-1", "engine-2"))
        self.silences = []

    def hush_engines(self, names, seconds):
        """Record a silence."""
        self.silences.append((list(names), seconds))


def fast(seed=1):
    """Return a random generator whose silences and waits are short."""
    rng = random.Random(seed)
    rng.uniform = lambda low, high: 0.05
    return rng


class EngineSilencesTest(unittest.TestCase):
    def test_silences_of_all_engines_or_of_a_part_are_missing(self):
        cluster = SilentCluster({})
        silences = EngineSilences(cluster, fast())
        for _ in range(4):
            silences.play()
        self.assertEqual(
            sorted(len(names) for names, _ in cluster.silences), [1, 1, 2, 2]
        )

    def test_silence_is_shorter_or_longer_than_a_sound_engine_s(self):
        for seed in range(5):
            cluster, rng = SilentCluster({}), random.Random(seed)
            EngineSilences(cluster, rng)._begin()
            [(_, seconds)] = cluster.silences
            self.assertGreaterEqual(seconds, MIN_SILENCE_S)
            self.assertLessEqual(seconds, MAX_SILENCE_S)

    def test_watch_misses_a_silence_that_was_on_or_begins(self):
        silences = EngineSilences(SilentCluster({}), fast())
        before = silences.watch(0)
        self.assertFalse(before.was_silent)
        silences._begin()
        during = silences.watch(0)
        eventlet.sleep(0.1)
        after = silences.watch(0)
        seen = before.was_silent, during.was_silent, after.was_silent
        self.assertEqual(seen, (True, True, False))

    def test_standstill_of_all_engines_is_missed(self):
        silences = EngineSilences(SilentCluster({}), fast())
        silences.start()
        self.addCleanup(silences.stop)
        eventlet.sleep(0.1)
        before = silences.watch(0)
        self.assertFalse(before.stood_still)
        block(2 * STANDSTILL_S)
        after = silences.watch(0)
        self.assertEqual((before.stood_still, after.stood_still), (True, False))
        self.assertFalse(before.was_silent)


class CallersTest(unittest.TestCase):
    def setUp(self):
        self.answer = [BODY[:20]]
        self.status = "200 OK"
        listener = listen()
        self.addCleanup(listener.close)
        server = eventlet.spawn(serve, self._answer, listener)
        self.addCleanup(server.kill)
        self.url = "http://{}:{}".format(*listener.getsockname())

    def _answer(self, environ, start_response):
        start_response(self.status, [])
        eventlet.sleep(0.02)
        return self.answer

    def read(self, build, *, is_silent, stands_still=False):
        """Read a stream through a router of a build, and return what was found."""
        found = []
        builds = {} if build is None else {0: build}
        silences = EngineSilences(SilentCluster(builds), fast())
        callers = Callers(random.Random(1), lambda *args: found.append(args), silences)
        callers.urls.append(self.url)
        callers._open[0] += 1
        if is_silent:
            silences._begin()
        if stands_still:
            silences.start()
            self.addCleanup(silences.stop)
            eventlet.spawn_after(0.01, block, 2 * STANDSTILL_S)
        callers._read_stream(0, "key", PATHS[1])
        self.assertEqual(callers._open[0], 0)
        return [(promise, number) for promise, number, _ in found]

    def build(self, *modules):
        """Return the source folder of a build with some modules."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        for module in modules:
            path = Path(directory.name, module)
            path.parent.mkdir(parents=True)
            path.touch()
        return Path(directory.name)

    def test_stream_that_this_build_cuts_in_a_silence_is_not_found(self):
        self.assertEqual(self.read(None, is_silent=True), [("ORDER", 0)])

    def test_stream_that_a_bearing_old_build_cuts_in_a_silence_is_not_found(self):
        build = self.build(BEARING_MODULE)
        self.assertEqual(self.read(build, is_silent=True), [("ORDER", 0)])

    def test_old_build_is_judged_by_what_it_does_in_a_silence(self):
        self.assertEqual(self.read(self.build(), is_silent=True), [])

    def test_stream_that_an_old_build_cuts_without_a_silence_is_not_found(self):
        self.assertEqual(self.read(self.build(), is_silent=False), [("ORDER", 0)])

    def test_stream_that_this_build_fails_in_a_silence_is_not_found(self):
        self.status = "502 Bad Gateway"
        self.assertEqual(self.read(None, is_silent=True), [("LOST", 0)])
        self.assertEqual(self.read(self.build(), is_silent=True), [])

    def test_old_build_is_judged_by_what_it_does_while_the_engines_stand_still(self):
        self.assertEqual(
            self.read(self.build(), is_silent=False, stands_still=True), []
        )

    def test_cut_is_not_found_if_the_engines_stand_still(self):
        for build in (None, self.build(BEARING_MODULE)):
            found = self.read(build, is_silent=False, stands_still=True)
            self.assertEqual(found, [("ORDER", 0)])

    def test_failure_of_an_old_build_is_found_though_the_engines_stand_still(self):
        self.status = "500 Failed"
        for build in (None, self.build()):
            self.assertEqual(self.read(build, is_silent=False, stands_still=True), [])

    def test_whole_stream_is_found(self):
        self.answer = [BODY]
        self.assertEqual(self.read(None, is_silent=True), [])
