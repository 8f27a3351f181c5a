import unittest

from soak.history import NEVER, Call, End, History, Impairment, Run, Table
from soak.rules import judge

KEY = "key"
SERVICES = {"once": "calls", "again": "calls", "stream": "pool", "resume": "pool"}
TENANTS = {KEY: "demo"}
SENT = 100.0


def events(name, numbers, token=1):
    return b"".join(
        f"id: {n}\ndata: piece {n} of {name} run {token}\n\n".encode() for n in numbers
    )


class RulesTest(unittest.TestCase):
    def setUp(self):
        self.history = History(tables=[Table(0.0, SERVICES, TENANTS)])

    def call(self, route, **fields):
        """Add a request that is answered soundly but for some fields."""
        name = f"id-{len(self.history.calls)}"
        is_stream = route in ("stream", "resume")
        call = Call(
            name=name,
            router=0,
            route=route,
            path=f"/{route}/{name}/3",
            key=KEY,
            body=b"body",
            deadline_s=9.0,
            is_kept=True,
            sent=SENT,
            sent_whole=SENT,
            last_sent=SENT,
            ended=SENT + 1.0,
            status=200,
            seal="seal-1",
            echo=name,
            answer=events(name, (1, 2, 3)) if is_stream else b"whole",
            is_complete=True,
        )
        for field, value in fields.items():
            setattr(call, field, value)
        self.history.calls[name] = call
        return call

    def run_of(self, call, **fields):
        """Add a whole run of a request, but for some fields."""
        run = Run(
            call=call.name,
            token=1,
            replica="one",
            service=SERVICES.get(call.route, "calls"),
            method="POST",
            path=call.path,
            body=call.body,
            tenant="demo",
            has_key=False,
            after=0,
            arrived=call.sent + 0.1,
            began=call.sent + 0.1,
            ended=call.sent + 0.9,
            end=End.WHOLE,
            status=200,
            answer=b"whole",
        )
        for field, value in fields.items():
            setattr(run, field, value)
        self.history.runs.append(run)
        return run

    def lost(self, route="stream", **fields):
        """Add a request that has no answer though it was passed on."""
        unanswered = {"status": 0, "seal": "", "echo": "", "answer": b""}
        call = self.call(route, **(unanswered | {"is_complete": False} | fields))
        self.run_of(call, end=End.DROPPED, ended=call.ended - 0.1)
        return call

    def expect(self, *rules):
        self.assertEqual([each.rule for each in judge(self.history)], list(rules))

    def test_sound_answers_break_no_rule(self):
        for route in SERVICES:
            self.run_of(self.call(route))
        self.expect()


class TwiceTest(RulesTest):
    def test_call_that_may_run_once_ran_twice(self):
        call = self.call("once")
        self.run_of(call)
        self.run_of(call, token=2, replica="two", end=End.DROPPED)
        self.expect("TWICE")

    def test_rejection_is_no_run(self):
        call = self.call("once")
        self.run_of(call, token=2, end=End.REJECTED)
        self.run_of(call)
        self.expect()

    def test_idempotent_call_may_run_twice(self):
        call = self.call("again")
        self.run_of(call)
        self.run_of(call, token=2, end=End.DROPPED)
        self.expect()


class RefusedTest(RulesTest):
    def refuse(self, status, end):
        call = self.call("once", status=status, seal="", answer=b"")
        self.run_of(call, end=end)

    def test_call_was_refused_and_ran(self):
        self.refuse(503, End.DROPPED)
        self.expect("REFUSED")

    def test_call_was_refused_and_runs_later(self):
        self.refuse(429, None)
        self.expect("REFUSED")

    def test_rejected_call_may_be_refused(self):
        self.refuse(503, End.REJECTED)
        self.expect()

    def test_504_promises_nothing(self):
        self.refuse(504, End.DROPPED)
        self.expect()


class MixedTest(RulesTest):
    def test_answer_of_another_request(self):
        self.run_of(self.call("again", echo="id-9"))
        self.expect("MIXED")

    def test_success_without_a_receipt(self):
        self.run_of(self.call("again", seal=""))
        self.expect("MIXED")

    def test_success_where_the_replica_failed(self):
        self.run_of(self.call("again"), status=500)
        self.expect("MIXED")

    def test_truncated_body_looks_complete(self):
        self.run_of(self.call("again", answer=b"who"))
        self.expect("MIXED")

    def test_events_of_another_request(self):
        self.run_of(self.call("stream", answer=events("id-9", (1, 2, 3))))
        self.expect("MIXED")


class OrderTest(RulesTest):
    def stream(self, route, answer, **fields):
        call = self.call(route, answer=answer, **fields)
        self.run_of(call)
        return call

    def test_event_is_missing(self):
        self.stream("stream", events("id-0", (1, 3)), is_complete=False, has_left=True)
        self.expect("ORDER")

    def test_event_comes_twice(self):
        self.stream("stream", events("id-0", (1, 2, 2, 3)))
        self.expect("ORDER", "ORDER")

    def test_stream_looks_complete_before_its_end(self):
        self.stream("stream", events("id-0", (1, 2)))
        self.expect("ORDER")

    def test_runs_of_a_stream_that_may_run_once_are_joined(self):
        answer = events("id-0", (1,)) + events("id-0", (2, 3), token=2)
        call = self.stream("stream", answer)
        self.run_of(call, token=2, after=1, end=End.REJECTED)
        self.expect("ORDER")

    def test_run_that_goes_on_after_the_last_event_may_be_joined(self):
        answer = events("id-0", (1,)) + events("id-0", (2, 3), token=2)
        call = self.stream("resume", answer)
        self.run_of(call, token=2, after=1)
        self.expect()

    def test_fresh_stream_that_begins_at_its_second_piece_looks_complete(self):
        self.stream("resume", events("id-0", (2, 3)))
        self.expect("ORDER", "ORDER")

    def test_fresh_stream_without_a_piece_looks_complete(self):
        self.stream("resume", b"")
        self.expect("ORDER")

    def test_stream_ends_inside_an_event_and_looks_complete(self):
        self.stream("stream", events("id-0", (1, 2, 3)) + b"id: 4")
        self.expect("MIXED")

    def test_bytes_of_no_event_come_between_pieces(self):
        answer = events("id-0", (1,)) + b"data: x\n\n" + events("id-0", (2, 3))
        self.stream("stream", answer, is_complete=False, has_left=True)
        self.expect("MIXED")

    def test_stream_that_was_cut_ends_inside_another_event(self):
        answer = events("id-0", (1,)) + b"id: 3\nda"
        self.stream("stream", answer, is_complete=False, has_left=True)
        self.expect("MIXED")

    def test_stream_that_was_cut_may_end_anywhere_inside_its_next_event(self):
        whole = events("id-0", (1, 2))
        for size in range(len(events("id-0", (1,))), len(whole)):
            answer = whole[:size]
            self.stream("stream", answer, is_complete=False, has_left=True)
            self.expect()
            self.history = History(tables=[Table(0.0, SERVICES, TENANTS)])


class ResumedOrderTest(RulesTest):
    def resume(self, before, numbers, **fields):
        """Add a stream that was cut after some pieces, and one that goes on."""
        first = self.call(
            "resume",
            answer=events("id-0", before),
            is_complete=False,
            has_left=True,
        )
        self.run_of(first)
        return self.go_on(first, numbers, **fields)

    def go_on(self, call, numbers, **fields):
        answer = events(f"id-{len(self.history.calls)}", numbers, token=2)
        seal = {"seal": "seal-2", "answer": answer, "resumes": call.name}
        resumption = self.call("resume", **(seal | {"path": call.path} | fields))
        self.run_of(resumption, token=2, after=resumption.after)
        return resumption

    def test_stream_goes_on_after_the_last_piece(self):
        self.resume((1, 2), (3,), after=2)
        self.expect()

    def test_resumed_stream_begins_one_piece_late(self):
        self.resume((1,), (3,), after=1)
        self.expect("ORDER", "ORDER")

    def test_resumed_stream_begins_one_piece_early(self):
        self.resume((1, 2), (2, 3), after=1)
        self.expect("ORDER", "ORDER")

    def test_resumed_stream_begins_anew(self):
        self.resume((1, 2), (1, 2, 3))
        self.expect("ORDER", "ORDER")

    def test_piece_of_a_resumed_stream_comes_twice(self):
        self.resume((1,), (2, 2, 3), after=1)
        self.expect("ORDER", "ORDER")

    def test_resumed_stream_looks_complete_before_its_end(self):
        self.resume((1,), (2,), after=1)
        self.expect("ORDER")

    def test_resumed_stream_without_a_piece_looks_complete_before_its_end(self):
        self.resume((1, 2), (), after=2)
        self.expect("ORDER")

    def test_stream_that_lacked_only_its_end_is_resumed(self):
        self.resume((1, 2, 3), (), after=3)
        self.expect()

    def test_third_request_of_a_stream_leaves_a_piece_out(self):
        second = self.resume((1,), (), after=1, is_complete=False, has_left=True)
        self.go_on(second, (3,), after=1)
        self.expect("ORDER", "ORDER")

    def test_third_request_goes_on_after_the_pieces_of_both_others(self):
        second = self.resume((1,), (2,), after=1, is_complete=False, has_left=True)
        self.go_on(second, (3,), after=2)
        self.expect()

    def test_request_that_was_refused_in_between_has_no_pieces(self):
        refused = {"status": 503, "seal": "", "answer": b""}
        second = self.resume((1, 2), (), after=2, **refused)
        self.go_on(second, (3,), after=2)
        self.expect()

    def test_resumption_has_no_whole_answer(self):
        call = self.resume((1,), (2,), after=1, is_complete=False)
        self.history.runs[-1].end = End.DROPPED
        self.assertEqual([each.call for each in judge(self.history)], [call.name])
        self.expect("LOST")


class LostTest(RulesTest):
    def test_stream_that_was_passed_on_has_no_whole_answer(self):
        self.lost()
        self.expect("LOST")

    def test_silence_of_the_replica_excuses_nothing(self):
        self.lost()
        self.history.silences["one"] = [Impairment(SENT, SENT + 1.2)]
        self.expect("LOST")

    def test_stream_was_cut_shortly_before_its_time_limit(self):
        self.lost(deadline_s=1.001)
        self.expect("LOST")

    def test_stream_was_cut_at_its_time_limit(self):
        self.lost(deadline_s=1.0)
        self.expect()

    def test_time_limit_counts_from_the_last_byte(self):
        self.lost(deadline_s=1.0, last_sent=SENT + 0.1)
        self.expect("LOST")

    def test_stream_was_cut_in_the_middle_of_a_stop(self):
        self.lost()
        self.history.stops[0] = [Impairment(SENT - 4.0, SENT + 4.0)]
        self.expect("LOST")

    def stop_before_the_end(self, **fields):
        """Add a request that ends 7 s after the SIGTERM of its router."""
        call = self.lost(**({"ended": SENT + 5.0, "deadline_s": 20.0} | fields))
        self.history.stops[0] = [Impairment(call.ended - 7.0, call.ended + 1.0)]

    def test_stream_at_work_was_cut_in_the_last_sixth_of_a_stop(self):
        self.stop_before_the_end()
        self.expect()

    def test_replica_had_ended_the_stream_before_the_last_sixth(self):
        self.stop_before_the_end()
        self.history.runs[0].ended = SENT + 4.6
        self.expect("LOST")

    def test_request_that_waited_was_cut_in_the_last_sixth_of_a_stop(self):
        self.stop_before_the_end()
        self.history.runs.clear()
        self.expect("LOST")

    def test_rejected_request_was_cut_in_the_last_sixth_of_a_stop(self):
        self.stop_before_the_end()
        self.history.runs[0].end = End.REJECTED
        self.expect("LOST")

    def test_request_in_the_queue_of_a_replica_was_cut_in_the_last_sixth(self):
        self.stop_before_the_end()
        self.history.runs[0].began = NEVER
        self.expect("LOST")

    def test_request_that_a_replica_has_in_its_queue_was_passed_on(self):
        self.lost("once", ended=SENT + 0.2)
        self.history.runs[0].began = NEVER
        self.expect("LOST")

    def test_another_router_that_stops_excuses_nothing(self):
        self.stop_before_the_end(router=1)
        self.expect("LOST")

    def test_stream_that_was_sent_late_in_a_stop_was_cut_at_its_end(self):
        self.stop_before_the_end(ended=SENT + 3.9)
        self.expect("LOST")

    def test_replica_that_broke_off_excuses_it(self):
        self.lost()
        self.history.runs[0].end = End.BROKEN
        self.expect()

    def test_run_that_was_broken_off_before_another_one_excuses_nothing(self):
        call = self.lost("resume")
        self.run_of(call, end=End.BROKEN, token=2, ended=SENT + 0.5)
        self.expect("LOST")

    def test_router_that_was_killed_excuses_it(self):
        self.lost()
        self.history.routers[0] = [Impairment(SENT + 0.5, SENT + 2.0)]
        self.expect()

    def test_another_router_that_was_killed_excuses_nothing(self):
        self.lost()
        self.history.routers[1] = [Impairment(SENT + 0.5, SENT + 2.0)]
        self.expect("LOST")

    def test_router_that_was_cut_off_from_the_store_excuses_nothing(self):
        self.lost()
        cut_off = Impairment(SENT + 0.5, SENT + 2.0, "store-some")
        self.history.routers[0] = [cut_off]
        self.expect("LOST")

    def test_store_that_is_down_excuses_nothing(self):
        self.lost()
        self.history.store = [Impairment(SENT - 1.0, SENT + 2.0)]
        self.expect("LOST")

    def test_request_that_waits_is_closed_without_being_passed_on(self):
        self.lost("once")
        self.history.runs.clear()
        self.expect("LOST")

    def test_request_that_crosses_the_close_is_not_lost(self):
        self.lost("once", ended=SENT + 0.2)
        self.history.runs.clear()
        self.expect()

    def test_request_that_ended_later_was_read(self):
        self.lost("once", ended=SENT + 0.21)
        self.history.runs.clear()
        self.expect("LOST")

    def test_request_that_ran_at_once_was_passed_on(self):
        self.lost("once", ended=SENT + 0.2)
        self.expect("LOST")

    def test_request_that_was_not_sent_whole_is_not_lost(self):
        self.lost("once", sent_whole=NEVER, last_sent=NEVER)
        self.history.runs.clear()
        self.expect()

    def test_caller_that_left_has_lost_nothing(self):
        self.lost(has_left=True)
        self.expect()


class UnaskedTest(RulesTest):
    def test_unknown_request_ran(self):
        self.run_of(self.call("again"))
        self.history.calls.clear()
        self.expect("UNASKED")

    def test_body_was_changed(self):
        self.run_of(self.call("again"), body=b"bod")
        self.expect("UNASKED")

    def test_key_was_passed_on(self):
        self.run_of(self.call("again"), has_key=True)
        self.expect("UNASKED")

    def test_another_tenant_was_named(self):
        self.run_of(self.call("again"), tenant="other")
        self.expect("UNASKED")


class ConfigTest(RulesTest):
    def change(self, acked, **fields):
        table = {"services": SERVICES, "tenants": TENANTS} | fields
        self.history.tables.append(Table(acked, **table))

    def refuse(self, status=404):
        self.call("once", status=status, seal="", answer=b"")

    def test_route_in_force_was_refused(self):
        self.refuse()
        self.expect("CONFIG")

    def test_route_was_removed_meanwhile(self):
        self.change(SENT + 0.5, services={})
        self.refuse()
        self.expect()

    def test_route_was_just_added(self):
        self.history.tables.clear()
        self.change(0.0, services={})
        self.change(SENT - 1.9)
        self.refuse()
        self.expect()

    def test_route_was_added_long_enough_ago(self):
        self.history.tables.clear()
        self.change(0.0, services={})
        self.change(SENT - 2.1)
        self.refuse()
        self.expect("CONFIG")

    def test_revoked_key_was_served(self):
        self.change(SENT - 2.1, tenants={"new": "demo"})
        self.run_of(self.call("once"))
        self.expect("CONFIG")

    def test_moved_route_ran_at_its_old_service(self):
        self.change(SENT - 2.1, services=SERVICES | {"once": "others"})
        self.run_of(self.call("once"))
        self.expect("CONFIG")

    def test_store_that_was_down_excuses_an_old_table(self):
        self.change(SENT - 2.1, services=SERVICES | {"once": "others"})
        self.history.store = [Impairment(SENT - 4.0, SENT - 3.0)]
        self.run_of(self.call("once"))
        self.expect()


class DrainTest(RulesTest):
    def test_request_reached_a_replica_that_left(self):
        self.history.left["one"] = SENT - 2.0
        self.run_of(self.call("once"))
        self.expect("DRAIN")

    def test_request_reached_a_replica_that_has_just_left(self):
        self.history.left["one"] = SENT - 1.8
        self.run_of(self.call("once"))
        self.expect()

    def test_router_that_was_frozen_is_excused(self):
        self.history.left["one"] = SENT - 2.0
        self.history.routers[0] = [Impairment(SENT - 4.0, SENT - 3.0)]
        self.run_of(self.call("once"))
        self.expect()
