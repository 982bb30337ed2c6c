"""Sends answers to proxies, the long ones no faster than the proxies read them.

The first 256 KiB of an answer travel in its first message, the next 256 KiB follow at once, and
the rest as ``CallCredit`` gives room. Where the link's rate is known, the first message of a long
answer is its head alone, and its body follows in parts as ``AnswerLink`` gives it turns. What waits
is bounded in all: a proxy that stops reading costs the agent neither its memory nor the link that
other calls use.
"""

from __future__ import annotations

from collections.abc import Callable

from google.protobuf.message import Message
from msgspec import Struct

from limelever.agent import call_messages
from limelever.agent.answer_link import AnswerLink
from limelever.agent.calls import Call
from limelever.agent.interface import AttemptAnswered
from limelever.common.errors import ErrorKind, Failure
from limelever.common.sansio import ConnectionId, Output, SendMessage
from limelever.protocol.calls_pb2 import AgentLoad, CallStart, ResponseBody

WINDOW_BYTES = 256 * 1024
"""Bytes that may follow the first message before the proxy has given any credit."""

PART_BYTES = 64 * 1024
"""Largest part of a long answer; other calls' messages go in between."""

PENDING_LIMIT_BYTES = 16 * 1024 * 1024
"""Bytes of all answers that wait for credit; past it an answer is lost, which its proxy hears."""


UNPACED = 0
"""In place of a number on the link: the answer goes as its proxy's credit allows."""

HEAD_BYTES = 300
"""About what an answer costs its link besides its body."""


class _Pending(Struct):
    """The rest of an answer; ``deadline`` is its call's, in monotonic seconds.

    ``turn`` is the number by which the link gives it turns.
    """

    connection: ConnectionId
    start: CallStart
    rest: memoryview
    deadline: float
    turn: int = UNPACED
    credit: int = WINDOW_BYTES


class AnswerSender:
    """Answers that proxies have not yet taken whole."""

    def __init__(self, link: AnswerLink, limit_bytes: int = PENDING_LIMIT_BYTES) -> None:
        self._link = link
        self._limit = limit_bytes
        self._pending: dict[tuple[ConnectionId, int], _Pending] = {}
        self._by_turn: dict[int, _Pending] = {}
        self._pending_bytes = 0

    @property
    def count(self) -> int:
        """Return the number of answers that wait for credit."""
        return len(self._pending)

    @property
    def pending_bytes(self) -> int:
        """Return the bytes that wait for credit."""
        return self._pending_bytes

    def send(
        self, call: Call, answer: AttemptAnswered, load: AgentLoad, now: float
    ) -> list[Output]:
        """Return what may be sent of an answer now, and keep the rest."""
        paced = self._link.is_paced(len(answer.body))
        part_bytes = 0 if paced else call_messages.FIRST_PART_BYTES
        rest = memoryview(answer.body)[part_bytes:]
        if self._pending_bytes + len(rest) > self._limit:
            failure = Failure(ErrorKind.BACKEND_FAILED, "answers that proxies do not take in")
            return [
                SendMessage(call.connection, call_messages.call_failed(call.start, failure, load))
            ]
        message = call_messages.first_part(call.start, answer, load, part_bytes)
        first = SendMessage(call.connection, message)
        self._link.sent_at_once(HEAD_BYTES + len(message.body), now)
        if not rest:
            return [first]
        pending = _Pending(call.connection, call.start, rest, call.deadline)
        self._pending[(call.connection, call.start.stream)] = pending
        self._pending_bytes += len(rest)
        if not paced:
            return [first, *self._parts(pending)]
        pending.turn = call.number
        self._by_turn[call.number] = pending
        allowed = call_messages.FIRST_PART_BYTES + WINDOW_BYTES
        self._link.add(call.number, len(rest), allowed, call.target)
        return [first]

    def send_on(self, now: float) -> list[Output]:
        """Return the parts of answers whose turn it is on the link."""
        outputs: list[Output] = []
        for part in self._link.parts(now):
            pending = self._by_turn[part.answer]
            pending.credit = part.size
            outputs.extend(self._parts(pending))
        return outputs

    def credit(self, connection: ConnectionId, stream: int, size: int) -> list[Output]:
        """Return what a proxy's credit of ``size`` bytes allows to be sent."""
        pending = self._pending.get((connection, stream))
        if pending is None:
            return []
        if pending.turn != UNPACED:
            self._link.allow(pending.turn, size)
            return []
        pending.credit += size
        return self._parts(pending)

    def drop(self, connection: ConnectionId, stream: int) -> None:
        """Drop the rest of an answer that its proxy no longer wants."""
        pending = self._pending.pop((connection, stream), None)
        if pending is not None:
            self._pending_bytes -= len(pending.rest)
            self._leave(pending)

    def drop_connection(self, connection: ConnectionId) -> None:
        """Drop the answers for a proxy that is gone."""
        for at, stream in tuple(self._pending):
            if at == connection:
                self.drop(at, stream)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting answer, or when a part has its turn."""
        if not self._pending:
            return None
        earliest = min(pending.deadline for pending in self._pending.values())
        turn = self._link.next_turn()
        return earliest if turn is None else min(earliest, turn)

    def expire(self, now: float, load_of: Callable[[str], AgentLoad]) -> list[Output]:
        """Give up answers that were not taken by their call's deadline.

        ``load_of`` returns the load that goes with the answer to a call of a group.
        """
        failure = Failure(ErrorKind.DEADLINE_EXCEEDED, "the answer was not taken in time")
        late = [pending for pending in self._pending.values() if pending.deadline <= now]
        for pending in late:
            self.drop(pending.connection, pending.start.stream)
        return [
            SendMessage(
                each.connection,
                call_messages.call_failed(each.start, failure, load_of(each.start.group)),
            )
            for each in late
        ]

    def _parts(self, pending: _Pending) -> list[Output]:
        outputs: list[Output] = []
        while pending.rest and pending.credit > 0:
            size = min(PART_BYTES, pending.credit, len(pending.rest))
            data, pending.rest = bytes(pending.rest[:size]), pending.rest[size:]
            pending.credit -= size
            self._pending_bytes -= size
            end = not pending.rest
            message: Message = ResponseBody(stream=pending.start.stream, data=data, end=end)
            outputs.append(SendMessage(pending.connection, message))
        if not pending.rest:
            self._pending.pop((pending.connection, pending.start.stream), None)
            self._leave(pending)
        return outputs

    def _leave(self, pending: _Pending) -> None:
        """Give an answer no more turns on the link."""
        if self._by_turn.pop(pending.turn, None) is not None:
            self._link.remove(pending.turn)
