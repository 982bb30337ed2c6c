"""Priorities of routes: which group a call is queued under, and the weight of such a group.

The groups share the slots of a back end like any others, with weights so far apart that the more
urgent are served first in practice and the least urgent still get through.
"""

from __future__ import annotations

PRIORITY_GROUP = "priority-"
"""Prefix of the groups of prioritised calls; the number of the priority follows."""

LAST_DISTINCT_PRIORITY = 5
"""Priorities from here on weigh the same."""

_FACTOR = 4


def priority_weight(group: str) -> int | None:
    """Return the weight of a priority's group, or ``None`` for a group that is none."""
    number = group.removeprefix(PRIORITY_GROUP)
    if number == group or not number.isdigit():
        return None
    return int(_FACTOR ** max(0, LAST_DISTINCT_PRIORITY - int(number)))
