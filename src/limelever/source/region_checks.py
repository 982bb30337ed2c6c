"""Checks the regions that routes and tenants of a batch are bound to.

Claims and recorded answers of at-most-once calls are stored at keepers in any region, so routes of
that kind can't be bound to regions.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence

from msgspec import Struct

from limelever.protocol.config_pb2 import CALL_KIND_AT_MOST_ONCE, Batch, Resource
from limelever.protocol.keys import Key

MAX_REGIONS = 64
ANY_REGION: frozenset[str] = frozenset()
"""Known regions of a process whose settings list none: it accepts any."""

_REGION = re.compile(r"[\x21-\x7e]{1,64}")


class RegionProblem(Struct, frozen=True):
    """What is wrong with the regions of a resource."""

    key: Key
    reason: str


def region_problems(batch: Batch, known: frozenset[str] = ANY_REGION) -> Iterator[RegionProblem]:
    """Yield what is wrong with the regions in a batch; ``known`` are those of the settings."""
    for resource in batch.put:
        for reason in _reasons(_regions_of(resource), known):
            yield RegionProblem(Key.of(resource), reason)
    yield from _stored_anywhere(batch)


def _regions_of(resource: Resource) -> Sequence[str]:
    match resource.WhichOneof("body"):
        case "route":
            return resource.route.allowed_regions
        case "tenant":
            return resource.tenant.allowed_regions
        case _:
            return ()


def _reasons(regions: Sequence[str], known: frozenset[str]) -> Iterator[str]:
    if len(regions) > MAX_REGIONS:
        yield f"must be at most {MAX_REGIONS}, is {len(regions)}"
    if len(set(regions)) != len(regions):
        yield "names a region twice"
    for region in regions:
        if not region:
            yield "holds an empty region name"
        elif not _REGION.fullmatch(region):
            yield "must be visible ASCII of 1 to 64 characters"
        elif known and region not in known:
            yield f"no zone is in region {region}; known are {', '.join(sorted(known))}"


def _stored_anywhere(batch: Batch) -> Iterator[RegionProblem]:
    """Yield the at-most-once routes that are bound to regions, also by a tenant of the batch."""
    bound = [r.tenant.name for r in batch.put if r.tenant.allowed_regions]
    for resource in batch.put:
        route = resource.route
        if route.call_kind != CALL_KIND_AT_MOST_ONCE:
            continue
        stored = "claims and answers of an at_most_once route are stored in any region"
        if route.allowed_regions:
            yield RegionProblem(Key.of(resource), f"must be empty: {stored}")
        elif bound and not route.public:
            yield RegionProblem(
                Key.of(resource), f"{stored}, but tenant {min(bound)} is bound to regions"
            )
