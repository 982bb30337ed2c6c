"""The request path: each call from its arrival to its one final answer.

admission -> claim (at most once only) -> attempt, perhaps others -> completion of the claim ->
answer. The proxy is the only layer that retries; the agents never do.
"""

from __future__ import annotations

import random

from google.protobuf.message import Message
from msgspec import Struct, field

from limelever.common.decision_log import DecisionLogSettings
from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.common.sansio import ConnectionId, LogEvent, Output, Peer
from limelever.protocol.keeper_pb2 import RecordedAnswer
from limelever.proxy import claims, events
from limelever.proxy.admission import (
    PROXY_STOPPING,
    AdmissionSettings,
    CallAdmission,
    call_timeout,
)
from limelever.proxy.attempts import AttemptDispatcher
from limelever.proxy.call_log import CallLog, open_calls
from limelever.proxy.call_state import AttemptEnded, Call, CallTable, Phase
from limelever.proxy.call_types import AnswerCall, CallAnswer, CallRequest
from limelever.proxy.group_limits import GroupLimits
from limelever.proxy.health import Verdict
from limelever.proxy.quarantine import Quarantine
from limelever.proxy.retry_budget import RetryBudgets
from limelever.proxy.retry_rules import (
    NextStep,
    RetrySettings,
    final_failure,
    next_step,
    with_retry_after,
)
from limelever.proxy.router import RouteTable
from limelever.proxy.tenant_limits import TenantLimits

_CUT_BY_STOP = Failure(ErrorKind.OUTCOME_UNKNOWN, "this proxy stops before the answer came")
_NO_ANSWER = Failure(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline")
_UNDER_WAY = frozenset({Phase.HANDED_ON, Phase.CANCELLING, Phase.COMPLETING})


class CallSettings(Struct, frozen=True):
    """Settings of the request path, in seconds.

    ``completion_wait`` bounds the recording of an answer; ``cancel_wait`` is how long past its
    deadline a call waits for the agent to say whether it had begun.
    """

    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    retry: RetrySettings = field(default_factory=RetrySettings)
    completion_wait: float = 1.0
    cancel_wait: float = 0.1
    log: DecisionLogSettings = field(default_factory=DecisionLogSettings)


class CallEngine:
    """Runs the calls in flight; what is to be done is appended to ``outputs``."""

    def __init__(
        self,
        settings: CallSettings,
        calls: CallTable,
        attempts: AttemptDispatcher,
        limits: GroupLimits,
        tenant_limits: TenantLimits,
        keepers: claims.KeeperClient,
        quarantine: Quarantine,
        random_source: random.Random,
        outputs: list[Output],
    ) -> None:
        self._settings = settings
        self._calls = calls
        self._attempts = attempts
        self._limits = limits
        self._tenant_limits = tenant_limits
        self._admission = CallAdmission(settings.admission, limits, tenant_limits, random_source)
        self._claims = claims.CallClaims(keepers, calls, random_source, outputs)
        self._quarantine = quarantine
        self._outputs = outputs
        self._budgets = RetryBudgets(settings.retry.fleet_saved_retries)
        self._second_percent = settings.retry.second_choice_percent
        self._second_choices = RetryBudgets()
        self._gives_back = False
        self._log = CallLog(settings.log, outputs)
        attempts.log = self._log

    @property
    def in_flight(self) -> int:
        """Return the calls not yet ended."""
        return len(self._calls)

    def set_table(self, table: RouteTable) -> None:
        """Route new calls by this table; those in flight keep their route."""
        self._admission.set_table(table)
        self._attempts.set_reserved_headers(
            table.secret_names, callers_send_keys=bool(table.tenants)
        )
        self._budgets.keep_only(table.services())
        self._second_choices.keep_only(table.services())
        self._attempts.keep_only(table.route_names())

    def table_proved(self, at: float) -> None:
        """Take the time at which the table was known to be current (seconds, monotonic)."""
        self._admission.table_proved(at)

    def share_budgets_between(self, nodes: int) -> None:
        """Take the number of nodes whose proxies share the retries of a service."""
        self._budgets.set_node_count(nodes)

    # --- events of the edge -------------------------------------------------------------------

    def arrived(self, number: int, request: CallRequest, now: float) -> None:
        """Admit a call and begin it, or refuse it at once."""
        admission = self._admission
        admitted = admission.admit(number, request, now)
        if isinstance(admitted, Failure):
            refusal = with_retry_after(admitted)
            self._log.not_admitted(request, refusal, admission.version, admission.proved_at, now)
            self._outputs.append(AnswerCall(number, refusal))
            return
        self._calls.add(admitted)
        quarantined = self._quarantine.refusal(admitted, now)
        if quarantined is not None:
            self._end(admitted, quarantined, now)
            return
        route = admitted.route
        self._budgets.of(admitted.part.service, route.retry_budget_percent).record_first_attempt()
        if self._second_percent:
            self._second_choices.of(
                admitted.part.service, self._second_percent
            ).record_first_attempt()
        if route.at_most_once:
            self._claims.begin(admitted, now)
        else:
            self._attempt(admitted, now)

    def caller_gone(self, number: int, now: float) -> None:
        """Cancel a call that nobody waits for, unless it may not be repeated and is under way.

        A call under way that may not be repeated runs on, so that its answer is recorded for the
        caller's resend. If it only waits at its agent it is given up, and its claim with it.
        """
        call = self._calls.by_number(number)
        if call is None:
            return
        call.caller_gone = True
        self._log.caller_gone(call, now)
        if not call.route.repeatable and call.phase in _UNDER_WAY:
            if call.phase is Phase.HANDED_ON:
                self._attempts.cancel_unless_begun(call)
            return
        self._attempts.abandon(call, Verdict.NEUTRAL, now)
        self._finish(call, Failure(ErrorKind.DEADLINE_TOO_SHORT, "caller has gone"), now)

    def give_back_waiting(self, now: float) -> None:
        """Answer the calls that no back end has begun, and start no further attempts.

        What was handed on is only asked for: its agent knows whether it has begun. A call that
        has begun keeps the time that is left.
        """
        self._gives_back = True
        self._admission.stop()
        open_now = self._calls.all()
        if open_now:
            self._outputs.append(open_calls(open_now, now))
        for call in open_now:
            if call.phase is Phase.HANDED_ON:
                self._attempts.cancel_unless_begun(call)
            elif call.phase in (Phase.DIALLING, Phase.CLAIMING):
                self._attempts.abandon(call, Verdict.NEUTRAL, now)
                self._finish(call, PROXY_STOPPING, now)

    def end_open(self, now: float) -> None:
        """Give each call that is still open its final answer: the process ends.

        A connection that closes without one leaves its caller to guess what happened. Of a call
        that was handed on it isn't known whether it ran. Its agent hears of it by the end of the
        link, and lets run on what may not be repeated.
        """
        for call in self._calls.all():
            if call.phase is Phase.COMPLETING:
                self._answer_completed(call, False, now)
                continue
            handed_on = call.phase in (Phase.HANDED_ON, Phase.CANCELLING)
            self._attempts.abandon_without_cancel(call, now)
            self._finish(call, _CUT_BY_STOP if handed_on else PROXY_STOPPING, now)

    def give_back_quarantined(self, now: float) -> None:
        """End the calls of convicted requests that no back end has begun."""
        for call in self._calls.all():
            refusal = self._quarantine.refusal(call, now)
            if refusal is None:
                continue
            if call.phase is Phase.HANDED_ON and call.attempt is not None:
                self._attempts.cancel_unless_begun(call)
            elif call.phase in (Phase.DIALLING, Phase.CLAIMING):
                self._attempts.abandon(call, Verdict.NEUTRAL, now)
                self._finish(call, refusal, now)

    # --- events of the agents' links ----------------------------------------------------------

    def link_opened(self, connection: ConnectionId, peer: Peer, now: float) -> None:
        """Send what waited for a link."""
        self._attempts.link_opened(connection, peer, now)

    def link_lost(self, connection: ConnectionId, reason: str, now: float) -> None:
        """End or move the attempts of a link that failed or closed."""
        for ended in self._attempts.link_lost(connection, reason, now):
            self._attempt_ended(ended, now)

    def received(self, connection: ConnectionId, message: Message, now: float) -> None:
        """Take a message of an agent."""
        ended = self._attempts.received(connection, message, now)
        if ended is not None:
            self._attempt_ended(ended, now)

    # --- events of the keepers' client --------------------------------------------------------

    def claim_granted(self, token: bytes, now: float) -> None:
        """Hand the call on: its claim is held by a majority of the keepers."""
        call = self._claims.waiting_for_claim(token)
        if call is None:
            self._claims.release(token, now)
            return
        refusal = self._quarantine.refusal(call, now)
        if refusal is not None:
            self._finish(call, refusal, now)
        else:
            self._attempt(call, now)

    def claim_answered(self, token: bytes, record: RecordedAnswer, now: float) -> None:
        """Answer a resend with what was recorded for the first sending."""
        call = self._claims.waiting_for_claim(token)
        if call is not None:
            self._end(call, claims.replayed_answer(record), now)

    def claim_refused(self, token: bytes, failure: Failure, now: float) -> None:
        """Answer a call whose claim was not granted; what a minority granted is given back."""
        call = self._claims.waiting_for_claim(token)
        if call is not None:
            self._claims.release(token, now)
            self._end(call, with_retry_after(failure), now)

    def completion_settled(self, token: bytes, recorded: bool, now: float) -> None:
        """Answer a call whose answer the keepers recorded, or could not."""
        call = self._claims.waiting_for_completion(token)
        if call is not None:
            self._answer_completed(call, recorded, now)

    # --- time ---------------------------------------------------------------------------------

    def next_deadline(self) -> float | None:
        """Return when :meth:`wake` is wanted (seconds)."""
        return self._calls.next_wake()

    def wake(self, now: float) -> None:
        """Look at the calls whose time has come."""
        while (call := self._calls.take_due(now)) is not None:
            if call.phase is Phase.COMPLETING:
                self._answer_completed(call, False, now)
            elif call.phase is Phase.CANCELLING:
                self._attempts.abandon(call, self._verdict_of_lateness(call), now)
                self._finish(call, _NO_ANSWER, now)
            elif now < call.deadline:
                self._dial_waited(call, now)
            else:
                self._deadline_passed(call, now)

    # --- steps --------------------------------------------------------------------------------

    def _attempt(self, call: Call, now: float) -> None:
        failure = self._attempts.start(call, now, self._quarantine.known_depth(call))
        if failure is not None:
            self._finish(call, failure, now)

    def _attempt_ended(self, ended: AttemptEnded, now: float) -> None:
        call, result = ended.call, ended.result
        if isinstance(result, CallAnswer):
            self._backend_answered(call, result, now)
            return
        if result.outcome is not Outcome.NOT_RUN or result.kind is ErrorKind.BACKEND_REFUSED:
            call.arrivals += 1
        if result.outcome is not Outcome.NOT_RUN and call.may_have_run is None:
            call.may_have_run = result
        if ended.crash and self._quarantine.record_crash(ended, now):
            self.give_back_quarantined(now)
        refusal = self._quarantine.refusal(call, now)
        if refusal is not None and result.outcome is Outcome.NOT_RUN:
            result = refusal
        goes_on = self._may_go_on(call, result, now)
        self._log.attempt_failed(call, result, goes_on, now)
        if goes_on:
            failure = self._attempts.start(call, now, self._quarantine.known_depth(call))
            if failure is None:
                return
        self._finish(call, result, now)

    def _may_go_on(self, call: Call, failure: Failure, now: float) -> bool:
        if self._gives_back or now >= call.deadline or failure.kind is ErrorKind.QUARANTINED:
            return False
        if failure.kind is ErrorKind.BACKEND_CRASHED and not self._quarantine.may_retry(call):
            return False
        step = next_step(call, failure, self._settings.retry)
        if step is NextStep.REDIRECT:
            call.redirects += 1
            return True
        if step is NextStep.GIVE_UP:
            return False
        if step is NextStep.TRY_ANOTHER_AGENT:
            call.further_choices += 1
            return True
        if step is NextStep.SECOND_CHOICE:
            call.further_choices += 1
            return self._second_choices.of(call.part.service, self._second_percent).try_take()
        return self._budgets.of(call.part.service, call.route.retry_budget_percent).try_take()

    def _backend_answered(self, call: Call, answer: CallAnswer, now: float) -> None:
        self._quarantine.record_answer(call, answer.status, now)
        if not call.route.at_most_once:
            self._end(call, answer, now)
            return
        self._calls.wake(call, now + self._settings.completion_wait)
        self._claims.complete(call, answer, now)

    def _answer_completed(self, call: Call, recorded: bool, now: float) -> None:
        assert call.answer is not None
        if not recorded:
            self._outputs.append(LogEvent(events.ANSWER_NOT_RECORDED, {"route": call.route.name}))
        self._end(call, call.answer, now)

    def _dial_waited(self, call: Call, now: float) -> None:
        self._attempts.abandon(call, Verdict.FAILED, now)
        failure = Failure(ErrorKind.CONNECTION_FAILED, "the agent's link did not come up in time")
        self._attempt_ended(AttemptEnded(call, failure), now)

    def _deadline_passed(self, call: Call, now: float) -> None:
        """Give a call up; one that was handed on may still turn out not to have begun."""
        if call.phase is Phase.HANDED_ON:
            self._attempts.request_cancel(call, self._verdict_of_lateness(call))
            call.phase = Phase.CANCELLING
            self._calls.wake(call, now + self._settings.cancel_wait)
            return
        self._attempts.abandon(call, Verdict.NEUTRAL, now)
        if call.may_have_run is not None:
            failure = _NO_ANSWER
        elif call.phase is Phase.CLAIMING:
            failure = Failure(ErrorKind.KEEPERS_UNAVAILABLE, "no claim within the deadline")
        else:
            failure = Failure(ErrorKind.DEADLINE_TOO_SHORT, "deadline passed before hand-on")
        self._finish(call, failure, now)

    def _verdict_of_lateness(self, call: Call) -> Verdict:
        """A deadline that the caller cut short says nothing about the endpoint."""
        longest = call.route.timeout or self._settings.admission.default_timeout
        cut_short = call_timeout(call.request, call.route, self._settings.admission) < longest
        return Verdict.NEUTRAL if cut_short else Verdict.FAILED

    def _finish(self, call: Call, failure: Failure, now: float) -> None:
        """End a call with a failure, and its claim."""
        failure = final_failure(call, failure)
        self._claims.end_failed(call, failure, now)
        self._end(call, failure, now)

    def _end(self, call: Call, answer: CallAnswer | Failure, now: float) -> None:
        self._log.ended(call, answer, now)
        self._calls.remove(call)
        self._quarantine.release_trial(call)
        self._limits.release(call.share)
        if call.tenant and isinstance(answer, Failure) and answer.outcome is Outcome.NOT_RUN:
            self._tenant_limits.refund(call.tenant, call.arrived_at, now)
        if not call.caller_gone:
            seconds = now - call.arrived_at
            self._outputs.append(AnswerCall(call.number, answer, call.route.name, seconds))
