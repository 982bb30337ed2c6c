"""Ranks calls in a back end's queue: by tenant priority first, then by route priority.

All calls of a less urgent tenant rank behind those of more urgent ones, whatever their routes.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

NO_RANK = 0
"""Rank of calls that are queued by their caller's group instead of by priority."""


class Ranks(Struct, frozen=True):
    """Parameters of the ranking in a configuration.

    ``largest_route_priority`` is the least urgent priority of any route. ``most_urgent`` and
    ``least_urgent`` are the bounds of the tenants' priorities, 0 for none.
    """

    largest_route_priority: int = 0
    most_urgent: int = 0
    least_urgent: int = 0

    @classmethod
    def of(cls, largest_route_priority: int, tenant_priorities: Iterable[int]) -> Ranks:
        """Return the ranking for the priorities of a configuration."""
        priorities = sorted(tenant_priorities)
        if not priorities:
            return cls(largest_route_priority)
        return cls(largest_route_priority, priorities[0], priorities[-1])

    def rank(self, route_priority: int, tenant_priority: int) -> int:
        """Return the rank of a call, 1 for the most urgent, ``NO_RANK`` for none.

        The route's priority alone decides if all tenants have the same priority, or if the call has
        no tenant or a tenant without one. Otherwise routes without a priority rank last within
        their tenant.
        """
        if not tenant_priority or self.most_urgent == self.least_urgent:
            return route_priority
        ranks_per_tenant = self.largest_route_priority + 1
        return (route_priority or ranks_per_tenant) + ranks_per_tenant * (
            tenant_priority - self.most_urgent
        )
