import unittest
from unittest import mock

from boragedeck.request import open_requests
from boragedeck.request.open_requests import OpenRequests, Stage


class Request:
    def __init__(self, name, stage):
        self.name = name
        self._stage = stage

    def stage(self):
        return self._stage

    def log_fields(self):
        return {"request": self.name, "stage": self._stage.value}


class OpenRequestsTest(unittest.TestCase):
    def setUp(self):
        self.requests = OpenRequests()

    def test_requests_are_counted_by_stage_while_they_are_open(self):
        waiting = Request("id-1", Stage.WAITING)
        with self.requests.track(waiting):
            counts = self.requests.counts()
        self.assertEqual(counts, {"waiting": 1, "at_replica": 0, "answering": 0})
        self.assertEqual(self.requests.counts()["waiting"], 0)

    def test_request_whose_handler_fails_is_no_longer_open(self):
        with (
            self.assertRaises(OSError),
            self.requests.track(Request("", Stage.WAITING)),
        ):
            raise OSError
        self.assertEqual(self.requests.counts()["waiting"], 0)

    def test_each_unanswered_request_is_logged_with_its_stage(self):
        with (
            mock.patch.object(open_requests._log, "write") as write,
            self.requests.track(Request("id-1", Stage.AT_REPLICA)),
        ):
            self.requests.log_unanswered()
        write.assert_called_once_with(
            "Cut by the stop.", request="id-1", stage="at_replica"
        )
