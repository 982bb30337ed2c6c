"""State of the replicated log's specification, and the arithmetic of logs and quorums."""

import enum
from typing import NamedTuple

from limelever_lab.model.specification import replace_at

NOBODY = -1
LEARNER = 3
FIRST_MEMBERS = 0b0111


class Role(enum.IntEnum):
    """What a replica identity is doing."""

    FOLLOWER = 0
    CANDIDATE = 1
    LEADER = 2
    LOST = 3
    ABSENT = 4


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
