"""Carries attempts to agents over the multiplexed links, and matches what comes back.

An answer counts only when connection, stream and attempt identifier are those of a call's
current attempt. Everything else is late, crossed or of an older connection, and is dropped.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.common.sansio import ConnectionId, LogEvent, Output, Peer, SendMessage
from limelever.protocol.calls_pb2 import (
    AgentLoad,
    CallCancel,
    CallCredit,
    CallFailed,
    ResponseBody,
    ResponseStart,
)
from limelever.proxy import events
from limelever.proxy.balancer import Balancer
from limelever.proxy.call_state import NOT_SENT, Attempt, AttemptEnded, Call, CallTable, Phase
from limelever.proxy.call_types import CallAnswer
from limelever.proxy.endpoints import EndpointKey, EndpointView
from limelever.proxy.headers import towards_caller
from limelever.proxy.health import Verdict
from limelever.proxy.links import AgentLink, AgentLinks, LinkStage
from limelever.proxy.outgoing import next_parts, start_message

NO_ENDPOINT_RETRY_AFTER = 1.0

_MILLISECONDS = 1000
_ID_HALF_BYTES = 8
_FAILED_STATUSES = frozenset({500, 502, 504})
_FAILED_KINDS = frozenset(
    {
        ErrorKind.BACKEND_FAILED,
        ErrorKind.CONNECTION_FAILED,
        ErrorKind.CONNECTION_LOST,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.INTERNAL,
    }
)


@dataclass(frozen=True, slots=True)
class AttemptSettings:
    """Bounds of answers in bytes, and the seconds a call waits for a link to come up."""

    answer_limit_bytes: int = 8 << 20
    assembly_limit_bytes: int = 16 << 20
    dial_wait: float = 0.25


class Attempts:
    """Starts attempts, assembles their answers and tells the balancer how they ended."""

    def __init__(
        self,
        settings: AttemptSettings,
        calls: CallTable,
        view: EndpointView,
        balancer: Balancer,
        links: AgentLinks,
        random_source: random.Random,
        outputs: list[Output],
    ) -> None:
        self._settings = settings
        self._calls = calls
        self._view = view
        self._balancer = balancer
        self._links = links
        self._outputs = outputs
        self._id_prefix = random_source.randbytes(_ID_HALF_BYTES)
        self._last_id = 0
        self._assembling_bytes = 0
        self._secret_names: frozenset[bytes] = frozenset()

    def set_secret_names(self, names: frozenset[bytes]) -> None:
        """Name the headers that callers may not set."""
        self._secret_names = names

    def start(self, call: Call, now: float) -> Failure | None:
        """Begin an attempt on an endpoint not tried yet, or return ``NO_ENDPOINT``."""
        usable = self._view.usable(call.route.service, now)
        excluded: set[EndpointKey] = set(call.tried)
        while True:
            entry = self._balancer.pick(usable, now, excluded, call.route.slow_start)
            if entry is None:
                reason = f"no endpoint of {call.route.service} can take the call"
                return Failure(ErrorKind.NO_ENDPOINT, reason, retry_after=NO_ENDPOINT_RETRY_AFTER)
            if not self._links.is_blocked(entry.address, now):
                break
            excluded.add(entry.key)
        link = self._links.acquire(entry.address, self._outputs)
        call.attempt = Attempt(entry, self._draw_id(), link.connection, now)
        call.attempts += 1
        call.tried.add(entry.key)
        self._balancer.attempt_started(entry.key)
        if link.stage is LinkStage.UP:
            self._send(call, call.attempt, link, now)
            return None
        call.phase = Phase.DIALLING
        link.waiting.append(call.number)
        self._calls.wake(call, min(call.deadline, now + self._settings.dial_wait))
        return None

    def abandon(self, call: Call, verdict: Verdict, now: float) -> None:
        """End the call's attempt from this side; the agent is told to cancel."""
        attempt = call.attempt
        if attempt is None:
            return
        if attempt.stream != NOT_SENT:
            message = CallCancel(stream=attempt.stream)
            self._outputs.append(SendMessage(attempt.connection, message))
        self._close(call, attempt, verdict, now)

    def link_opened(self, connection: ConnectionId, peer: Peer, now: float) -> None:
        """Send the calls that waited for this link."""
        link = self._links.opened(connection, peer.incarnation)
        for number in link.take_waiting():
            call = self._calls.by_number(number)
            if call is not None and self._waits_for(call, connection):
                assert call.attempt is not None
                self._send(call, call.attempt, link, now)

    def link_lost(self, connection: ConnectionId, reason: str, now: float) -> list[AttemptEnded]:
        """End the attempts on a link: UNKNOWN for those handed on, NOT RUN for the others."""
        ended = []
        for number in self._links.lost(connection, now):
            call = self._calls.by_number(number)
            if call is not None and self._waits_for(call, connection):
                ended.append(self._fail(call, ErrorKind.CONNECTION_FAILED, reason, now))
        for call in self._calls.on_connection(connection):
            ended.append(self._fail(call, ErrorKind.CONNECTION_LOST, reason, now))
        return ended

    def received(
        self, connection: ConnectionId, message: Message, now: float
    ) -> AttemptEnded | None:
        """Take a message of an agent; return the end of an attempt if it brought one."""
        if isinstance(message, CallCredit):
            self._take_credit(connection, message)
            return None
        if not isinstance(message, ResponseStart | ResponseBody | CallFailed):
            return None
        call = self._calls.by_stream(connection, message.stream)
        if call is None or call.attempt is None or _crossed(message, call.attempt):
            self._outputs.append(LogEvent(events.LATE_ANSWER_DROPPED, {"stream": message.stream}))
            return None
        if isinstance(message, ResponseBody):
            return self._add_body(call, call.attempt, message.data, message.end, now)
        if message.HasField("load"):
            self._observe(call.attempt, message.load, now)
        if isinstance(message, CallFailed):
            return self._take_failure(call, call.attempt, message, now)
        call.attempt.status = message.status
        call.attempt.headers = towards_caller((h.name, h.value) for h in message.headers)
        return self._add_body(call, call.attempt, message.body, message.end, now)

    def _take_credit(self, connection: ConnectionId, message: CallCredit) -> None:
        call = self._calls.by_stream(connection, message.stream)
        if call is not None and call.attempt is not None:
            call.attempt.credit_bytes += message.bytes
            self._send_parts(call, call.attempt)

    def _draw_id(self) -> bytes:
        self._last_id += 1
        return self._id_prefix + self._last_id.to_bytes(_ID_HALF_BYTES, "big")

    def _waits_for(self, call: Call, connection: ConnectionId) -> bool:
        attempt = call.attempt
        return (
            call.phase is Phase.DIALLING
            and attempt is not None
            and attempt.connection == connection
        )

    def _send(self, call: Call, attempt: Attempt, link: AgentLink, now: float) -> None:
        attempt.stream = link.draw_stream()
        call.phase = Phase.HANDED_ON
        self._calls.bind_stream(call, attempt)
        if call.wake_at != call.deadline:
            self._calls.wake(call, call.deadline)
        start = start_message(call, attempt, self._secret_names, now)
        self._outputs.append(SendMessage(link.connection, start))
        self._send_parts(call, attempt)

    def _send_parts(self, call: Call, attempt: Attempt) -> None:
        for part in next_parts(call, attempt):
            self._outputs.append(SendMessage(attempt.connection, part))

    def _add_body(
        self, call: Call, attempt: Attempt, data: bytes, end: bool, now: float
    ) -> AttemptEnded | None:
        if end and not attempt.body:
            return self._succeed(call, attempt, data, now)
        size = len(attempt.body) + len(data)
        over = size > self._settings.answer_limit_bytes
        if over or self._assembling_bytes + len(data) > self._settings.assembly_limit_bytes:
            message = CallCancel(stream=attempt.stream)
            self._outputs.append(SendMessage(attempt.connection, message))
            reason = f"answer of over {size} bytes finds no room"
            return self._fail(call, ErrorKind.BACKEND_FAILED, reason, now)
        attempt.body += data
        self._assembling_bytes += len(data)
        return self._succeed(call, attempt, bytes(attempt.body), now) if end else None

    def _succeed(self, call: Call, attempt: Attempt, body: bytes, now: float) -> AttemptEnded:
        answer = CallAnswer(attempt.status, attempt.headers, body)
        failed = attempt.status in _FAILED_STATUSES
        self._close(call, attempt, Verdict.FAILED if failed else Verdict.SUCCEEDED, now)
        return AttemptEnded(call, answer)

    def _take_failure(
        self, call: Call, attempt: Attempt, message: CallFailed, now: float
    ) -> AttemptEnded:
        failure = Failure(
            _kind(message.kind), message.reason, retry_after=message.retry_after_ms / _MILLISECONDS
        )
        if failure.kind in (ErrorKind.DRAINING, ErrorKind.WRONG_INCARNATION):
            self._retire(attempt)
        if attempt.status and failure.outcome is Outcome.NOT_RUN:
            failure = Failure(ErrorKind.BACKEND_FAILED, f"answer broken off: {failure.reason}")
        verdict = Verdict.FAILED if failure.kind in _FAILED_KINDS else Verdict.NEUTRAL
        self._close(call, attempt, verdict, now)
        return AttemptEnded(call, failure)

    def _fail(self, call: Call, kind: ErrorKind, reason: str, now: float) -> AttemptEnded:
        assert call.attempt is not None
        self._close(call, call.attempt, Verdict.FAILED, now)
        return AttemptEnded(call, Failure(kind, reason))

    def _close(self, call: Call, attempt: Attempt, verdict: Verdict, now: float) -> None:
        call.attempt = None
        self._assembling_bytes -= len(attempt.body)
        if attempt.stream != NOT_SENT:
            self._calls.unbind_stream(attempt)
        key = attempt.entry.key
        peers = self._view.usable(key.service, now)
        latency = now - attempt.started_at
        ejected = self._balancer.attempt_ended(key, verdict, latency, peers, now)
        if ejected:
            fields: dict[str, object] = {
                "service": key.service,
                "instance": key.instance,
                "seconds": ejected,
            }
            self._outputs.append(LogEvent(events.ENDPOINT_EJECTED, fields))

    def _observe(self, attempt: Attempt, load: AgentLoad, now: float) -> None:
        self._balancer.observe_load(attempt.entry.key, load.in_flight + load.queued, now)
        if load.draining:
            self._retire(attempt)

    def _retire(self, attempt: Attempt) -> None:
        key = attempt.entry.key
        if self._view.retire(key, attempt.entry.incarnation):
            fields: dict[str, object] = {"service": key.service, "instance": key.instance}
            self._outputs.append(LogEvent(events.ENDPOINT_DRAINING, fields))


def _crossed(message: ResponseStart | ResponseBody | CallFailed, attempt: Attempt) -> bool:
    if isinstance(message, ResponseBody):
        return not attempt.status
    if message.attempt_id != attempt.attempt_id:
        return True
    return isinstance(message, ResponseStart) and bool(attempt.status)


def _kind(name: str) -> ErrorKind:
    """Return the kind an agent named; one not known here leaves the outcome unknown."""
    try:
        return ErrorKind(name)
    except ValueError:
        return ErrorKind.INTERNAL
