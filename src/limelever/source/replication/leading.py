"""The leader: appends and commits entries, and proves its leadership by rounds of messages."""

from __future__ import annotations

from functools import partial

from limelever.common.sansio import ConnectionId
from limelever.protocol.config_pb2 import Batch
from limelever.protocol.replication_pb2 import (
    AppendAnswer,
    ElectNow,
    LogEntry,
    Member,
    MemberSet,
    NoOperation,
    ReadIndexAnswer,
    ReadIndexRequest,
)
from limelever.source import events
from limelever.source.replication.context import ReplicaContext, ReplicaRole
from limelever.source.replication.members import is_member, majority_value
from limelever.source.replication.progress import Progress, Rounds
from limelever.source.replication.reads import LeaderReads, ReadAnswer
from limelever.source.replication.sending import LogSender


class Leadership:
    """State of a leader; its messages are dropped while the context has another role."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self._sender = LogSender(context)
        self._rounds = Rounds()
        self._reads = LeaderReads()
        self._own_match = 0
        self._first_index = 0
        self._heartbeat_due = 0.0

    @property
    def leading(self) -> bool:
        """Return whether this replica leads."""
        return self._context.role is ReplicaRole.LEADER

    @property
    def may_change_members(self) -> bool:
        """Return whether an entry of this term and the last member set are committed.

        Without the former, single changes of two leaders could take effect concurrently, with
        majorities that do not overlap.
        """
        committed = self._context.commit_index
        return (
            self.leading
            and committed >= self._first_index
            and committed >= self._context.log.members_index
        )

    def begin(self) -> None:
        """Become the leader; an entry of the new term allows earlier ones to be committed."""
        context = self._context
        context.role = ReplicaRole.LEADER
        context.leader = context.identity
        context.leader_address = context.settings.operator_address
        context.election_deadline = float("inf")
        context.record(events.LEADER_ELECTED, term=context.term)
        self._rounds.begin_leadership(context.now)
        self._sender = LogSender(context)
        self._sender.round_number = self._rounds.begin(context.now)
        self._own_match = 0
        self._first_index = context.log.last_index + 1
        self._append(LogEntry(no_operation=NoOperation()))
        self._begin_round()

    def lost(self) -> None:
        """Fail the requests that only a leader may answer."""
        self._sender = LogSender(self._context)
        self._reads.fail_all()

    # --- entries ----------------------------------------------------------------------------

    def propose(self, batch: Batch, rules: int) -> int:
        """Append a batch, which the state machine validates by ``rules``; return its index."""
        return self._append(LogEntry(batch=batch, rules=rules))

    def change_members(self, members: MemberSet) -> int:
        """Append a member set, which takes effect immediately; return its index."""
        return self._append(LogEntry(members=members))

    def _append(self, entry: LogEntry) -> int:
        context = self._context
        entry.index = context.log.last_index + 1
        entry.term = context.term
        context.append([entry])
        context.writes.when_synced(partial(self._own_synced, entry.term, entry.index))
        self._sender.send_to_all()
        return entry.index

    def _own_synced(self, term: int, index: int) -> None:
        if self.leading and self._context.term == term:
            self._own_match = max(self._own_match, index)
            self._commit()

    def _commit(self) -> None:
        """Commit up to the newest entry of this term that a majority has synced to disk."""
        context = self._context
        matches = {name: progress.match_index for name, progress in self._sender.progress.items()}
        matches[context.identity] = self._own_match
        index = majority_value(context.members, matches)
        if index <= context.commit_index or context.log.term_at(index) != context.term:
            return
        context.commit_to(index)
        self._check_rounds()
        self._sender.send_to_all()
        if not is_member(context.members, context.identity) and (
            context.commit_index >= context.log.members_index
        ):
            context.step_down("this replica was removed")

    # --- followers --------------------------------------------------------------------------

    def heard_lately(self, identity: str) -> bool:
        """Return whether a member's disk was heard of within the lease; true for this replica."""
        if identity == self._context.identity:
            return True
        heard_at = self._sender.progress_of(identity).heard_at
        return self._context.now - heard_at < self._context.settings.lease

    def silent_for(self, identity: str) -> float:
        """Return the time in seconds since a member's disk was last heard of by this leader."""
        if identity == self._context.identity:
            return 0.0
        progress = self._sender.progress_of(identity)
        return self._context.now - max(progress.heard_at, progress.known_since)

    def successor(self) -> Member | None:
        """Return the voter with the most complete log among those heard within the lease."""
        context = self._context
        candidates = [
            member
            for member in context.members.members
            if member.voter
            and member.identity != context.identity
            and self.heard_lately(member.identity)
        ]
        return max(candidates, key=lambda m: self.matched_index(m.identity), default=None)

    def hand_over(self) -> None:
        """Ask the best follower to start an election at once, as before a planned stop."""
        successor = self.successor() if self.leading else None
        if successor is None:
            return
        connection = self._context.links.connection_to(successor.name)
        if connection is not None:
            fields: dict[str, object] = {"successor": successor.identity}
            self._context.record(events.LEADERSHIP_HANDED_OVER, **fields)
            self._context.send(connection, ElectNow(term=self._context.term))

    def matched_index(self, identity: str) -> int:
        """Return the highest index that a member is known to have synced."""
        if identity == self._context.identity:
            return self._own_match
        known = self._sender.progress.get(identity)
        return known.match_index if known is not None else 0

    def take_answer(self, answer: AppendAnswer) -> None:
        """Handle a follower's reply; one of another term proves nothing."""
        context = self._context
        context.adopt_term(answer.term)
        member = self._member(answer.follower)
        if not self.leading or member is None or not self._is_current(answer):
            return
        if answer.match_index > context.log.last_index:
            return  # no request has stated an entry beyond this log
        progress = self._sender.progress_of(answer.follower)
        progress.acked_round = max(progress.acked_round, answer.round)
        if answer.success:
            base = context.log.base_index
            progress.take_success(answer.match_index, answer.round, context.now, base)
            self._commit()
        else:
            self._take_refusal(answer, progress)
        if self.leading and self._sender.has_more_for(progress):
            self._sender.send(member)
        self._check_rounds()

    def _is_current(self, answer: AppendAnswer) -> bool:
        """Return whether a reply is to a request of this leadership."""
        term = self._context.term
        requested_in = answer.request_term or answer.term  # older builds state none
        return {answer.term, requested_in} == {term} and self._rounds.has_begun(answer.round)

    def _take_refusal(self, answer: AppendAnswer, progress: Progress) -> None:
        synced = progress.match_index
        progress.heard_at = self._context.now
        if progress.take_refusal(answer.match_index, answer.round):
            fields = {"identity": answer.follower, "synced": synced, "held": answer.match_index}
            self._context.record(events.FOLLOWER_ROLLED_BACK, **fields)

    def _member(self, identity: str) -> Member | None:
        members = self._context.members.members
        return next((member for member in members if member.identity == identity), None)

    # --- rounds and reads -------------------------------------------------------------------

    def on_time(self) -> None:
        """Send heartbeats when due; step down if no majority replied within the lease."""
        context = self._context
        if not self.leading:
            return
        if context.now >= self._rounds.proved_at + context.settings.lease:
            context.step_down("no majority heard within the lease")
        elif context.now >= self._heartbeat_due:
            self._begin_round()

    def next_deadline(self) -> float | None:
        """Return when a heartbeat is due or the lease ends."""
        if not self.leading:
            return None
        lease_end = self._rounds.proved_at + self._context.settings.lease
        return min(self._heartbeat_due, lease_end)

    def _begin_round(self) -> None:
        context = self._context
        self._heartbeat_due = context.now + context.settings.heartbeat_interval
        self._sender.round_number = self._rounds.begin(context.now)
        self._reads.round_began(self._sender.round_number)
        self._sender.send_to_all()
        self._check_rounds()

    def _check_rounds(self) -> None:
        """Prove the newest round that a majority acknowledged, and answer the reads it proves."""
        if not self.leading:
            return
        context = self._context
        acked = {name: progress.acked_round for name, progress in self._sender.progress.items()}
        acked[context.identity] = self._rounds.current
        self._rounds.prove(majority_value(context.members, acked))
        if context.commit_index >= self._first_index:
            self._reads.round_proved(self._rounds.proved, context.commit_index)
        if self._reads.wants_round:
            self._begin_round()

    def read(self, answer: ReadAnswer) -> None:
        """Prove a read: ``answer`` receives an index that covers everything committed before."""
        self._reads.add(answer)
        if self._reads.wants_round:
            self._begin_round()

    def take_read_request(self, connection: ConnectionId, request: ReadIndexRequest) -> None:
        """Prove a follower's read."""
        answer = partial(self._answer_read, connection, request.token)
        if self.leading:
            self.read(answer)
        else:
            answer(None)

    def _answer_read(self, connection: ConnectionId, token: int, index: int | None) -> None:
        message = ReadIndexAnswer(token=token, ok=index is not None, index=index or 0)
        self._context.send(connection, message)
