"""Elections: pre-vote, then one synced vote a term.

The pre-vote asks whether an election could be won, without raising anyone's term, so that a
replica that was cut off does not unseat a healthy leader when it comes back.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from limelever.common.sansio import ConnectionId
from limelever.protocol.replication_pb2 import ElectNow, VoteAnswer, VoteRequest
from limelever.source import events
from limelever.source.replication.context import ReplicaContext, ReplicaRole
from limelever.source.replication.members import is_majority

REPORT_INTERVAL_SECONDS = 1.0
"""Time between two events on a missing leader."""


class Elections:
    """Stands for election and votes; calls ``won`` when a majority has voted for this one.

    A candidate asks while its own vote is being synced, and wins once that is. Its votes stay
    valid for as long as it is in its term, also while it asks for pre-votes once more.
    """

    def __init__(self, context: ReplicaContext, won: Callable[[], None]) -> None:
        self._context = context
        self._won = won
        self._pre_votes: set[str] = set()
        self._votes: set[str] = set()
        self._syncing_term: int | None = None
        self._asked_at = float("-inf")
        self._reported_at = float("-inf")

    def on_time(self) -> None:
        """Stand for election when the timer has run out."""
        context = self._context
        if context.role is ReplicaRole.LEADER or context.now < context.election_deadline:
            return
        context.restart_election_timer(may_hurry=True)
        if context.is_voter and self._syncing_term is None:
            self._begin_pre_vote()

    def elect_now(self, request: ElectNow) -> None:
        """Stand for election without a pre-vote: the leader of this term gives way."""
        context = self._context
        if request.term == context.term and context.is_voter:
            self._campaign()

    def _begin_pre_vote(self) -> None:
        context = self._context
        if self._pre_votes and context.heard_leader_at < self._asked_at:
            self._report_missing_leader()
        self._asked_at = context.now
        context.role = ReplicaRole.CANDIDATE
        context.leader, context.leader_address = "", ""
        self._pre_votes = {context.identity}
        self._ask(context.term + 1, pre_vote=True)
        self._count_pre_votes()

    def _report_missing_leader(self) -> None:
        """Record how far the last pre-vote went, which did not lead to an election."""
        context = self._context
        if context.now < self._reported_at + REPORT_INTERVAL_SECONDS:
            return
        self._reported_at = context.now
        voters = [member for member in context.members.members if member.voter]
        context.record(
            events.LEADER_MISSING,
            supporters=len(self._pre_votes),
            voters=len(voters),
            links=len(context.links.open_connections()),
            term=context.term,
            last_index=context.log.last_index,
            last_term=context.log.last_term,
        )

    def _campaign(self) -> None:
        context = self._context
        context.role = ReplicaRole.CANDIDATE
        self._pre_votes = set()
        self._votes = set()
        context.term += 1
        context.voted_for = context.identity
        context.save_hard_state()
        context.record(events.ELECTION_STARTED, term=context.term)
        self._vote_begins(context.term)
        self._ask(context.term, pre_vote=False)
        context.writes.when_synced(partial(self._own_vote_synced, context.term))

    def _own_vote_synced(self, term: int) -> None:
        context = self._context
        self._vote_synced(term, may_hurry=True)
        if context.term == term and context.role is ReplicaRole.CANDIDATE and self._stood:
            self._votes.add(context.identity)
            self._count_votes()

    def _vote_begins(self, term: int) -> None:
        """Hold the timer while this replica's vote, for itself or another, is being synced."""
        self._syncing_term = term
        self._context.hold_election_timer()

    def _vote_synced(self, term: int, *, may_hurry: bool) -> None:
        """Let the timer run again: only from here on does it measure how long others take."""
        context = self._context
        if term != self._syncing_term:
            return
        self._syncing_term = None
        if context.role is not ReplicaRole.LEADER:
            context.restart_election_timer(may_hurry=may_hurry)

    @property
    def _stood(self) -> bool:
        """Return whether this replica voted for itself in the current term."""
        return self._context.voted_for == self._context.identity

    def _ask(self, term: int, *, pre_vote: bool) -> None:
        context = self._context
        request = VoteRequest(
            term=term,
            candidate=context.identity,
            last_index=context.log.last_index,
            last_term=context.log.last_term,
            pre_vote=pre_vote,
        )
        for connection in context.links.open_connections():
            context.send(connection, request)

    def _count_pre_votes(self) -> None:
        if is_majority(self._context.members, self._pre_votes):
            self._campaign()

    def _count_votes(self) -> None:
        """Win with a majority, once this replica's own vote is synced and all writes before it.

        A vote that comes after that must not begin a second leadership in the same term, which
        would forget the progress of the followers.
        """
        own = self._context.identity in self._votes
        if own and is_majority(self._context.members, self._votes):
            self._votes = set()
            self._won()

    def take_request(self, connection: ConnectionId, request: VoteRequest) -> None:
        """Answer a candidate; a vote is answered once it is synced."""
        if request.pre_vote:
            self._answer(connection, request, self._would_vote(request))
            return
        context = self._context
        granted = self._may_vote(request)
        if granted and (request.term > context.term or not context.voted_for):
            self._vote(request)
        context.adopt_term(request.term)
        context.writes.when_synced(partial(self._answer, connection, request, granted))

    def _may_vote(self, request: VoteRequest) -> bool:
        context = self._context
        free = request.term > context.term or (
            request.term == context.term and context.voted_for in ("", request.candidate)
        )
        return free and context.log.is_behind(request.last_index, request.last_term)

    def _vote(self, request: VoteRequest) -> None:
        context = self._context
        if request.term > context.term:
            context.adopt_term(request.term, vote=request.candidate)
        else:
            context.voted_for = request.candidate
            context.role = ReplicaRole.FOLLOWER
            context.save_hard_state()
        self._vote_begins(request.term)
        synced = partial(self._vote_synced, request.term, may_hurry=False)
        context.writes.when_synced(synced)

    def _would_vote(self, request: VoteRequest) -> bool:
        """Return whether a vote would be given; not while one that may elect is being synced."""
        context = self._context
        silence = context.now - context.heard_leader_at
        leaderless = (
            context.role is not ReplicaRole.LEADER and silence >= context.settings.election_timeout
        )
        return (
            leaderless
            and request.term > context.term
            and self._syncing_term is None
            and context.log.is_behind(request.last_index, request.last_term)
        )

    def _answer(self, connection: ConnectionId, request: VoteRequest, granted: bool) -> None:
        context = self._context
        answer = VoteAnswer(
            term=request.term if granted else context.term,
            granted=granted,
            pre_vote=request.pre_vote,
            voter=context.identity,
        )
        context.send(connection, answer)

    def take_answer(self, answer: VoteAnswer) -> None:
        """Count a vote for the election under way; answers to earlier ones are dropped."""
        context = self._context
        if not answer.granted:
            context.adopt_term(answer.term)
            return
        if context.role is not ReplicaRole.CANDIDATE:
            return
        if answer.pre_vote and self._pre_votes and answer.term == context.term + 1:
            self._pre_votes.add(answer.voter)
            self._count_pre_votes()
        elif not answer.pre_vote and answer.term == context.term and self._stood:
            self._votes.add(answer.voter)
            self._count_votes()
