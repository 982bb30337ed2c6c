"""Member sets: who votes, what a majority is, and which single change comes next.

Sets change through the log by at most one voter at a time, so that majorities of neighbouring
sets overlap. A set is in effect for a replica as soon as it is in its log, committed or not.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from limelever.protocol.feature_level import CURRENT_LEVEL, UNSTATED_LEVEL
from limelever.protocol.replication_pb2 import Member, MemberSet

BOOTSTRAP_SUFFIX = "-first"


def bootstrap_members(
    names: Collection[str], stated_levels: Mapping[str, int] | None = None
) -> MemberSet:
    """Return the members of a new group; their identities follow from their names.

    A founder that has stated no feature level yet is taken to run this build: a leader corrects
    this when it is linked with one that doesn't.
    """
    levels = stated_levels or {}
    members = [
        Member(
            identity=name + BOOTSTRAP_SUFFIX,
            name=name,
            voter=True,
            feature_level=levels.get(name, CURRENT_LEVEL),
        )
        for name in sorted(names)
    ]
    return MemberSet(members=members)


def group_level(members: MemberSet) -> int:
    """Return the feature level that all members have stated."""
    levels = (member.feature_level for member in members.members)
    return min(levels, default=UNSTATED_LEVEL)


def newest_by_name(members: MemberSet) -> dict[str, Member]:
    """Return the members by name: of two with one name, the newer, whose disk is in use."""
    return {member.name: member for member in members.members}


def with_levels(members: MemberSet, levels: Mapping[str, int]) -> MemberSet:
    """Return the set with the feature levels given by identity.

    It keeps the id of the request that the last change answered, which may be sent again.
    """
    changed = MemberSet()
    changed.CopyFrom(members)
    for member in changed.members:
        member.feature_level = levels.get(member.identity, member.feature_level)
    return changed


def voters(members: MemberSet) -> frozenset[str]:
    """Return the identities that vote."""
    return frozenset(member.identity for member in members.members if member.voter)


def learners(members: MemberSet) -> tuple[str, ...]:
    """Return the identities that hold the log but don't vote."""
    return tuple(member.identity for member in members.members if not member.voter)


def is_member(members: MemberSet, identity: str) -> bool:
    """Return whether ``identity`` is a voter or a learner."""
    return any(member.identity == identity for member in members.members)


def is_majority(members: MemberSet, identities: Collection[str]) -> bool:
    """Return whether ``identities`` include a majority of the voters."""
    voting = voters(members)
    return 2 * len(voting.intersection(identities)) > len(voting)


def majority_size(members: MemberSet) -> int:
    """Return how many voters make a majority."""
    return len(voters(members)) // 2 + 1


def majority_value(members: MemberSet, values: Mapping[str, int]) -> int:
    """Return the highest value that a majority of the voters has reached (0 when unknown)."""
    reached = sorted((values.get(identity, 0) for identity in voters(members)), reverse=True)
    return reached[len(reached) // 2] if reached else 0


def with_learner(members: MemberSet, joining: Member) -> MemberSet:
    """Return the set with a learner added; an older learner of the same name gives way."""
    kept = [m for m in members.members if m.voter or m.name != joining.name]
    learner = Member(
        identity=joining.identity,
        name=joining.name,
        operator_address=joining.operator_address,
        feature_level=joining.feature_level,
    )
    return MemberSet(members=[*kept, learner])


def unchanged(members: MemberSet) -> MemberSet:
    """Return the set as it is, for a change that finds its work done."""
    return MemberSet(members=members.members)


def with_promoted(members: MemberSet, identity: str) -> MemberSet:
    """Return the set with the learner ``identity`` made a voter."""
    changed = unchanged(members)
    for member in changed.members:
        if member.identity == identity:
            member.voter = True
    return changed


def without(members: MemberSet, identity: str) -> MemberSet:
    """Return the set without ``identity``."""
    return MemberSet(members=[m for m in members.members if m.identity != identity])


def superseded_voter(members: MemberSet) -> str | None:
    """Return a voter whose name a later voter bears: its disk is lost, its identity spent."""
    newest = {member.name: member.identity for member in members.members if member.voter}
    for member in members.members:
        if member.voter and newest[member.name] != member.identity:
            return member.identity
    return None


def replaces_a_voter(members: MemberSet, name: str) -> bool:
    """Return whether a replica called ``name`` votes already, maybe under another identity."""
    return any(member.voter and member.name == name for member in members.members)
