"""Queues calls from proxies, runs them at the back end and answers each exactly once.

Free slots are assigned by weighted fair queueing. A failure with outcome NOT RUN is sent only for
an attempt that was never sent to the back end, and an attempt identifier is sent there at most
once. A cancelled call is answered too, so that the proxy learns whether it had been started.

Request bodies are flow-controlled: a proxy sends no more than ``CallCredit`` allows, and nothing
until the queue can admit the call; see ``body_credit``. For long responses see ``response_sender``.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence

from msgspec import Struct
from msgspec.structs import replace

from limelever.agent import call_messages, events, failures
from limelever.agent.backend_monitor import BackendMonitor, CheckOutcome
from limelever.agent.call_messages import NO_CRASH
from limelever.agent.call_receiver import BodyLimits, CallReceiver, Rejection
from limelever.agent.call_reporter import CallReporter, crash_event
from limelever.agent.calls import Call, CallStage, CallTable, OrphanedCalls
from limelever.agent.crash_detector import HeldCall
from limelever.agent.fair_queue import Eviction, FairQueue, QueueLimits
from limelever.agent.instance_limit import BY_HEALTH_RESPONSE, BY_RESPONSE, InstanceLimit
from limelever.agent.instance_load import InstanceLoad
from limelever.agent.instance_signals import InstanceSignals
from limelever.agent.interface import (
    AttemptAnswered,
    AttemptFailed,
    BackendChecked,
    CallsLimited,
    CancelAttempt,
    ConnectResult,
    RequestBodySent,
)
from limelever.agent.response_pacer import NO_LINK_CAPACITY, CallTiming, ResponsePacer
from limelever.agent.response_sender import ResponseSender
from limelever.agent.start_limiter import StartLimits
from limelever.agent.version_outcomes import VersionOutcomeCounter
from limelever.agent.warm_up import WarmUp
from limelever.common.byte_budget import ByteBudget
from limelever.common.deadlines import earliest
from limelever.common.decision_log import DecisionLogSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import ConnectionId, LogEvent, Output, SendMessage
from limelever.common.stop_rule import StopBegan, StopRule
from limelever.protocol.calls_pb2 import CallBody, CallCancel, CallCredit, CallStart
from limelever.protocol.endpoint_hash import LARGEST_LOAD

_SHED_STATUS = 503
_FIRST_SERVER_ERROR_STATUS = 500


class CallLimits(Struct, frozen=True):
    """Limits of the call service.

    ``assembling_bytes`` bounds the total size of incomplete request bodies. ``link_rate`` is the
    capacity of the machine's network link in each direction, in bytes per second; 0 if unknown.
    ``counts_former_calls`` is set if the instance states its load: calls of a former agent then
    count as taken slots, see ``instance_load``.
    With ``held`` no call is started before the first configuration, which states the limit on the
    calls to a warming back end.
    """

    queue: QueueLimits = QueueLimits()
    max_body_bytes: int = 4 * 1024 * 1024
    assembling_bytes: int = 8 * 1024 * 1024
    link_rate: int = 0
    counts_former_calls: bool = False
    log: DecisionLogSettings = DecisionLogSettings()
    starts: StartLimits = StartLimits()
    held: bool = False


class CallService:
    """Handles the calls of all proxies to one incarnation of an instance; sans-I/O component."""

    def __init__(
        self,
        service: str,
        incarnation: int,
        limits: CallLimits,
        generator: random.Random,
        versions: VersionOutcomeCounter | None = None,
        budget: ByteBudget | None = None,
    ) -> None:
        self._limits = limits
        budget = budget or ByteBudget()
        self._calls = CallTable(budget)
        bodies = BodyLimits(limits.max_body_bytes, limits.assembling_bytes, limits.link_rate)
        self._receiver = CallReceiver(service, incarnation, bodies, self._calls, budget)
        self.warm_up = WarmUp(limits.starts, held=limits.held)
        self._queue = FairQueue(limits.queue, self.warm_up.limiter)
        self._pacer = ResponsePacer(limits.link_rate)
        self._responses = ResponseSender(self._pacer, budget=budget)
        self.backend = BackendMonitor(generator)
        self._starts_until = math.inf
        self._stop_rule = StopRule()
        self._instance = InstanceLoad(
            limits.queue.slots, counts_former_calls=limits.counts_former_calls
        )
        self.instance_limit = InstanceLimit()
        self.versions = versions or VersionOutcomeCounter(service, "", "")
        self._reporter = CallReporter(
            self._queue, limits.queue.slots, limits.log, self.warm_up, self.instance_limit
        )

    @property
    def draining(self) -> bool:
        """Return whether the instance is draining and refuses new calls."""
        return self._reporter.draining

    def drain_began(self, now: float, starts_until: float) -> None:
        """Refuse new calls from now on, and start queued ones until ``starts_until`` only."""
        self._reporter.drain_began(now)
        self._starts_until = starts_until

    def stop_began(self, stop: StopBegan) -> None:
        """Refuse new calls that may outlast the stop of the process."""
        self._stop_rule.begin(stop)

    @property
    def leaving(self) -> bool:
        """Return whether the instance has stated that it is leaving."""
        return self._reporter.leaving

    @property
    def zone_drained(self) -> bool:
        """Return whether the instance's zone is drained and new calls are refused."""
        return self._reporter.zone_drained

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return self._queue.running

    @property
    def waiting(self) -> int:
        """Return the number of accepted calls that have not been started."""
        return self._queue.queued + self._receiver.count

    @property
    def advertised_load(self) -> int:
        """Return the number of calls to report to proxies for load balancing.

        An unresponsive back end has the largest load. A load of up to half of the slots is reported
        as 0: small differences hardly affect the choice of an endpoint, and each report has a cost.
        """
        if self.backend.silent:
            return LARGEST_LOAD
        load = self.running + self.waiting
        return load if load > self._limits.queue.slots // 2 else 0

    def pace(self, now: float) -> int:
        """Return the back end's current service time in thousandths of the usual; 0 if unknown."""
        return self._reporter.pace.current(now)

    @property
    def unfinished(self) -> int:
        """Return the number of running attempts and of responses not yet sent completely."""
        return self._queue.running + self._responses.count

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Set the fair-queueing weights of the groups."""
        self._queue.set_weights(weights)

    def set_tenant_rates(self, rates: Mapping[str, float]) -> None:
        """Set the tenants' rates in calls per second."""
        self._queue.set_tenant_rates(rates)

    def set_max_body(self, service_limit: int) -> None:
        """Set the service's request body limit in bytes; 0 applies the limit of the process."""
        self._receiver.set_max_body(service_limit)

    def agent_started(self, now: float) -> None:
        """Record the start of the agent."""
        self._instance.agent_started(now)

    # --- from proxies -----------------------------------------------------------------------

    def start(
        self, connection: ConnectionId, peer: str, start: CallStart, now: float
    ) -> list[Output]:
        """Accept or refuse a call."""
        self._reporter.now = now
        self._reporter.limit_shares.call_received(connection, now)
        learned = self.instance_limit.learn_from_proxy(start.known_limit, peer, now)
        refused = self._apply_limit(now) if learned else []
        return [*refused, *self._accept(connection, peer, start, now)]

    def _accept(
        self, connection: ConnectionId, peer: str, start: CallStart, now: float
    ) -> list[Output]:
        call = self._receiver.accept(connection, peer, start, now, self.draining)
        if isinstance(call, Rejection):
            logs: list[Output] = [call.log] if call.log is not None else []
            if call.failure is None:
                return logs
            return [*self._reporter.call_failed(connection, start, call.failure), *logs]
        if self.zone_drained:
            return self._refuse(call, failures.ZONE_DRAINED)
        if self.backend.silent:
            return self._refuse(call, failures.BACKEND_UNRESPONSIVE)
        if self._outlasts_stop(call, now):
            return self._refuse(call, failures.STOPS_BEFORE_DEADLINE)
        link_failure = self._check_response_link(call, now)
        if link_failure is not None:
            return self._refuse(call, link_failure)
        self._pacer.reserve(call.number, start.group)
        if start.end:
            return self._admit(call, now)
        failure = self._receiver.check_body(call)
        if failure is None and start.awaits_credit:
            body_time = self._receiver.transfer_time(start)
            failure = self._queue.check(call.queue_entry(now), now, body_time)
        failure = failure or self._receiver.request_body(call, now)
        return [] if failure is None else self._refuse(call, failure)

    def body(self, connection: ConnectionId, message: CallBody, now: float) -> list[Output]:
        """Append a chunk of a request body; ignore chunks of calls that have ended already."""
        call = self._calls.by_stream(connection, message.stream)
        if call is None or not self._receiver.is_assembling(call):
            return []
        failure = self._receiver.add(call, message, now)
        if failure is not None:
            return self._refuse(call, failure)
        return self._admit(call, now) if message.end else []

    def grant_body_credit(self, now: float) -> list[Output]:
        """Grant proxies credit for the next chunks of the requested bodies."""
        outputs: list[Output] = []
        for grant in self._receiver.grants(now):
            call = self._calls.by_number(grant.call)
            assert call is not None
            credit = CallCredit(stream=call.start.stream, bytes=grant.size)
            outputs.append(SendMessage(call.connection, credit))
        return outputs

    def send_paced_responses(self, now: float) -> list[Output]:
        """Send the chunks of long responses that the link has capacity for."""
        return self._responses.send_paced(now) if self._responses.count else []

    def credit(self, connection: ConnectionId, message: CallCredit) -> list[Output]:
        """Send more of a long response within the credit of its proxy."""
        return self._responses.add_credit(connection, message.stream, message.bytes)

    def cancel(self, connection: ConnectionId, message: CallCancel) -> list[Output]:
        """Cancel a call and tell its proxy whether it had been started.

        For a running call the proxy is told once the cancelled attempt has ended: only then is it
        known whether any byte of the request was sent to the back end.
        """
        call = self._calls.by_stream(connection, message.stream)
        started = call is None or call.stage is CallStage.RUNNING
        if started and message.unless_begun:
            return []
        if call is None:
            self._responses.drop(connection, message.stream)
            return []
        if call.stage is not CallStage.RUNNING:
            return self._refuse(
                call, self._with_retry_advice(failures.CANCELLED_BEFORE_START, call)
            )
        call.cancellation = failures.BY_PROXY
        return [CancelAttempt(call.number)]

    def proxy_disconnected(self, connection: ConnectionId, peer: str) -> list[Output]:
        """End the calls of a proxy whose connection closed.

        Waiting calls are dropped and repeatable ones cancelled; other running calls may finish.
        """
        dropped = left_running = 0
        outputs: list[Output] = []
        self._reporter.limit_shares.closed(connection)
        self._responses.drop_connection(connection)
        for call in self._calls.of_connection(connection):
            if call.stage is not CallStage.RUNNING:
                self._remove_waiting(call)
                dropped += 1
                continue
            self._calls.settle(call)
            if call.repeatable:
                outputs.append(CancelAttempt(call.number))
            else:
                left_running += 1
        orphaned = OrphanedCalls(dropped, len(outputs), left_running)
        return [*outputs, orphaned.log(peer)] if orphaned.any else []

    # --- from the back end ------------------------------------------------------------------

    def request_body_sent(self, event: RequestBodySent) -> None:
        """Release the body of a call that the back end has received."""
        call = self._calls.by_number(event.attempt)
        if call is not None:
            self._calls.release_body(call)

    def attempt_answered(self, event: AttemptAnswered, now: float) -> list[Output]:
        """Forward the back end's response; a 503 is excluded from the service time estimate."""
        call = self._calls.by_number(event.attempt)
        if call is None:
            return []
        self._stop_rule.record(call.start.group, now - call.arrived_at, now)
        self.backend.answered(call.number)
        self._instance.call_ended(call.number)
        lost = self._instance.response_received(event.requests, now)
        leaving = self._observe_signals(event.signals, call, now)
        ran, failed = now - call.started_at, event.status >= _FIRST_SERVER_ERROR_STATUS
        self.versions.record_call(call.start.group, ran, failed, now)
        self._queue.finish(call.number, now, representative=event.status != _SHED_STATUS)
        settled = call.settled
        self._reporter.now = now
        self._reporter.pace.observe(event.pace_permille, now)
        self._remove(call)
        if not failed:
            self._pacer.observe(call.start.group, len(event.body))
        load = self._reporter.agent_load(call.start.group)
        outputs = [] if settled else self._responses.send(call, event, load, now)
        outputs.extend(self._reporter.call_answered(call, event, now))
        return [*leaving, *outputs, *self._cancel_lost(lost, now), *self.start_waiting(now)]

    def attempt_failed(self, event: AttemptFailed, now: float) -> list[Output]:
        """Report a failed attempt to the proxy, with whether it may have run."""
        self._reporter.now = now
        call = self._calls.by_number(event.attempt)
        if call is None:
            return []
        if event.backend_at_fault:
            self.versions.record_call(call.start.group, now - call.started_at, True, now)
        self._instance.call_ended(call.number)
        signals = event.signals
        leaving = [] if signals is None else self._observe_signals(signals, call, now)
        unanswered = _is_unanswered(event, call)
        self._queue.finish(call.number, now, representative=False, unanswered=unanswered)
        failure = self._attempt_failure(event, call)
        if failure.kind is ErrorKind.BACKEND_REFUSED:
            advice = self._queue.retry_after_backend_refusal(call.start.group, now)
            failure = replace(failure, retry_after=advice)
        if event.unreachable:
            self.warm_up.unconfirm()
        if self.backend.failed(event, failure, call, now):
            return [*leaving, *self.start_waiting(now)]
        ended = self._finish_unanswered(call, failure)
        return [*leaving, *ended, *self.start_waiting(now)]

    def take_limit_outputs(self) -> list[Output]:
        """Return what is to be logged and measured of the limit that the instance states."""
        outputs = self.instance_limit.take_outputs()
        counts = self.warm_up.limiter.take_stated_counts()
        if counts is not None:
            outputs.append(CallsLimited(counts.delayed, counts.refused, by_statement=True))
        return outputs

    # --- time and drain ---------------------------------------------------------------------

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting call, a pending response or a check."""
        return earliest(
            self._receiver.next_deadline(),
            self._queue.next_deadline(),
            self._responses.next_deadline(),
            self.backend.next_deadline(),
            self._instance.next_deadline(),
        )

    def expire(self, now: float) -> list[Output]:
        """Refuse waiting calls and fail pending responses whose deadline has passed."""
        assembling = [call.number for call in self._receiver.expired(now)]
        outputs = self._refuse_late([*self._queue.pop_expired(now), *assembling])
        for call in self._receiver.starved(now):
            outputs.extend(self._refuse(call, failures.BUFFERS_FULL))
        if self._responses.count:
            outputs.extend(self._responses.expire(now, self._reporter.agent_load))
        return outputs

    def refuse_waiting(self, reason: Failure = failures.DRAINING) -> list[Output]:
        """Refuse every call that has not been started."""
        waiting = (*self._calls.in_stage(CallStage.QUEUED), *self._receiver.assembling)
        return [output for call in waiting for output in self._refuse(call, reason)]

    def refuse_outlasting(self, now: float) -> list[Output]:
        """Refuse the calls that have not been started and may outlast the stop of the process."""
        waiting = (*self._calls.in_stage(CallStage.QUEUED), *self._receiver.assembling)
        late = [call for call in waiting if self._outlasts_stop(call, now)]
        reason = failures.STOPS_BEFORE_DEADLINE
        return [output for call in late for output in self._refuse(call, reason)]

    def _outlasts_stop(self, call: Call, now: float) -> bool:
        return self._stop_rule.refuses(call.start.group, call.deadline, now)

    def zone_drain_began(self, now: float) -> list[Output]:
        """Refuse queued calls and from now on new ones; running calls finish.

        A call whose body is still on its way counts as queued.
        """
        self._reporter.now = now
        self._reporter.zone_drained = True
        return self.refuse_waiting(failures.ZONE_DRAINED)

    def zone_drain_ended(self, now: float) -> list[Output]:
        """Take calls again. The back end had none for a while, so that it may have turned cold."""
        self._reporter.now = now
        self._reporter.zone_drained = False
        self.warm_up.reset(now)
        return []

    def backend_checked(self, result: BackendChecked, now: float) -> list[Output]:
        """Process the result of a connection check.

        If the back end is unresponsive, waiting calls are refused and running repeatable calls are
        failed. Other running calls are kept until their deadline, as they may still be answered.
        """
        self._reporter.now = now
        outcome = self.backend.checked(result.result, self.running, now)
        if outcome.process_ended:
            self.warm_up.reset(now)
        elif result.result is ConnectResult.REFUSED:
            self.warm_up.unconfirm()
        outputs = self._report_crash(outcome) if outcome.crash else []
        outputs.extend(self.health_stated(result.signals, now))
        if result.requests is not None:
            lost = self._instance.health_response_received(result.requests, now)
            outputs.extend(self._cancel_lost(lost, now))
        for held in outcome.held:
            outputs.extend(self._finish_held(held, outcome.crash))
        if outcome.fell_silent:
            fields: dict[str, object] = {"running": self.running, "queued": self.waiting}
            outputs.append(LogEvent(events.BACKEND_SILENT, fields))
            return [
                *outputs,
                *self.refuse_waiting(failures.BACKEND_UNRESPONSIVE),
                *self._fail_repeatable(),
            ]
        if outcome.recovered:
            outputs.append(LogEvent(events.BACKEND_BACK))
        return outputs if self.backend.silent else [*outputs, *self.start_waiting(now)]

    def health_stated(self, signals: InstanceSignals, now: float) -> list[Output]:
        """Apply what a health response states of the instance."""
        changed = self.instance_limit.observe_health(signals, now)
        refused = self._apply_limit(now) if changed else []
        return [*self._note_leaving(signals, BY_HEALTH_RESPONSE, now), *refused]

    def release_bodies(self) -> None:
        """Release what the budget of the process holds for calls, as the agent ends."""
        self._calls.release_bodies()
        self._responses.drop_all()

    def cancel_running(self) -> list[Output]:
        """Cancel every running attempt because the agent stops."""
        outputs: list[Output] = []
        for call in self._calls.in_stage(CallStage.RUNNING):
            if not call.settled:
                outputs.extend(
                    self._reporter.call_failed(
                        call.connection, call.start, failures.DRAIN_LIMIT_REACHED
                    )
                )
                self._calls.settle(call)
            outputs.append(CancelAttempt(call.number))
        return outputs

    def start_waiting(self, now: float) -> list[Output]:
        """Start queued calls while slots are free.

        Expired calls are refused first, since the timer of a busy process may fire late.
        """
        self._reporter.now = now
        outputs = self.expire(now)
        outputs.extend(self.backend.take_check(now))
        if now >= self._starts_until:
            return [*outputs, *self.refuse_waiting()]
        self._queue.occupied = self._instance.occupied(now)
        outputs.extend(self._refuse_late(self._queue.pop_infeasible(now)))
        while not self.backend.undecided and (queued := self._queue.start_next(now)) is not None:
            call = self._calls.by_number(queued.number)
            assert call is not None
            call.started_at = now
            service_time = self._queue.service_time_of(queued.group)
            self.backend.started(call.number, service_time, now)
            self._instance.call_started(call.number, service_time, now)
            outputs.append(call.start_attempt(now))
            outputs.extend(self._refuse_late(self._queue.pop_infeasible(now)))
        return outputs

    def _report_crash(self, outcome: CheckOutcome) -> list[Output]:
        """Log the requests that ran when the back end process exited, and refuse waiting calls."""
        log = crash_event(outcome.crash, outcome.suspects, self.waiting)
        return [log, *self.refuse_waiting(failures.BACKEND_UNRESPONSIVE)]

    def _finish_held(self, held: HeldCall, crash: int) -> list[Output]:
        call = self._calls.by_number(held.call)
        failure = failures.BACKEND_CRASHED if crash else held.failure
        return [] if call is None else self._finish_unanswered(call, failure, crash)

    def _finish_unanswered(
        self, call: Call, failure: Failure, crash: int = NO_CRASH
    ) -> list[Output]:
        """Remove a call without a response, and tell its proxy unless it was told already."""
        settled = call.settled
        self._remove(call)
        return (
            []
            if settled
            else self._reporter.call_failed(call.connection, call.start, failure, crash)
        )

    def _fail_repeatable(self) -> list[Output]:
        outputs: list[Output] = []
        for call in self._calls.in_stage(CallStage.RUNNING):
            if call.repeatable and not call.settled:
                call.cancellation = failures.BY_UNRESPONSIVENESS
                outputs.append(CancelAttempt(call.number))
        return outputs

    def _cancel_lost(self, numbers: Sequence[int], now: float) -> list[Output]:
        """Cancel calls on connections that no longer respond, which closes these connections."""
        outputs: list[Output] = []
        for number in numbers:
            call = self._calls.by_number(number)
            if call is None or call.cancellation is not None:
                continue
            call.cancellation = failures.BY_LOST_CONNECTION
            fields: dict[str, object] = {
                "seconds": round(now - call.started_at, 3),
                "running": self.running,
            }
            cancel = CancelAttempt(number, connection_lost=True)
            outputs.extend([LogEvent(events.CONNECTION_LOST, fields), cancel])
        return outputs

    def _attempt_failure(self, event: AttemptFailed, call: Call) -> Failure:
        """Return what to tell the proxy about a failed attempt."""
        if call.cancellation is None or event.failure.kind is not ErrorKind.CANCELLED:
            return call_messages.attempt_failure(event)
        if event.sent_any_byte:
            return call.cancellation.if_sent
        return self._with_retry_advice(call.cancellation.if_unsent, call)

    def _observe_signals(self, signals: InstanceSignals, call: Call, now: float) -> list[Output]:
        changed = self.instance_limit.observe_response(signals, call.started_at, now)
        refused = self._apply_limit(now) if changed else []
        return [*self._note_leaving(signals, BY_RESPONSE, now), *refused]

    def _apply_limit(self, now: float) -> list[Output]:
        """Enforce a changed limit, and refuse the queued calls that it keeps from starting."""
        self.warm_up.limiter.set_stated(self.instance_limit.calls_per_s, now)
        outputs: list[Output] = []
        for number in self._queue.pop_unstartable(now):
            call = self._calls.by_number(number)
            assert call is not None
            failure = self._with_retry_advice(failures.LIMIT_EXCEEDED, call)
            outputs.extend(self._refuse(call, failure))
        return outputs

    def _note_leaving(self, signals: InstanceSignals, source: str, now: float) -> list[Output]:
        return self.run_departed(source, now) if signals.leaving else []

    def run_departed(self, source: str, now: float) -> list[Output]:
        """Refuse new calls for good, since the run of the instance has left."""
        if self.leaving:
            return []
        self._reporter.leaving = True
        self._reporter.drain_began(now)
        fields: dict[str, object] = {
            "running": self.running,
            "queued": self.waiting,
            "source": source,
        }
        return [LogEvent(events.INSTANCE_LEAVING, fields)]

    # --- helpers ----------------------------------------------------------------------------

    def _refuse_late(self, numbers: Sequence[int]) -> list[Output]:
        outputs: list[Output] = []
        for number in numbers:
            call = self._calls.by_number(number)
            assert call is not None
            outputs.extend(
                self._refuse(call, self._with_retry_advice(failures.CANNOT_MEET_DEADLINE, call))
            )
        return outputs

    def _with_retry_advice(self, failure: Failure, call: Call) -> Failure:
        return replace(
            failure, retry_after=self._queue.retry_after(call.start.group, self._reporter.now)
        )

    def _admit(self, call: Call, now: float) -> list[Output]:
        self._receiver.release(call)
        already_checked = call.start.awaits_credit
        admitted = self._queue.offer(call.queue_entry(now), now, prechecked=already_checked)
        if isinstance(admitted, Failure):
            self._remove(call)
            return self._reporter.call_failed(call.connection, call.start, admitted)
        call.stage = CallStage.QUEUED
        return [*self._refuse_evicted(admitted), *self.start_waiting(now)]

    def _refuse_evicted(self, evictions: tuple[Eviction, ...]) -> list[Output]:
        outputs: list[Output] = []
        for eviction in evictions:
            call = self._calls.by_number(eviction.call)
            if call is not None:
                outputs.extend(self._refuse(call, eviction.failure))
        return outputs

    def _refuse(self, call: Call, failure: Failure) -> list[Output]:
        self._remove_waiting(call)
        return self._reporter.call_failed(call.connection, call.start, failure)

    def _remove_waiting(self, call: Call) -> None:
        self._receiver.release(call)
        self._queue.remove(call.number)
        self._remove(call)

    def _remove(self, call: Call) -> None:
        self._pacer.release(call.number)
        self._calls.remove(call)

    def _check_response_link(self, call: Call, now: float) -> Failure | None:
        """Return a failure if the response could not be sent over the link in time."""
        group = call.start.group
        service_time = self._queue.service_time_of(group)
        times = CallTiming(call.target, call.deadline, service_time)
        late = self._pacer.lateness(group, times, now)
        if not late:
            return None
        return Failure(ErrorKind.DEADLINE_TOO_SHORT, NO_LINK_CAPACITY, retry_after=late)


def _is_unanswered(event: AttemptFailed, call: Call) -> bool:
    """Return whether an attempt ended before a response that the back end might still have sent."""
    if not event.sent_any_byte or call.cancellation is failures.BY_UNRESPONSIVENESS:
        return False
    return event.failure.kind in (ErrorKind.CANCELLED, ErrorKind.DEADLINE_EXCEEDED)
