import unittest

from scripts.platform_losses import find_losses


def line(at, text, request="r1", **fields):
    return {
        "timestamp": at,
        "text": f"relay: {text}",
        "request": request,
        "router": "a-1",
        "vm": "a",
        **fields,
    }


def sent(at, from_copy=False, backup="h", **fields):
    return line(
        at, "Sent.", position=None, from_copy=from_copy, backup=backup, **fields
    )


def answered(at, first_s=1.0, gap_s=0.1):
    return line(at, "Answered.", first_s=first_s, longest_gap_s=gap_s)


def other_request(at):
    return line(at, "Sent.", request="r2")


class LossesTest(unittest.TestCase):
    def causes(self, *lines):
        return [loss.cause for loss in find_losses(lines, 4.5, 0.7)]

    def test_stream_in_time_and_call_are_not_losses(self):
        self.assertEqual(self.causes(sent(0.0), answered(5.0), other_request(6.0)), [])

    def test_router_without_lines_after_its_stream_is_lost(self):
        self.assertEqual(self.causes(sent(0.0)), ["router lost during the stream"])

    def test_caller_that_left_is_distinguished_from_a_lost_router(self):
        lines = sent(0.0), line(2.0, "Caller left."), other_request(9.0)
        self.assertEqual(self.causes(*lines), ["caller left"])

    def test_late_first_event(self):
        sent_late = sent(3.0, age_s=3.0)
        for lines, cause in (
            ((sent(0.0), sent(2.0)), "engine lost"),
            ((sent_late,), "queued in the router"),
            ((sent(0.0),), "queued in the engine"),
        ):
            causes = self.causes(*lines, answered(9.0, first_s=5.0))
            self.assertEqual(causes, [f"first event late: {cause}"])

    def test_pause(self):
        refused = line(3.0, "Attempt failed.", error="not run, status 503")
        for lines, cause in (
            ((sent(0.0),), "the engine paused"),
            ((sent(0.0, backup=None), sent(3.0)), "there was no copy"),
            ((sent(0.0), sent(3.0)), "the copy holder was lost too"),
            ((sent(0.0), sent(3.0, True), refused), "the holder had no copy"),
            ((sent(0.0), sent(3.0, True)), "resuming from the copy was slow"),
        ):
            causes = self.causes(*lines, answered(9.0, gap_s=2.0))
            self.assertEqual(causes, [f"pause: {cause}"])

    def test_broken_off_and_refused_streams(self):
        broken = line(9.0, "Broken off.", reason="silent (at step 'read head')")
        self.assertEqual(self.causes(sent(0.0), broken), ["broken off: silent"])
        refused = line(9.0, "Refused.", code="timeout")
        self.assertEqual(self.causes(sent(0.0), refused), ["refused: timeout"])
