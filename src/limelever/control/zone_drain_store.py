"""Orders and withdraws zone drains in the replicated configuration, and lists those in effect.

A drain is a resource of its own, so each order is replicated, persisted and distributed like any
other change. Orders don't expect a version: concurrent changes neither refuse nor delay them, and
of two concurrent orders the later commit counts.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Mapping

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import (
    RESOURCE_KIND_ZONE_DRAIN,
    Batch,
    Resource,
    VersionedResource,
    ZoneDrain,
)
from limelever.protocol.keys import Key, zone_drain_key
from limelever.protocol.operators_pb2 import ApplyRequest, GetRequest, GetResponse
from limelever.source.grpc_asgi import Refusal
from limelever.source.operator_desk import OperatorDesk
from limelever.source.operator_door import RequestChecks
from limelever.source.request_records import make_request_id

_REQUEST_ID_BYTES = 8
_NANOSECONDS_PER_MILLISECOND = 1_000_000


class ZoneDrainStore:
    """Reads and writes zone drains.

    ``zones`` are the zones that exist; if it is empty, any zone is taken.
    """

    def __init__(
        self,
        operator_requests: OperatorDesk,
        request_checks: RequestChecks,
        zones: Mapping[str, str],
    ) -> None:
        self._operator_requests = operator_requests
        self._request_checks = request_checks
        self._zones = zones

    async def start(self, zone: str, ordered_by: str) -> Failure | None:
        """Drain ``zone``; returns ``None`` once the order is committed or was in effect already.

        ``NOT_FOUND`` means that there is no such zone. Any failure may be answered by the same
        order at any control process, also one whose outcome is unknown.
        """
        if self._zones and zone not in self._zones:
            return _unknown_zone(zone)
        response = await self._read(zone)
        if isinstance(response, Failure) or response.resources:
            return response if isinstance(response, Failure) else None
        drain = ZoneDrain(zone=zone, ordered_at_ms=_unix_ms(), ordered_by=ordered_by)
        return await self._write(Batch(put=[Resource(zone_drain=drain)]), response.version)

    async def withdraw(self, zone: str) -> Failure | None:
        """Withdraw the drain of ``zone``; returns ``None`` once there is none.

        A zone that the settings no longer list can still be withdrawn.
        """
        response = await self._read(zone)
        if isinstance(response, Failure):
            return response
        if not response.resources:
            known = not self._zones or zone in self._zones
            return None if known else _unknown_zone(zone)
        key = zone_drain_key(zone).to_message()
        failure = await self._write(Batch(delete=[key]), response.version)
        if failure is not None and failure.kind is ErrorKind.NOT_FOUND:
            return None
        return failure

    async def list(self) -> list[VersionedResource] | Failure:
        """Return the drains in effect with the versions that ordered them, sorted by zone."""
        response = await self._operator_requests.ask(GetRequest())
        if isinstance(response, Failure):
            return response
        assert isinstance(response, GetResponse)
        return drains_of(response)

    async def _read(self, zone: str) -> GetResponse | Failure:
        """Return the drain of a zone, read at the leader; no resource if there is none."""
        request = GetRequest(keys=[zone_drain_key(zone).to_message()])
        response = await self._operator_requests.ask(request)
        assert isinstance(response, Failure | GetResponse)
        return response

    async def _write(self, batch: Batch, version: int) -> Failure | None:
        batch.request_id = make_request_id(secrets.token_hex(_REQUEST_ID_BYTES), version)
        request = self._request_checks.checked(ApplyRequest(batch=batch))
        if isinstance(request, Refusal):
            return request.failure
        answer: Message | Failure = await self._operator_requests.ask(request)
        return answer if isinstance(answer, Failure) else None


def drains_of(response: GetResponse) -> list[VersionedResource]:
    """Return the zone drains among the resources of an answer, sorted by zone."""
    found = {Key.of(each.resource): each for each in response.resources}
    return [found[key] for key in sorted(found) if key.kind == RESOURCE_KIND_ZONE_DRAIN]


def _unknown_zone(zone: str) -> Failure:
    return Failure(ErrorKind.NOT_FOUND, f"there is no zone {zone}")


def _unix_ms() -> int:
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND
