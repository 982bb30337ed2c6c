"""Records of answered requests, and the first answer made from a record again."""

from __future__ import annotations

import hashlib

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import Batch, ResourceKey
from limelever.protocol.keys import Key, parse_key
from limelever.protocol.operators_pb2 import ApplyResponse, Change, ChangeAction
from limelever.protocol.replication_pb2 import RequestRecord

_FINGERPRINT_BYTES = 16


def fingerprint(batch: Batch) -> bytes:
    """Return a digest of what ``batch`` asks for, without its request id."""
    content = Batch()
    content.CopyFrom(batch)
    content.ClearField("request_id")
    data = content.SerializeToString(deterministic=True)
    return hashlib.blake2b(data, digest_size=_FINGERPRINT_BYTES).digest()


def outline(batch: Batch) -> bytes:
    """Return the fingerprint of ``batch`` without its secrets' values.

    A value sealed anew under another key has other bytes, so they can't tell a resend across a
    change of that key from other content.
    """
    content = Batch()
    content.CopyFrom(batch)
    for resource in content.put:
        if resource.HasField("secret"):
            resource.secret.ClearField("value")
    return fingerprint(content)


def may_be_resent(record: RequestRecord, batch: Batch) -> bool:
    """Return whether ``batch``, of another fingerprint, may still be the recorded request."""
    has_secrets = any(resource.HasField("secret") for resource in batch.put)
    return has_secrets and record.outline == outline(batch)


def changed_keys(batch: Batch) -> list[ResourceKey]:
    """Return the keys that ``batch`` names, once each, in the order of an answer's changes."""
    put = dict.fromkeys(Key.of(resource) for resource in batch.put)
    deleted = sorted({Key.from_message(key) for key in batch.delete})
    return [key.to_message() for key in (*put, *deleted)]


def acceptance_record(batch: Batch, answer: ApplyResponse) -> RequestRecord:
    """Return the record of an accepted batch.

    Of the changes only the actions are kept, a byte each: a resend carries the keys itself.
    """
    return RequestRecord(
        request_id=batch.request_id,
        version=answer.version,
        fingerprint=fingerprint(batch),
        outline=outline(batch),
        actions=bytes(change.action for change in answer.changes),
    )


def refusal_record(batch: Batch, version: int, failure: Failure) -> RequestRecord:
    """Return the record of a batch refused when the configuration was at ``version``."""
    parsed = (parse_key(text) for text in failure.resources)
    return RequestRecord(
        request_id=batch.request_id,
        version=version,
        error_kind=failure.kind.value,
        error_reason=failure.reason,
        fingerprint=fingerprint(batch),
        outline=outline(batch),
        resources=[key.to_message() for key in parsed if isinstance(key, Key)],
    )


def answer_of(record: RequestRecord, batch: Batch) -> ApplyResponse | Failure:
    """Return the first answer to ``batch``, whose record this is."""
    if not record.error_kind:
        return ApplyResponse(
            version=record.version, repeated_answer=True, changes=_changes(record, batch)
        )
    kind = ErrorKind(record.error_kind)
    names = tuple(str(Key.from_message(key)) for key in record.resources)
    current = record.version if kind is ErrorKind.CONFLICT else 0
    return Failure(kind, record.error_reason, names, current_version=current)


def _changes(record: RequestRecord, batch: Batch) -> list[Change]:
    """Return the changes; none for a record of a release that did not keep the actions."""
    actions = [ChangeAction.ValueType(action) for action in record.actions]
    pairs = zip(actions, changed_keys(batch), strict=False)
    return [Change(action=action, key=key) for action, key in pairs]
