"""Rich error details of a refusal: the standard google.rpc ones beside the project's own.

All of it travels in trailers, which clients take up to 8 KiB of, so long lists are cut and the
cut is stated.
"""

from __future__ import annotations

from collections.abc import Sequence

from google.protobuf.duration_pb2 import Duration
from google.protobuf.message import Message
from google.rpc.error_details_pb2 import BadRequest, ErrorInfo, ResourceInfo, RetryInfo
from google.rpc.status_pb2 import Status

from limelever.common.errors import Failure
from limelever.protocol.keys import Key, parse_key
from limelever.protocol.operators_pb2 import ErrorDetail
from limelever.source.validation import FieldProblem

ERROR_DOMAIN = "limelever"
RESOURCE_TYPE_PREFIX = "limelever.v1."
MAX_REASON_CHARACTERS = 600
MAX_DETAIL_BYTES = 4096
MAX_RESOURCES = 10
_MILLISECONDS = 1000.0


def status_of(failure: Failure, problems: Sequence[FieldProblem] = ()) -> Status:
    """Return the rich status that answers ``failure``; ``problems`` become a ``BadRequest``."""
    reason = shortened(failure.reason)
    status = Status(code=int(failure.answer.grpc_status), message=reason)
    details: list[Message] = [_error_detail(failure, reason), _error_info(failure)]
    if failure.retry_after > 0:
        details.append(RetryInfo(retry_delay=_duration(failure.retry_after)))
    details += [_resource_info(text, failure) for text in failure.resources[:MAX_RESOURCES]]
    for detail in details:
        status.details.add().Pack(detail)
    if problems:
        _add_bad_request(status, problems)
    return status


def shortened(reason: str) -> str:
    """Return ``reason`` cut to ``MAX_REASON_CHARACTERS``, with the cut stated."""
    if len(reason) <= MAX_REASON_CHARACTERS:
        return reason
    return f"{reason[:MAX_REASON_CHARACTERS]}... ({len(reason)} characters in all)"


def _error_detail(failure: Failure, reason: str) -> ErrorDetail:
    keys = (parse_key(text) for text in failure.resources[:MAX_RESOURCES])
    return ErrorDetail(
        kind=failure.kind.value,
        reason=reason,
        resources=[key.to_message() for key in keys if isinstance(key, Key)],
        current_version=failure.current_version,
        retry_after_ms=round(failure.retry_after * _MILLISECONDS),
        leader_operator_address=failure.leader_address,
    )


def _error_info(failure: Failure) -> ErrorInfo:
    answer = failure.answer
    return ErrorInfo(
        reason=failure.kind.name,
        domain=ERROR_DOMAIN,
        metadata={"outcome": answer.outcome.value, "advice": answer.advice.value},
    )


def _resource_info(text: str, failure: Failure) -> ResourceInfo:
    kind, _, name = text.partition("/")
    return ResourceInfo(
        resource_type=RESOURCE_TYPE_PREFIX + kind.capitalize(),
        resource_name=name,
        description=failure.kind.value,
    )


def _duration(seconds: float) -> Duration:
    duration = Duration()
    duration.FromMilliseconds(round(seconds * _MILLISECONDS))
    return duration


def _add_bad_request(status: Status, problems: Sequence[FieldProblem]) -> None:
    room = MAX_DETAIL_BYTES - status.ByteSize()
    bad_request = BadRequest()
    for index, problem in enumerate(problems):
        field = f"{problem.resource}.{problem.field}"
        bad_request.field_violations.add(field=field, description=problem.reason)
        if bad_request.ByteSize() > room:
            left = len(problems) - index
            del bad_request.field_violations[index:]
            bad_request.field_violations.add(field="...", description=f"and {left} more")
            break
    status.details.add().Pack(bad_request)
