"""Work of replicas that goes on after its connection is closed."""

import eventlet
import msgspec

from tests.support.replicas import report_model

__all__ = ["LastingWork", "Run"]


class Run(msgspec.Struct):
    """One run of a request.

    Parameters
    ----------
    replica : str
        The replica's id.
    request_id : bytes
        The request's id.
    began_at : float
        When it began, in seconds.
    lost_at : float, optional
        When a send showed that the connection is closed; None if none did.
    ended_at : float, optional
        When the work was done; None while it runs.
    """

    replica: str
    request_id: bytes
    began_at: float
    lost_at: float | None = None
    ended_at: float | None = None


class _TolerantSocket:
    """A replica's end of a connection whose loss stops no work."""

    def __init__(self, sock, run, now):
        self._sock, self._run, self._now = sock, run, now

    def sendall(self, data):
        """Send data, unless the connection is closed."""
        try:
            self._sock.sendall(data)
        except OSError:
            self._run.lost_at = self._run.lost_at or self._now()

    def shut_down(self, how):
        """Close the connection from the replica's side."""
        self._sock.shutdown(how)


class LastingWork:
    """Makes steps of replicas that run to their end, and records their runs.

    Parameters
    ----------
    now : callable
        Returns the time in seconds.

    Attributes
    ----------
    runs : list of Run
        All runs, in the order in which they began.
    """

    def __init__(self, now):
        self._now = now
        self.runs = []

    def step(self, replica, step):
        """Return a step that runs to its end, whatever happens to its connection."""

        def work(sock, req):
            if b"request-id" not in req.headers:
                return report_model(sock, req)
            run = Run(replica, req.headers[b"request-id"], self._now())
            self.runs.append(run)
            step(_TolerantSocket(sock, run, self._now), req)
            run.ended_at = self._now()
            return run.lost_at is None

        return work

    def wait(self):
        """Wait until all runs have ended."""
        while any(run.ended_at is None for run in self.runs):
            eventlet.sleep(0.01)
