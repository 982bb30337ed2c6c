"""Takes calls from proxies, gives them slots by fair shares and answers each exactly once.

A refusal that says NOT RUN is only ever sent for a call whose attempt was not handed to the
back end, and an attempt identifier that was seen before is never handed over again. A call that
its proxy cancels is answered as well: the proxy learns whether it had begun.

Bodies in parts: a proxy sends of a body what ``CallCredit`` asks for, and nothing before the queue
has room for its call; see ``body_credit``. Long answers go the other way, see ``response_sender``.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

from msgspec import Struct
from msgspec.structs import replace

from limelever.agent import answers, events, failures
from limelever.agent.answers import NO_CRASH
from limelever.agent.backend_monitor import BackendMonitor, CheckOutcome
from limelever.agent.call_receiver import BodyLimits, CallReceiver, Rejection
from limelever.agent.calls import Call, CallStage, CallTable, Orphaned
from limelever.agent.crash_watch import HeldCall
from limelever.agent.fair_queue import Eviction, FairQueue, QueueLimits
from limelever.agent.interface import (
    AttemptAnswered,
    AttemptFailed,
    BackendReach,
    CancelAttempt,
)
from limelever.agent.replies import Replies, crash_log
from limelever.agent.response_pacer import NO_LINK_CAPACITY, CallTiming, ResponsePacer
from limelever.agent.response_sender import ResponseSender
from limelever.agent.version_tally import VersionCount
from limelever.common.deadlines import earliest
from limelever.common.decision_log import DecisionLogSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import ConnectionId, LogEvent, Output, SendMessage
from limelever.protocol.calls_pb2 import CallBody, CallCancel, CallCredit, CallStart
from limelever.protocol.endpoint_hash import LARGEST_LOAD

_SHED_STATUS = 503
_FIRST_FAILED_STATUS = 500


class CallLimits(Struct, frozen=True):
    """Bounds of the call service; ``assembling_bytes`` is of bodies not yet whole.

    ``link_rate`` is what the machine's link takes either way, in bytes a second; 0 if not known.
    """

    queue: QueueLimits = QueueLimits()
    max_body_bytes: int = 4 * 1024 * 1024
    assembling_bytes: int = 8 * 1024 * 1024
    link_rate: int = 0
    log: DecisionLogSettings = DecisionLogSettings()


class CallService:
    """Calls of all proxies at one incarnation of one instance; sans-io component."""

    def __init__(
        self,
        service: str,
        incarnation: int,
        limits: CallLimits,
        generator: random.Random,
        versions: VersionCount | None = None,
    ) -> None:
        self._limits = limits
        self._calls = CallTable()
        bodies = BodyLimits(limits.max_body_bytes, limits.assembling_bytes, limits.link_rate)
        self._intake = CallReceiver(service, incarnation, bodies, self._calls)
        self._queue = FairQueue(limits.queue)
        self._link = ResponsePacer(limits.link_rate)
        self._answers = ResponseSender(self._link)
        self.backend = BackendMonitor(generator)
        self.versions = versions or VersionCount(service, "", "")
        self._replies = Replies(self._queue, limits.queue.slots, limits.log)

    @property
    def draining(self) -> bool:
        """Whether the back end is leaving: no call is taken in any more."""
        return self._replies.draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        self._replies.draining = draining

    @property
    def running(self) -> int:
        """Return the number of slots in use."""
        return self._queue.running

    @property
    def waiting(self) -> int:
        """Return the calls taken in and not yet started."""
        return self._queue.queued + self._intake.count

    @property
    def told_load(self) -> int:
        """Return the calls that are here, as proxies are to count them.

        Up to half of the slots count as none: which of two such endpoints is taken hardly matters,
        and telling each change cost 0.01 of a core a node on a calm day of 74 nodes.
        """
        if self.backend.silent:
            return LARGEST_LOAD
        load = self.running + self.waiting
        return load if load > self._limits.queue.slots // 2 else 0

    def pace(self, now: float) -> int:
        """Return how long work takes at the back end now, 1000 as usual; 0 if not known."""
        return self._replies.pace.current(now)

    @property
    def unfinished(self) -> int:
        """Return the attempts at the back end and the answers not yet taken whole."""
        return self._queue.running + self._answers.count

    def set_weights(self, weights: Mapping[str, int]) -> None:
        """Take the groups' weights."""
        self._queue.set_weights(weights)

    def set_tenant_rates(self, rates: Mapping[str, float]) -> None:
        """Take the tenants' rates in calls a second."""
        self._queue.set_tenant_rates(rates)

    def set_max_body(self, service_limit: int) -> None:
        """Take the service's own body limit in bytes; 0 leaves the process's limit."""
        self._intake.set_max_body(service_limit)

    # --- from proxies -----------------------------------------------------------------------

    def start(
        self, connection: ConnectionId, peer: str, start: CallStart, now: float
    ) -> list[Output]:
        """Take a call in, or refuse it."""
        self._replies.now = now
        call = self._intake.accept(connection, peer, start, now, self.draining)
        if isinstance(call, Rejection):
            logs: list[Output] = [call.log] if call.log is not None else []
            if call.failure is None:
                return logs
            return [*self._replies.failed(connection, start, call.failure), *logs]
        if self.backend.silent:
            return self._refuse(call, failures.SILENT)
        held_up = self._held_up_by_link(call, now)
        if held_up is not None:
            return self._refuse(call, held_up)
        self._link.reserve(call.number, start.group)
        if start.end:
            return self._admit(call, now)
        failure = self._intake.check_body(call)
        if failure is None and start.awaits_credit:
            whole_after = self._intake.transfer_time(start)
            failure = self._queue.check(call.queued(now), now, whole_after)
        if failure is not None:
            return self._refuse(call, failure)
        self._intake.request_body(call)
        return []

    def body(self, connection: ConnectionId, message: CallBody, now: float) -> list[Output]:
        """Take a part of a body; parts for unknown streams are late and dropped."""
        call = self._calls.by_stream(connection, message.stream)
        if call is None or not self._intake.is_assembling(call):
            return []
        failure = self._intake.add(call, message, now)
        if failure is not None:
            return self._refuse(call, failure)
        return self._admit(call, now) if message.end else []

    def ask_for_bodies(self, now: float) -> list[Output]:
        """Let proxies send on what is next of the bodies that are asked for."""
        outputs: list[Output] = []
        for grant in self._intake.grants(now):
            call = self._calls.by_number(grant.call)
            assert call is not None
            credit = CallCredit(stream=call.start.stream, bytes=grant.size)
            outputs.append(SendMessage(call.connection, credit))
        return outputs

    def send_on(self, now: float) -> list[Output]:
        """Send the parts of long answers whose turn it is on the link."""
        return self._answers.send_paced(now) if self._answers.count else []

    def credit(self, connection: ConnectionId, message: CallCredit) -> list[Output]:
        """Send more of a long answer."""
        return self._answers.add_credit(connection, message.stream, message.bytes)

    def cancel(self, connection: ConnectionId, message: CallCancel) -> list[Output]:
        """End a call that its proxy no longer wants, and say whether it had begun."""
        call = self._calls.by_stream(connection, message.stream)
        begun = call is None or call.stage is CallStage.RUNNING
        if begun and message.unless_begun:
            return []
        if call is None:
            self._answers.drop(connection, message.stream)
            return []
        if call.stage is not CallStage.RUNNING:
            return self._refuse(call, self._with_advice(failures.GIVEN_UP, call))
        answer = self._replies.failed(connection, call.start, failures.CANCELLED)
        self._calls.settle(call)
        return [*answer, CancelAttempt(call.number)]

    def proxy_gone(self, connection: ConnectionId, peer: str) -> list[Output]:
        """Drop what the proxy has waiting; cancel what may be repeated, let the rest finish."""
        dropped = left_running = 0
        outputs: list[Output] = []
        self._answers.drop_connection(connection)
        for call in self._calls.of_connection(connection):
            if call.stage is not CallStage.RUNNING:
                self._withdraw(call)
                dropped += 1
                continue
            self._calls.settle(call)
            if call.repeatable:
                outputs.append(CancelAttempt(call.number))
            else:
                left_running += 1
        orphaned = Orphaned(dropped, len(outputs), left_running)
        return [*outputs, orphaned.log(peer)] if orphaned.any else []

    # --- from the back end ------------------------------------------------------------------

    def answered(self, event: AttemptAnswered, now: float) -> list[Output]:
        """Pass the back end's answer on; a shed call's 503 is the back end's own answer."""
        call = self._calls.by_number(event.attempt)
        if call is None:
            return []
        self.backend.answered(call.number)
        ran, failed = now - call.started_at, event.status >= _FIRST_FAILED_STATUS
        self.versions.ended(call.start.group, ran, failed, now)
        self._queue.finish(call.number, now, representative=event.status != _SHED_STATUS)
        settled = call.settled
        self._replies.now = now
        self._replies.pace.observe(event.pace_permille, now)
        self._forget(call)
        if not failed:
            self._link.observe(call.start.group, len(event.body))
        load = self._replies.load(call.start.group)
        outputs = [] if settled else self._answers.send(call, event, load, now)
        outputs.extend(self._replies.ran(call, event.status, now))
        return [*outputs, *self.start_waiting(now)]

    def failed(self, event: AttemptFailed, now: float) -> list[Output]:
        """Answer a failed attempt with what is known about whether it ran."""
        self._replies.now = now
        call = self._calls.by_number(event.attempt)
        if call is None:
            return []
        if event.by_backend:
            self.versions.ended(call.start.group, now - call.started_at, True, now)
        self._queue.finish(call.number, now, representative=False)
        failure = answers.attempt_failure(event)
        if failure.kind is ErrorKind.BACKEND_REFUSED:
            advice = self._queue.retry_after_backend_refusal(call.start.group, now)
            failure = replace(failure, retry_after=advice)
        if self.backend.failed(event, failure, call, now):
            return self.start_waiting(now)
        return [*self._end(call, failure), *self.start_waiting(now)]

    # --- time and drain ---------------------------------------------------------------------

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a call or answer that waits."""
        return earliest(
            self._intake.next_deadline(),
            self._queue.next_deadline(),
            self._answers.next_deadline(),
            self.backend.next_deadline(),
        )

    def expire(self, now: float) -> list[Output]:
        """Refuse the calls whose deadline passed while they waited, and drop late answers."""
        assembling = [call.number for call in self._intake.expired(now)]
        outputs = self._refuse_late([*self._queue.pop_expired(now), *assembling])
        if self._answers.count:
            outputs.extend(self._answers.expire(now, self._replies.load))
        return outputs

    def refuse_waiting(self, reason: Failure = failures.LEAVING) -> list[Output]:
        """Give every call that has not started back to its proxy."""
        waiting = (*self._calls.in_stage(CallStage.QUEUED), *self._intake.assembling)
        return [output for call in waiting for output in self._refuse(call, reason)]

    def backend_checked(self, reach: BackendReach, now: float) -> list[Output]:
        """Take what became of a connection that was tried for want of answers, or as others broke.

        Where none opens, calls go back to their proxies: those that wait, and those that run and
        may be repeated. What may not be repeated stays until its deadline: its answer may still
        come.
        """
        self._replies.now = now
        seen = self.backend.checked(reach, self.running, now)
        outputs = self._ended(seen) if seen.crash else []
        for held in seen.held:
            outputs.extend(self._end_held(held, seen.crash))
        if seen.fell_silent:
            fields: dict[str, object] = {"running": self.running, "queued": self.waiting}
            outputs.append(LogEvent(events.BACKEND_SILENT, fields))
            return [*outputs, *self.refuse_waiting(failures.SILENT), *self._give_up_repeatable()]
        if seen.recovered:
            outputs.append(LogEvent(events.BACKEND_BACK))
        return outputs if self.backend.silent else [*outputs, *self.start_waiting(now)]

    def cut_off(self) -> list[Output]:
        """Cancel every running attempt at the end of the drain limit."""
        outputs: list[Output] = []
        for call in self._calls.in_stage(CallStage.RUNNING):
            if not call.settled:
                outputs.extend(self._replies.failed(call.connection, call.start, failures.CUT_OFF))
                self._calls.settle(call)
            outputs.append(CancelAttempt(call.number))
        return outputs

    def start_waiting(self, now: float) -> list[Output]:
        """Hand calls to the back end while slots are free.

        The timer of a busy process fires late: a call past its deadline is refused here first.
        """
        self._replies.now = now
        outputs = self.expire(now)
        outputs.extend(self.backend.take_check(now))
        outputs.extend(self._refuse_late(self._queue.pop_infeasible(now)))
        while not self.backend.undecided and (queued := self._queue.start_next(now)) is not None:
            call = self._calls.by_number(queued.number)
            assert call is not None
            call.started_at = now
            service_time = self._queue.service_time_of(queued.group)
            self.backend.started(call.number, service_time, now)
            outputs.append(call.begin(now))
            outputs.extend(self._refuse_late(self._queue.pop_infeasible(now)))
        return outputs

    def _ended(self, seen: CheckOutcome) -> list[Output]:
        """Tell under which requests the back end's process ended, and give back what waits."""
        log = crash_log(seen.crash, seen.suspects, self.waiting)
        return [log, *self.refuse_waiting(failures.SILENT)]

    def _end_held(self, held: HeldCall, crash: int) -> list[Output]:
        call = self._calls.by_number(held.call)
        failure = failures.CRASHED if crash else held.failure
        return [] if call is None else self._end(call, failure, crash)

    def _end(self, call: Call, failure: Failure, crash: int = NO_CRASH) -> list[Output]:
        """Forget a call that the back end did not answer; its proxy is told if it still waits."""
        settled = call.settled
        self._forget(call)
        return [] if settled else self._replies.failed(call.connection, call.start, failure, crash)

    def _give_up_repeatable(self) -> list[Output]:
        outputs: list[Output] = []
        for call in self._calls.in_stage(CallStage.RUNNING):
            if call.repeatable and not call.settled:
                outputs.extend(
                    self._replies.failed(call.connection, call.start, failures.FELL_SILENT)
                )
                self._calls.settle(call)
                outputs.append(CancelAttempt(call.number))
        return outputs

    # --- parts ------------------------------------------------------------------------------

    def _refuse_late(self, numbers: Sequence[int]) -> list[Output]:
        outputs: list[Output] = []
        for number in numbers:
            call = self._calls.by_number(number)
            assert call is not None
            outputs.extend(self._refuse(call, self._with_advice(failures.TOO_LATE, call)))
        return outputs

    def _with_advice(self, failure: Failure, call: Call) -> Failure:
        return replace(
            failure, retry_after=self._queue.retry_after(call.start.group, self._replies.now)
        )

    def _admit(self, call: Call, now: float) -> list[Output]:
        self._intake.release(call)
        asked_for = call.start.awaits_credit
        offered = self._queue.offer(call.queued(now), now, prechecked=asked_for)
        if isinstance(offered, Failure):
            self._forget(call)
            return self._replies.failed(call.connection, call.start, offered)
        call.stage = CallStage.QUEUED
        return [*self._evicted(offered), *self.start_waiting(now)]

    def _evicted(self, evictions: tuple[Eviction, ...]) -> list[Output]:
        outputs: list[Output] = []
        for eviction in evictions:
            call = self._calls.by_number(eviction.call)
            if call is not None:
                outputs.extend(self._refuse(call, eviction.failure))
        return outputs

    def _refuse(self, call: Call, failure: Failure) -> list[Output]:
        self._withdraw(call)
        return self._replies.failed(call.connection, call.start, failure)

    def _withdraw(self, call: Call) -> None:
        self._intake.release(call)
        self._queue.remove(call.number)
        self._forget(call)

    def _forget(self, call: Call) -> None:
        self._link.release(call.number)
        self._calls.remove(call)

    def _held_up_by_link(self, call: Call, now: float) -> Failure | None:
        """Return why a call's answer would be through the link too late; NOT RUN."""
        group = call.start.group
        service_time = self._queue.service_time_of(group)
        times = CallTiming(call.target, call.deadline, service_time)
        late = self._link.lateness(group, times, now)
        if not late:
            return None
        return Failure(ErrorKind.DEADLINE_TOO_SHORT, NO_LINK_CAPACITY, retry_after=late)
