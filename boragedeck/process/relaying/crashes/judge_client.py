"""Calls the router that judges crashes, which may be this one."""

import eventlet

from boragedeck.connection.messages import Accepted, Message
from boragedeck.connection.peer import Address, PeerLinks
from boragedeck.ids import RouterId
from boragedeck.process.observing.logs import PartLog
from boragedeck.process.relaying.crashes.crash_judge import CrashJudge
from boragedeck.process.relaying.crashes.crash_messages import (
    AskTrial,
    ReportCrash,
    ReportSound,
    Signature,
    TrialDecision,
)
from boragedeck.process.relaying.fleet.task_owners import TaskOwners

__all__ = ["JUDGE_TASK", "JudgeClient"]

JUDGE_TASK = "judge of crashes"
CALL_TIMEOUT_S = 0.3
TRIAL_TIMEOUT_S = 0.1
"""How long a request waits for the decision about a trial."""

_log = PartLog("blame")


class JudgeClient:
    """Calls the judge of crashes.

    Parameters
    ----------
    owners : TaskOwners
        Chooses the judge.
    links : PeerLinks
        Links to the other routers.
    own_judge : CrashJudge
        Judges in this router, if it is the judge or doesn't reach it.
    """

    def __init__(self, owners: TaskOwners, links: PeerLinks, own_judge: CrashJudge):
        self._owners = owners
        self._links = links
        self._own_judge = own_judge

    def judge(self) -> RouterId:
        """Return the router that is the judge now."""
        return self._owners.owner_of(JUDGE_TASK).router

    def is_own(self) -> bool:
        """Return whether this router is the judge."""
        return self.judge() == self._owners.own.router

    def may_become_judge(self) -> bool:
        """Return whether this router is among those from which the judge is chosen."""
        return self._owners.is_candidate()

    def report_crash(self, report: ReportCrash) -> RouterId | None:
        """Report a crash; return the judge that has accepted it, or None."""
        owner = self._owners.owner_of(JUDGE_TASK)
        if self.is_own():
            self._own_judge.note_crash(report)
            return owner.router
        return owner.router if self._call(report, owner.address) else None

    def keep_crash(self, report: ReportCrash) -> None:
        """Judge a crash in this router, as the judge can't be reached."""
        self._own_judge.note_crash(report)

    def report_output(self, report: ReportSound) -> None:
        """Report lasting output, without waiting for the judge's answer."""
        owner = self._owners.owner_of(JUDGE_TASK)
        if self.is_own():
            self._own_judge.note_sound(report)
        else:
            eventlet.spawn_n(self._call, report, owner.address)

    def ask_trial(self, signature: Signature) -> bool:
        """Return whether the judge grants a trial of a signature."""
        if self.is_own():
            return self._own_judge.decide_trial(AskTrial(signature)).is_granted
        owner = self._owners.owner_of(JUDGE_TASK)
        link = self._links.link(owner.address)
        answer = link.call(
            AskTrial(signature), TrialDecision, timeout_s=TRIAL_TIMEOUT_S
        )
        if answer.is_ok():
            return answer.ok().is_granted
        _log.write("Judge failed.", peer=str(owner.address), error=str(answer.err()))
        return False

    def _call(self, message: Message, judge: Address) -> bool:
        link = self._links.link(judge)
        answer = link.call(message, Accepted, timeout_s=CALL_TIMEOUT_S)
        if answer.is_err():
            _log.write("Judge failed.", peer=str(judge), error=str(answer.err()))
        return answer.is_ok()
