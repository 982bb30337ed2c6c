"""Specification of the replicated log: votes, commit, lost disks and membership.

A request and its answer are one step; a vote that is counted late equals a candidate that acts
late. Entries are synced before they are acknowledged. Identities 0, 1 and 2 are the first members.
Identity 3 is what the machine of the first lost disk returns under, as a learner. A membership
entry changes one voter and is in effect for a replica as soon as it is in its log; a leader appends
one only after an entry of its own term and the membership entry before are committed.
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass

from limelever_lab.model.replication_properties import (
    committed_never_reverted,
    election_witnesses,
    leader_holds_committed,
    one_leader_a_term,
    repair_witnesses,
)
from limelever_lab.model.replication_state import (
    LEARNER,
    NOBODY,
    Cluster,
    Entry,
    Replica,
    Role,
    adopt_term,
    append_next,
    holders,
    identities_in,
    is_quorum,
    last_position,
    may_change_members,
    members_in_effect,
    next_members,
    reachable,
    record_commit,
    with_replica,
)
from limelever_lab.model.specification import Specification, Step, replace_at


class Fault(enum.Enum):
    """Mechanisms that a broken variant switches off."""

    VOTE_NOT_SYNCED = "vote-not-synced"
    ENTRY_NOT_SYNCED = "entry-not-synced"
    COMMIT_EARLIER_TERM = "commit-earlier-term"
    VOTE_FOR_SHORTER_LOG = "vote-for-shorter-log"
    REJOIN_SAME_IDENTITY = "rejoin-same-identity"
    LEARNER_COUNTS = "learner-counts"
    CHANGES_OVERLAP = "changes-overlap"


@dataclass(frozen=True)
class Bounds:
    """Sizes up to which the state space is explored."""

    terms: int
    log_length: int
    losses: int


def build(name: str, bounds: Bounds, variant: str | None) -> Specification[Cluster]:
    """Return the specification for a variant, or the true protocol for None."""
    rules = Rules(bounds, None if variant is None else Fault(variant))
    return Specification(
        name=name,
        initial=initial_cluster(bounds),
        steps=rules.steps,
        invariants={
            "one leader a term": one_leader_a_term,
            "leader holds what is committed": leader_holds_committed,
            "committed entries never change": committed_never_reverted,
        },
        witnesses=repair_witnesses() if bounds.losses else election_witnesses(),
    )


def initial_cluster(bounds: Bounds) -> Cluster:
    """Replica 0 has just been elected in term 1; by symmetry no other start is needed."""
    identities = 4 if bounds.losses else 3
    nothing_matched = (0,) * identities
    leader = Replica(Role.LEADER, 1, 0, 0, nothing_matched, (), 0)
    voter = Replica(Role.FOLLOWER, 1, 0, 0, (), (), 0)
    unaware = Replica(Role.FOLLOWER, 0, NOBODY, 0, (), (), 0)
    absent = Replica(Role.ABSENT, 0, NOBODY, 0, (), (), 0)
    return Cluster((leader, voter, unaware, absent)[:identities], (), 0, False, 0)


class Rules:
    """The actions of the replicated log."""

    def __init__(self, bounds: Bounds, fault: Fault | None) -> None:
        self._bounds = bounds
        self._fault = fault

    def steps(self, cluster: Cluster) -> Iterator[Step[Cluster]]:
        """Yield every enabled action."""
        for identity, replica in enumerate(cluster.replicas):
            if replica.role in (Role.LOST, Role.ABSENT):
                continue
            yield from self._campaign(cluster, identity)
            yield from self._restart(cluster, identity)
            yield from self._lose_disk(cluster, identity)
            if replica.role is Role.CANDIDATE:
                yield from self._request_votes(cluster, identity)
            if replica.role is Role.LEADER:
                yield from self._lead(cluster, identity)

    def _lead(self, cluster: Cluster, leader: int) -> Iterator[Step[Cluster]]:
        yield from self._write(cluster, leader)
        yield from self._replicate(cluster, leader)
        yield from self._commit(cluster, leader)
        yield from self._change_membership(cluster, leader)

    def _campaign(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        replica = cluster.replicas[identity]
        if replica.role is Role.LEADER or replica.term >= self._bounds.terms:
            return
        if not self._members(cluster, replica) >> identity & 1:
            return
        candidate = replica._replace(
            role=Role.CANDIDATE,
            term=replica.term + 1,
            voted_for=identity,
            votes=1 << identity,
        )
        yield Step(f"campaign({identity})", with_replica(cluster, identity, candidate))

    def _request_votes(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        candidate = cluster.replicas[identity]
        for voter_identity, voter in enumerate(cluster.replicas):
            if voter_identity == identity or not reachable(voter, candidate.term):
                continue
            voter = adopt_term(voter, candidate.term)
            granted = voter.voted_for in (NOBODY, identity) and self._log_permits(candidate, voter)
            if granted:
                voter = voter._replace(voted_for=identity)
            after = with_replica(cluster, voter_identity, voter)
            if granted:
                after = self._count_vote(after, identity, voter_identity)
            if after != cluster:
                yield Step(f"request_vote({identity} of {voter_identity})", after)

    def _log_permits(self, candidate: Replica, voter: Replica) -> bool:
        if self._fault is Fault.VOTE_FOR_SHORTER_LOG:
            return True
        return last_position(candidate.log) >= last_position(voter.log)

    def _count_vote(self, cluster: Cluster, identity: int, voter: int) -> Cluster:
        candidate = cluster.replicas[identity]
        votes = candidate.votes | 1 << voter
        candidate = candidate._replace(votes=votes)
        if is_quorum(votes, self._members(cluster, candidate)):
            candidate = candidate._replace(
                role=Role.LEADER, votes=0, matched=(0,) * len(cluster.replicas)
            )
        return with_replica(cluster, identity, candidate)

    def _write(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        leader = cluster.replicas[identity]
        own_term_written = bool(leader.log) and leader.log[-1].term == leader.term
        if len(leader.log) >= self._bounds.log_length or own_term_written:
            return
        log = (*leader.log, Entry(leader.term, 0))
        yield Step(f"write({identity})", with_replica(cluster, identity, leader._replace(log=log)))

    def _replicate(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        leader = cluster.replicas[identity]
        for follower_identity, follower in enumerate(cluster.replicas):
            if follower_identity == identity or not reachable(follower, leader.term):
                continue
            follower, matched = append_next(leader, adopt_term(follower, leader.term))
            acknowledged = max(leader.matched[follower_identity], matched)
            positions = replace_at(leader.matched, follower_identity, acknowledged)
            after = with_replica(cluster, follower_identity, follower)
            after = with_replica(after, identity, leader._replace(matched=positions))
            if after != cluster:
                yield Step(f"append({identity} to {follower_identity})", after)

    def _commit(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        leader = cluster.replicas[identity]
        members = self._members(cluster, leader)
        for length in range(leader.commit + 1, len(leader.log) + 1):
            if not is_quorum(holders(leader, identity, length), members):
                return
            own_term = leader.log[length - 1].term == leader.term
            if own_term or self._fault is Fault.COMMIT_EARLIER_TERM:
                after = record_commit(cluster, identity, length)
                yield Step(f"commit({identity} up to {length})", after)

    def _change_membership(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        leader = cluster.replicas[identity]
        if not self._bounds.losses or len(leader.log) >= self._bounds.log_length:
            return
        if not may_change_members(leader) and self._fault is not Fault.CHANGES_OVERLAP:
            return
        members = next_members(cluster, identity)
        if members is None:
            return
        log = (*leader.log, Entry(leader.term, members))
        after = with_replica(cluster, identity, leader._replace(log=log))
        yield Step(f"change_membership({identity} to {members:04b})", after)

    def _restart(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        replica = cluster.replicas[identity]
        after = replica._replace(role=Role.FOLLOWER, votes=0, matched=(), commit=0)
        if self._fault is Fault.VOTE_NOT_SYNCED:
            after = after._replace(voted_for=NOBODY)
        if self._fault is Fault.ENTRY_NOT_SYNCED:
            after = after._replace(log=replica.log[:-1])
        if after != replica:
            yield Step(f"restart({identity})", with_replica(cluster, identity, after))

    def _lose_disk(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        if cluster.losses >= self._bounds.losses:
            return
        blank = Replica(Role.FOLLOWER, 0, NOBODY, 0, (), (), 0)
        if self._fault is Fault.REJOIN_SAME_IDENTITY:
            after = with_replica(cluster, identity, blank)
        else:
            after = with_replica(cluster, identity, blank._replace(role=Role.LOST))
            if after.replicas[LEARNER].role is Role.ABSENT:
                after = with_replica(after, LEARNER, blank)
        after = after._replace(losses=cluster.losses + 1)
        yield Step(f"lose_disk({identity})", after)

    def _members(self, cluster: Cluster, replica: Replica) -> int:
        """Return the bit set of identities that count for a replica."""
        members = members_in_effect(replica)
        if self._fault is not Fault.LEARNER_COUNTS:
            return members
        learner_present = cluster.replicas[LEARNER].role is not Role.ABSENT
        return members & ~identities_in(cluster, Role.LOST) | learner_present << LEARNER
