"""What must hold in every state of the replicated log, and what must be reached."""

from collections.abc import Callable

from limelever_lab.model.replication_state import (
    LEARNER,
    Cluster,
    Role,
    members_in_effect,
)

REPAIRED_MEMBERS = 3


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
