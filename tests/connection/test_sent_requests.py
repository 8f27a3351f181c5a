import unittest

from boragedeck.connection.sent_requests import (
    MAX_REQUESTS_PER_CONNECTION,
    AnswerMatch,
    SentRequests,
)


class SentRequestsTest(unittest.TestCase):
    def setUp(self):
        self.sent = SentRequests()

    def test_id_is_sent_once(self):
        for request_id in (b"a", b"b", None):
            self.assertTrue(self.sent.may_send(request_id))
            self.sent.note_sent(request_id)
            self.assertFalse(self.sent.may_send(request_id))

    def test_answer_belongs_to_the_last_request_with_its_id_only(self):
        self.sent.note_sent(b"a")
        self.sent.note_sent(b"b")
        self.assertIs(self.sent.match(b"b"), AnswerMatch.OWN)
        self.assertIs(self.sent.match(b"a"), AnswerMatch.OTHER)
        self.assertIs(self.sent.match(b"never sent"), AnswerMatch.OTHER)
        self.assertIs(self.sent.match(None), AnswerMatch.UNKNOWN)

    def test_answer_without_an_id_belongs_to_a_request_without_one(self):
        self.sent.note_sent(None)
        self.assertIs(self.sent.match(None), AnswerMatch.OWN)
        self.assertIs(self.sent.match(b"a"), AnswerMatch.OTHER)
        self.sent.note_sent(b"a")
        self.assertIs(self.sent.match(None), AnswerMatch.OTHER)

    def test_number_of_ids_is_bounded(self):
        for number in range(MAX_REQUESTS_PER_CONNECTION):
            self.assertFalse(self.sent.is_full)
            self.sent.note_sent(b"%d" % number)
        self.assertTrue(self.sent.is_full)
        self.assertFalse(self.sent.may_send(b"another"))
