"""Reports refused and failed calls and the load to proxies, and logs calls."""

from __future__ import annotations

from collections.abc import Sequence

from limelever.agent import call_messages, events
from limelever.agent.calls import Call
from limelever.agent.fair_queue import FairQueue
from limelever.agent.instance_limit import InstanceLimit
from limelever.agent.interface import AttemptAnswered
from limelever.agent.limit_shares import LimitShares
from limelever.agent.pace import PaceTracker
from limelever.agent.warm_up import WarmUp
from limelever.common.decision_log import DecisionLog, DecisionLogSettings
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import ConnectionId, LogEvent, Output, SendMessage
from limelever.protocol.calls_pb2 import AgentLoad, CallStart
from limelever.quarantine.crash_history import SuspectRequest
from limelever.quarantine.fingerprint import format_digest

DRAINED_QUEUE_PER_SLOT = 8
"""Queued calls per slot that are reported while the zone is drained. A proxy that doesn't know of
the drain compares endpoints by their load, and turns to another zone from one call per slot on."""

_MICROSECONDS_PER_SECOND = 1_000_000
_MICROSECONDS_PER_MILLISECOND = 1000
_MILLISECONDS_PER_SECOND = 1000


class CallReporter:
    """Builds reports from the state of the queue; ``now`` is the time of the current event."""

    def __init__(
        self,
        queue: FairQueue,
        slots: int,
        log: DecisionLogSettings,
        warm_up: WarmUp,
        limit: InstanceLimit,
    ) -> None:
        self._queue = queue
        self._warm_up = warm_up
        self._limit = limit
        self.limit_shares = LimitShares()
        self.pace = PaceTracker()
        self._slots = slots
        self._log = DecisionLog(log)
        self.draining_since: float | None = None
        self.leaving = False
        self.zone_drained = False
        self.now = 0.0

    @property
    def draining(self) -> bool:
        """Return whether the instance is draining."""
        return self.draining_since is not None

    def drain_began(self, now: float) -> None:
        """Record the start of a drain, unless it has begun before."""
        if self.draining_since is None:
            self.draining_since = now

    def _draining_milliseconds(self) -> int:
        """Return how long the instance has been draining, 0 if it is not."""
        if self.draining_since is None:
            return 0
        return int((self.now - self.draining_since) * _MILLISECONDS_PER_SECOND)

    def agent_load(self, group: str) -> AgentLoad:
        """Return the load that is sent with the answer to a call of a group."""
        load = AgentLoad(
            in_flight=self._queue.running,
            queued=self._reported_queue(),
            slots=self._slots,
            draining=self.draining,
            service_us=int(self._queue.service_time * _MICROSECONDS_PER_SECOND),
            route_service_us=int(self._queue.service_time_of(group) * _MICROSECONDS_PER_SECOND),
            pace_permille=self.pace.current(self.now),
            warm_up_left_ms=self._warm_up.left_ms(self.now),
            leaving=self.leaving,
        )
        limit = self._limit.reported
        if limit is not None:
            load.limit = limit
            load.limit_share = self.limit_shares.share_of(limit, self.now)
        return load

    def _reported_queue(self) -> int:
        queued = self._queue.queued
        return max(queued, DRAINED_QUEUE_PER_SLOT * self._slots) if self.zone_drained else queued

    def call_failed(
        self,
        connection: ConnectionId,
        start: CallStart,
        failure: Failure,
        crash: int = call_messages.NO_CRASH,
    ) -> list[Output]:
        """Return the failure message for a proxy, and log events as far as rate limits allow."""
        load = self.agent_load(start.group)
        fields: dict[str, object] = {
            "kind": failure.kind.value,
            "outcome": failure.outcome.value,
            "reason": failure.reason,
            "running": load.in_flight,
            "queued": self._queue.queued,
            "slots": load.slots,
            "service_milliseconds": load.service_us // _MICROSECONDS_PER_MILLISECOND,
            "draining": load.draining,
            "draining_milliseconds": self._draining_milliseconds(),
        }
        lines = self._log.failure(events.CALL_NOT_SERVED, start.request_id, fields, self.now)
        message = call_messages.call_failed(start, failure, load, crash)
        outputs: list[Output] = [SendMessage(connection, message), *lines]
        if failure.kind is ErrorKind.ZONE_DRAINED:
            # Below the usual level of the log: it makes the metric of events count each refusal.
            outputs.append(LogEvent(events.ZONE_DRAIN_REFUSED, {"group": start.group}))
        return outputs

    def call_answered(self, call: Call, event: AttemptAnswered, now: float) -> list[Output]:
        """Return the log event of an answered call.

        Calls are sampled for logging, but each one that ends during a drain is logged.
        """
        request_id = call.start.request_id
        if not self.draining and not self._log.follows(request_id):
            return []
        fields: dict[str, object] = {
            "status": event.status,
            "waited_milliseconds": int(
                (call.started_at - call.arrived_at) * _MILLISECONDS_PER_SECOND
            ),
            "ran_milliseconds": int((now - call.started_at) * _MILLISECONDS_PER_SECOND),
            "unsent_milliseconds": int(event.unsent_for * _MILLISECONDS_PER_SECOND),
            "running": self._queue.running,
            "queued": self._queue.queued,
            "draining_milliseconds": self._draining_milliseconds(),
        }
        if self.draining:
            return [*self._log.failure(events.CALL_RAN, request_id, fields, now)]
        return [*self._log.success(events.CALL_RAN, request_id, fields)]


def crash_event(crash: int, suspects: Sequence[SuspectRequest], queued: int) -> LogEvent:
    """Return the log event of a back end crash with the suspected requests."""
    fields: dict[str, object] = {
        "crash": format_digest(crash),
        "requests": [format_digest(each.fingerprint.request) for each in suspects],
        "queued": queued,
    }
    return LogEvent(events.BACKEND_ENDED, fields)
