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


class Elections:
    """Stands for election and votes; calls ``won`` when a majority has voted for this one."""

    def __init__(self, context: ReplicaContext, won: Callable[[], None]) -> None:
        self._context = context
        self._won = won
        self._pre_vote = False
        self._votes: set[str] = set()

    def on_time(self) -> None:
        """Stand for election when the timer has run out."""
        context = self._context
        if context.role is ReplicaRole.LEADER or context.now < context.election_deadline:
            return
        context.restart_election_timer(may_hurry=True)
        if context.is_voter:
            self._begin_pre_vote()

    def elect_now(self, request: ElectNow) -> None:
        """Stand for election without a pre-vote: the leader of this term gives way."""
        context = self._context
        if request.term == context.term and context.is_voter:
            context.role = ReplicaRole.CANDIDATE
            self._campaign()

    def _begin_pre_vote(self) -> None:
        context = self._context
        context.role = ReplicaRole.CANDIDATE
        context.leader, context.leader_address = "", ""
        self._pre_vote = True
        self._votes = {context.identity}
        self._ask(context.term + 1)
        self._count()

    def _campaign(self) -> None:
        context = self._context
        self._pre_vote = False
        self._votes = set()
        context.term += 1
        context.voted_for = context.identity
        context.save_hard_state()
        context.restart_election_timer(may_hurry=True)
        context.record(events.ELECTION_STARTED, term=context.term)
        context.writes.when_synced(partial(self._own_vote_synced, context.term))

    def _own_vote_synced(self, term: int) -> None:
        context = self._context
        if context.term != term or context.role is not ReplicaRole.CANDIDATE or self._pre_vote:
            return
        self._votes.add(context.identity)
        self._ask(term)
        self._count()

    def _ask(self, term: int) -> None:
        context = self._context
        request = VoteRequest(
            term=term,
            candidate=context.identity,
            last_index=context.log.last_index,
            last_term=context.log.last_term,
            pre_vote=self._pre_vote,
        )
        for connection in context.links.open_connections():
            context.send(connection, request)

    def _count(self) -> None:
        if not is_majority(self._context.members, self._votes):
            return
        if self._pre_vote:
            self._campaign()
        else:
            self._won()

    def take_request(self, connection: ConnectionId, request: VoteRequest) -> None:
        """Answer a candidate; a vote is answered once it is synced."""
        if request.pre_vote:
            self._answer(connection, request, self._would_vote(request))
            return
        context = self._context
        context.adopt_term(request.term)
        granted = (
            request.term == context.term
            and context.voted_for in ("", request.candidate)
            and context.log.is_behind(request.last_index, request.last_term)
        )
        if granted and not context.voted_for:
            context.voted_for = request.candidate
            context.save_hard_state()
            context.restart_election_timer()
        context.writes.when_synced(partial(self._answer, connection, request, granted))

    def _would_vote(self, request: VoteRequest) -> bool:
        context = self._context
        silence = context.now - context.heard_leader_at
        leaderless = (
            context.role is not ReplicaRole.LEADER and silence >= context.settings.election_timeout
        )
        return (
            leaderless
            and request.term > context.term
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
        asked_term = context.term + 1 if self._pre_vote else context.term
        if (
            context.role is ReplicaRole.CANDIDATE
            and answer.pre_vote == self._pre_vote
            and answer.term == asked_term
        ):
            self._votes.add(answer.voter)
            self._count()
