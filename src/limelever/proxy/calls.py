"""The state machine that takes each call from its arrival to its single final answer.

admission -> claim (at-most-once routes only) -> attempt, with retries -> completion of the claim
-> answer. Only the proxy retries; agents never do.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from google.protobuf.message import Message
from msgspec import Struct, field

from limelever.common.decision_log import DecisionLogSettings
from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.common.sansio import ConnectionId, LogEvent, Output, Peer
from limelever.common.stop_rule import StopBegan, StopRule
from limelever.protocol.keeper_pb2 import RecordedAnswer
from limelever.proxy import claims, events
from limelever.proxy.admission import (
    PROXY_STOPPING,
    AdmissionSettings,
    CallAdmission,
    call_timeout,
)
from limelever.proxy.attempts import AttemptDispatcher
from limelever.proxy.call_log import CallLog, open_calls_event
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

_STOPPED_BEFORE_ANSWER = Failure(
    ErrorKind.OUTCOME_UNKNOWN, "proxy stopped before the answer arrived"
)
_DEADLINE_EXCEEDED = Failure(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline")
_NOT_SENT_IN_TIME = Failure(
    ErrorKind.DEADLINE_TOO_SHORT, "deadline passed before the call was sent completely to an agent"
)
_LINK_SILENT = Failure(ErrorKind.CONNECTION_LOST, "the link to the agent is silent")
_SENT_PHASES = frozenset({Phase.HANDED_ON, Phase.CANCELLING, Phase.COMPLETING})


class CallSettings(Struct, frozen=True):
    """Settings of the request path, in seconds.

    ``completion_wait`` bounds the recording of an answer by the keepers. ``cancel_wait`` is how
    long after its deadline a call waits for the agent to report whether execution had started.
    """

    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    retry: RetrySettings = field(default_factory=RetrySettings)
    completion_wait: float = 1.0
    cancel_wait: float = 0.1
    log: DecisionLogSettings = field(default_factory=DecisionLogSettings)


class CallEngine:
    """Runs the calls in flight; appends the actions to perform to ``outputs``."""

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
        self._stop_rule = StopRule()
        self._admission = CallAdmission(
            settings.admission, limits, tenant_limits, random_source, self._stop_rule
        )
        self._claims = claims.CallClaims(keepers, calls, random_source, outputs)
        self._quarantine = quarantine
        self._outputs = outputs
        self._retry_budgets = RetryBudgets(settings.retry.fleet_saved_retries)
        self._second_choice_percent = settings.retry.second_choice_percent
        self._second_choice_budgets = RetryBudgets()
        self._attempts_stopped = False
        self._log = CallLog(settings.log, outputs)
        attempts.log = self._log

    @property
    def in_flight(self) -> int:
        """The number of calls without a final answer."""
        return len(self._calls)

    def set_table(self, table: RouteTable) -> None:
        """Route new calls by ``table``; calls in flight keep their route."""
        self._admission.set_table(table)
        self._attempts.set_reserved_headers(
            table.secret_names, callers_send_keys=bool(table.tenants)
        )
        self._retry_budgets.keep_only(table.services())
        self._second_choice_budgets.keep_only(table.services())
        self._attempts.keep_only(table.route_names())

    def table_confirmed(self, at: float) -> None:
        """Record when the table was last confirmed current (seconds, monotonic)."""
        self._admission.table_confirmed(at)

    def set_node_count(self, nodes: int) -> None:
        """Set the number of nodes whose proxies share the retry budget of each service."""
        self._retry_budgets.set_node_count(nodes)

    # --- events from callers -------------------------------------------------------------------

    def call_arrived(self, number: int, request: CallRequest, now: float) -> None:
        """Admit a call and start it, or reject it immediately."""
        admission = self._admission
        admitted = admission.admit(number, request, now)
        if isinstance(admitted, Failure):
            refusal = with_retry_after(admitted)
            self._log.not_admitted(request, refusal, admission.version, admission.confirmed_at, now)
            self._outputs.append(AnswerCall(number, refusal))
            return
        self._calls.add(admitted)
        quarantined = self._quarantine.refusal(admitted, now)
        if quarantined is not None:
            self._end(admitted, quarantined, now)
            return
        route = admitted.route
        self._retry_budgets.of(
            admitted.destination.service, route.retry_budget_percent
        ).record_first_attempt()
        if self._second_choice_percent:
            self._second_choice_budgets.of(
                admitted.destination.service, self._second_choice_percent
            ).record_first_attempt()
        if route.at_most_once:
            self._claims.begin(admitted, now)
        else:
            self._start_attempt(admitted, now)

    def caller_gone(self, number: int, now: float) -> None:
        """Cancel a call whose caller disconnected, unless it is non-repeatable and already sent.

        A non-repeatable call that was sent to an agent runs on, so that its answer is recorded for
        the caller's resend. If it is still queued at the agent, it is cancelled and its claim is
        released.
        """
        call = self._calls.by_number(number)
        if call is None:
            return
        call.caller_gone = True
        self._log.caller_gone(call, now)
        if not call.route.repeatable and call.phase in _SENT_PHASES:
            if call.phase is Phase.HANDED_ON:
                self._attempts.cancel_unless_begun(call)
            return
        self._attempts.abandon(call, Verdict.NEUTRAL, now)
        self._fail(call, Failure(ErrorKind.DEADLINE_TOO_SHORT, "caller disconnected"), now)

    def stop_began(self, stop: StopBegan) -> None:
        """Refuse new calls that may outlast the stop."""
        self._stop_rule.begin(stop)

    def cancel_queued_calls(self, now: float) -> None:
        """Answer the calls that no back end has started, and start no further attempts.

        Calls already sent to an agent are cancelled only if they are still queued there; calls that
        a back end has started keep their remaining time.
        """
        self._attempts_stopped = True
        self._admission.stop()
        open_calls = self._calls.all()
        if open_calls:
            self._outputs.append(open_calls_event(open_calls, now))
        for call in open_calls:
            if call.phase is Phase.HANDED_ON:
                self._attempts.cancel_unless_begun(call)
            elif call.phase in (Phase.DIALLING, Phase.CLAIMING):
                self._attempts.abandon(call, Verdict.NEUTRAL, now)
                self._fail(call, PROXY_STOPPING, now)

    def end_open_calls(self, now: float) -> None:
        """Give each open call its final answer because the process is about to exit.

        Without it, the caller could not tell whether its call ran. The outcome of a call that was
        sent completely to an agent is unknown. The agent sees the link close and lets
        non-repeatable calls finish.
        """
        for call in self._calls.all():
            if call.phase is Phase.COMPLETING:
                self._completion_ended(call, False, now)
                continue
            sent = call.is_sent_completely
            self._attempts.abandon_without_cancel(call, now)
            self._fail(call, _STOPPED_BEFORE_ANSWER if sent else PROXY_STOPPING, now)

    def cancel_quarantined_calls(self, now: float) -> None:
        """End the calls of quarantined requests that no back end has started."""
        for call in self._calls.all():
            refusal = self._quarantine.refusal(call, now)
            if refusal is None:
                continue
            if call.phase is Phase.HANDED_ON and call.attempt is not None:
                self._attempts.cancel_unless_begun(call)
            elif call.phase in (Phase.DIALLING, Phase.CLAIMING):
                self._attempts.abandon(call, Verdict.NEUTRAL, now)
                self._fail(call, refusal, now)

    def leave_drained_zones(self, now: float) -> None:
        """Send the calls that wait for a link into a drained zone to another endpoint."""
        for call in self._calls.all():
            ended = self._attempts.leave_drained_zone(call, now)
            if ended is not None:
                self._attempt_ended(ended, now)

    # --- events from links to agents ----------------------------------------------------------

    def link_opened(self, connection: ConnectionId, peer: Peer, now: float) -> None:
        """Send the calls that were waiting for this link."""
        self._attempts.link_opened(connection, peer, now)

    def link_lost(
        self, connection: ConnectionId, reason: str, now: float, unsent: Sequence[Message] = ()
    ) -> None:
        """End or retry the attempts on a link that failed or closed before ``unsent`` was sent."""
        for ended in self._attempts.link_lost(connection, reason, now, unsent):
            self._attempt_ended(ended, now)

    def link_suspect(self, connection: ConnectionId, now: float) -> None:
        """Try the repeatable calls of a suspect link elsewhere, as far as the budget allows.

        The others wait until the link answers or ends: they may be running.
        """
        for call in self._calls.on_connection(connection):
            if call.phase is not Phase.HANDED_ON or not call.route.repeatable:
                continue
            if not self._attempts.has_responsive_alternative(call, now):
                continue
            if self._may_retry(call, _LINK_SILENT, now):
                self._attempts.abandon(call, Verdict.NEUTRAL, now)
                _record_outcome(call, _LINK_SILENT)
                self._log.attempt_failed(call, _LINK_SILENT, True, now)
                self._retry(call, _LINK_SILENT, now)

    def message_received(self, connection: ConnectionId, message: Message, now: float) -> None:
        """Process a message from an agent."""
        ended = self._attempts.received(connection, message, now)
        if ended is not None:
            self._attempt_ended(ended, now)

    # --- events from the keeper client --------------------------------------------------------

    def claim_granted(self, token: bytes, now: float) -> None:
        """Start the call's first attempt: a majority of the keepers granted its claim."""
        call = self._claims.waiting_for_claim(token)
        if call is None:
            self._claims.release(token, now)
            return
        refusal = self._quarantine.refusal(call, now)
        if refusal is not None:
            self._fail(call, refusal, now)
        else:
            self._start_attempt(call, now)

    def claim_replayed(self, token: bytes, record: RecordedAnswer, now: float) -> None:
        """Answer a resent call with the answer recorded for the original."""
        call = self._claims.waiting_for_claim(token)
        if call is not None:
            self._end(call, claims.replayed_answer(record), now)

    def claim_refused(self, token: bytes, failure: Failure, now: float) -> None:
        """Answer a call whose claim was refused; release what a minority of keepers granted."""
        call = self._claims.waiting_for_claim(token)
        if call is not None:
            self._claims.release(token, now)
            self._end(call, with_retry_after(failure), now)

    def completion_settled(self, token: bytes, recorded: bool, now: float) -> None:
        """Answer the caller once its answer was recorded, or recording failed."""
        call = self._claims.waiting_for_completion(token)
        if call is not None:
            self._completion_ended(call, recorded, now)

    # --- time ---------------------------------------------------------------------------------

    def next_deadline(self) -> float | None:
        """Return when :meth:`wake` must be called next (seconds), or ``None``."""
        return self._calls.next_wakeup()

    def wake(self, now: float) -> None:
        """Process the calls whose wakeup time has passed."""
        while (call := self._calls.take_due(now)) is not None:
            if call.phase is Phase.COMPLETING:
                self._completion_ended(call, False, now)
            elif call.phase is Phase.CANCELLING:
                self._attempts.abandon(call, self._timeout_verdict(call), now)
                self._fail(call, _DEADLINE_EXCEEDED, now)
            elif now < call.deadline:
                self._dial_timed_out(call, now)
            else:
                self._deadline_passed(call, now)

    # --- steps --------------------------------------------------------------------------------

    def _start_attempt(self, call: Call, now: float) -> None:
        failure = self._attempts.start(call, now, self._quarantine.known_depth(call))
        if failure is not None:
            self._fail(call, failure, now)

    def _attempt_ended(self, ended: AttemptEnded, now: float) -> None:
        call, result = ended.call, ended.result
        if isinstance(result, CallAnswer):
            self._backend_answered(call, result, now)
            return
        _record_outcome(call, result)
        if ended.crash and self._quarantine.record_crash(ended, now):
            self.cancel_quarantined_calls(now)
        refusal = self._quarantine.refusal(call, now)
        if refusal is not None and result.outcome is Outcome.NOT_RUN:
            result = refusal
        retrying = self._may_retry(call, result, now)
        self._log.attempt_failed(call, result, retrying, now)
        if retrying:
            self._retry(call, result, now)
        else:
            self._fail(call, result, now)

    def _retry(self, call: Call, failure: Failure, now: float) -> None:
        """Start another attempt, or end the call with ``failure`` if no endpoint is left."""
        if self._attempts.start(call, now, self._quarantine.known_depth(call)) is not None:
            self._fail(call, failure, now)

    def _may_retry(self, call: Call, failure: Failure, now: float) -> bool:
        if self._attempts_stopped or now >= call.deadline or failure.kind is ErrorKind.QUARANTINED:
            return False
        if failure.kind is ErrorKind.BACKEND_CRASHED and not self._quarantine.may_retry(call):
            return False
        if failure.kind is ErrorKind.INSTANCE_LIMITED and not self._attempts.has_room(call, now):
            return False
        step = next_step(call, failure, self._settings.retry)
        if step is NextStep.REDIRECT:
            call.redirects += 1
            return True
        if step is NextStep.GIVE_UP:
            return False
        if step is NextStep.TRY_ANOTHER_AGENT:
            call.alternates_tried += 1
            return True
        if step is NextStep.SECOND_CHOICE:
            call.alternates_tried += 1
            return self._second_choice_budgets.of(
                call.destination.service, self._second_choice_percent
            ).try_take()
        return self._retry_budgets.of(
            call.destination.service, call.route.retry_budget_percent
        ).try_take()

    def _backend_answered(self, call: Call, answer: CallAnswer, now: float) -> None:
        self._quarantine.record_answer(call, answer.status, now)
        if not call.route.at_most_once:
            self._end(call, answer, now)
            return
        self._calls.schedule(call, now + self._settings.completion_wait)
        self._claims.complete(call, answer, now)

    def _completion_ended(self, call: Call, recorded: bool, now: float) -> None:
        assert call.answer is not None
        if not recorded:
            self._outputs.append(LogEvent(events.ANSWER_NOT_RECORDED, {"route": call.route.name}))
        self._end(call, call.answer, now)

    def _dial_timed_out(self, call: Call, now: float) -> None:
        self._attempts.abandon(call, Verdict.FAILED, now)
        failure = Failure(
            ErrorKind.CONNECTION_FAILED, "connection to the agent was not established in time"
        )
        self._attempt_ended(AttemptEnded(call, failure), now)

    def _deadline_passed(self, call: Call, now: float) -> None:
        """End a call at its deadline; first ask the agent whether a sent call had started.

        A call whose body is still waiting for credit cannot have started.
        """
        if call.phase is Phase.HANDED_ON and call.is_sent_completely:
            self._attempts.request_cancel(call, self._timeout_verdict(call))
            call.phase = Phase.CANCELLING
            self._calls.schedule(call, now + self._settings.cancel_wait)
            return
        self._attempts.abandon(call, Verdict.NEUTRAL, now)
        if call.may_have_run is not None:
            failure = _DEADLINE_EXCEEDED
        elif call.phase is Phase.CLAIMING:
            failure = Failure(ErrorKind.KEEPERS_UNAVAILABLE, "no claim granted within the deadline")
        else:
            failure = _NOT_SENT_IN_TIME
        self._fail(call, failure, now)

    def _timeout_verdict(self, call: Call) -> Verdict:
        """Return ``FAILED``, or ``NEUTRAL`` if the caller shortened the route's timeout."""
        full_timeout = call.route.timeout or self._settings.admission.default_timeout
        shortened = call_timeout(call.request, call.route, self._settings.admission) < full_timeout
        return Verdict.NEUTRAL if shortened else Verdict.FAILED

    def _fail(self, call: Call, failure: Failure, now: float) -> None:
        """End a call and its claim with a failure."""
        failure = final_failure(call, failure)
        self._claims.end_failed(call, failure, now)
        self._end(call, failure, now)

    def _end(self, call: Call, answer: CallAnswer | Failure, now: float) -> None:
        self._log.ended(call, answer, now)
        if not isinstance(answer, Failure) or answer.outcome is not Outcome.NOT_RUN:
            self._stop_rule.record(call.route.name, now - call.arrived_at, now)
        self._calls.remove(call)
        self._quarantine.release_trial(call)
        self._limits.release(call.share)
        if call.tenant and isinstance(answer, Failure) and answer.outcome is Outcome.NOT_RUN:
            self._tenant_limits.refund(call.tenant, call.arrived_at, now)
        if not call.caller_gone:
            seconds = now - call.arrived_at
            self._outputs.append(
                AnswerCall(call.number, answer, call.route.name, seconds, call.place)
            )


def _record_outcome(call: Call, failure: Failure) -> None:
    """Record what the failure of an attempt tells about whether the call has run."""
    if failure.outcome is not Outcome.NOT_RUN or failure.kind is ErrorKind.BACKEND_REFUSED:
        call.backend_attempts += 1
    if failure.outcome is not Outcome.NOT_RUN and call.may_have_run is None:
        call.may_have_run = failure
