"""One client's own way to a stand-in, which can fall silent for this client only."""

import eventlet

from standins.web import App, listen, serve

__all__ = ["Gate"]

POLL_S = 0.01


class Gate:
    """Serves an application at an address of its own.

    Parameters
    ----------
    app : callable
        The WSGI application, which other gates may serve, too.

    Attributes
    ----------
    listener : socket
        The socket at which the client connects.
    is_silent : bool
        Whether calls, also those that wait, get no answer for now.
    """

    def __init__(self, app: App):
        self.is_silent = False
        self.listener = listen()
        self._app = app
        self._server = eventlet.spawn(serve, self._answer, self.listener)

    def close(self) -> None:
        """Stop serving."""
        self._server.kill()
        self.listener.close()

    def _answer(self, environ, start_response):
        self._wait_while_silent()
        body = self._app(environ, start_response)
        self._wait_while_silent()
        return body

    def _wait_while_silent(self) -> None:
        while self.is_silent:
            eventlet.sleep(POLL_S)
