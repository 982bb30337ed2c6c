"""Dispatches attempts to agents over multiplexed links: starts, reroutes and cancels them."""

from __future__ import annotations

import random
from collections.abc import Sequence

from google.protobuf.message import Message
from msgspec import Struct

from limelever.common.byte_budget import ByteBudget
from limelever.common.errors import ErrorKind, Failure
from limelever.common.http_headers import HeaderNames, Headers
from limelever.common.sansio import ConnectionId, Output, Peer, SendMessage
from limelever.protocol.calls_pb2 import CallCancel
from limelever.proxy.agent_links import AgentLink, AgentLinks, LinkState
from limelever.proxy.agent_messages import AgentMessageHandler
from limelever.proxy.allowed_regions import RegionFilter, no_endpoint_allowed
from limelever.proxy.answer_assembly import AnswerAssembly, AssemblyLimits
from limelever.proxy.attempt_completion import AttemptCompleter
from limelever.proxy.balancer import Balancer
from limelever.proxy.call_log import CallLog
from limelever.proxy.call_messages import build_call_start, streams_without_end
from limelever.proxy.call_state import NOT_SENT, Attempt, AttemptEnded, Call, CallTable, Phase
from limelever.proxy.endpoint_choice import EndpointChooser, EndpointRules, ResponsiveLinks
from limelever.proxy.endpoints import EndpointView
from limelever.proxy.health import Verdict
from limelever.proxy.link_silence import LinkSilence
from limelever.proxy.region_usage import RegionUsageLog
from limelever.proxy.reported_suspects import ReportedSuspects
from limelever.proxy.transfer_size import TransferSizes
from limelever.proxy.version_gate import VersionGate
from limelever.proxy.zone_drains import ZoneDrainFilter, no_endpoint

_ID_HALF_BYTES = 8

DEFAULT_RESERVED_HEADERS = HeaderNames().set_by_mesh
"""Headers that callers may not set, used when the settings name none."""


class AttemptSettings(Struct, frozen=True):
    """Limits on answers in bytes; ``dial_wait`` is how long a call waits for a link, in seconds.

    ``added_headers`` are sent with every call. ``reserved_headers`` are removed from callers'
    requests. ``key_header`` is the header that carries the caller's API key.
    """

    answer_limit_bytes: int = 8 << 20
    assembly_limit_bytes: int = 16 << 20
    dial_wait: float = 0.1
    added_headers: Headers = ()
    reserved_headers: frozenset[bytes] = DEFAULT_RESERVED_HEADERS
    key_header: bytes = HeaderNames().authorization


class AttemptDispatcher:
    """Starts attempts, and reroutes or ends them when links fail or deadlines pass."""

    def __init__(
        self,
        settings: AttemptSettings,
        calls: CallTable,
        view: EndpointView,
        drains: ZoneDrainFilter,
        gate: VersionGate,
        balancer: Balancer,
        links: AgentLinks,
        silence: LinkSilence,
        reported: ReportedSuspects,
        random_source: random.Random,
        outputs: list[Output],
        budget: ByteBudget | None = None,
    ) -> None:
        self._settings = settings
        self._calls = calls
        self._drains = drains
        self._balancer = balancer
        self._links = links
        self._silence = silence
        self._outputs = outputs
        self._id_prefix = random_source.randbytes(_ID_HALF_BYTES)
        self._last_id = 0
        limits = AssemblyLimits(settings.answer_limit_bytes, settings.assembly_limit_bytes)
        assembly = AnswerAssembly(limits, budget)
        self._region_filter = RegionFilter(outputs)
        self._region_usage = RegionUsageLog(outputs)
        self._transfer_sizes = TransferSizes()
        self._chooser = EndpointChooser(
            EndpointRules(view, drains, gate, self._region_filter),
            balancer,
            ResponsiveLinks(links, silence, reported),
            self._transfer_sizes,
        )
        self._completer = AttemptCompleter(
            calls, view, balancer, assembly, self._transfer_sizes, outputs
        )
        self._messages = AgentMessageHandler(calls, self._completer, assembly, outputs)
        self._reserved = settings.reserved_headers
        self.log: CallLog | None = None

    def set_reserved_headers(self, names: frozenset[bytes], *, callers_send_keys: bool) -> None:
        """Set the headers that callers may not set.

        With ``callers_send_keys`` the API key header is reserved too, so that it is never
        forwarded.
        """
        self._reserved = names | self._settings.reserved_headers
        if callers_send_keys:
            self._reserved |= {self._settings.key_header}

    def keep_only(self, routes: frozenset[str]) -> None:
        """Drop the state of all routes but these."""
        self._region_filter.clear()
        self._transfer_sizes.keep_only(routes)
        self._balancer.keep_only_routes(routes)

    def start(self, call: Call, now: float, known_depth: int = 0) -> Failure | None:
        """Start an attempt on an endpoint that has not been tried yet.

        Returns ``NO_ENDPOINT`` if there is none, and ``ZONE_DRAINED`` if drains leave none.

        ``known_depth`` is how many back ends in a row have crashed while handling the call's
        request.
        """
        service = call.destination.service
        known, allowed, undrained, usable = self._chooser.candidates(call, now)
        if not allowed and call.allowed_regions is not None:
            return no_endpoint_allowed(service, call.allowed_regions)
        entry = self._chooser.pick(call, usable, now)
        if entry is None:
            return no_endpoint(service, all_drained=bool(known) and not undrained)
        link = self._links.acquire(entry.address, self._outputs, now)
        call.attempt = Attempt(entry, self._next_attempt_id(), link.connection, now, known_depth)
        call.attempts += 1
        call.tried.add(entry.key)
        self._balancer.attempt_started(entry.key)
        self._balancer.limited.call_sent(entry.run, now)
        call.place = self._region_usage.attempt_started(
            service, self._balancer.place_of(entry), now
        )
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

    def has_responsive_alternative(self, call: Call, now: float) -> bool:
        """Return whether an untried endpoint with a responsive link may take the call."""
        return self._chooser.has_responsive_alternative(call, now)

    def has_room(self, call: Call, now: float) -> bool:
        """Return whether the limit of an untried endpoint has room for a call of this proxy."""
        return self._chooser.has_room(call, now)

    def abandon(self, call: Call, verdict: Verdict, now: float) -> None:
        """End the call's attempt and tell the agent to cancel it."""
        attempt = call.attempt
        if attempt is None:
            return
        if attempt.stream != NOT_SENT:
            message = CallCancel(stream=attempt.stream)
            self._outputs.append(SendMessage(attempt.connection, message))
        self._completer.close(call, attempt, verdict, now)

    def abandon_without_cancel(self, call: Call, now: float) -> None:
        """End the call's attempt without telling the agent."""
        if call.attempt is not None:
            self._completer.close(call, call.attempt, Verdict.NEUTRAL, now)

    def request_cancel(self, call: Call, verdict: Verdict) -> None:
        """Ask the agent to cancel the call's attempt and to report whether it had begun.

        ``verdict`` is recorded against the endpoint if it had.
        """
        assert call.attempt is not None
        call.attempt.verdict_if_run = verdict
        message = CallCancel(stream=call.attempt.stream)
        self._outputs.append(SendMessage(call.attempt.connection, message))

    def leave_drained_zone(self, call: Call, now: float) -> AttemptEnded | None:
        """End the call's attempt if it waits for a link to an agent of a drained zone."""
        attempt = call.attempt
        if call.phase is not Phase.DIALLING or attempt is None:
            return None
        if not self._drains.is_drained(attempt.entry.zone):
            return None
        self._completer.close(call, attempt, Verdict.NEUTRAL, now)
        failure = Failure(ErrorKind.ZONE_DRAINED, f"zone {attempt.entry.zone} is drained")
        return AttemptEnded(call, failure)

    def cancel_unless_begun(self, call: Call) -> None:
        """Ask the agent to cancel the call if it is still queued there.

        If it has begun, its answer still arrives.
        """
        assert call.attempt is not None
        message = CallCancel(stream=call.attempt.stream, unless_begun=True)
        self._outputs.append(SendMessage(call.attempt.connection, message))

    def link_opened(self, connection: ConnectionId, peer: Peer, now: float) -> None:
        """Send the calls that were waiting for this link."""
        link = self._links.opened(connection, peer)
        for number in link.take_waiting_calls():
            call = self._calls.by_number(number)
            if call is not None and self._is_waiting_for(call, connection):
                assert call.attempt is not None
                self._send(call, call.attempt, link, now)

    def link_lost(
        self, connection: ConnectionId, reason: str, now: float, unsent: Sequence[Message] = ()
    ) -> list[AttemptEnded]:
        """End the attempts on a link: UNKNOWN for those sent completely, NOT RUN for the others."""
        unsent_streams = streams_without_end(unsent)
        ended = []
        for number in self._links.lost(connection, now):
            call = self._calls.by_number(number)
            if call is not None and self._is_waiting_for(call, connection):
                ended.append(self._completer.fail(call, ErrorKind.CONNECTION_FAILED, reason, now))
        for call in self._calls.on_connection(connection):
            assert call.attempt is not None
            sent = call.is_sent_completely and call.attempt.stream not in unsent_streams
            kind = ErrorKind.CONNECTION_LOST if sent else ErrorKind.CONNECTION_FAILED
            ended.append(self._completer.fail(call, kind, reason, now))
        return ended

    def received(
        self, connection: ConnectionId, message: Message, now: float
    ) -> AttemptEnded | None:
        """Handle a message from an agent; return the end of an attempt if it completed one."""
        return self._messages.handle(connection, message, now)

    def resume_answers(self, now: float) -> None:
        """Give agents credit for the answers that are reserved now."""
        self._messages.resume_answers(now)

    def next_deadline(self) -> float | None:
        """Return when :meth:`resume_answers` is due (seconds, monotonic), or ``None``."""
        return self._messages.next_deadline()

    def _next_attempt_id(self) -> bytes:
        self._last_id += 1
        return self._id_prefix + self._last_id.to_bytes(_ID_HALF_BYTES, "big")

    def _is_waiting_for(self, call: Call, connection: ConnectionId) -> bool:
        attempt = call.attempt
        return (
            call.phase is Phase.DIALLING
            and attempt is not None
            and attempt.connection == connection
        )

    def _send(self, call: Call, attempt: Attempt, link: AgentLink, now: float) -> None:
        attempt.stream = link.next_stream()
        call.phase = Phase.HANDED_ON
        if link.answers_probes:
            was_idle = not self._calls.is_busy(link.connection)
            self._silence.call_sent(link.connection, now, was_idle=was_idle)
        self._calls.bind_stream(call, attempt)
        if call.wake_at != call.deadline:
            self._calls.schedule(call, call.deadline)
        start = build_call_start(call, attempt, self._reserved, self._settings.added_headers, now)
        start.known_limit = self._balancer.limited.limit_of(attempt.entry.run)
        self._outputs.append(SendMessage(link.connection, start))
