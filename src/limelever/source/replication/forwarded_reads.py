"""Reads at a follower: the leader proves the index, the follower waits until it is applied."""

from __future__ import annotations

from msgspec import Struct

from limelever.common.sansio import ConnectionId
from limelever.protocol.replication_pb2 import ReadIndexAnswer, ReadIndexRequest
from limelever.source.replication.context import ReplicaContext


class _Forwarded(Struct):
    token: int
    deadline: float
    index: int | None = None


class ForwardedReads:
    """Forwards reads to the leader; a read without an answer fails after a timeout."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._reads: dict[int, _Forwarded] = {}
        self._last = 0

    def forward(self, token: int) -> None:
        """Ask the leader to prove a read; fails at once when none can be asked."""
        context = self._context
        connection = self.connection_to_leader()
        if connection is None:
            context.application.read_proved(token, False)
            return
        self._last += 1
        deadline = context.now + context.settings.election_timeout
        self._reads[self._last] = _Forwarded(token, deadline)
        context.send(connection, ReadIndexRequest(token=self._last))

    def connection_to_leader(self) -> ConnectionId | None:
        """Return the dialled link to the leader, or ``None``."""
        context = self._context
        for member in context.members.members:
            if member.identity == context.leader:
                return context.links.connection_to(member.name)
        return None

    def take_answer(self, answer: ReadIndexAnswer) -> None:
        """Take the leader's answer."""
        read = self._reads.get(answer.token)
        if read is None:
            return
        if not answer.ok:
            self._finish(answer.token, False)
            return
        read.index = answer.index
        self.on_commit()

    def on_commit(self) -> None:
        """Finish the reads whose index is applied now."""
        done = [
            number
            for number, read in self._reads.items()
            if read.index is not None and read.index <= self._context.commit_index
        ]
        for number in done:
            self._finish(number, True)

    def on_time(self) -> None:
        """Fail the reads that have waited too long."""
        now = self._context.now
        for number in [n for n, read in self._reads.items() if read.deadline <= now]:
            self._finish(number, False)

    def next_deadline(self) -> float | None:
        """Return when the oldest read fails."""
        return min((read.deadline for read in self._reads.values()), default=None)

    def _finish(self, number: int, proved: bool) -> None:
        read = self._reads.pop(number)
        self._context.application.read_proved(read.token, proved)
