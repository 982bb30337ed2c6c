"""What the zone commands do, apart from parsing their command line."""

from __future__ import annotations

import datetime
import json
import time
from typing import Any

from limelever.cli import output
from limelever.cli.client import OperatorClient
from limelever.cli.operator_commands import ApplyOptions, apply_batch, print_answer, send_batch
from limelever.cli.roles import EXIT_OK, EXIT_REFUSED
from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import Batch, Resource, VersionedResource, ZoneDrain
from limelever.protocol.keys import zone_drain_key
from limelever.protocol.operators_pb2 import (
    GetRequest,
    GetResponse,
    RolloutRequest,
    RolloutResponse,
)

_MILLISECONDS = 1000
_NANOSECONDS_PER_MILLISECOND = 1_000_000


def drain(client: OperatorClient, zone: str, as_json: bool) -> int:
    """Order the drain of a zone, unless it is in effect already; return the exit status."""
    held = _read(client, zone)
    if isinstance(held, Failure):
        return _refused(held, as_json)
    if held.resources:
        return _unchanged(f"{zone} is drained since version {held.resources[0].version}", as_json)
    ordered_at_ms = time.time_ns() // _NANOSECONDS_PER_MILLISECOND
    order = Resource(zone_drain=ZoneDrain(zone=zone, ordered_at_ms=ordered_at_ms))
    return apply_batch(client, Batch(put=[order]), ApplyOptions(as_json=as_json))


def undrain(client: OperatorClient, zone: str, as_json: bool) -> int:
    """Withdraw the drain of a zone, if there is one; return the exit status."""
    held = _read(client, zone)
    if isinstance(held, Failure):
        return _refused(held, as_json)
    if not held.resources:
        return _unchanged(f"{zone} is not drained", as_json)
    batch, options = (
        Batch(delete=[zone_drain_key(zone).to_message()]),
        ApplyOptions(as_json=as_json),
    )
    answer = send_batch(client, batch, options)
    if isinstance(answer, Failure) and answer.kind is ErrorKind.NOT_FOUND:
        return _unchanged(f"{zone} is not drained", as_json)
    return print_answer(answer, batch, options)


def list_drains(client: OperatorClient, as_json: bool) -> int:
    """Print the drains in effect with the readers that hold them; return the exit status."""
    answer = client.call("Get", GetRequest(), GetResponse)
    if isinstance(answer, Failure):
        return _refused(answer, as_json)
    drains = [each for each in answer.resources if each.resource.HasField("zone_drain")]
    followed: list[RolloutResponse] = []
    for held in drains:
        request = RolloutRequest(version=held.version)
        report = client.call("Rollout", request, RolloutResponse)
        if isinstance(report, Failure):
            return _refused(report, as_json)
        followed.append(report)
    if as_json:
        pairs = zip(drains, followed, strict=True)
        print(json.dumps({"drains": [_value(held, report) for held, report in pairs]}, indent=2))
    else:
        _print(drains, followed)
    return EXIT_OK


def _read(client: OperatorClient, zone: str) -> GetResponse | Failure:
    request = GetRequest(keys=[zone_drain_key(zone).to_message()])
    return client.call("Get", request, GetResponse)


def _value(held: VersionedResource, report: RolloutResponse) -> dict[str, Any]:
    zones = [output.message_value(zone) for zone in report.zones]
    return {**output.resource_value(held), "followed": report.complete, "zones": zones}


def _print(drains: list[VersionedResource], followed: list[RolloutResponse]) -> None:
    if not drains:
        print("no zone is drained")
    for held, report in zip(drains, followed, strict=True):
        order = held.resource.zone_drain
        at = datetime.datetime.fromtimestamp(order.ordered_at_ms / _MILLISECONDS, datetime.UTC)
        by = order.ordered_by or "unknown"
        print(f"{order.zone}: drained by {by} at {at.isoformat(timespec='milliseconds')}")
        output.print_rollout(report, 0)


def _unchanged(reason: str, as_json: bool) -> int:
    print(json.dumps({"unchanged": reason}) if as_json else f"nothing to do: {reason}")
    return EXIT_OK


def _refused(failure: Failure, as_json: bool) -> int:
    output.print_failure(failure, "", as_json)
    return EXIT_REFUSED
