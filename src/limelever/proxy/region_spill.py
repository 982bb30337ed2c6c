"""Decides whether a call stays in the proxy's region or goes to another one, by its bytes.

Answers the load of a fleet whose regions together have enough capacity while one of them is full
for a while. Bytes between regions are the most expensive ones, so a call stays in its region while
it is expected to meet its latency target there. A call that transfers little costs little on the
way and leaves early; one that transfers much leaves only when waiting would miss its target. No
call leaves when the other region would miss the target as well: the bytes would be wasted.

All times are in seconds.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from limelever.common.regions import NO_REGION
from limelever.proxy.endpoints import EndpointEntry

SMALL_WAIT_FRACTION = 0.5
MEDIUM_WAIT_FRACTION = 0.8
LARGE_WAIT_FRACTION = 0.9
"""Fraction of the time to the target that a call may take in its region while it is full.

Callers need the answer within the target; what is left of it covers errors of the estimate. Agents
refuse calls that would wait for more than half of that time, so a fraction closer to 1 would send
calls to agents that refuse them.
"""

REGION_ROUND_TRIP = 0.02
"""Added to what is expected of another region: a call and its answer over a link of 10 ms."""


REFUSALS_BEFORE_LEAVING = 2
"""Agents of the region that may refuse a call for lack of capacity before it leaves.

An agent refuses by what proxies don't see, such as the backlog of its link. One refusal may be that
agent's alone; after two, a call that stays is more likely refused to its caller than served.
"""


class RegionSpill(Struct, frozen=True):
    """How long a call may take in its region, ``local_limit``, and to its target, ``remaining``.

    ``refused`` tells that agents of the region have refused the call often enough to leave it.
    """

    local_limit: float = 0.0
    remaining: float = 0.0
    refused: bool = False

    @classmethod
    def of(cls, remaining: float, wait_fraction: float, refusals: int = 0) -> RegionSpill:
        """Return the limits of a call with ``remaining`` seconds to its target.

        ``refusals`` counts the agents that have refused it for lack of capacity.
        """
        refused = refusals >= REFUSALS_BEFORE_LEAVING
        return cls(remaining * wait_fraction, remaining, refused)

    def leaves(self, near: float, near_is_full: bool, far: float) -> bool:
        """Return whether the call goes to another region.

        ``near`` and ``far`` are the latencies expected of the best endpoints in this region and in
        the others. An endpoint with a free slot is left only if it is too slow for the target.
        """
        far += REGION_ROUND_TRIP
        if self.refused:
            return far <= self.remaining
        limit = self.local_limit if near_is_full else self.remaining
        return near > limit and far < near and far <= self.remaining


NO_LIMIT = RegionSpill()
"""For calls without a target or deadline: they stay in their region."""


class RegionSplit(Struct, frozen=True):
    """Endpoints in the proxy's region and in the others, of one ``usable`` sequence."""

    usable: Sequence[EndpointEntry]
    near: tuple[EndpointEntry, ...]
    far: tuple[EndpointEntry, ...]


class RegionSplitter:
    """Splits sequences of endpoints by region; keeps the last split of each service."""

    def __init__(self, region: str) -> None:
        self._region = region
        self._splits: dict[str, RegionSplit] = {}

    def is_far(self, entry: EndpointEntry) -> bool:
        """Return whether an endpoint is known to be in another region."""
        return entry.region != self._region and NO_REGION not in (entry.region, self._region)

    def split(self, usable: Sequence[EndpointEntry]) -> RegionSplit | None:
        """Return the split, or ``None`` if the endpoints aren't in this region and others.

        Endpoints of an unknown region count as near, as all of them do without regions.
        """
        if self._region == NO_REGION:
            return None
        service = usable[0].key.service
        split = self._splits.get(service)
        if split is None or split.usable is not usable:
            far = tuple(entry for entry in usable if self.is_far(entry))
            near = tuple(entry for entry in usable if not self.is_far(entry))
            split = self._splits[service] = RegionSplit(usable, near, far)
        return split if split.near and split.far else None
