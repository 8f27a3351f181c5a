"""The status that a router reports to operators."""

import msgspec

from boragedeck.ids import FailureDomain, Health, RouterId, Version, VmName
from boragedeck.interfaces import Member, Membership
from boragedeck.process.answering.answer_service import AnswerService
from boragedeck.process.crashes.quarantine import Quarantine
from boragedeck.process.timers import TimerService
from boragedeck.version.config_watch import ConfigStatus, ConfigWatch

__all__ = ["PeerStatus", "QuarantineStatus", "Status", "StatusReport"]

MAX_QUARANTINES_SHOWN = 200


class PeerStatus(msgspec.Struct, frozen=True):
    """Another router, as this router sees it."""

    router: RouterId
    vm: VmName
    failure_domain: FailureDomain
    address: str
    health: Health


class QuarantineStatus(msgspec.Struct, frozen=True):
    """A quarantined request.

    Parameters
    ----------
    fingerprint : str
        Identifies the request; a route's `quarantine_lift` refers to it.
    route : str
        The route of the request; empty if it is not known.
    upstreams : tuple of str
        The upstreams that it crashed.
    versions : tuple of Version
        The version that each of them served.
    until : float
        When the quarantine expires, in Unix seconds.
    """

    fingerprint: str
    route: str
    upstreams: tuple[str, ...]
    versions: tuple[Version, ...]
    until: float


class Status(msgspec.Struct, frozen=True):
    """A router's status.

    Parameters
    ----------
    router : RouterId
        The id of the router, which changes with each start.
    vm : VmName
        The name of its VM.
    failure_domain : FailureDomain
        The failure domain of its VM.
    config : ConfigStatus
        The configuration in force.
    peers : list of PeerStatus
        The other routers.
    running_answers : int
        Number of answers that run here.
    copies : int
        Number of copies of other routers' answers.
    uptime_s : float
        Seconds since the router started.
    quarantines : int
        Number of quarantined requests.
    quarantined : list of QuarantineStatus
        The last of the quarantined requests, at most 200.
    """

    router: RouterId
    vm: VmName
    failure_domain: FailureDomain
    config: ConfigStatus
    peers: list[PeerStatus]
    running_answers: int
    copies: int
    uptime_s: float
    quarantines: int = 0
    quarantined: list[QuarantineStatus] = []


class StatusReport:
    """Collects the status of a router.

    Parameters
    ----------
    own : Member
        This router.
    membership : Membership
        The other routers.
    config : ConfigWatch
        The configuration in force.
    answers : AnswerService
        The answers that run here.
    quarantine : Quarantine
        The quarantined requests.
    timers : TimerService
        The source of time.
    """

    def __init__(
        self,
        own: Member,
        membership: Membership,
        config: ConfigWatch,
        answers: AnswerService,
        quarantine: Quarantine,
        timers: TimerService,
    ):
        self._own = own
        self._membership = membership
        self._config = config
        self._answers = answers
        self._quarantine = quarantine
        self._timers = timers
        self._started = timers.now()

    def read(self) -> Status:
        """Return the current status."""
        peers = [
            PeerStatus(m.router, m.vm, m.failure_domain, str(m.address), m.health)
            for m in self._membership.members()
        ]
        held = [
            QuarantineStatus(
                fingerprint, fact.route, fact.upstreams, fact.versions, fact.until
            )
            for fingerprint, fact in self._quarantine.quarantined().items()
        ]
        return Status(
            router=self._own.router,
            vm=self._own.vm,
            failure_domain=self._own.failure_domain,
            config=self._config.status(),
            peers=peers,
            running_answers=self._answers.running(),
            copies=self._answers.copies(),
            uptime_s=self._timers.now() - self._started,
            quarantines=len(held),
            quarantined=held[-MAX_QUARANTINES_SHOWN:],
        )
