"""Specification of replacing silent members by themselves, and of replicas that come back.

To the replicated log this adds a spare learner from the start, a leader that removes any other
voter for a learner that has caught up (silence is not modelled: any voter may look silent), and
the rule by which a removed replica finds out. It gives its identity up, for the next unused one
and with its log, term and vote, once a committed position at or after the end of its own log
names members without it.
"""

import enum
from collections.abc import Callable, Iterator

from limelever_lab.model.replication import Bounds, Rules
from limelever_lab.model.replication_properties import (
    committed_never_reverted,
    leader_holds_committed,
    one_leader_a_term,
)
from limelever_lab.model.replication_state import (
    FIRST_MEMBERS,
    LEARNER,
    NOBODY,
    Cluster,
    Entry,
    Replica,
    Role,
    identities_in,
    last_position,
    may_change_members,
    members_in_effect,
    with_replica,
)
from limelever_lab.model.specification import Model, Specification, Step, Variant

RETURNED = 4
VOTERS = 3
_IDENTITIES = 5


class Fault(enum.Enum):
    """Parts of the rule that a broken variant switches off."""

    GIVEN_UP_ON_UNCOMMITTED = "given-up-on-uncommitted"
    GIVEN_UP_ON_OLDER_POSITION = "given-up-on-older-position"


class ReplacementRules(Rules):
    """The actions of the replicated log, with replacement and return."""

    def __init__(self, bounds: Bounds, broken: Fault | None) -> None:
        super().__init__(bounds, None)
        self._log_length = bounds.log_length
        self._broken = broken

    def steps(self, cluster: Cluster) -> Iterator[Step[Cluster]]:
        """Yield every enabled action."""
        yield from super().steps(cluster)
        if cluster.replicas[RETURNED].role is Role.ABSENT:
            for identity in range(RETURNED):
                yield from self._give_up(cluster, identity)

    def _change_membership(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        leader = cluster.replicas[identity]
        if len(leader.log) >= self._log_length or not may_change_members(leader):
            return
        for members in _next_sets(cluster, identity):
            log = (*leader.log, Entry(leader.term, members))
            after = with_replica(cluster, identity, leader._replace(log=log))
            yield Step(f"change_membership({identity} to {members:05b})", after)

    def _restart(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        """Yield nothing: a restart loses only a role, which a higher term takes as well."""
        return iter(())

    def _give_up(self, cluster: Cluster, identity: int) -> Iterator[Step[Cluster]]:
        replica = cluster.replicas[identity]
        if replica.role not in (Role.FOLLOWER, Role.CANDIDATE) or not _admitted(replica, identity):
            return
        if not any(self._proves(log, replica, identity) for log in self._logs(cluster)):
            return
        spent = replica._replace(role=Role.LOST, votes=0)
        returned = replica._replace(role=Role.FOLLOWER, votes=0, matched=(), commit=0)
        after = with_replica(cluster, identity, spent)
        yield Step(f"give_up({identity})", with_replica(after, RETURNED, returned))

    def _logs(self, cluster: Cluster) -> Iterator[tuple[Entry, ...]]:
        """Yield the logs that others may tell of: those committed, up to any position."""
        if self._broken is Fault.GIVEN_UP_ON_UNCOMMITTED:
            yield from (replica.log for replica in cluster.replicas)
        for length in range(1, len(cluster.ledger) + 1):
            yield cluster.ledger[:length]

    def _proves(self, log: tuple[Entry, ...], replica: Replica, identity: int) -> bool:
        """Whether a log that is told of proves that ``identity`` is no member any more."""
        if _members_of(log) >> identity & 1:
            return False
        if self._broken is Fault.GIVEN_UP_ON_OLDER_POSITION:
            return True
        return last_position(log) >= last_position(replica.log)


def _next_sets(cluster: Cluster, identity: int) -> Iterator[int]:
    """Yield the sets to which a leader may change: promote while voters are missing, or remove."""
    leader = cluster.replicas[identity]
    members = members_in_effect(leader)
    ready = [
        learner
        for learner in (LEARNER, RETURNED)
        if not members >> learner & 1
        and cluster.replicas[learner].role is Role.FOLLOWER
        and leader.matched[learner] >= leader.commit
    ]
    if members.bit_count() < VOTERS:
        yield from (members | 1 << learner for learner in ready)
    elif ready:
        others = (other for other in range(_IDENTITIES) if other != identity)
        yield from (members & ~(1 << other) for other in others if members >> other & 1)


def _members_of(log: tuple[Entry, ...]) -> int:
    return next((entry.members for entry in reversed(log) if entry.members), FIRST_MEMBERS)


def _admitted(replica: Replica, identity: int) -> bool:
    """Whether a replica has seen itself among the members."""
    founder = bool(FIRST_MEMBERS >> identity & 1)
    return founder or any(entry.members >> identity & 1 for entry in replica.log)


def spent_counts_nowhere(cluster: Cluster) -> bool:
    """No identity that was given up is among the members committed last."""
    return not _members_of(cluster.ledger) & identities_in(cluster, Role.LOST)


def _witnesses() -> dict[str, Callable[[Cluster], bool]]:
    return {
        "the spare learner takes a voter's place": lambda cluster: bool(
            _members_of(cluster.ledger) >> LEARNER & 1
        ),
        "a replica that came back votes again": lambda cluster: bool(
            _members_of(cluster.ledger) >> RETURNED & 1
        ),
        "a replica gave its identity up while it stood for election": lambda cluster: any(
            replica.role is Role.LOST and replica.voted_for == identity
            for identity, replica in enumerate(cluster.replicas)
        ),
    }


def _initial() -> Cluster:
    nothing_matched = (0,) * _IDENTITIES
    leader = Replica(Role.LEADER, 1, 0, 0, nothing_matched, (), 0)
    voter = Replica(Role.FOLLOWER, 1, 0, 0, (), (), 0)
    unaware = Replica(Role.FOLLOWER, 0, NOBODY, 0, (), (), 0)
    absent = Replica(Role.ABSENT, 0, NOBODY, 0, (), (), 0)
    return Cluster((leader, voter, unaware, unaware, absent), (), 0, False, 0)


def build(variant: str | None) -> Specification[Cluster]:
    """Return the specification for a variant, or the true protocol for None."""
    rules = ReplacementRules(
        Bounds(terms=2, log_length=3, losses=0), None if variant is None else Fault(variant)
    )
    return Specification(
        name="replacement",
        initial=_initial(),
        steps=rules.steps,
        invariants={
            "one leader a term": one_leader_a_term,
            "leader holds what is committed": leader_holds_committed,
            "committed entries never change": committed_never_reverted,
            "a spent identity counts nowhere": spent_counts_nowhere,
        },
        witnesses=_witnesses(),
    )


MODEL = Model(
    name="replacement",
    bounds="3 members and 1 spare learner, 2 terms, log of 3 entries, one return",
    build=build,
    variants=(
        Variant(
            Fault.GIVEN_UP_ON_UNCOMMITTED.value,
            "an identity is given up for a member set that is not committed",
        ),
        Variant(
            Fault.GIVEN_UP_ON_OLDER_POSITION.value,
            "an identity is given up for a position before the end of its own log",
        ),
    ),
)
