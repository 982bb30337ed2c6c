"""Priorities of routes: which group a call is queued under, and the weight of such a group.

The groups share the slots of a back end like any others, with weights so far apart that the more
urgent are served first in practice and the least urgent still get through. Each route has a group
of its own: routes of one priority take equal parts of the slot time, so that the short calls of
one don't stand behind the long calls of another.
"""

from __future__ import annotations

PRIORITY_GROUP = "priority-"
"""Prefix of the groups of prioritised calls; priority, separator and route follow."""

_SEPARATOR = "/"

LAST_DISTINCT_PRIORITY = 5
"""Priorities from here on weigh the same."""

_FACTOR = 4


def priority_group(priority: int, route: str) -> str:
    """Return the group under which the calls of a prioritised route are queued."""
    return f"{PRIORITY_GROUP}{priority}{_SEPARATOR}{route}"


def priority_of(group: str) -> int | None:
    """Return the priority of a group, or ``None`` for one that is not of prioritised calls."""
    if not group.startswith(PRIORITY_GROUP):
        return None
    number = group.removeprefix(PRIORITY_GROUP).partition(_SEPARATOR)[0]
    return int(number) if number.isdigit() else None


def priority_weight(group: str) -> int | None:
    """Return the weight of a priority's group, or ``None`` for a group that is none."""
    priority = priority_of(group)
    if priority is None:
        return None
    return int(_FACTOR ** max(0, LAST_DISTINCT_PRIORITY - priority))
