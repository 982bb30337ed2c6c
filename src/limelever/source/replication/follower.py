"""Appends the leader's entries and snapshots, and replies by what is synced.

A reply waits for the writes before it. One to a heartbeat is also sent at once if term and identity
are synced, and states no more of the log than is: it proves that the leader is followed, which
otherwise would step down when syncs at its followers take longer than its lease.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from msgspec import Struct

from limelever.common.sansio import ConnectionId
from limelever.protocol.replication_pb2 import (
    AppendAnswer,
    AppendRequest,
    InstallSnapshot,
    LogEntry,
)
from limelever.source.replication.context import ReplicaContext, ReplicaRole


class _Echo(Struct, frozen=True):
    """What a reply repeats of its request."""

    term: int
    round: int

    @classmethod
    def of(cls, request: AppendRequest | InstallSnapshot) -> _Echo:
        return cls(request.term, request.round)


class Follower:
    """Handles appends and snapshots from the leader of the current term."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context

    def take_append(self, connection: ConnectionId, request: AppendRequest) -> None:
        """Append entries that follow this log, or reply with the index to try from."""
        if not self._accepts(request.term, request.leader, request.leader_operator_address):
            self._answer(connection, _Echo.of(request), False, 0)
            return
        log = self._context.log
        matches = request.previous_index < log.base_index or (
            log.term_at(request.previous_index) == request.previous_term
        )
        if not matches:
            hint = min(request.previous_index - 1, log.last_index)
            self._answer_synced(connection, _Echo.of(request), False, max(hint, 0))
            return
        if not self._take_entries(request.entries):
            return
        match = max(request.previous_index + len(request.entries), log.base_index)
        self._context.commit_to(min(request.commit_index, match))
        if request.entries:
            self._answer_synced(connection, _Echo.of(request), True, match)
        else:
            self._answer_heartbeat(connection, _Echo.of(request), match)

    def take_snapshot(self, connection: ConnectionId, request: InstallSnapshot) -> None:
        """Install a snapshot, unless its entries are committed here already."""
        if not self._accepts(request.term, request.leader, ""):
            self._answer(connection, _Echo.of(request), False, 0)
            return
        if request.snapshot.last_index > self._context.commit_index:
            self._context.install(request.snapshot)
        self._answer_synced(connection, _Echo.of(request), True, request.snapshot.last_index)

    def _accepts(self, term: int, leader: str, address: str) -> bool:
        context = self._context
        if term < context.term:
            return False
        context.adopt_term(term)
        if context.role is ReplicaRole.LEADER:
            context.refuse_to_go_on(f"two leaders, {leader} and this one, in term {term}")
            return False
        context.follow(leader, address or context.leader_address)
        return True

    def _take_entries(self, entries: Sequence[LogEntry]) -> bool:
        """Append new entries and truncate conflicting ones; return whether the log is sound."""
        context = self._context
        for position, entry in enumerate(entries):
            held = context.log.term_at(entry.index)
            if entry.index <= context.log.base_index or held == entry.term:
                continue
            if held is not None:
                if entry.index <= context.commit_index:
                    context.refuse_to_go_on(f"committed entry {entry.index} differs")
                    return False
                context.cut_from(entry.index)
            context.append(entries[position:])
            break
        return True

    def _answer_heartbeat(self, connection: ConnectionId, echo: _Echo, match: int) -> None:
        """Follow the leader at once, with as much of the log up to ``match`` as is synced."""
        context = self._context
        follows = context.writes.state_is_synced
        synced = context.writes.synced_index(context.log.last_index)
        if follows:
            self._answer(connection, echo, True, min(match, synced))
        if not follows or synced < match:
            self._answer_synced(connection, echo, True, match)

    def _answer_synced(
        self, connection: ConnectionId, echo: _Echo, success: bool, match: int
    ) -> None:
        answer = partial(self._answer, connection, echo, success, match)
        self._context.writes.when_synced(answer)

    def _answer(self, connection: ConnectionId, echo: _Echo, success: bool, match: int) -> None:
        context = self._context
        message = AppendAnswer(
            term=context.term,
            follower=context.identity,
            success=success,
            match_index=match,
            round=echo.round,
            request_term=echo.term,
        )
        context.send(connection, message)
