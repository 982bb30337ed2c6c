"""The feature level of a group: what its members have stated, in the log and on their links.

The log keeps the level of each member, so that the group's level outlives elections and members
that are down. Links tell of members that changed their build in place; the leader writes that to
the log, as a member set of its own.
"""

from __future__ import annotations

from limelever.protocol.feature_level import CURRENT_LEVEL
from limelever.protocol.replication_pb2 import Member, MemberSet
from limelever.source.replication.context import ReplicaContext
from limelever.source.replication.members import group_level, newest_by_name, with_levels


def stated_level(context: ReplicaContext, member: Member) -> int | None:
    """Return the level that a member states now; ``None`` when it isn't linked."""
    if member.identity == context.identity:
        return CURRENT_LEVEL
    return context.links.stated_level(member.name)


def writable_level(context: ReplicaContext) -> int:
    """Return the level up to which every member reads, by the log and by its link.

    A member that went back to an older build counts at once, before the log says so. One that
    went on to a newer build counts from when the log says so. One that can't read the log as it is
    counts by the log alone: it is left out like a member that is down.
    """
    members = newest_by_name(context.members).values()
    stated = [stated_level(context, member) for member in members]
    floor = context.log.feature_level
    linked = (level for level in stated if level is not None and level >= floor)
    return min(group_level(context.members), *linked, CURRENT_LEVEL)


def with_stated_levels(context: ReplicaContext) -> MemberSet | None:
    """Return the member set with the levels stated now, or ``None`` when the log has them.

    A level below that of a record in the log is not taken over: the member is left out until it
    runs a build that reads the record.
    """
    levels: dict[str, int] = {}
    for member in newest_by_name(context.members).values():
        stated = stated_level(context, member)
        if stated is None or stated == member.feature_level:
            continue
        if stated >= context.log.feature_level:
            levels[member.identity] = stated
    return with_levels(context.members, levels) if levels else None
