"""The rank of a call at its back end: by its tenant's priority first, by its route's within that.

Answers callers of several priorities that compete for the slots of one back end: what a tenant of
less priority sends stands behind all that the more urgent ones send, on whichever routes.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

NO_RANK = 0
"""Of calls that are queued by their caller's group, not by any priority."""


class Ranks(Struct, frozen=True):
    """What ranks depend on: the least urgent priority of any route, and the tenants' priorities.

    ``most_urgent`` and ``least_urgent`` are the ends of the tenants' priorities, 0 for none.
    """

    largest_route_priority: int = 0
    most_urgent: int = 0
    least_urgent: int = 0

    @classmethod
    def of(cls, largest_route_priority: int, tenant_priorities: Iterable[int]) -> Ranks:
        """Return the ranks of a configuration."""
        priorities = sorted(tenant_priorities)
        if not priorities:
            return cls(largest_route_priority)
        return cls(largest_route_priority, priorities[0], priorities[-1])

    def rank(self, route_priority: int, tenant_priority: int) -> int:
        """Return the rank of a call, 1 for the most urgent, ``NO_RANK`` for none.

        Tenants of one priority leave the routes' order as it is, and so does a call without a
        tenant or whose tenant has no priority. Where priorities differ, routes without one come
        after the others of the same tenant.
        """
        if not tenant_priority or self.most_urgent == self.least_urgent:
            return route_priority
        span = self.largest_route_priority + 1
        return (route_priority or span) + span * (tenant_priority - self.most_urgent)
