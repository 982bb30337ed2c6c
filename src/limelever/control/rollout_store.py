"""Starts, reads and updates rollouts in the replicated configuration.

A service has at most one rollout, the newest. It is a resource of the configuration, so each change
of it is replicated, persisted and distributed to the proxies like any other.
"""

from __future__ import annotations

import secrets
import time
from collections import Counter
from collections.abc import Callable

from google.protobuf.message import Message

from limelever.common.errors import ErrorKind, Failure
from limelever.protocol.config_pb2 import (
    ROLLOUT_STATE_COMPLETED,
    ROLLOUT_STATE_ROLLED_BACK,
    ROLLOUT_STATE_RUNNING,
    Batch,
    Resource,
    Rollout,
)
from limelever.protocol.endpoints_pb2 import ENDPOINT_STATE_READY, Endpoint
from limelever.protocol.keys import rollout_key, service_key
from limelever.protocol.operators_pb2 import ApplyRequest, GetRequest, GetResponse
from limelever.source.grpc_asgi import Refusal
from limelever.source.operator_desk import OperatorDesk
from limelever.source.operator_door import RequestChecks
from limelever.source.request_records import make_request_id

UPDATE_ATTEMPTS = 20
"""Attempts at an optimistic update, as concurrent configuration changes cause conflicts."""

RETRY_WINDOW_MS = 5000
"""Within this time after an order an identical one counts as its retry, even if the rollout has
been rolled back; later it is a new order. Operators retry for up to 4 s."""

_REQUEST_ID_BYTES = 8
_NANOSECONDS_PER_MILLISECOND = 1_000_000

EndpointLookup = Callable[[str], list[Endpoint]]


class RolloutStore:
    """Reads and writes services' rollouts; ``endpoints_of`` returns a service's known back ends."""

    def __init__(
        self,
        operator_requests: OperatorDesk,
        request_checks: RequestChecks,
        endpoints_of: EndpointLookup,
    ) -> None:
        self._operator_requests = operator_requests
        self._request_checks = request_checks
        self._endpoints_of = endpoints_of

    async def start(self, service: str, target: str, duration_ms: int) -> Rollout | Failure:
        """Start to shift a service's calls to a version; idempotent for a repeated order."""

        def started(current: Rollout | None) -> Rollout | Failure | None:
            if current is not None and _is_same_order(current, target, duration_ms):
                return None
            if current is not None and current.state == ROLLOUT_STATE_RUNNING:
                reason = f"a rollout of {service} to {current.target} is already running"
                return Failure(ErrorKind.CONFLICT, reason)
            return Rollout(
                service=service,
                target=target,
                baseline=self._baseline(service, target, current),
                state=ROLLOUT_STATE_RUNNING,
                ordered_at_ms=unix_ms(),
                duration_ms=duration_ms,
            )

        return await self.update(service, started)

    async def get(self, service: str) -> Rollout | Failure:
        """Return a service's newest rollout."""
        response = await self._operator_requests.ask(
            GetRequest(keys=[rollout_key(service).to_message()])
        )
        if isinstance(response, Failure):
            return response
        current = _rollout_in(response)
        if current is None:
            return Failure(ErrorKind.NOT_FOUND, f"service {service} has no rollout")
        return current

    async def update(
        self, service: str, updated: Callable[[Rollout | None], Rollout | Failure | None]
    ) -> Rollout | Failure:
        """Write what ``updated`` returns for the current rollout.

        If it returns ``None``, the rollout is unchanged; a ``Failure`` is returned without a write.
        """
        keys = [service_key(service).to_message(), rollout_key(service).to_message()]
        for _ in range(UPDATE_ATTEMPTS):
            response = await self._operator_requests.ask(GetRequest(keys=keys))
            if isinstance(response, Failure):
                return response
            if not isinstance(response, GetResponse) or keys[0] in response.missing:
                return Failure(ErrorKind.NOT_FOUND, f"service {service} does not exist")
            current = _rollout_in(response)
            desired = updated(current)
            if desired is None:
                assert current is not None
                return current
            if isinstance(desired, Failure):
                return desired
            answer = await self._write(desired, response.version)
            if not isinstance(answer, Failure):
                return desired
            if answer.kind is not ErrorKind.CONFLICT:
                return answer
        return Failure(
            ErrorKind.OVERLOADED, "concurrent configuration changes conflicted with each attempt"
        )

    async def _write(self, rollout: Rollout, version: int) -> Message | Failure:
        batch = Batch(
            request_id=make_request_id(secrets.token_hex(_REQUEST_ID_BYTES), version),
            expected_version=version,
            put=[Resource(rollout=rollout)],
        )
        request = self._request_checks.checked(ApplyRequest(batch=batch))
        if isinstance(request, Refusal):
            return request.failure
        return await self._operator_requests.ask(request)

    def _baseline(self, service: str, target: str, current: Rollout | None) -> str:
        """Return the version in use: the last rollout's result, or that of most ready back ends.

        Empty if there is none other than the target.
        """
        if current is not None:
            in_use = (
                current.target if current.state == ROLLOUT_STATE_COMPLETED else current.baseline
            )
            if in_use and in_use != target:
                return in_use
        ready = [each for each in self._endpoints_of(service) if each.state == ENDPOINT_STATE_READY]
        versions = Counter(each.version for each in ready if each.version not in ("", target))
        return max(versions, key=lambda version: (versions[version], version), default="")


def rolled_back(rollout: Rollout, reason: str) -> Rollout:
    """Return a copy that is rolled back: the target receives no more calls."""
    return _ended(rollout, ROLLOUT_STATE_ROLLED_BACK, reason)


def completed(rollout: Rollout, reason: str) -> Rollout:
    """Return a copy that is completed: only the target receives calls."""
    return _ended(rollout, ROLLOUT_STATE_COMPLETED, reason)


def _ended(rollout: Rollout, state: int, reason: str) -> Rollout:
    ended = Rollout()
    ended.CopyFrom(rollout)
    ended.state = state  # type: ignore[assignment]
    ended.reason = reason
    return ended


def unix_ms() -> int:
    """Return the Unix time in milliseconds, which can be compared between processes."""
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


def _is_same_order(current: Rollout, target: str, duration_ms: int) -> bool:
    if (current.target, current.duration_ms) != (target, duration_ms):
        return False
    is_retry = unix_ms() - current.ordered_at_ms < RETRY_WINDOW_MS
    return is_retry or current.state != ROLLOUT_STATE_ROLLED_BACK


def _rollout_in(response: Message) -> Rollout | None:
    assert isinstance(response, GetResponse)
    for versioned in response.resources:
        if versioned.resource.HasField("rollout"):
            return versioned.resource.rollout
    return None
