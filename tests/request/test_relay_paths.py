import unittest

import eventlet

from boragedeck.process.relaying.paths.path_checks import MAX_ADDRESSES
from boragedeck.process.relaying.paths.path_state import PathState
from boragedeck.process.relaying.paths.replica_paths import TICK_S
from boragedeck.version.routing import CallKind, RelayPool
from tests.support.cut_fleet import Cut, CutFleet
from tests.support.replicas import (
    ENGINE,
    ScriptedReplica,
    answer,
    call_rule,
    event,
    events,
    head_of,
    report_model,
    send_chunk,
    send_request,
    stay_silent,
    stream_rule,
)

ROUTERS = 9
FEW = (1, 4)
DOMAIN = (0, 4, 8)
HALF = (0, 2, 4, 6, 8)
DETECTION_S = 3.0
SERVED_SHARE = 0.9
"""First attempts at cut-off routers are served at least this often, against others."""
POOL = RelayPool("engines", 100, ENGINE)
ONCE_RULE = call_rule(CallKind.ONCE, goal_s=0.2, timeout_s=1.5)


LIMIT_PER_S = 2


def limited(sock, req):
    """Answer, and name a limit on the requests of all routers."""
    lines = b"Server-Limit: %d" % LIMIT_PER_S, b"Content-Length: 2"
    sock.sendall(head_of(req, 200, *lines) + b"\r\nok")
    return True


def engine(step):
    """Return a step that also answers probes."""

    def serve(sock, req):
        is_probe = b"request-id" not in req.headers
        return (report_model if is_probe else step)(sock, req)

    return serve


class CutOffCase(unittest.TestCase):
    rule = ONCE_RULE
    pool = None
    step = staticmethod(engine(answer()))
    lines = ()

    def fleet(self, routers=ROUTERS, replicas=4):
        scripted = [
            ScriptedReplica(f"replica-{number}", self.step)
            for number in range(replicas)
        ]
        fleet = CutFleet(routers, scripted, rule=self.rule, pool=self.pool)
        self.addCleanup(fleet.close)
        return fleet

    def fetch(self, router, number, ms=1500):
        name = b"id-%d-%d" % (id(router), number)
        response = router.fetch(*self.lines, name=name, ms=ms)
        return response.status == 200 and response.is_complete

    def served(self, fleet, numbers, each=10, pause_s=0.03):
        """Return the share of first attempts at some routers that is served."""
        fetched = []
        for number in range(each):
            for router in numbers:
                args = self.fetch, fleet.routers[router], number
                fetched.append(eventlet.spawn(*args))
            eventlet.sleep(pause_s)
        return sum(thread.wait() for thread in fetched) / len(fetched)

    def assert_served_alike(self, cut, numbers):
        fleet = self.fleet()
        others = [each for each in range(ROUTERS) if each not in numbers]
        self.assertEqual(self.served(fleet, range(ROUTERS), each=2), 1.0)
        fleet.cut(cut, *numbers)
        self.served(fleet, numbers, each=10, pause_s=DETECTION_S / 10)
        reference = self.served(fleet, others)
        self.assertGreaterEqual(self.served(fleet, numbers), SERVED_SHARE * reference)
        self.assertGreaterEqual(reference, SERVED_SHARE)


class CutOffRouterCallsTest(CutOffCase):
    def test_calls_at_a_few_routers_whose_links_hang_are_served(self):
        self.assert_served_alike(Cut.HANG, FEW)

    def test_calls_at_a_domain_of_routers_whose_links_hang_are_served(self):
        self.assert_served_alike(Cut.HANG, DOMAIN)

    def test_calls_at_half_of_the_routers_whose_links_hang_are_served(self):
        self.assert_served_alike(Cut.HANG, HALF)

    def test_calls_at_half_of_the_routers_whose_links_are_reset_are_served(self):
        self.assert_served_alike(Cut.RESET, HALF)

    def test_calls_at_half_of_the_routers_that_open_no_new_link_are_served(self):
        self.assert_served_alike(Cut.REFUSE, HALF)


class CutOffRouterStreamsTest(CutOffCase):
    rule = stream_rule()
    pool = POOL
    step = staticmethod(engine(events(*range(1, 9))))
    lines = (b"Token-Counts: 1000,100",)

    def test_streams_at_half_of_the_routers_whose_links_hang_are_served(self):
        self.assert_served_alike(Cut.HANG, HALF)

    def test_streams_at_half_of_the_routers_whose_links_are_reset_are_served(self):
        self.assert_served_alike(Cut.RESET, HALF)

    def test_streams_at_a_few_routers_that_open_no_new_link_are_served(self):
        self.assert_served_alike(Cut.REFUSE, FEW)


class ForwardCase(CutOffCase):
    """One router is cut off, and has found it out."""

    routers = 3
    replicas = 2

    def setUp(self):
        self.fleet_ = self.fleet(self.routers, self.replicas)
        self.cut_off = self.fleet_.routers[0]
        self.others = self.fleet_.routers[1:]
        self.fleet_.cut(Cut.REFUSE, 0)
        self.find_out(self.cut_off)

    def find_out(self, router):
        """Let a cut-off router find out which paths it has lost."""
        paths = router.paths
        for each in self.fleet_.replicas:
            paths._start_check(each.address, frozenset())
        with eventlet.Timeout(2.0):
            while not all(paths.is_own_loss(at.address) for at in self.fleet_.replicas):
                eventlet.sleep(0.01)

    def received(self):
        """Return the callers' requests that reached the replicas."""
        return [req for each in self.fleet_.replicas for req in each.relayed()]

    def stop_router(self, router):
        """End a router that forwards, with its connections."""
        self.fleet_.stopped.add(router.member.address)
        router.forward_server.kill()
        router.forward_listener.close()
        for conn in list(router.forward_edge._conns):
            conn._shut_down()


class ForwardedCallTest(ForwardCase):
    def test_request_and_answer_pass_the_gateway_unchanged(self):
        response = self.cut_off.fetch(b"X-Own: 1", body=b"abc")
        self.assertEqual((response.status, response.body), (200, b"whole"))
        self.assertEqual(response.headers[b"response-seal"], b"seal")
        [req] = self.received()
        self.assertEqual((req.target, req.body), (b"/r/x", b"abc"))
        self.assertEqual(req.headers[b"x-own"], b"1")
        self.assertEqual(req.headers[b"host"], b"Here.example")
        self.assertEqual(req.headers[b"tenant"], b"org-1")
        for name in (b"forward-to", b"forward-timeout-ms", b"api-key"):
            self.assertNotIn(name, req.headers)
            self.assertNotIn(name, response.headers)

    def test_deadline_at_the_replica_is_no_longer_than_the_time_left(self):
        self.cut_off.fetch(ms=700)
        [req] = self.received()
        self.assertLessEqual(int(req.headers[b"deadline-ms"]), 700)

    def test_lost_path_is_no_miss_of_the_replica(self):
        for number in range(4):
            self.assertTrue(self.fetch(self.cut_off, number))
        for state in self.cut_off.registry.all():
            self.assertEqual(state.consecutive_misses, 0)
            self.assertLessEqual(state.avoid_until, self.cut_off.timers.now())

    def test_paths_are_direct_again_soon_after_the_cut(self):
        self.fleet_.cut(None, 0)
        eventlet.sleep(1.2)
        served = self.others[0].metrics.forwards_served.labels("passed_on")
        before = served._value.get()
        self.assertTrue(self.fetch(self.cut_off, 1))
        self.assertEqual(served._value.get(), before)
        for each in self.fleet_.replicas:
            state = self.cut_off.paths.state_of(each.address)
            self.assertIs(state, PathState.DIRECT)

    def test_router_that_has_lost_its_path_forwards_nothing(self):
        self.fleet_.cut(Cut.REFUSE, 1, 2)
        response = self.cut_off.fetch()
        self.assertEqual(response.status, 503)
        self.assertEqual(self.received(), [])

    def test_request_goes_through_the_next_gateway_if_the_first_is_gone(self):
        self.fleet_.stopped.add(self.others[0].member.address)
        self.others[0].forward_server.kill()
        self.others[0].forward_listener.close()
        for number in range(6):
            self.assertTrue(self.fetch(self.cut_off, number))
        self.assertEqual(len(self.received()), 6)

    def test_leaving_router_is_no_gateway(self):
        self.others[0].time_left_s = 0.1
        for number in range(4):
            self.assertTrue(self.fetch(self.cut_off, number))
        passed_on = self.others[0].metrics.forwards_served.labels("passed_on")
        self.assertEqual(passed_on._value.get(), 0)

    def test_limit_of_a_replica_holds_for_forwarded_requests(self):
        for each in self.fleet_.replicas:
            each._steps = [engine(limited)]
        self.served(self.fleet_, [0], each=60, pause_s=0.05)
        for each in self.fleet_.replicas:
            self.assertLessEqual(len(each.relayed()), 1.5 * LIMIT_PER_S * 3.0 + 5)


class ReportTest(ForwardCase):
    """Both other routers that the cut-off one can ask have lost their paths, too."""

    routers = 4

    def test_routers_that_have_lost_their_own_paths_do_not_vouch_for_a_loss(self):
        self.fleet_.cut(Cut.REFUSE, 1, 2)
        for router in self.others[:2]:
            self.find_out(router)
        members = self.cut_off.members.members
        self.cut_off.members.members = lambda: members()[:2]
        eventlet.sleep(2.0 * TICK_S)
        for each in self.fleet_.replicas:
            state = self.cut_off.paths.state_of(each.address)
            self.assertIs(state, PathState.INDIRECT)


class CrashedReplicaTest(CutOffCase):
    """A replica ends while all routers use it."""

    rule = stream_rule()
    pool = POOL
    step = staticmethod(engine(events(*range(1, 9))))
    lines = (b"Token-Counts: 1000,100",)

    def test_replica_that_was_heard_just_now_is_not_taken_for_reached(self):
        fleet = self.fleet(3, 2)
        self.assertEqual(self.served(fleet, range(3), each=4), 1.0)
        router, replica = fleet.routers[0], fleet.replicas[0]
        states = []
        set_state = router.paths._set_state
        router.paths._set_state = lambda address, state: (
            states.append(state),
            set_state(address, state),
        )
        replica.stop()
        router.paths._start_check(replica.address, frozenset()).wait()
        self.assertEqual(states, [PathState.LOST])


class HangingStreamTest(CutOffCase):
    """The cut is found out before the stream's own silence is long enough."""

    rule = stream_rule(goal_s=4.0, gap_goal_s=0.8)
    pool = POOL
    lines = (b"Token-Counts: 1000,100",)

    @staticmethod
    def step(sock, req):
        """Stream events slowly."""
        is_probe = b"request-id" not in req.headers
        return (report_model if is_probe else stream_until_stopped)(sock, req)

    def test_stream_on_a_link_that_hangs_does_not_wait_for_the_kernel(self):
        fleet = self.fleet(3, 1)
        router, replica = fleet.routers[0], fleet.replicas[0]
        fetched = eventlet.spawn(router.fetch, *self.lines, ms=5000)
        eventlet.sleep(0.2)
        fleet.cut(Cut.HANG, 0)
        router.paths._start_check(replica.address, frozenset()).wait()
        self.assertTrue(router.paths.is_own_loss(replica.address))
        since = router.timers.now()
        response = fetched.wait()
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body, WHOLE)
        self.assertLess(router.timers.now() - since, 1.6)


class ManyReplicasTest(CutOffCase):
    def test_all_paths_are_checked_however_many_there_are(self):
        fleet = self.fleet(2, MAX_ADDRESSES + 8)
        fleet.cut(Cut.REFUSE, 0)
        router = fleet.routers[0]
        router.paths._start_check(fleet.replicas[0].address, frozenset()).wait()
        eventlet.sleep(0.5)
        for each in fleet.replicas:
            self.assertTrue(router.paths.is_own_loss(each.address))
        fleet.cut(None, 0)
        eventlet.sleep(1.5 * TICK_S)
        for each in fleet.replicas:
            self.assertFalse(router.paths.is_own_loss(each.address))


class ReplicasGoneTest(ForwardCase):
    def setUp(self):
        super().setUp()
        for each in self.fleet_.replicas:
            each.stop()
        eventlet.sleep(2.0 * TICK_S)

    def test_request_is_refused_at_once_by_the_cut_off_router(self):
        self.assert_refused_at_once(self.cut_off)

    def test_request_is_refused_at_once_by_the_others(self):
        self.fetch(self.others[0], 0)
        eventlet.sleep(TICK_S)
        self.assert_refused_at_once(self.others[0])

    def test_wait_for_replicas_that_are_gone_is_short(self):
        since = self.others[0].timers.now()
        self.assertEqual(self.others[0].fetch(name=b"early").status, 503)
        self.assertLess(self.others[0].timers.now() - since, 0.3)

    def assert_refused_at_once(self, router):
        since = router.timers.now()
        response = router.fetch(name=b"late")
        self.assertLess(router.timers.now() - since, 0.1)
        self.assertEqual(response.status, 503)
        self.assertIn(b"retry-after", response.headers)


class SlowReplicaTest(ForwardCase):
    def step(self, sock, req):
        """Work until the router closes the connection."""
        if b"request-id" not in req.headers:
            return report_model(sock, req)
        stay_silent(sock, req)
        self.stopped_at = self.cut_off.timers.now()
        return False

    def test_replica_stops_work_when_the_caller_leaves(self):
        sock = self.cut_off.connect()
        send_request(sock, ms=5000)
        eventlet.sleep(0.2)
        self.assertEqual(len(self.received()), 1)
        sock.close()
        left_at = self.cut_off.timers.now()
        eventlet.sleep(0.3)
        self.assertLess(self.stopped_at - left_at, 0.3)

    def test_call_that_runs_once_is_not_sent_again_if_its_gateway_ends(self):
        sock = eventlet.spawn(self.cut_off.fetch, ms=1500)
        eventlet.sleep(0.2)
        for router in self.others:
            self.stop_router(router)
        self.assertIn(sock.wait().status, (502, 504))
        self.assertEqual(len(self.received()), 1)


def hold_off(sock, req):
    """Answer that the request was not run, and ask for a wait."""
    lines = b"Not-Executed: 1", b"Retry-After: 3", b"Content-Length: 0"
    sock.sendall(head_of(req, 503, *lines) + b"\r\n")
    return True


def leave(sock, req):
    """Answer as a replica that is leaving."""
    lines = b"Server-Leaving: 1", b"Content-Length: 2"
    sock.sendall(head_of(req, 200, *lines) + b"\r\nok")
    return True


class NoticeTest(ForwardCase):
    replicas = 1

    def answer_once(self, step):
        [replica] = self.fleet_.replicas
        replica._steps = [engine(step), engine(answer())]
        self.cut_off.fetch(name=b"first")
        return replica

    def test_gateway_sends_nothing_either_to_a_replica_that_asks_for_a_wait(self):
        replica = self.answer_once(hold_off)
        gateway = next(
            router
            for router in self.others
            if router.metrics.forwards_served.labels("passed_on")._value.get()
        )
        for router in (gateway, self.cut_off):
            response = router.fetch(name=b"second-%d" % id(router), ms=900)
            self.assertEqual(response.status, 503)
        self.assertEqual(len(replica.relayed()), 1)

    def test_replica_that_leaves_gets_nothing_more(self):
        replica = self.answer_once(leave)
        self.assertEqual(self.cut_off.fetch(name=b"second", ms=900).status, 503)
        self.assertEqual(len(replica.relayed()), 1)


def stream_until_stopped(sock, req):
    """Stream events slowly, from the one after the last that the router has."""
    sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
    first = int(req.headers.get(b"last-event-id", b"0")) + 1
    for number in range(first, 13):
        send_chunk(sock, event(number))
        eventlet.sleep(0.05)
    sock.sendall(b"0\r\n\r\n")
    return True


WHOLE = b"".join(event(number) for number in range(1, 13))


class ForwardedStreamTest(ForwardCase):
    rule = stream_rule()
    pool = POOL
    step = staticmethod(engine(stream_until_stopped))
    lines = (b"Token-Counts: 1000,100",)

    def test_stream_goes_on_through_another_gateway_if_the_first_ends(self):
        fetched = eventlet.spawn(self.cut_off.fetch, *self.lines, ms=3000)
        eventlet.sleep(0.25)
        gateway = next(r for r in self.others if r.forward_edge.active_requests())
        self.stop_router(gateway)
        response = fetched.wait()
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body, WHOLE)
        self.assertEqual(self.cut_off.metrics.crashes_reported._value.get(), 0)

    def test_truncated_stream_does_not_look_complete(self):
        for replica in self.fleet_.replicas:
            replica._steps = [engine(events(1, 2, ends=False))]
        response = self.cut_off.fetch(*self.lines, ms=1500)
        self.assertFalse(response.is_complete)

    def test_repeats_over_the_hop_are_charged(self):
        for replica in self.fleet_.replicas:
            replica._steps = [engine(events(1, ends=False))]
        taken = []
        take = self.cut_off.parts.retries.take
        self.cut_off.parts.retries.take = lambda pool: taken.append(pool) or take(pool)
        self.cut_off.fetch(*self.lines, ms=1500)
        self.assertEqual(len(taken), len(self.received()) - 1)


class ForwardedDeadlyStreamTest(ForwardCase):
    """A stream crashes the replica at which its answer begins, behind a gateway."""

    rule = stream_rule(max_attempts=1)
    pool = POOL
    replicas = 3
    lines = (b"Token-Counts: 1000,100",)

    def step(self, sock, req):
        """Begin an answer, and end the replica."""
        if b"request-id" not in req.headers:
            return report_model(sock, req)
        sock.sendall(head_of(req, 200, b"Transfer-Encoding: chunked") + b"\r\n")
        eventlet.sleep(0.02)
        name = req.headers[b"expect-instance"].decode()
        next(each for each in self.fleet_.replicas if each.name == name).stop()
        return False

    def test_crash_behind_a_gateway_is_reported(self):
        self.cut_off.fetch(*self.lines, name=b"deadly", ms=2500)
        eventlet.sleep(1.5)
        self.assertEqual(self.cut_off.metrics.crashes_reported._value.get(), 1)


class EndedReplicaTest(ForwardCase):
    """A replica ends that others have just heard and the cut-off router can't reach."""

    replicas = 1

    def setUp(self):
        super().setUp()
        [self.replica] = self.fleet_.replicas
        self.paths = self.cut_off.paths
        for number, router in enumerate(self.others):
            self.assertTrue(self.fetch(router, number))

    def wait_for_checks(self):
        with eventlet.Timeout(5.0):
            while self.paths.is_checking(self.replica.address):
                eventlet.sleep(0.001)

    def test_path_found_lost_stays_lost_though_others_heard_the_replica_before(self):
        self.replica.stop()
        self.paths.check_again(self.replica.address)
        self.wait_for_checks()
        self.assertTrue(self.paths.is_lost(self.replica.address))
        self.paths._check_lost()
        self.wait_for_checks()
        self.assertTrue(self.paths.is_lost(self.replica.address))

    def test_end_is_found_though_a_check_with_older_knowledge_runs(self):
        self.paths._check_lost()
        self.assertTrue(self.paths.is_checking(self.replica.address))
        self.replica.stop()
        self.paths.check_again(self.replica.address)
        self.wait_for_checks()
        self.assertTrue(self.paths.is_lost(self.replica.address))


class OldLinksTest(CutOffCase):
    """Streams run when the router is cut off."""

    rule = stream_rule()
    pool = POOL
    step = staticmethod(engine(stream_until_stopped))
    lines = (b"Token-Counts: 1000,100",)

    def play(self, cut):
        fleet = self.fleet(3, 2)
        router = fleet.routers[0]
        fetched = [
            eventlet.spawn(router.fetch, *self.lines, name=b"id-%d" % number, ms=4000)
            for number in range(4)
        ]
        eventlet.sleep(0.2)
        fleet.cut(cut, 0)
        responses = [thread.wait() for thread in fetched]
        for response in responses:
            self.assertTrue(response.is_complete)
            self.assertEqual(response.body, WHOLE)
        eventlet.sleep(0.8)
        self.assertEqual(router.metrics.crashes_reported._value.get(), 0)
        return fleet

    def test_stream_on_a_link_that_lives_on_is_not_started_again(self):
        fleet = self.play(Cut.REFUSE)
        self.assertEqual(sum(len(each.relayed()) for each in fleet.replicas), 4)

    def test_streams_on_links_that_are_reset_go_on_through_another_router(self):
        self.play(Cut.RESET)

    def test_streams_on_links_that_hang_go_on_through_another_router(self):
        self.play(Cut.HANG)
