"""Checks of calls: one answer and the right one, runs counted at the back ends."""

from __future__ import annotations

from dataclasses import dataclass, field

from limelever.common.errors import Outcome
from limelever_lab.simulator.checkers import Findings, Rule

LEAVING_LIMIT = 5.0
"""Seconds after which a leaving back end may receive no new work."""


@dataclass(frozen=True, slots=True)
class Call:
    """One sending of a request by a caller.

    ``key`` is the idempotency key that resends share, empty for calls that may be repeated;
    ``payload`` is what the answer must echo.
    """

    send_id: str
    proxy: str
    key: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a call at a back end."""

    at: float
    back_end: str
    send_id: str
    key: str


@dataclass(slots=True)
class CallChecker:
    """Collects sendings, runs and answers."""

    findings: Findings
    calls: dict[str, Call] = field(default_factory=dict)
    answers: dict[str, int] = field(default_factory=dict)
    lost_with_proxy: set[str] = field(default_factory=set)
    runs: list[Run] = field(default_factory=list)
    runs_of_key: dict[str, int] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    succeeded: set[str] = field(default_factory=set)
    leaving_since: dict[str, float] = field(default_factory=dict)
    stopping: dict[str, float] = field(default_factory=dict)
    ran: set[str] = field(default_factory=set)

    def sent(self, call: Call) -> None:
        """Take a request that a caller handed to a proxy."""
        self.calls[call.send_id] = call

    def run_began(self, at: float, back_end: str, send_id: str, key: str) -> None:
        """Take the start of a run at a back end."""
        self.runs.append(Run(at, back_end, send_id, key))
        self.ran.add(send_id)
        if key:
            self.runs_of_key[key] = self.runs_of_key.get(key, 0) + 1
            if self.runs_of_key[key] > 1:
                detail = f"key {key} ran {self.runs_of_key[key]} times"
                self.findings.add(Rule.SECOND_RUN, at, back_end, detail)
        if send_id in self.refused:
            detail = f"{send_id} ran after the caller was told it was not run"
            self.findings.add(Rule.RAN_AFTER_REFUSAL, at, back_end, detail)
        left = self.leaving_since.get(back_end)
        if left is not None and at > left + LEAVING_LIMIT:
            detail = f"{send_id} began {at - left:.2f} s after it began to leave"
            self.findings.add(Rule.WORK_AFTER_LEAVING, at, back_end, detail)

    def answered(self, at: float, send_id: str, status: int, body: bytes) -> None:
        """Take a back end's answer as a caller received it."""
        call = self._count(at, send_id)
        if call is None:
            return
        self.succeeded.add(send_id)
        if body != call.payload:
            detail = f"{send_id} got {body[:40]!r} ({status}) for {call.payload[:40]!r}"
            self.findings.add(Rule.WRONG_ANSWER, at, call.proxy, detail)
        if call.key and not self.runs_of_key.get(call.key):
            detail = f"{send_id} was answered {status} but key {call.key} never ran"
            self.findings.add(Rule.LOST_RUN, at, call.proxy, detail)

    def shed(self, at: float, send_id: str) -> None:
        """Take a back end's own refusal as a caller received it."""
        self._count(at, send_id)

    def failed(self, at: float, send_id: str, outcome: Outcome, reason: str) -> None:
        """Take a refusal or error as a caller received it."""
        call = self._count(at, send_id)
        if call is None:
            return
        if outcome is Outcome.NOT_RUN:
            self.refused.add(send_id)
            if send_id in self.ran:
                detail = f"{send_id} had run when it was refused as not run: {reason}"
                self.findings.add(Rule.RAN_AFTER_REFUSAL, at, call.proxy, detail)

    def proxy_died(self, proxy: str) -> None:
        """Forgive the answers that a dead proxy owes."""
        for call in self.calls.values():
            if call.proxy == proxy and call.send_id not in self.answers:
                self.lost_with_proxy.add(call.send_id)

    def open_calls(self, proxy: str) -> list[str]:
        """Return the sendings that a proxy still owes an answer."""
        return [
            call.send_id
            for call in self.calls.values()
            if call.proxy == proxy
            and call.send_id not in self.answers
            and call.send_id not in self.lost_with_proxy
        ]

    def cut_off_by_stop(self, at: float, where: str, send_id: str, reason: str) -> None:
        """Take a call in flight that a planned stop ended."""
        self.findings.add(Rule.CUT_OFF_BY_STOP, at, where, f"{send_id}: {reason}")

    def judge_answers(self, at: float) -> None:
        """Check that every sending has its answer; call after the quiet period."""
        for send_id, call in self.calls.items():
            if send_id not in self.answers and send_id not in self.lost_with_proxy:
                self.findings.add(Rule.NO_ANSWER, at, call.proxy, f"{send_id} has no answer")

    def _count(self, at: float, send_id: str) -> Call | None:
        call = self.calls[send_id]
        self.answers[send_id] = self.answers.get(send_id, 0) + 1
        if self.answers[send_id] > 1:
            self.findings.add(Rule.SECOND_ANSWER, at, call.proxy, f"{send_id} was answered again")
            return None
        return call
