import unittest

from boragedeck.process.relaying.listening import make_ready_app


class ReadyAppTest(unittest.TestCase):
    def test_status_follows_the_router(self):
        answers = [True, False]
        app = make_ready_app(lambda: answers.pop(0))
        statuses = []
        for expected in (b"ready\n", b"not ready\n"):
            body = app({}, lambda status, headers: statuses.append(status))
            self.assertEqual(b"".join(body), expected)
        self.assertEqual(statuses, ["200 OK", "503 Service Unavailable"])
