"""What a router reports of itself to operators."""

import msgspec

from boragedeck.ids import FailureDomain, Health, RouterId, VmName
from boragedeck.interfaces import Member, Membership
from boragedeck.process.answer_service import AnswerService
from boragedeck.process.timers import TimerService
from boragedeck.version.config_watch import ConfigStatus, ConfigWatch

__all__ = ["PeerStatus", "Status", "StatusReport"]


class PeerStatus(msgspec.Struct, frozen=True):
    """How a router sees another."""

    router: RouterId
    vm: VmName
    failure_domain: FailureDomain
    address: str
    health: Health


class Status(msgspec.Struct, frozen=True):
    """A router's report.

    Parameters
    ----------
    router : RouterId
        This run of the router.
    vm : VmName
        Its VM.
    failure_domain : FailureDomain
        Where it stands.
    config : ConfigStatus
        The configuration in force.
    peers : list of PeerStatus
        The other routers.
    running_answers : int
        Answers that run here.
    uptime_s : float
        Seconds since the start.
    """

    router: RouterId
    vm: VmName
    failure_domain: FailureDomain
    config: ConfigStatus
    peers: list[PeerStatus]
    running_answers: int
    uptime_s: float


class StatusReport:
    """Collects a router's report.

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
    timers : TimerService
        The source of time.
    """

    def __init__(
        self,
        own: Member,
        membership: Membership,
        config: ConfigWatch,
        answers: AnswerService,
        timers: TimerService,
    ):
        self._own = own
        self._membership = membership
        self._config = config
        self._answers = answers
        self._timers = timers
        self._started = timers.now()

    def read(self) -> Status:
        """Return the report as of now."""
        peers = [
            PeerStatus(m.router, m.vm, m.failure_domain, str(m.address), m.health)
            for m in self._membership.members()
        ]
        return Status(
            router=self._own.router,
            vm=self._own.vm,
            failure_domain=self._own.failure_domain,
            config=self._config.status(),
            peers=peers,
            running_answers=self._answers.running(),
            uptime_s=self._timers.now() - self._started,
        )
