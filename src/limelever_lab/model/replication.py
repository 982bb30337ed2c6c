"""Specification of the replicated log: votes, commit, lost disks and membership.

A request and its answer are one step; a vote that is counted late equals a candidate that acts
late. Entries are synced before they are acknowledged. Identities 0, 1 and 2 are the first members.
Identity 3 is what the machine of the first lost disk returns under, as a learner. A membership
entry changes one voter and is in effect for a replica as soon as it is in its log; a leader appends
one only after an entry of its own term and the membership entry before are committed.
"""

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from limelever_lab.model.specification import Specification, Step, replace_at

NOBODY = -1
LEARNER = 3
FIRST_MEMBERS = 0b0111
REPAIRED_MEMBERS = 3


class Role(enum.IntEnum):
    """What a replica identity is doing."""

    FOLLOWER = 0
    CANDIDATE = 1
    LEADER = 2
    LOST = 3
    ABSENT = 4


class Fault(enum.Enum):
    """Mechanisms that a broken variant switches off."""

    VOTE_NOT_SYNCED = "vote-not-synced"
    ENTRY_NOT_SYNCED = "entry-not-synced"
    COMMIT_EARLIER_TERM = "commit-earlier-term"
    VOTE_FOR_SHORTER_LOG = "vote-for-shorter-log"
    REJOIN_SAME_IDENTITY = "rejoin-same-identity"
    LEARNER_COUNTS = "learner-counts"
    CHANGES_OVERLAP = "changes-overlap"


class Entry(NamedTuple):
    """A log entry; members is a bit set for a membership change and zero for a write."""

    term: int
    members: int


class Replica(NamedTuple):
    """State of one identity: its synced term, vote and log, and what it keeps in memory.

    The commit position is that of a leader in its own term, which is all that the rules need.
    """

    role: Role
    term: int
    voted_for: int
    votes: int
    matched: tuple[int, ...]
    log: tuple[Entry, ...]
    commit: int


class Cluster(NamedTuple):
    """All replicas, and the history of what has been committed."""

    replicas: tuple[Replica, ...]
    ledger: tuple[Entry, ...]
    ledger_term: int
    reverted: bool
    losses: int


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


def one_leader_a_term(cluster: Cluster) -> bool:
    """No two replicas lead in the same term."""
    terms = [replica.term for replica in cluster.replicas if replica.role is Role.LEADER]
    return len(terms) == len(set(terms))


def leader_holds_committed(cluster: Cluster) -> bool:
    """A leader of the last committing term or a later one holds every committed entry."""
    length = len(cluster.ledger)
    return all(
        replica.log[:length] == cluster.ledger
        for replica in cluster.replicas
        if replica.role is Role.LEADER and replica.term >= cluster.ledger_term
    )


def committed_never_reverted(cluster: Cluster) -> bool:
    """No position of the log has been committed with two different entries."""
    return not cluster.reverted


def election_witnesses() -> dict[str, Callable[[Cluster], bool]]:
    """Situations the election and commit models must reach."""
    return {
        "a deposed leader still leads its old term": stale_leader,
        "an uncommitted entry outlives its term": old_entry_uncommitted,
        "a later term commits": lambda cluster: cluster.ledger_term > 1,
    }


def repair_witnesses() -> dict[str, Callable[[Cluster], bool]]:
    """Situations the lost-disk model must reach."""
    return {
        "a learner is admitted": lambda cluster: any(
            entry.members >> LEARNER & 1 for entry in cluster.ledger
        ),
        "a second disk is lost and the repaired cluster elects": elected_after_second_loss,
    }


def stale_leader(cluster: Cluster) -> bool:
    """Whether two replicas lead, in different terms."""
    return sum(replica.role is Role.LEADER for replica in cluster.replicas) > 1


def old_entry_uncommitted(cluster: Cluster) -> bool:
    """Whether a leader holds an entry of an earlier term that is not committed."""
    return any(
        replica.role is Role.LEADER
        and len(replica.log) > len(cluster.ledger)
        and replica.log[-1].term < replica.term
        for replica in cluster.replicas
    )


def elected_after_second_loss(cluster: Cluster) -> bool:
    """Whether two disks are lost and a later leader relies on the repaired membership."""
    return cluster.losses == 2 and any(
        replica.role is Role.LEADER
        and replica.term > 1
        and members_in_effect(replica).bit_count() == REPAIRED_MEMBERS
        and members_in_effect(replica) >> LEARNER & 1
        for replica in cluster.replicas
    )


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


def with_replica(cluster: Cluster, identity: int, replica: Replica) -> Cluster:
    """Return the cluster with one replica replaced."""
    return cluster._replace(replicas=replace_at(cluster.replicas, identity, replica))


def reachable(replica: Replica, term: int) -> bool:
    """Whether a replica exists and would not refuse a message of a term."""
    return replica.role not in (Role.LOST, Role.ABSENT) and replica.term <= term


def adopt_term(replica: Replica, term: int) -> Replica:
    """Return a replica after it has seen a term; a newer one makes it a follower."""
    if replica.term >= term:
        return replica
    return replica._replace(
        role=Role.FOLLOWER, term=term, voted_for=NOBODY, votes=0, matched=(), commit=0
    )


def last_position(log: tuple[Entry, ...]) -> tuple[int, int]:
    """Return the term of the last entry and the length, the order votes go by."""
    return (log[-1].term if log else 0, len(log))


def append_next(leader: Replica, follower: Replica) -> tuple[Replica, int]:
    """Append the first entry the follower lacks; return it and the length that now matches."""
    follower = follower._replace(role=Role.FOLLOWER, votes=0)
    shared = shared_length(leader.log, follower.log)
    if shared == len(leader.log):
        return follower, shared
    return follower._replace(log=leader.log[: shared + 1]), shared + 1


def shared_length(first: tuple[Entry, ...], second: tuple[Entry, ...]) -> int:
    """Return the length of the longest common prefix."""
    length = 0
    for one, other in zip(first, second, strict=False):
        if one != other:
            break
        length += 1
    return length


def holders(leader: Replica, identity: int, length: int) -> int:
    """Return the bit set of identities that acknowledged a length of the leader's log."""
    found = 1 << identity
    for other, matched in enumerate(leader.matched):
        found |= (matched >= length) << other
    return found


def is_quorum(voters: int, members: int) -> bool:
    """Whether the voters among the members are a majority of them."""
    return (voters & members).bit_count() * 2 > members.bit_count()


def record_commit(cluster: Cluster, identity: int, length: int) -> Cluster:
    """Advance the leader's commit position and the history of committed entries."""
    leader = cluster.replicas[identity]
    committed = leader.log[:length]
    shared = shared_length(committed, cluster.ledger)
    reverted = shared < min(length, len(cluster.ledger))
    ledger = committed if length > len(cluster.ledger) else cluster.ledger
    after = with_replica(cluster, identity, leader._replace(commit=length))
    return after._replace(
        ledger=ledger,
        ledger_term=max(cluster.ledger_term, leader.term),
        reverted=cluster.reverted or reverted,
    )


def members_in_effect(replica: Replica) -> int:
    """Return the members set by the last membership entry in a replica's log."""
    for entry in reversed(replica.log):
        if entry.members:
            return entry.members
    return FIRST_MEMBERS


def may_change_members(leader: Replica) -> bool:
    """Whether an entry of the leader's term and its last membership entry are committed."""
    committed = leader.log[: leader.commit]
    own_term = bool(committed) and committed[-1].term == leader.term
    return own_term and not any(entry.members for entry in leader.log[leader.commit :])


def identities_in(cluster: Cluster, role: Role) -> int:
    """Return the bit set of identities in a role."""
    return sum(1 << index for index, one in enumerate(cluster.replicas) if one.role is role)


def next_members(cluster: Cluster, identity: int) -> int | None:
    """Admit the learner once caught up, then remove a lost member: one change at a time."""
    leader = cluster.replicas[identity]
    members = members_in_effect(leader)
    learner_bit = 1 << LEARNER
    if not members & learner_bit:
        present = cluster.replicas[LEARNER].role is Role.FOLLOWER
        caught_up = leader.matched[LEARNER] >= leader.commit
        return members | learner_bit if present and caught_up else None
    lost = members & identities_in(cluster, Role.LOST)
    return members & ~(lost & -lost) if lost else None
