"""Maps priorities of routes to queueing groups and their weights.

The groups share the slots of a back end by weighted fair queueing. Their weights differ so much
that urgent calls are served first in practice, without starving the least urgent ones. Each route
has its own group: routes of one priority get equal shares of the slot time, so that short calls of
one route are not delayed by long calls of another.
"""

from __future__ import annotations

from limelever.common.numbers import parse_count

PRIORITY_GROUP = "priority-"
"""Prefix of the groups of prioritised calls; priority, separator and route follow."""

_SEPARATOR = "/"

LAST_DISTINCT_PRIORITY = 5
"""This and all lower priorities have the same weight."""

_FACTOR = 4


def priority_group(priority: int, route: str) -> str:
    """Return the group under which the calls of a prioritised route are queued."""
    return f"{PRIORITY_GROUP}{priority}{_SEPARATOR}{route}"


def priority_of(group: str) -> int | None:
    """Return the priority of a group, or ``None`` for one that is not of prioritised calls."""
    if not group.startswith(PRIORITY_GROUP):
        return None
    number = group.removeprefix(PRIORITY_GROUP).partition(_SEPARATOR)[0]
    return parse_count(number)


def priority_weight(group: str) -> int | None:
    """Return the weight of a priority's group, or ``None`` for a group that is none."""
    priority = priority_of(group)
    if priority is None:
        return None
    return int(_FACTOR ** max(0, LAST_DISTINCT_PRIORITY - priority))
