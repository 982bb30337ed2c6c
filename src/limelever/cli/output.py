"""What the operators' commands print: text or JSON, without secret values and tenants' keys."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure, Outcome
from limelever.protocol.config_pb2 import CallKind, ResourceKind, VersionedResource
from limelever.protocol.keys import KIND_TEXT, Key, key_text
from limelever.protocol.operators_pb2 import (
    ApplyResponse,
    ChangeAction,
    GetResponse,
    MemberStatus,
    RolloutResponse,
    StatusResponse,
)
from limelever.protocol.redaction import redacted

LEADER_ROLE = "leader"

_ENUM_TEXT = {
    "CallKind": lambda number: CallKind.Name(number).removeprefix("CALL_KIND_").lower(),
    "ChangeAction": lambda number: ChangeAction.Name(number).removeprefix("CHANGE_ACTION_").lower(),
    "ResourceKind": lambda number: KIND_TEXT.get(number, ResourceKind.Name(number)),
}


def message_value(message: Message) -> dict[str, Any]:
    """Return a message as JSON values: every field, whole numbers as numbers, keys as text."""
    values: dict[str, Any] = {}
    for field in message.DESCRIPTOR.fields:
        if field.containing_oneof is not None and not message.HasField(field.name):
            continue
        value = getattr(message, field.name)
        if field.is_repeated:
            values[field.name] = [_value(field, item) for item in value]
        else:
            values[field.name] = _value(field, value)
    return values


def _value(field: Any, value: Any) -> Any:
    if isinstance(value, VersionedResource):
        return resource_value(value)
    if isinstance(value, Message):
        if value.DESCRIPTOR.name == "ResourceKey":
            return key_text(value)  # type: ignore[arg-type]
        return message_value(value)
    if field.enum_type is not None:
        return _ENUM_TEXT[field.enum_type.name](value)
    return value


def resource_value(versioned: VersionedResource) -> dict[str, Any]:
    """Return a resource as JSON values, without a secret's value; of keys their number is shown."""
    safe = redacted(versioned)
    body: Message = getattr(safe.resource, safe.resource.WhichOneof("body") or "service")
    values = message_value(body)
    values.pop("value", None)
    digests = values.pop("key_digests", None)
    if digests is not None:
        values["keys"] = len(digests)
    key = Key.of(safe.resource)
    return {"key": str(key), "version": safe.version, **values}


def print_json(message: Message) -> None:
    """Print a message as one JSON document."""
    print(json.dumps(message_value(message), indent=2))


def print_failure(failure: Failure, request_id: str, as_json: bool) -> None:
    """Print why a command was refused, and what settles an unknown outcome."""
    if as_json:
        print(json.dumps(_failure_value(failure, request_id), indent=2))
        return
    print(f"refused: {failure}", file=sys.stderr)
    print(f"outcome: {failure.outcome.value}", file=sys.stderr)
    if failure.kind is ErrorKind.CONFLICT:
        print(f"current version: {failure.current_version}", file=sys.stderr)
    if request_id and _is_settled_by_resend(failure):
        hint = f"send the same again with --request-id {request_id} to settle it"
        print(hint, file=sys.stderr)


def _is_settled_by_resend(failure: Failure) -> bool:
    return failure.outcome is Outcome.UNKNOWN and failure.kind is not ErrorKind.REQUEST_EXPIRED


def _failure_value(failure: Failure, request_id: str) -> dict[str, Any]:
    return {
        "error": failure.kind.value,
        "reason": failure.reason,
        "resources": list(failure.resources),
        "outcome": failure.outcome.value,
        "advice": failure.answer.advice.value,
        "current_version": _met_version(failure),
        "request_id": request_id,
    }


def _met_version(failure: Failure) -> int | None:
    """Return the version that a conflict met; no other refusal tells of one."""
    return failure.current_version if failure.kind is ErrorKind.CONFLICT else None


def print_apply(answer: ApplyResponse, dry_run: bool) -> None:
    """Print what a batch changed, or would change."""
    for change in answer.changes:
        action = ChangeAction.Name(change.action).removeprefix("CHANGE_ACTION_").lower()
        print(f"{action:<10}{key_text(change.key)}")
    if dry_run:
        print(f"dry run against version {answer.version}: nothing was changed")
    elif answer.repeated_answer:
        print(f"applied before: version {answer.version}")
    else:
        print(f"applied: version {answer.version}")


def print_get(answer: GetResponse) -> None:
    """Print resources, one a line."""
    print(f"version {answer.version}")
    for versioned in answer.resources:
        values = resource_value(versioned)
        key, version = values.pop("key"), values.pop("version")
        shown = " ".join(f"{name}={_shown(value)}" for name, value in values.items() if value)
        print(f"{key}@{version} {shown}")
    for missing in answer.missing:
        print(f"{key_text(missing)} does not exist", file=sys.stderr)


def _shown(value: Any) -> str:
    return ",".join(value) if isinstance(value, list) else str(value)


def print_rollout(answer: RolloutResponse, expected_readers: int) -> None:
    """Print how far a version has come, zone by zone, and how many readers are missing."""
    state = "in force" if is_in_force(answer, expected_readers) else "lagging"
    print(f"version {answer.version}: {state}")
    in_force = _readers_in_force(answer)
    if in_force < expected_readers:
        print(f"in force at {in_force} readers, {expected_readers} expected")
    print(f"{'zone':<24}{'in force':>10}{'lagging':>10}{'lowest':>10}")
    for zone in answer.zones:
        lowest = zone.lowest_version
        print(f"{zone.zone:<24}{zone.in_force:>10}{zone.lagging:>10}{lowest:>10}")


def is_in_force(answer: RolloutResponse, expected_readers: int) -> bool:
    """Return whether no connected reader lags, and as many as expected hold the version."""
    return answer.complete and _readers_in_force(answer) >= expected_readers


def _readers_in_force(answer: RolloutResponse) -> int:
    return sum(zone.in_force for zone in answer.zones)


def print_members(members: Iterable[MemberStatus], *, told_by_leader: bool) -> None:
    """Print the members of the source, one a line; only a leader knows how far others are."""
    for member in members:
        standing = "voter" if member.voter else "learner"
        matched = member.matched_index if told_by_leader else "unknown"
        where = f"matched {matched} {member.address}".rstrip()
        print(f"member {member.name} ({member.identity}): {standing}, {where}")


def print_told_members(answer: StatusResponse) -> None:
    """Print the members and which replica tells of them."""
    print(f"as told by {answer.name}: {answer.role}, committed through {answer.commit_index}")
    print_members(answer.members, told_by_leader=answer.role == LEADER_ROLE)


def print_status(answer: StatusResponse) -> None:
    """Print the state of the replica that answered."""
    print(f"{answer.name}: {answer.role}, term {answer.term}, version {answer.version}")
    print(f"leader: {answer.leader or 'none'} {answer.leader_operator_address}".rstrip())
    print(f"committed through {answer.commit_index}")
    print_members(answer.members, told_by_leader=answer.role == LEADER_ROLE)
    for relay in answer.relays:
        print(f"relay {relay}")
