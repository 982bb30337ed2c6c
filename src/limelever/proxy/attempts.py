"""Carries attempts to agents over the multiplexed links: begins, moves and cancels them."""

from __future__ import annotations

import random
from collections.abc import Sequence

from google.protobuf.message import Message
from msgspec import Struct

from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames, Headers
from limelever.common.sansio import ConnectionId, Output, Peer, SendMessage
from limelever.protocol.calls_pb2 import CallCancel
from limelever.proxy.agent_links import AgentLink, AgentLinks, LinkState
from limelever.proxy.agent_messages import AgentMessageHandler
from limelever.proxy.answer_assembly import AnswerAssembly, AssemblyLimits
from limelever.proxy.attempt_ends import AttemptEnds
from limelever.proxy.balancer import Balancer
from limelever.proxy.call_log import CallLog
from limelever.proxy.call_messages import build_call_start
from limelever.proxy.call_state import NOT_SENT, Attempt, AttemptEnded, Call, CallTable, Phase
from limelever.proxy.endpoints import EndpointEntry, EndpointKey, EndpointView
from limelever.proxy.health import Verdict
from limelever.proxy.transfer_size import TransferSizes
from limelever.proxy.version_gate import VersionGate

NO_ENDPOINT_RETRY_AFTER = 1.0

_ID_HALF_BYTES = 8

DEFAULT_RESERVED = HeaderNames().set_by_mesh
"""What callers may not set for a back end where the settings name no headers."""


class AttemptSettings(Struct, frozen=True):
    """Bounds of answers in bytes, and the seconds a call waits for a link to come up.

    ``added_headers`` go with every call, ``reserved_headers`` never come from callers.
    ``key_header`` is where they show their keys.
    """

    answer_limit_bytes: int = 8 << 20
    assembly_limit_bytes: int = 16 << 20
    dial_wait: float = 0.1
    added_headers: Headers = ()
    reserved_headers: frozenset[bytes] = DEFAULT_RESERVED
    key_header: bytes = HeaderNames().authorization


class Attempts:
    """Starts attempts, and moves or ends them as links and deadlines ask."""

    def __init__(
        self,
        settings: AttemptSettings,
        calls: CallTable,
        view: EndpointView,
        gate: VersionGate,
        balancer: Balancer,
        links: AgentLinks,
        random_source: random.Random,
        outputs: list[Output],
    ) -> None:
        self._settings = settings
        self._calls = calls
        self._view = view
        self._gate = gate
        self._balancer = balancer
        self._links = links
        self._outputs = outputs
        self._id_prefix = random_source.randbytes(_ID_HALF_BYTES)
        self._last_id = 0
        limits = AssemblyLimits(settings.answer_limit_bytes, settings.assembly_limit_bytes)
        assembly = AnswerAssembly(limits)
        self._moved = TransferSizes()
        self._ends = AttemptEnds(calls, view, balancer, assembly, self._moved, outputs)
        self._messages = AgentMessageHandler(calls, self._ends, assembly, outputs)
        self._reserved = settings.reserved_headers
        self.log: CallLog | None = None

    def set_secret_names(self, names: frozenset[bytes], *, callers_show_keys: bool) -> None:
        """Name the headers that callers may not set; a key that they show ends at the proxy."""
        self._reserved = names | self._settings.reserved_headers
        if callers_show_keys:
            self._reserved |= {self._settings.key_header}

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget what is known of routes that are gone."""
        self._moved.keep_only(routes)
        self._balancer.keep_routes(routes)

    def start(self, call: Call, now: float, known_depth: int = 0) -> Failure | None:
        """Begin an attempt on an endpoint not tried yet, or return ``NO_ENDPOINT``.

        ``known_depth`` is how often in a row back ends have ended under the call's request.
        """
        service = call.destination.service
        usable = self._gate.let(service, self._view.usable(service, now))
        entry = self._choose(call, usable, now)
        if entry is None:
            reason = f"no endpoint of {call.destination.service} can take the call"
            return Failure(ErrorKind.NO_ENDPOINT, reason, retry_after=NO_ENDPOINT_RETRY_AFTER)
        link = self._links.acquire(entry.address, self._outputs, now)
        call.attempt = Attempt(entry, self._draw_id(), link.connection, now, known_depth)
        call.attempts += 1
        call.tried.add(entry.key)
        self._balancer.attempt_started(entry.key)
        if self.log is not None:
            in_flight = self._balancer.in_flight(entry.key)
            self.log.attempt_sent(call, entry, len(usable), in_flight, now)
        if link.state is LinkState.UP:
            self._send(call, call.attempt, link, now)
            return None
        call.phase = Phase.DIALLING
        link.waiting_calls.append(call.number)
        self._calls.schedule(call, min(call.deadline, now + self._settings.dial_wait))
        return None

    def _choose(
        self, call: Call, usable: Sequence[EndpointEntry], now: float
    ) -> EndpointEntry | None:
        """Return an endpoint not tried yet; one whose dial is overdue only if there is no other."""
        local_within = self._moved.local_time_limit(call, now)
        light = self._moved.is_small(call)
        excluded: set[EndpointKey] = set(call.tried)
        overdue: EndpointEntry | None = None
        while True:
            entry = self._balancer.pick(
                usable,
                now,
                excluded,
                call.destination.slow_start,
                local_within,
                call.route.name,
                light,
            )
            if entry is None:
                return overdue
            excluded.add(entry.key)
            if self._links.is_backing_off(entry.address, now):
                continue
            if not self._links.is_dial_overdue(entry.address, now):
                return entry
            overdue = overdue or entry

    def abandon(self, call: Call, verdict: Verdict, now: float) -> None:
        """End the call's attempt from this side; the agent is told to cancel."""
        attempt = call.attempt
        if attempt is None:
            return
        if attempt.stream != NOT_SENT:
            message = CallCancel(stream=attempt.stream)
            self._outputs.append(SendMessage(attempt.connection, message))
        self._ends.close(call, attempt, verdict, now)

    def let_go(self, call: Call, now: float) -> None:
        """End the call's attempt from this side, and leave the agent as it is."""
        if call.attempt is not None:
            self._ends.close(call, call.attempt, Verdict.NEUTRAL, now)

    def request_cancel(self, call: Call, verdict: Verdict) -> None:
        """Ask the agent to cancel the call's attempt and to say whether it had begun.

        ``verdict`` is what the attempt says of its endpoint in case it had.
        """
        assert call.attempt is not None
        call.attempt.verdict_if_run = verdict
        message = CallCancel(stream=call.attempt.stream)
        self._outputs.append(SendMessage(call.attempt.connection, message))

    def cancel_unless_begun(self, call: Call) -> None:
        """Ask the agent to give the call up if it only waits; otherwise its answer still comes."""
        assert call.attempt is not None
        message = CallCancel(stream=call.attempt.stream, unless_begun=True)
        self._outputs.append(SendMessage(call.attempt.connection, message))

    def link_opened(self, connection: ConnectionId, peer: Peer, now: float) -> None:
        """Send the calls that waited for this link."""
        link = self._links.opened(connection, peer.incarnation)
        for number in link.take_waiting_calls():
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
                ended.append(self._ends.fail(call, ErrorKind.CONNECTION_FAILED, reason, now))
        for call in self._calls.on_connection(connection):
            ended.append(self._ends.fail(call, ErrorKind.CONNECTION_LOST, reason, now))
        return ended

    def received(
        self, connection: ConnectionId, message: Message, now: float
    ) -> AttemptEnded | None:
        """Take a message of an agent; return the end of an attempt if it brought one."""
        return self._messages.handle(connection, message, now)

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
        attempt.stream = link.next_stream()
        call.phase = Phase.HANDED_ON
        self._calls.bind_stream(call, attempt)
        if call.wake_at != call.deadline:
            self._calls.schedule(call, call.deadline)
        start = build_call_start(call, attempt, self._reserved, self._settings.added_headers, now)
        self._outputs.append(SendMessage(link.connection, start))
