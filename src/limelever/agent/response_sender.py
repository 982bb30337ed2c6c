"""Sends responses to proxies, long ones under flow control.

The first message carries up to 256 KiB of a response and another 256 KiB follow at once; the rest
is sent as ``CallCredit`` allows. If the link rate is known, the first message of a long response
has no body, and ``ResponsePacer`` schedules the body in chunks. Unsent bytes are held in the
process's budget, which bounds what is read from the back end.
"""

from __future__ import annotations

from collections.abc import Callable

from google.protobuf.message import Message
from msgspec import Struct

from limelever.agent import call_messages
from limelever.agent.calls import Call
from limelever.agent.interface import AttemptAnswered
from limelever.agent.response_pacer import ResponsePacer
from limelever.common.byte_budget import ByteBudget, Use
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import ConnectionId, Output, SendMessage
from limelever.protocol.calls_pb2 import AgentLoad, CallStart, ResponseBody

INITIAL_WINDOW_BYTES = 256 * 1024
"""Bytes that may follow the first message before the proxy grants any credit."""

MAX_CHUNK_BYTES = 64 * 1024
"""Maximum size of one body message, so that messages of other calls can interleave."""

MAX_PENDING_BYTES = 16 * 1024 * 1024
"""Maximum total of unsent bytes without a budget; responses beyond it are reported as failed."""

UNPACED = 0
"""Pacer key of a response that is not paced."""

HEAD_OVERHEAD_BYTES = 300
"""Approximate size of a response on the link without its body."""


class _PendingResponse(Struct):
    """The unsent rest of a response; ``deadline`` is that of its call, in monotonic seconds.

    ``pacer_key`` identifies the response in the pacer.
    """

    connection: ConnectionId
    start: CallStart
    unsent: memoryview
    deadline: float
    pacer_key: int = UNPACED
    credit: int = INITIAL_WINDOW_BYTES


class ResponseSender:
    """Responses that have not been sent completely."""

    def __init__(
        self,
        pacer: ResponsePacer,
        limit_bytes: int = MAX_PENDING_BYTES,
        budget: ByteBudget | None = None,
    ) -> None:
        self._pacer = pacer
        self._budget = budget or ByteBudget()
        self._limit = self._budget.limit or limit_bytes
        self._pending: dict[tuple[ConnectionId, int], _PendingResponse] = {}
        self._paced: dict[int, _PendingResponse] = {}
        self._pending_bytes = 0

    @property
    def count(self) -> int:
        """Return the number of incomplete responses."""
        return len(self._pending)

    @property
    def pending_bytes(self) -> int:
        """Return the total of unsent bytes."""
        return self._pending_bytes

    def send(
        self, call: Call, response: AttemptAnswered, load: AgentLoad, now: float
    ) -> list[Output]:
        """Return what may be sent of a response now, and keep the rest."""
        paced = self._pacer.is_paced(len(response.body))
        body_bytes = 0 if paced else call_messages.MAX_INLINE_BODY_BYTES
        unsent = memoryview(response.body)[body_bytes:]
        if self._pending_bytes + len(unsent) > self._limit:
            failure = Failure(
                ErrorKind.BACKEND_FAILED, "too many response bytes pending for proxies"
            )
            return [
                SendMessage(call.connection, call_messages.call_failed(call.start, failure, load))
            ]
        message = call_messages.response_start(call.start, response, load, body_bytes)
        first = SendMessage(call.connection, message)
        self._pacer.record_sent(HEAD_OVERHEAD_BYTES + len(message.body), now)
        if not unsent:
            return [first]
        pending = _PendingResponse(call.connection, call.start, unsent, call.deadline)
        self._pending[(call.connection, call.start.stream)] = pending
        self._count_pending(len(unsent))
        if not paced:
            return [first, *self._chunks(pending)]
        pending.pacer_key = call.number
        self._paced[call.number] = pending
        initial_credit = call_messages.MAX_INLINE_BODY_BYTES + INITIAL_WINDOW_BYTES
        self._pacer.add(call.number, len(unsent), initial_credit, call.target)
        return [first]

    def send_paced(self, now: float) -> list[Output]:
        """Return the chunks that the pacer schedules now."""
        outputs: list[Output] = []
        for chunk in self._pacer.next_chunks(now):
            pending = self._paced[chunk.response]
            pending.credit = chunk.size
            outputs.extend(self._chunks(pending))
        return outputs

    def add_credit(self, connection: ConnectionId, stream: int, size: int) -> list[Output]:
        """Return what ``size`` more bytes of a proxy's credit allow to be sent."""
        pending = self._pending.get((connection, stream))
        if pending is None:
            return []
        if pending.pacer_key != UNPACED:
            self._pacer.add_credit(pending.pacer_key, size)
            return []
        pending.credit += size
        return self._chunks(pending)

    def drop(self, connection: ConnectionId, stream: int) -> None:
        """Drop the rest of a response that its proxy no longer wants."""
        pending = self._pending.pop((connection, stream), None)
        if pending is not None:
            self._count_pending(-len(pending.unsent))
            self._stop_pacing(pending)

    def drop_connection(self, connection: ConnectionId) -> None:
        """Drop the responses for a proxy that has disconnected."""
        for owner, stream in tuple(self._pending):
            if owner == connection:
                self.drop(owner, stream)

    def drop_all(self) -> None:
        """Drop the rest of all responses."""
        for connection, stream in tuple(self._pending):
            self.drop(connection, stream)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of an incomplete response or the next send time."""
        if not self._pending:
            return None
        earliest = min(pending.deadline for pending in self._pending.values())
        send_time = self._pacer.next_send_time()
        return earliest if send_time is None else min(earliest, send_time)

    def expire(self, now: float, load_of: Callable[[str], AgentLoad]) -> list[Output]:
        """Fail responses that were not sent completely by their call's deadline.

        ``load_of`` returns the load to report for a group.
        """
        failure = Failure(
            ErrorKind.DEADLINE_EXCEEDED, "response not sent completely before the deadline"
        )
        expired = [pending for pending in self._pending.values() if pending.deadline <= now]
        for pending in expired:
            self.drop(pending.connection, pending.start.stream)
        return [
            SendMessage(
                each.connection,
                call_messages.call_failed(each.start, failure, load_of(each.start.group)),
            )
            for each in expired
        ]

    def _chunks(self, pending: _PendingResponse) -> list[Output]:
        outputs: list[Output] = []
        while pending.unsent and pending.credit > 0:
            size = min(MAX_CHUNK_BYTES, pending.credit, len(pending.unsent))
            data, pending.unsent = bytes(pending.unsent[:size]), pending.unsent[size:]
            pending.credit -= size
            self._count_pending(-size)
            end = not pending.unsent
            message: Message = ResponseBody(stream=pending.start.stream, data=data, end=end)
            outputs.append(SendMessage(pending.connection, message))
        if not pending.unsent:
            self._pending.pop((pending.connection, pending.start.stream), None)
            self._stop_pacing(pending)
        return outputs

    def _count_pending(self, size: int) -> None:
        """Add to the unsent bytes; negative once they are sent or dropped."""
        self._pending_bytes += size
        self._budget.adjust(Use.RESPONSE, size)

    def _stop_pacing(self, pending: _PendingResponse) -> None:
        """Remove a response from the pacer."""
        if self._paced.pop(pending.pacer_key, None) is not None:
            self._pacer.remove(pending.pacer_key)
