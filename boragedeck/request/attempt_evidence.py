"""Tells the rollouts how a request's attempts go, by which versions are compared."""

from boragedeck.ids import FailureDomain, RouteName, UpstreamName
from boragedeck.interfaces import Outcome, RunSample
from boragedeck.process.relaying.placing.place import Place
from boragedeck.process.relaying.rollouts.rollout_state import WaitingRun
from boragedeck.process.relaying.rollouts.rollout_strata import stratum_of
from boragedeck.process.relaying.rollouts.rollouts import RelayRollouts
from boragedeck.process.timers import TimerService

__all__ = ["AttemptEvidence"]


class AttemptEvidence:
    """Reports the attempts of one request to the rollouts.

    Parameters
    ----------
    rollouts : RelayRollouts
        Receives the reports.
    timers : TimerService
        The source of time.
    route : RouteName
        The route of the request.
    """

    def __init__(self, rollouts: RelayRollouts, timers: TimerService, route: RouteName):
        self._rollouts = rollouts
        self._timers = timers
        self._route = route
        self._waiting: dict[Place, WaitingRun] = {}

    def note_start(self, place: Place) -> None:
        """Record that an attempt begins; `note_end` must follow."""
        run = self._rollouts.begin(place.state.replica, self._stratum(place))
        self._waiting[place] = run

    def note_end(self, place: Place) -> None:
        """Record that an attempt has ended, with or without an outcome."""
        run = self._waiting.pop(place, None)
        if run is not None:
            self._rollouts.end(run, has_outcome=False)

    def note_outcome(
        self, place: Place, outcome: Outcome | None, first_output_s: float | None = None
    ) -> None:
        """Record the first output of an attempt, or how it ended.

        Parameters
        ----------
        place : Place
            The place of the attempt.
        outcome : Outcome or None
            How it ended; None while it is running.
        first_output_s : float or None
            Time from its start to the first output, or to the complete answer of a
            call, in seconds.
        """
        run = self._waiting.pop(place, None)
        if run is not None:
            self._rollouts.end(run, has_outcome=True)
        self._note_sample(place, outcome=outcome, first_token_s=first_output_s)

    def note_gap(self, place: Place, gap_s: float) -> None:
        """Record the mean gap between the events of an attempt, in seconds."""
        self._note_sample(place, gap_s=gap_s)

    def _note_sample(
        self,
        place: Place,
        *,
        outcome: Outcome | None = None,
        first_token_s: float | None = None,
        gap_s: float | None = None,
    ) -> None:
        replica = place.state.replica
        sample = RunSample(
            route=self._route,
            version=replica.version,
            upstream=UpstreamName(replica.replica),
            failure_domain=self._stratum(place),
            outcome=outcome,
            first_token_s=first_token_s,
            gap_s=gap_s,
            tokens=0,
            age_s=self._timers.now() - place.since,
        )
        self._rollouts.note(replica, sample)

    def _stratum(self, place: Place) -> FailureDomain:
        return stratum_of(place.state.replica.failure_domain, self._route)
