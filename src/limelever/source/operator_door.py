"""The door of the operators' service: who may call, and which requests are sound.

Nothing here looks at the state: an earlier sending of a write may be in the log already, and a
refusal by the state would say "not run" of it.
"""

from __future__ import annotations

import hmac
from collections.abc import Container, Mapping, Sequence

import attrs
from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.common.settings import not_empty
from limelever.protocol.config_pb2 import Batch
from limelever.protocol.operators_pb2 import (
    DESCRIPTOR,
    ApplyRequest,
    ChangeMembersRequest,
    GetRequest,
    GetRevisionRequest,
    RolloutRequest,
    StatusRequest,
)
from limelever.source import grpc_wire
from limelever.source.at_rest import SecretSealer
from limelever.source.grpc_asgi import Refusal
from limelever.source.region_checks import ANY_REGION
from limelever.source.validation import (
    failure_of,
    validate_batch,
    validate_request_id,
    validate_resources,
)

Headers = Mapping[bytes, bytes]

_BEARER = b"bearer "
_SERVICE = DESCRIPTOR.services_by_name["Operator"]
_REQUESTS: dict[str, type[Message]] = {
    f"/{_SERVICE.full_name}/Apply": ApplyRequest,
    f"/{_SERVICE.full_name}/Get": GetRequest,
    f"/{_SERVICE.full_name}/GetRevision": GetRevisionRequest,
    f"/{_SERVICE.full_name}/Rollout": RolloutRequest,
    f"/{_SERVICE.full_name}/Status": StatusRequest,
    f"/{_SERVICE.full_name}/ChangeMembers": ChangeMembersRequest,
}


@attrs.frozen(kw_only=True)
class OperatorToken:
    """A credential that an operator presents, and what it may do."""

    name: str = attrs.field(validator=not_empty)
    token: str = attrs.field(validator=not_empty, repr=False)
    read_only: bool = False


def authenticate(headers: Headers, tokens: Sequence[OperatorToken]) -> OperatorToken | Failure:
    """Return whose credential the call presents, or UNAUTHENTICATED; in constant time."""
    presented = headers.get(b"authorization", b"")
    found: OperatorToken | None = None
    for token in tokens:
        if hmac.compare_digest(presented[len(_BEARER) :], token.token.encode()):
            found = token
    if found is None or presented[: len(_BEARER)].lower() != _BEARER:
        return Failure(ErrorKind.UNAUTHENTICATED, "credential is missing or unknown")
    return found


def is_write(request: Message) -> bool:
    """Return whether a request changes anything."""
    if isinstance(request, ApplyRequest):
        return not request.dry_run
    return isinstance(request, ChangeMembersRequest)


class RequestChecks:
    """Turns a call's body into a checked request whose secrets are sealed.

    ``zones`` are those that may be drained; if it is empty, any zone is taken. ``regions`` are
    those of the zones in the settings.
    """

    def __init__(
        self,
        sealer: SecretSealer,
        zones: Container[str] = (),
        regions: frozenset[str] = ANY_REGION,
    ) -> None:
        self._sealer = sealer
        self._zones = zones
        self._regions = regions

    def request(
        self, method: str, headers: Headers, body: bytes | Failure, operator: OperatorToken
    ) -> Message | Refusal:
        """Return the request that ``body`` holds, or why it is refused."""
        request = _parsed(method, headers, body)
        if isinstance(request, Failure):
            return Refusal(request)
        if operator.read_only and is_write(request):
            reason = f"operator {operator.name} may only read"
            return Refusal(Failure(ErrorKind.PERMISSION_DENIED, reason))
        if isinstance(request, ApplyRequest):
            _name_operator(request.batch, operator.name)
        return self.checked(request)

    def checked(self, request: Message) -> Message | Refusal:
        """Return a request of sound shape with its secrets sealed, or why it is refused."""
        match request:
            case ApplyRequest(dry_run=True):
                problems = validate_resources(request.batch, self._regions)
            case ApplyRequest():
                problems = validate_batch(request.batch, self._regions)
            case ChangeMembersRequest():
                problems = validate_request_id("members", request.request_id)
            case _:
                return request
        if problems:
            return Refusal(failure_of(problems), problems)
        if not isinstance(request, ApplyRequest):
            return request
        if not self._sealer.can_seal and _has_secret(request.batch):
            reason = "secrets are not kept here: the settings hold no sealing key"
            return Refusal(Failure(ErrorKind.INVALID_REQUEST, reason))
        unknown = unknown_zone(request.batch, self._zones)
        if unknown is not None:
            return Refusal(unknown)
        return ApplyRequest(batch=self._sealer.seal_batch(request.batch), dry_run=request.dry_run)


def unknown_zone(batch: Batch, zones: Container[str]) -> Failure | None:
    """Return ``NOT_FOUND`` if ``batch`` drains a zone that is not among ``zones``."""
    for resource in batch.put:
        if zones and resource.HasField("zone_drain") and resource.zone_drain.zone not in zones:
            return Failure(ErrorKind.NOT_FOUND, f"there is no zone {resource.zone_drain.zone}")
    return None


def _name_operator(batch: Batch, operator: str) -> None:
    """Put the operator's name into zone drains: a client can't order in another's name."""
    for resource in batch.put:
        if resource.HasField("zone_drain"):
            resource.zone_drain.ordered_by = operator


def _has_secret(batch: Batch) -> bool:
    return any(resource.HasField("secret") for resource in batch.put)


def _parsed(method: str, headers: Headers, body: bytes | Failure) -> Message | Failure:
    kind = _REQUESTS.get(method)
    if kind is None:
        return Failure(ErrorKind.METHOD_NOT_ALLOWED, f"no method {method!r}")
    encoding = headers.get(b"grpc-encoding", grpc_wire.IDENTITY_ENCODING)
    if encoding != grpc_wire.IDENTITY_ENCODING:
        return Failure(ErrorKind.METHOD_NOT_ALLOWED, "compressed messages are not taken")
    payload = body if isinstance(body, Failure) else grpc_wire.unwrap_message(body)
    return payload if isinstance(payload, Failure) else grpc_wire.parse_message(payload, kind)
