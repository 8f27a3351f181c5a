import os
import unittest

import eventlet
from eventlet import hubs

from boragedeck.connection.edge import serve_http
from boragedeck.connection.listening import close_listener


class CloseListenerTest(unittest.TestCase):
    def test_descriptor_of_a_closed_listener_can_be_reused(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        server = eventlet.spawn(serve_http, listener, None)
        eventlet.sleep(0.01)
        number = listener.fileno()
        close_listener(listener)
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        if reader != number:
            os.dup2(reader, number)
            os.close(reader)
        self.addCleanup(os.close, number)
        eventlet.sleep(0.01)
        os.write(writer, b"x")
        hubs.trampoline(number, read=True, timeout=1.0)
        self.assertTrue(server.dead)

    def test_closing_again_has_no_effect(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        close_listener(listener)
        close_listener(listener)
